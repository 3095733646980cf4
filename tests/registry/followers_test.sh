#!/usr/bin/env bash
# Three registries as processes: followers, their outages, promotion, and a primary that comes back. And the
# agent that holds a lease with them. Usage: followers_test.sh VIOLETWING
set -euo pipefail
program=$1
work=$(mktemp -d)
declare -A pid=() at=()
trap 'kill -9 ${pid[*]} 2>/dev/null || true; rm -rf "$work"' EXIT

fail() {
  echo "FAILED: $*"
  tail -n 5 "$work"/*.jsonl "$work"/*.said 2>/dev/null
  exit 1
}
until_true() {
  for _ in $(seq 1 4000); do
    if eval "$1"; then return 0; fi
    sleep 0.01  # between looks
  done
  fail "never: $1"
}
registry() { "$program" registry "$@"; }
status_of() { registry status --at "${at[$1]}" --json 2>/dev/null | tr ',' '\n' | tr -d '{}"' | sed -n "s/^$2://p"; }
list_of() { registry get --at "${at[$1]}" --json | tr '{' '\n' | sed 's/"stale":true//'; }
# A figure, by a connection of the shell's own.
figure_of() {
  exec 7<>"/dev/tcp/${at[$1]%:*}/${at[$1]#*:}"
  printf 'GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n' >&7
  sed -n "s/^violetwing_registry_$2 //p" <&7
  exec 7>&-
}
start() {
  "$program" registry serve --config "$work/$1.toml" >"$work/$1.said" 2>&1 &
  pid[$1]=$!
  until_true "grep -q '^serving at' '$work/$1.said'"
}
stop() {
  kill -9 "${pid[$1]}"
  wait "${pid[$1]}" 2>/dev/null || true
}

# Ports that the kernel gives: each registry is started once alone, and keeps the number it got.
for name in a b c; do
  printf 'listen = "127.0.0.1:0"\nstore = "%s"\n' "$work/probe-$name.db" >"$work/$name.toml"
done
for name in a b c; do start "$name"; done
for name in a b c; do at[$name]=$(sed -n 's/^serving at \([^,]*\),.*/\1/p' "$work/$name.said"); done
for name in a b c; do stop "$name"; done
configure() {  # name, whether it follows, the others
  cat >"$work/$1.toml" <<TOML
listen = "${at[$1]}"
name = "$1"
store = "$work/$1.db"
log = "$work/$1.jsonl"
follow = $2
stale_s = 1
others = ["${at[$3]}", "${at[$4]}"]
TOML
}
configure a false b c
configure b true a c
configure c true a b

# A primary that waits for nobody for ever, and followers that have its list.
start a
until_true "[ \"\$(status_of a role)\" = primary ]"
registry put --at "${at[a]}" --id s-1 --address 127.0.0.1:9001 --zone odense >/dev/null
start b
start c
until_true "[ \"\$(status_of c path)\" = '[a]' ] && [ \"\$(list_of c)\" = \"\$(list_of a)\" ]"
registry put --at "${at[a]}" --id s-2 --address 127.0.0.1:9002 --key once >/dev/null
until_true "[ \"\$(list_of b)\" = \"\$(list_of a)\" ] && [ \"\$(list_of c)\" = \"\$(list_of a)\" ]"

# A follower writes nothing, and says where to go.
if registry put --at "${at[b]}" --id s-9 --address 127.0.0.1:9009 >/dev/null 2>"$work/err"; then fail "b wrote"; fi
grep -q "write to ${at[a]}" "$work/err" || fail "$(cat "$work/err")"
if registry promote --at "${at[b]}" --epoch 2 >/dev/null 2>"$work/err"; then fail "promoted beside a primary"; fi
grep -q 'a is the primary and answers' "$work/err" || fail "$(cat "$work/err")"

# An agent's lease: with whichever registry writes.
"$program" agent register --at "${at[b]}" "${at[a]}" "${at[c]}" --id s-3 --address 127.0.0.1:9003 --term-s 3 \
  --drain-s 0.2 >"$work/agent.said" 2>&1 &
pid[agent]=$!
until_true "list_of b | grep -q s-3"

# It stands still for longer than the lease, and takes nobody out for that.
kill -STOP "${pid[a]}"
until_true "[ \"\$(status_of b stale_ms)\" -gt 4000 ]"
kill -CONT "${pid[a]}"
until_true "[ \"\$(figure_of a pauses_total | tr -d '\r')\" = 1 ]"
list_of a | grep -q s-3 || fail "a lease ended while the registry stood still"

# The primary is gone: lists and watches go on and say that they are stale.
stop a
until_true "registry get --at ${at[b]} --json | grep -q '\"stale\":true'"
list_of b | grep -q s-2 || fail "the list is gone with the primary"
if registry put --at "${at[b]}" --id s-9 --address 127.0.0.1:9009 >/dev/null 2>&1; then fail "b wrote"; fi

# An operator promotes b; c follows it, and the agent finds it.
until_true "registry promote --at ${at[b]} --epoch 2 >/dev/null 2>&1"
registry put --at "${at[b]}" --id s-4 --address 127.0.0.1:9004 >/dev/null
before=$(status_of b generation)
registry put --at "${at[b]}" --id s-2 --address 127.0.0.1:9999 --key once >/dev/null
[ "$(status_of b generation)" = "$before" ] || fail "the key of a batch was lost with the primary"
until_true "[ \"\$(status_of c path)\" = '[b]' ] && [ \"\$(list_of c)\" = \"\$(list_of b)\" ]"
until_true "grep -q 'at ${at[b]}: done' '$work/agent.said' || [ \"\$(status_of b leases)\" = 1 ]"

# The old primary comes back, writes nothing and follows. Under a fork it would have set its own aside.
start a
until_true "[ \"\$(status_of a role)\" = follower ] && [ \"\$(list_of a)\" = \"\$(list_of b)\" ]"
if registry put --at "${at[a]}" --id s-9 --address 127.0.0.1:9009 >/dev/null 2>&1; then fail "a wrote"; fi

# A fork: b writes what nobody else has, and is lost; a is promoted without it. When b comes back the later epoch
# holds, and what b had acknowledged stands beside its store.
stop a
stop c
registry put --at "${at[b]}" --id s-6 --address 127.0.0.1:9006 >/dev/null
stop b
start a
until_true "registry promote --at ${at[a]} --epoch 3 >/dev/null 2>&1"
registry put --at "${at[a]}" --id s-5 --address 127.0.0.1:9005 >/dev/null
start b
start c
until_true "[ \"\$(status_of b role)\" = follower ] && [ \"\$(list_of b)\" = \"\$(list_of a)\" ]"
if list_of a | grep -q s-6; then fail "a write of an epoch that is over came back"; fi
aside=$(ls "$work"/b.db.aside-*) || fail "what b acknowledged is nowhere"
registry verify "$aside" >"$work/verified" || fail "$aside is not whole"
grep -aq s-6 "$aside" || fail "$aside lacks what b acknowledged"
printf 'listen = "127.0.0.1:0"\nstore = "%s"\n' "$aside" >"$work/aside.toml"
start aside  # it can be looked at, with a role of its own
at[aside]=$(sed -n 's/^serving at \([^,]*\),.*/\1/p' "$work/aside.said")
list_of aside | grep -q s-6 || fail "what was set aside lacks s-6"

# SIGTERM to the agent: drained, then gone.
kill "${pid[agent]}"
wait "${pid[agent]}" || fail "the agent ended with $?: $(cat "$work/agent.said")"
if list_of a | grep -q s-3; then fail "the agent's entry is still there"; fi

# What makes no sense.
expect2() {
  local status=0
  "$program" "$@" >/dev/null 2>"$work/err" || status=$?
  [ "$status" = 2 ] && [ "$(wc -l <"$work/err")" = 1 ] || fail "'$*' ended with $status: $(cat "$work/err")"
}
expect2 agent register --id s --address nowhere
expect2 agent register --id s --address 127.0.0.1:1 --at nowhere
expect2 agent register --id s --address 127.0.0.1:1 --term-s 0
expect2 registry serve --config "$work/a.toml" --follow nowhere
expect2 registry promote --at "${at[a]}"
sed 's/^others.*/others = ["x"]/' "$work/a.toml" >"$work/bad.toml"
expect2 registry serve --config "$work/bad.toml"
for name in a b c; do kill "${pid[$name]}"; done
for name in a b c; do wait "${pid[$name]}" || fail "$name ended with $?"; done
echo "all of the followers held"
