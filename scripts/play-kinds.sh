#!/usr/bin/env bash
# Plays every kind of trouble of scripts/kinds.txt, each in a day of its own, on
# a site file with the users' bench: twice in the day, the first time at second 0,
# with changes of the configuration near it, and a full restart at the end. Fails
# when a rule is broken. With a pattern only the lines that match it are played.
# Usage: scripts/play-kinds.sh BENCH SITE [JOBS [PATTERN]]
set -euo pipefail
bench=${1:?usage: scripts/play-kinds.sh BENCH SITE [JOBS [PATTERN]]}
site=${2:?usage: scripts/play-kinds.sh BENCH SITE [JOBS [PATTERN]]}
jobs=${3:-4}
pattern=${4:-.}
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
number=0
while read -r section entry; do
  number=$((number + 1))
  planned=; sudden=
  if [ "$section" = plan ]; then planned="{ at = 0.0, $entry }, { at = 14.0, $entry },"; fi
  if [ "$section" = faults ]; then sudden="{ at = 0.0, $entry }, { at = 14.0, $entry },"; fi
  cat >"$folder/$(printf 'kind-%02d.toml' $number)" <<DAY
# $section $entry
[[day]]
name = "$(printf 'kind-%02d' $number)"
slot = "trouble"
seed = $((2000 + number))
closing = { kind = "kill_all", down_s = 0.6 }
plan = [ $planned { at = 0.5, kind = "config_change", how = "route" }, { at = 15.0, kind = "config_storm", for_s = 3.0, gap_s = 0.25 } ]
faults = [ $sudden ]
DAY
done < <(grep -v '^#' scripts/kinds.txt | grep -E "$pattern")
play() {
  output=$("$1" run "$2" "$3" 2>&1) || true
  line=$(grep -E '^kind-[0-9]+ ' <<<"$output" | head -1 || true)
  what=$(sed -n '1s/^# //p' "$3")
  if [ -z "$line" ]; then
    printf 'NOT PLAYED %s: %s\n' "$what" "$(tail -1 <<<"$output")"
  else
    printf '%s | %s\n' "$what" "$line"
  fi
}
export -f play
find "$folder" -name 'kind-*.toml' | sort | xargs -P "$jobs" -I{} bash -c 'play "$@"' _ "$bench" "$site" {} >"$folder/results"
sort "$folder/results"
broken=$(grep -c BROKEN "$folder/results" || true)
printf '%d of %d days broken\n' "$broken" "$(grep -vc 'NOT PLAYED' "$folder/results")"
[ "$broken" -eq 0 ]
