#!/usr/bin/env bash
# Kills the registry at random points of a stream of writes, again and again: what it has acknowledged is there, each
# store it leaves is whole, and no generation comes twice.
# Usage: crash_test.sh VIOLETWING KILLS
set -euo pipefail
program=$1
kills=$2
work=$(mktemp -d)
server=
trap 'kill -9 $server 2>/dev/null || true; rm -rf "$work"' EXIT
RANDOM=20261201  # the same waits each time

fail() { echo "FAILED: $*"; exit 1; }
cat >"$work/registry.toml" <<TOML
listen = "127.0.0.1:0"
store = "$work/store.db"
TOML

start() {
  "$program" registry serve --config "$work/registry.toml" >"$work/said" 2>"$work/err" &
  server=$!
  for _ in $(seq 1 2000); do
    if grep -q '^serving at' "$work/said"; then break; fi
    kill -0 "$server" 2>/dev/null || fail "no start: $(cat "$work/err")"
    sleep 0.005  # between looks
  done
  at=$(sed -n 's/^serving at \([^,]*\),.*/\1/p' "$work/said")
}

# Writes until the registry is gone; notes what was acknowledged, and as which generation.
write() {
  local n=0 answer
  while answer=$("$program" registry put --at "$at" --id "w$1-$2-$n" --address 127.0.0.1:1 --json 2>/dev/null); do
    echo "w$1-$2-$n ${answer//[^0-9]/}" >>"$work/acknowledged.$1"
    n=$((n + 1))
  done
}

for round in $(seq 1 "$kills"); do
  start
  for writer in 1 2 3; do write "$writer" "$round" & writers[writer]=$!; done
  for _ in $(seq 1 4000); do
    if grep -qs "^w[123]-$round-" "$work"/acknowledged.*; then break; fi
    sleep 0.005  # between looks
  done
  sleep "0.0$((RANDOM % 90 + 10))"  # the point of the kill, in the stream that has begun
  kill -9 "$server"
  wait "$server" 2>/dev/null || true
  wait "${writers[@]}"
  "$program" registry verify "$work/store.db" >/dev/null || fail "round $round left a store that is not whole"
done

start
"$program" registry get --at "$at" --json | tr ',' '\n' | sed -n 's/.*"instanceId":"\([^"]*\)".*/\1/p' | sort >"$work/there"
cat "$work"/acknowledged.* | cut -d' ' -f1 | sort >"$work/ids"
lost=$(comm -23 "$work/ids" "$work/there")
[ -z "$lost" ] || fail "acknowledged and gone: $lost"
twice=$(cat "$work"/acknowledged.* | cut -d' ' -f2 | sort | uniq -d)
[ -z "$twice" ] || fail "generations given twice: $twice"
[ "$(wc -l <"$work/ids")" -ge "$kills" ] || fail "hardly a write came through: $(wc -l <"$work/ids")"
echo "$kills kills, $(wc -l <"$work/ids") acknowledged writes, all there; $(comm -13 "$work/ids" "$work/there" | wc -l) more that were not acknowledged"
