#!/usr/bin/env bash
# `violetwing registry` as an operator meets it. Usage: command_test.sh VIOLETWING
set -euo pipefail
program=$1
work=$(mktemp -d)
server=
trap 'kill -9 $server 2>/dev/null || true; rm -rf "$work"' EXIT

fail() { echo "FAILED: $*"; exit 1; }
expect() {
  local want=$1 status=0
  shift
  "$program" registry "$@" >"$work/out" 2>"$work/err" || status=$?
  [ "$status" = "$want" ] || fail "'$*' ended with $status: $(cat "$work/out" "$work/err")"
  [ "$want" = 0 ] || [ "$(wc -l <"$work/err")" = 1 ] || fail "'$*' said: $(cat "$work/err")"
}
until_true() {
  for _ in $(seq 1 2000); do
    if eval "$1"; then return 0; fi
    sleep 0.005  # between looks
  done
  fail "never: $1"
}
mkdir "$work/snapshots"
cat >"$work/registry.toml" <<TOML
listen = "127.0.0.1:0"
store = "$work/store.db"
snapshots = "$work/snapshots"
log = "$work/log.jsonl"
TOML
start() {
  "$program" registry serve --config "$1" >"$work/said" 2>"$work/saiderr" &
  server=$!
  until_true "grep -q '^serving at' '$work/said'"
  at=$(sed -n 's/^serving at \([^,]*\),.*/\1/p' "$work/said")
}

# What makes no sense.
echo 'listen = "0.0.0.0:80"' >"$work/bad.toml"
expect 2 serve --config "$work/bad.toml"
grep -q 'bad.toml:1: listen' "$work/err" || fail "$(cat "$work/err")"
echo 'lisen = "127.0.0.1:0"' >"$work/bad.toml"
expect 2 serve --config "$work/bad.toml"
expect 2 serve --config "$work/none.toml"
expect 2 explode
expect 1 verify "$work/none.db"
expect 1 status --at 127.0.0.1:1
expect 2 status --at nowhere
echo 'no store' >"$work/no.db"
expect 1 verify "$work/no.db"

# Writes, leases and conflicts.
start "$work/registry.toml"
expect 0 put --at "$at" --id s-1 --address 127.0.0.1:9000 --zone odense --program v1 --if-version 0
expect 1 put --at "$at" --id s-1 --address 127.0.0.1:9001 --if-version 0
expect 0 put --at "$at" --id s-2 --address 127.0.0.1:9001 --holder p1 --term-s 0.5
expect 1 put --at "$at" --id s-2 --address 127.0.0.1:9001 --holder p2 --term-s 0.5
expect 2 put --at "$at" --id "s 3" --address 127.0.0.1:9001
expect 2 put --at "$at"
expect 0 drain --at "$at" s-1
expect 1 drain --at "$at" none
until_true "! '$program' registry get --at $at | grep s-2 >/dev/null"  # its lease ends
expect 0 get --at "$at"
grep -q 's-1.*draining' "$work/out" || fail "$(cat "$work/out")"
expect 0 watch --at "$at" --count 1 --json
grep -q '"reset":true' "$work/out" || fail "$(cat "$work/out")"

# A watch hears of a change that comes later.
"$program" registry watch --at "$at" --count 2 >"$work/watched" &
watch=$!
until_true "[ -s '$work/watched' ]"
expect 0 put --at "$at" --id s-4 --address 127.0.0.1:9004
wait "$watch" || fail "the watch ended: $(cat "$work/watched")"
tail -1 "$work/watched" | grep '"reset":false.*s-4' >/dev/null || fail "$(cat "$work/watched")"

# One store, one registry; the second leaves the first one's log alone.
expect 2 serve --config "$work/registry.toml"
[ -s "$work/log.jsonl" ] || fail "the log is gone"
expect 1 verify "$work/store.db"

# Snapshot, end, restore under a higher epoch: all generations are above those before.
expect 0 snapshot --at "$at" one.db
expect 2 snapshot --at "$at" ../two.db
expect 0 status --at "$at" --json
before=$(sed 's/.*"generation":\([0-9]*\).*/\1/' "$work/out")
kill "$server"
wait "$server" || fail "SIGTERM ended it with $?"
expect 0 verify "$work/store.db"
expect 2 restore "$work/snapshots/one.db" "$work/store.db" --epoch 9
expect 2 restore "$work/snapshots/one.db" "$work/new.db" --epoch 1
expect 0 restore "$work/snapshots/one.db" "$work/new.db" --epoch 2
sed "s/store.db/new.db/" "$work/registry.toml" >"$work/new.toml"
start "$work/new.toml"
expect 0 status --at "$at" --json
after=$(sed 's/.*"generation":\([0-9]*\).*/\1/' "$work/out")
[ "$after" -gt "$before" ] || fail "generation $after after $before"
expect 0 get --at "$at"
grep -q s-4 "$work/out" || fail "the snapshot lacks s-4"
kill "$server"
wait "$server"

# A store of a newer program, and a torn one, are left alone.
cp "$work/store.db" "$work/torn.db"
size=$(stat -c %s "$work/torn.db")
printf 'torn page' | dd of="$work/torn.db" bs=1 seek=$((size - 4096)) conv=notrunc 2>/dev/null
expect 1 verify "$work/torn.db"
cp "$work/store.db" "$work/newer.db"
printf '\0\0\0\11' | dd of="$work/newer.db" bs=1 seek=60 conv=notrunc 2>/dev/null  # SQLite's user_version
expect 1 verify "$work/newer.db"
sed "s/store.db/newer.db/" "$work/registry.toml" >"$work/newer.toml"
expect 2 serve --config "$work/newer.toml"
grep -q 'newer program' "$work/err" || fail "$(cat "$work/err")"
echo "all of the command held"
