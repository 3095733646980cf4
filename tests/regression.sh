#!/bin/sh
# The benches' panels in turn, each by its name; stops at the first that fails, naming site, seed and days. Needs
# the kit and a free machine, and is no part of .ci/run. Usage, from the root: tests/regression.sh KIT [SEED ...]
# The seeds are those of the short days (panel `brink`), played on both deployments and on the variants; 1 to 3
# if none is given.
set -eu
[ $# -ge 1 ] && [ -d "$1" ] || { echo "regression: usage: tests/regression.sh KIT [SEED ...]" >&2; exit 2; }
kit=$1
shift
[ $# -gt 0 ] || set -- 1 2 3
for seed in "$@"; do
  case $seed in '' | *[!0-9]*) echo "regression: no seed: $seed" >&2; exit 2 ;; esac
done
mass=$kit/more/mass/bin/lbreal
ops=$kit/more/ops/bin/lbreal
fleet=$kit/more/system/bin/fleetbench
systems="$kit/more/system/sites/lyttehjul.toml $kit/more/system/sites/oamd-kumasi.toml"
site=$kit/sites/dk-catchup.toml
other=$kit/more/mass/other/berkel-orders.toml
sites="$site $other"
for folder in deploy/sites/*/; do
  laid=$(tools/lay-site "$kit" "$(basename "$folder")") || exit 2
  sites="$sites $laid"
done
for needed in "$mass" "$ops" "$kit/bin/lbsim" "$kit/more/bin/lbreal" "$fleet"; do
  [ -x "$needed" ] || { echo "regression: no whole kit: $needed cannot be run" >&2; exit 2; }
done
out=$(mktemp)
trap 'rm -f "$out"' EXIT

# panel WHAT GATE COMMAND...: GATE is `gate` where the bench's last words have to be that its gate is passed
panel() {
  name=$1
  gate=$2
  shift 2
  echo "== $name"
  status=0
  "$@" --why "Regression test: $name" >"$out" 2>&1 || status=$?
  cat "$out"
  bad=$(grep -E 'BROKEN|FAULT|GATE failed|crashed' "$out" | tr '\n' ';') || true
  if [ "$gate" = gate ] && ! grep -qE '^GATE passed( \(.*\))?$' "$out"; then bad="no 'GATE passed'; $bad"; fi
  if [ "$status" != 0 ] || [ -n "$bad" ]; then
    echo "$name: failed (status $status): $bad"
    exit 1
  fi
}

for one in $systems; do
  panel "router and placer, $(basename "$one" .toml)" gate "$fleet" score "$one"
  panel "router and placer, 40 days hunted, $(basename "$one" .toml)" - "$fleet" hunt "$one" --days 40
  for day in tests/days/"$(basename "$one" .toml)"-*.toml; do
    panel "router and placer, $(basename "$day" .toml)" - "$fleet" run "$one" "$day"
  done
done
for one in $sites; do
  for seed in "$@"; do
    panel "short days, $(basename "$one" .toml), seed $seed" gate "$mass" score "$one" --panel brink --seed "$seed"
  done
done
for one in $sites; do
  panel "full fleet, $(basename "$one" .toml)" gate "$mass" score "$one" --quick
done
panel "module, dk-catchup" - "$kit/bin/lbsim" score "$site" --quick
panel "ops days, dk-catchup" - "$ops" score "$site" --quick
panel "earlier days, dk-catchup" - "$mass" score "$site" --panel later --quick
panel "larger fleet, dk-catchup" - "$kit/more/bin/lbreal" score "$site" --quick
echo "all panels passed"
