#!/bin/sh
# The benches' panels in turn, each by its name; stops at the first that fails. Needs the kit and a free machine,
# and is no part of .ci/run. Usage, from the root: tests/regression.sh KIT
set -eu
kit=$1
site=$kit/sites/dk-catchup.toml
out=$(mktemp)
trap 'rm -f "$out"' EXIT

panel() {
  name=$1
  shift
  echo "== $name"
  "$@" --why "Regression test: $name" >"$out" 2>&1 || { cat "$out"; exit 1; }
  cat "$out"
  if grep -qE 'BROKEN|FAULT|GATE failed|crashed' "$out"; then
    echo "$name: failed"
    exit 1
  fi
}

panel "module" "$kit/bin/lbsim" score "$site" --quick
panel "ops days" "$kit/more/ops/bin/lbreal" score "$site" --quick
panel "earlier days" "$kit/more/ops/bin/lbreal" score "$site" --panel later --quick
panel "larger fleet" "$kit/more/bin/lbreal" score "$site" --quick
panel "full fleet" "$kit/more/mass/bin/lbreal" score "$site" --quick
grep -q 'GATE passed' "$out" || { echo "full fleet: no 'GATE passed'"; exit 1; }
echo "all panels passed"
