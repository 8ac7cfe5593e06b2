#!/usr/bin/env bash
# Checks that each request which a played day's output names as not served is
# explained by the logs in the same output: prints its story, and fails when one
# has none. Usage: scripts/explain-unserved.sh OUTPUT
set -euo pipefail
output=${1:?usage: scripts/explain-unserved.sh OUTPUT}
cd "$(dirname "$0")/.."
go build -o bin/kestrelctl ./cmd/kestrelctl
missing=0
while read -r request; do
  printf '== %s\n' "$request"
  bin/kestrelctl request "$request" "$output" || missing=$((missing + 1))
done < <(grep -A1 '^not served' "$output" | grep -o 'request [0-9a-f]\{16\}' | cut -d' ' -f2 | sort -u)
printf '%d not explained\n' "$missing"
[ "$missing" -eq 0 ]
