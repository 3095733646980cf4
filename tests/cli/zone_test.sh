#!/usr/bin/env bash
# `violetwing zone` as an operator meets it, at a real sidecar. Usage: zone_test.sh VIOLETWING VIOLETWING_SIDECAR
set -euo pipefail
program=$1
sidecar=$2
work=$(mktemp -d)
pid=
trap 'kill -9 $pid 2>/dev/null || true; rm -rf "$work"' EXIT

fail() {
  echo "FAILED: $*"
  exit 1
}
until_true() {
  for _ in $(seq 1 2000); do
    if eval "$1"; then return 0; fi
    sleep 0.005  # between looks
  done
  fail "never: $1"
}
expect() {
  local want=$1 status=0
  shift
  "$program" zone "$@" >"$work/out" 2>"$work/err" || status=$?
  [ "$status" = "$want" ] || fail "'$*' ended with $status: $(cat "$work/out" "$work/err")"
}
# A port that the kernel gives, by a program that says which it got.
free_port() {
  printf 'listen = "127.0.0.1:0"\nstore = "%s/probe-%s.db"\n' "$work" "$1" >"$work/probe.toml"
  "$program" registry serve --config "$work/probe.toml" >"$work/probe" 2>&1 &
  local probe=$!
  until_true "grep -q '^serving at' '$work/probe'"
  kill "$probe"
  wait "$probe"
  sed -n 's/^serving at \([^,]*\),.*/\1/p' "$work/probe"
}
admin=$(free_port a)
listen=$(free_port b)
mkdir "$work/tmp"
cat >"$work/config.json" <<JSON
{"name":"n0","listen":"$listen","discovery":"127.0.0.1:1","seed":"1","limits":{"cores":1.0,"memory_mb":64,"sockets":256},
 "known":{"generation":1,"reset":true,"instances":[
  {"instanceId":"s-1","hostPort":"127.0.0.1:2","zone":"east","machineType":"std","cell":1,"lifecycle":"up","weight":1.0,"startedAtMs":0},
  {"instanceId":"s-2","hostPort":"127.0.0.1:3","zone":"west","machineType":"std","cell":2,"lifecycle":"up","weight":1.0,"startedAtMs":0}]},
 "settings":{"allowed":{"cancel":true,"conn_idle_us":60000000,"dial_timeout_us":250000,"max_attempts":5,"retry_after":true,"max_retry_after_us":2000000},
  "azs":["east","west"],"host_types":["std"],"my_zone":"east","membership_mode":"automatic","quantum_us":5000,"rank":0,"siblings":1,
  "grades":[{"name":"look","aim_us":1000000,"hard_limit_us":5000000,"importance":1.0,"repeat":"idempotent","group":"all","late_value":0.5,"window_us":5000000,"stream":false}],
  "rules":{"drain_grace_us":500000,"cold_from":0.3,"warm_after_us":8000000,"overload_factor":4.0,"fall_us":2000000},"tenants":[]}}
JSON
start() {
  EDGE_CONFIG="$work/config.json" EDGE_ADMIN="$admin" TMPDIR="$work/tmp" "$sidecar" 2>"$work/said" &
  pid=$!
  until_true "'$program' zone status --at $admin >/dev/null 2>&1 || { kill -0 $pid 2>/dev/null || fail \"\$(cat '$work/said')\"; false; }"
}

start
expect 0 status --at "$admin"
grep -q 'all zones are open' "$work/out" || fail "$(cat "$work/out")"
expect 0 drain west --at "$admin"
expect 0 status --at "$admin"
grep -q 'west *0% open' "$work/out" || fail "$(cat "$work/out")"
expect 1 drain east --at "$admin"  # nothing would be left
grep -q 'no server would be left' "$work/out" || fail "$(cat "$work/out")"
expect 1 drain moon --at "$admin"
expect 2 drain west --at "$admin" --over-s -1
expect 2 drain west

# One that does not answer is a no; the others are told all the same.
expect 1 return west --over-s 3600 --at 127.0.0.1:1 "$admin"
expect 0 status --json --at "$admin"
grep -q '"west": 0.125' "$work/out" || fail "$(cat "$work/out")"

# An order outlives the process, also one that was killed.
kill -9 "$pid"
wait "$pid" 2>/dev/null || true
start
expect 0 status --at "$admin"
grep -q 'west *12% open\|west *13% open' "$work/out" || fail "$(cat "$work/out")"
expect 0 return west --at "$admin"
expect 0 status --at "$admin"
grep -q 'all zones are open' "$work/out" || fail "$(cat "$work/out")"
until_true "[ -z \"\$(ls '$work/tmp')\" ]"
kill "$pid"
wait "$pid" || fail "the sidecar ended with $?"
pid=
echo "all of the zones held"
