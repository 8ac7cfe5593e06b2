#!/usr/bin/env bash
# Plays the days under deploy/days on site files with the users' bench, and
# fails when one breaks a rule. Usage: scripts/play-days.sh BENCH SITE...
set -euo pipefail
bench=${1:?usage: scripts/play-days.sh BENCH SITE...}
shift
cd "$(dirname "$0")/.."
broken=0
for site in "$@"; do
  for day in deploy/days/*.toml; do
    output=$("$bench" run "$site" "$day" 2>&1) || true
    if unknown=$(grep -oE 'contract [a-z]+ is not open' <<<"$output"); then
      printf '%s %s passed over: %s\n' "$(basename "$site" .toml)" "$(basename "$day" .toml)" "$unknown"
      continue
    fi
    line=$(grep -E "^$(basename "$day" .toml | cut -c1-20)" <<<"$output" | head -1 || true)
    printf '%s %s\n' "$(basename "$site" .toml)" "${line:-no result for $day: $(head -3 <<<"$output" | tr '\n' ' ')}"
    if [ -z "$line" ] || grep -q BROKEN <<<"$output"; then
      broken=$((broken + 1))
      grep -A8 'that is wrong' <<<"$output" || true
    fi
  done
done
printf '%d days broken or not played\n' "$broken"
[ "$broken" -eq 0 ]
