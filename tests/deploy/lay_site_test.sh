#!/bin/sh
# tools/lay-site with a kit made up here, with one that is not whole, and for a variant that is not there.
# Usage: lay_site_test.sh PROJECT
set -eu
project=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
# On a copy: the project's own folder may be laid already.
mkdir -p "$work/project/tools" "$work/kit/sites"
cp "$project/tools/lay-site" "$work/project/tools/"
cp -r "$project/deploy" "$work/project/"
rm -f "$work"/project/deploy/sites/*/*.json "$work"/project/deploy/sites/*/unlock.txt
lay="$work/project/tools/lay-site"

# says STATUS WORDS COMMAND...: one line on standard error that holds WORDS, nothing else, and that status
says() {
  wanted=$1 words=$2
  shift 2
  status=0
  "$@" >"$work/out" 2>"$work/err" || status=$?
  [ "$status" = "$wanted" ] || { echo "$*: status $status"; exit 1; }
  [ ! -s "$work/out" ] || { echo "$*: wrote to standard output"; exit 1; }
  [ "$(wc -l <"$work/err")" = 1 ] && grep -q "$words" "$work/err" || { echo "$*: $(cat "$work/err")"; exit 1; }
}

variants=0
for folder in "$work"/project/deploy/sites/*/; do
  name=$(basename "$folder")
  variants=$((variants + 1))
  printf '{}' >"$work/kit/sites/real.json"
  printf '{"proto":"http"}' >"$work/kit/sites/wire.json"
  rm -f "$work/kit/sites/unlock.txt"
  says 2 "no whole kit" "$lay" "$work/kit" "$name"
  [ ! -e "$folder/real.json" ] && [ ! -e "$folder/wire.json" ] || { echo "$name: laid from half a kit"; exit 1; }
  echo unlock >"$work/kit/sites/unlock.txt"
  [ "$("$lay" "$work/kit" "$name")" = "$work/project/deploy/sites/$name/$name.toml" ] || exit 1
  for file in real.json wire.json unlock.txt; do
    cmp "$work/kit/sites/$file" "$folder/$file"
    git -C "$project" check-ignore -q "deploy/sites/$name/$file" || { echo "$name: git sees $file"; exit 1; }
  done
done
[ "$variants" -ge 2 ] || { echo "$variants variants"; exit 1; }
says 2 "no variant" "$lay" "$work/kit" elsewhere
says 2 "no whole kit" "$lay" "$work/nowhere" "$name"
says 2 "usage" "$lay" "$work/kit"
