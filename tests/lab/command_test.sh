#!/usr/bin/env bash
# The command `violetwing lab` as an operator meets it: exit status, one line for bad input, what it leaves behind.
# Usage: command_test.sh VIOLETWING TESTS-LAB-DIRECTORY
set -euo pipefail
program=$1
short=$2/short.toml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

fail() { echo "FAILED: $*"; exit 1; }

# Bad input: status 2, one line, nothing on standard output.
bad() {
  local status=0
  "$program" "$@" >"$work/out" 2>"$work/err" || status=$?
  [ "$status" = 2 ] || fail "'$*' ended with $status"
  [ "$(wc -l <"$work/err")" = 1 ] || fail "'$*' said: $(cat "$work/err")"
  [ ! -s "$work/out" ] || fail "'$*' printed: $(cat "$work/out")"
}
bad
bad lab
bad lab explode
bad lab run
bad lab run "$work/none.toml"
bad lab run "$short" --seed minus
bad lab run "$short" --sidecar "$work/none"
bad lab run "$short" --replays -1
bad lab compare "$work/none" "$work/none"
bad lab list "$work/none"
sed 's/broken.lost/broken.lots/' "$short" >"$work/figure.toml"
bad lab run "$work/figure.toml"
grep -q 'figure.toml:.*broken.lots' "$work/err" || fail "no file, line and figure in: $(cat "$work/err")"
"$program" --version | grep '^violetwing [0-9]' >/dev/null || fail "--version"
for command in "lab" "lab run" "lab check" "lab list" "lab compare" "lab trace"; do
  # shellcheck disable=SC2086
  "$program" $command --help | grep Usage >/dev/null || fail "$command --help"
done
"$program" lab check "$short" >/dev/null

# Two runs of one seed side by side: they do not meet, and have one plan to the byte.
"$program" lab run "$short" --seed 5 --replays 3 --keep "$work/a" --json "$work/a.json" --report "$work/a.html" \
  >"$work/a.out" &
first=$!
"$program" lab run "$short" --seed 5 --replays 3 --keep "$work/b" --json "$work/b.json" >"$work/b.out" || fail "$(cat "$work/b.out")"
wait "$first" || fail "$(cat "$work/a.out")"
cmp "$work/a/plan.jsonl" "$work/b/plan.jsonl"
grep -q '"version": 1' "$work/a.json"
grep -q '<svg' "$work/a.html"
"$program" lab compare "$work/a.json" "$work/b.json" | grep '^served.in_time' >/dev/null || fail "compare"
"$program" lab compare "$work/a.json" "$work/b.json" --json | grep '"difference"' >/dev/null || fail "compare --json"
"$program" lab list "$2" --json | grep '"name": "short"' >/dev/null || fail "list --json"
"$program" lab trace "$work/a" 0000000000070000 | grep '"part":"server"' >/dev/null || fail "trace finds no attempt"
if "$program" lab trace "$work/a" none; then fail "trace of nothing"; fi

# A claim that does not hold: status 1.
sed 's/at_least = 0.5/at_least = 1.5/' "$short" >"$work/claim.toml"
status=0
"$program" lab run "$work/claim.toml" --replays 3 >"$work/out" || status=$?
[ "$status" = 1 ] && grep -q 'FAILED  served.in_time' "$work/out" || fail "a failed claim ended with $status"

# A sidecar that cannot hold: its end at the start fails the run.
status=0
"$program" lab run "$short" --sidecar /bin/false >"$work/out" 2>&1 || status=$?
[ "$status" = 1 ] && grep -q CRASHED "$work/out" || fail "a sidecar that ends ended with $status"

# One that a sanitizer has something to say of.
printf '#!/bin/sh\necho "ERROR: AddressSanitizer: heap-use-after-free"\nexec "%s"\n' "$(dirname "$program")/violetwing-sidecar" \
  >"$work/reported"
chmod +x "$work/reported"
status=0
"$program" lab run "$short" --replays 3 --sidecar "$work/reported" >"$work/out" || status=$?
[ "$status" = 1 ] && grep -q CRASHED "$work/out" || fail "a sanitizer's report ended with $status: $(cat "$work/out")"

# Waits until the condition holds.
until_true() {
  for _ in $(seq 1 400); do
    if eval "$1"; then return 0; fi
    sleep 0.05  # between looks
  done
  fail "never: $1"
}

# A lab that stood still says so and judges nothing.
"$program" lab run "$short" --keep "$work/c" >"$work/out" &
lab=$!
until_true "grep -qs 'load begins' '$work/c/lab.jsonl' || ! kill -0 $lab"
kill -STOP "$lab"
sleep 0.8  # a quarter of the run
kill -CONT "$lab"
status=0
wait "$lab" || status=$?
[ "$status" = 1 ] && grep -q 'not judged' "$work/out" || fail "a lab that stood still ended with $status: $(cat "$work/out")"

# Nothing outlives a lab that is killed, nor one that is interrupted.
for signal in KILL TERM; do
  "$program" lab run "$short" --keep "$work/$signal" >/dev/null 2>&1 &
  lab=$!
  until_true "grep -qs 'load begins' '$work/$signal/lab.jsonl'"
  children=$(sed -n 's/.*"event":"started","pid":\([0-9]*\).*/\1/p' "$work/$signal/lab.jsonl")
  [ "$(echo "$children" | wc -w)" = 2 ] || fail "children: $children"
  kill "-$signal" "$lab"
  wait "$lab" 2>/dev/null || true
  for child in $children; do until_true "! kill -0 $child 2>/dev/null || grep -q '^State:.Z' /proc/$child/status"; done
done
echo "all of the command held"
