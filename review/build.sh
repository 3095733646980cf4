#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's scripts into target/review/. Needs g++ and the nlohmann-json headers,
# which the deploy file lists among its packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-9]; do
  [ -f "$case/case.cpp" ] || continue
  number=$(basename "$case")
  g++ -std=c++20 -O1 -pthread -Wall -Wextra -I review/common -o "target/review/case-$number" "$case/case.cpp"
done
