#!/usr/bin/env bash
# Checks that each request which a played day's output names as not served is
# explained by the logs in the same output: prints its story, and fails when one
# has none. A request that met no process has no line of its own: it is explained
# when that node's process ended before or started after it. Usage:
# scripts/explain-unserved.sh OUTPUT
set -euo pipefail
output=${1:?usage: scripts/explain-unserved.sh OUTPUT}
cd "$(dirname "$0")/.."
go build -o bin/kestrelctl ./cmd/kestrelctl

# away NODE SECONDS tells whether the node's process was not there at that time.
away() {
  awk -v node="$1" -v at="$2" '
    $2 == node && /"message":"start"/ && $1 + 0 > at { found = 1 }
    $2 == node && /"message":"stop ends"/ && $1 + 0 <= at { found = 1 }
    END { exit !found }' "$output"
}

missing=0
while read -r seconds request node how; do
  printf '== %s\n' "$request"
  if [ "$how" = 'no connection' ] && away "$node" "$seconds"; then
    printf '%s was away at %s s\n' "$node" "$seconds"
    continue
  fi
  bin/kestrelctl request "$request" "$output" || missing=$((missing + 1))
done < <(awk -F"'" '
  /^not served, last try/ { how = $2; next }
  how != "" && /request [0-9a-f]+ .* sent to / {
    split($0, word, " "); match($0, /sent to [^ ]+/)
    print word[1], word[4], substr($0, RSTART + 8, RLENGTH - 8), how
  }
  { how = "" }' "$output" | sort -u)
printf '%d not explained\n' "$missing"
[ "$missing" -eq 0 ]
