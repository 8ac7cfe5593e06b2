#!/usr/bin/env bash
# Runs the whole system split over processes on loopback: the stand-in store,
# the control daemons, a few real proxies with back ends, and processes that
# share the hollow proxies. Measures each process and stops only what it started.
#
# usage: scripts/scale-run.sh [--processes N] [--first-port N] [--measure "FLAGS"] [FLAGS OF kestrel-lab scale plan]
#   --measure "FLAGS"  flags of kestrel-lab scale measure, e.g. "--json --changes 50"
set -euo pipefail
cd "$(dirname "$0")/.."

measure=()
plan=()
while [ $# -gt 0 ]; do
  case $1 in
    --measure) read -ra measure <<<"$2"; shift 2 ;;
    -h | --help) sed -n '2,8p' "$0" >&2; exit 2 ;;
    *) plan+=("$1"); shift ;;
  esac
done

work=$(mktemp -d)
started=()

# stop ends the started processes and waits for each.
stop() {
  local pid
  for pid in "${started[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${started[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop EXIT

# start NAME COMMAND... runs a process whose output goes to a file.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  started+=("$!")
  echo "$name $!" >>"$work/pids"
}

go build -o "$work/" ./cmd/kestrel-lab ./cmd/kestreld ./cmd/kestrel-proxy
"$work/kestrel-lab" scale plan "${plan[@]}" "$work"
while read -r name program arguments; do
  # Names, addresses and file names of the plan hold no spaces.
  # shellcheck disable=SC2086
  start "$name" "$work/$program" $arguments
done <"$work/commands"
"$work/kestrel-lab" scale measure "${measure[@]}" "$work"
