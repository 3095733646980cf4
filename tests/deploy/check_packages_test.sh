#!/usr/bin/env bash
# tools/check-packages notices a package that the deploy file does not list. To be run after the build under
# target/. Argument: the root of the repository.
set -euo pipefail
root=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for package in libevent-dev libsqlite3-dev; do
  sed "s/\"$package\", //" "$root/deploy/system.toml" > "$folder/system.toml"
  ! grep -q "\"$package\"" "$folder/system.toml" || { echo "$package was not taken out"; exit 1; }
  status=0
  said=$("$root/tools/check-packages" "$folder/system.toml") || status=$?
  [ "$status" = 1 ] && grep -q "packages: $package is used and not listed" <<< "$said" || {
    echo "without $package: status $status, said: $said"; exit 1; }
done
