#!/usr/bin/env bash
# Runs the whole path as separate processes on loopback: the stand-in store,
# control daemons and, in each zone, a caller's proxy and a proxy beside a
# stand-in back end. Applies resources, waits until they are in force, sends a
# call through each zone and prints the answer. Stops only what it started.
#
# usage: scripts/local-mesh.sh [--zones N] [--daemons N] [--faults] [--keep]
#   --zones N    zones (1); with one zone examples/minimal is applied
#   --daemons N  control daemons in each zone (1)
#   --faults     under load, kill a store reader and a relay, pause a reader past
#                its lease, apply a change after each, account for every call
#   --keep       leave everything running until interrupted
set -euo pipefail
cd "$(dirname "$0")/.."

zones=1
daemons=1
faults=false
keep=false
while [ $# -gt 0 ]; do
  case $1 in
    --zones) zones=$2; shift ;;
    --daemons) daemons=$2; shift ;;
    --faults) faults=true ;;
    --keep) keep=true ;;
    *) sed -n '2,13p' "$0" >&2; exit 2 ;;
  esac
  shift
done

work=$(mktemp -d)
declare -A pids=()
started=()

# stop ends the started processes, the latest first, and waits for each.
stop() {
  local index name
  for ((index = ${#started[@]} - 1; index >= 0; index--)); do
    name=${started[index]}
    kill -TERM "${pids[$name]}" 2>/dev/null || true
    kill -CONT "${pids[$name]}" 2>/dev/null || true
  done
  for name in "${started[@]}"; do
    wait "${pids[$name]}" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop EXIT

# start NAME COMMAND... runs a process whose output goes to a file.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids[$name]=$!
  started+=("$name")
}

# crash NAME ends a started process without warning.
crash() {
  kill -KILL "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null || true
  crashed+=" $1 "
}
crashed=""

# pause NAME stops a process from running, resume NAME lets it run again.
pause() {
  kill -STOP "${pids[$1]}"
  crashed+=" $1 "
}
resume() {
  kill -CONT "${pids[$1]}"
  crashed=${crashed/ $1 /}
}

fail() {
  echo "$1" >&2
  exit 1
}

# until_true SECONDS COMMAND... repeats a command until it succeeds.
until_true() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$deadline" ]; then return 1; fi
    sleep 0.05
  done
}

wait_ready() {
  until_true 20 curl -sf --max-time 1 "$2" || { cat "$work/$1.log" >&2; fail "$1 is not ready"; }
}

listens() { (exec 3<>"/dev/tcp/127.0.0.1/$1"); }

# Ports: 17000 the store; 18000 and up three for each daemon (API, stream,
# admin); 17200 and up ten for each zone.
zone_name() { if [ "$1" -eq 1 ]; then echo local; else echo "local-$1"; fi; }
zone_port() { echo $((17200 + ($1 - 1) * 10 + $2)); }
daemon_name() { echo "daemon-$1-$2"; }
daemon_port() { echo $((18000 + ((($1 - 1) * daemons) + $2 - 1) * 3 + $3)); }

seeds_list() {
  local zone number list=""
  for zone in $(seq 1 "$zones"); do
    for number in $(seq 1 "$daemons"); do
      list+="{name: $(daemon_name "$zone" "$number"), zone: $(zone_name "$zone"), address: \"127.0.0.1:$(daemon_port "$zone" "$number" 1)\"}, "
    done
  done
  echo "seeds=[${list%, }]"
}

start_daemon() {
  local zone=$1 number=$2 name
  name=$(daemon_name "$zone" "$number")
  start "$name" "$work/kestreld" --plain-http --name "$name" --zone "$(zone_name "$zone")" \
    --api "127.0.0.1:$(daemon_port "$zone" "$number" 0)" \
    --stream "127.0.0.1:$(daemon_port "$zone" "$number" 1)" \
    --admin "127.0.0.1:$(daemon_port "$zone" "$number" 2)" \
    --store 127.0.0.1:17000 --set "$seeds"
}

# Each zone: 1 caller's listener, 2 inbound listener, 3 and 4 and 5 the rest,
# 6 the back end.
start_zone() {
  local zone=$1 name
  name=$(zone_name "$zone")
  start "backend-$zone" "$work/kestrel-lab" backend --listen "127.0.0.1:$(zone_port "$zone" 6)" \
    --name "echo-$zone" --service echo --zone "$name"
  until_true 10 listens "$(zone_port "$zone" 6)" || fail "back end of zone $name does not listen"
  start "proxy-backend-$zone" "$work/kestrel-proxy" --plain-http --name "proxy-backend-$zone" --zone "$name" \
    --outbound "127.0.0.1:$(zone_port "$zone" 3)" --inbound "127.0.0.1:$(zone_port "$zone" 2)" \
    --admin "127.0.0.1:$(zone_port "$zone" 4)" --set "$seeds" --set 'node.services=[echo]' \
    --set "backend={service: echo, endpoint: echo-$zone, address: \"127.0.0.1:$(zone_port "$zone" 6)\", healthPath: /health}"
  start "proxy-caller-$zone" "$work/kestrel-proxy" --plain-http --name "proxy-caller-$zone" --zone "$name" \
    --outbound "127.0.0.1:$(zone_port "$zone" 1)" --admin "127.0.0.1:$(zone_port "$zone" 5)" \
    --set "$seeds" --set 'node.services=[caller]'
}

# write_resources FILE writes a service with one endpoint in each zone.
write_resources() {
  local zone
  {
    echo "apiVersion: kestrelstream/v1"
    echo "kind: Service"
    echo "metadata: {name: echo}"
    echo "spec:"
    echo "  slots: 20"
    echo "  connections: 130"
    echo "  queue: 40"
    echo "  deadline: 2s"
    echo "  endpoints:"
    for zone in $(seq 1 "$zones"); do
      echo "  - {name: echo-$zone, address: \"127.0.0.1:$(zone_port "$zone" 2)\", zone: $(zone_name "$zone")}"
    done
    echo "---"
    echo "apiVersion: kestrelstream/v1"
    echo "kind: Route"
    echo "metadata: {name: echo}"
    echo 'spec: {host: echo.example, pathPrefix: /, methods: [GET, POST], service: echo, consumers: ["*"]}'
  } >"$1"
}

# living_api prints the API address of a daemon that was not killed.
living_api() {
  local zone number
  for zone in $(seq "$zones" -1 1); do
    for number in $(seq 1 "$daemons"); do
      if [[ $crashed != *" $(daemon_name "$zone" "$number") "* ]]; then
        echo "127.0.0.1:$(daemon_port "$zone" "$number" 0)"
        return
      fi
    done
  done
}

control() { "$work/kestrelctl" --server "http://$(living_api)" "$@"; }

# find_daemon PATTERN prints the first living daemon whose admin page of its
# relay matches.
find_daemon() {
  local zone number
  for zone in $(seq 1 "$zones"); do
    for number in $(seq 1 "$daemons"); do
      if [[ $crashed == *" $(daemon_name "$zone" "$number") "* ]]; then continue; fi
      if curl -sf --max-time 1 "http://127.0.0.1:$(daemon_port "$zone" "$number" 2)/relay" | tr -d ' \n' | grep -Eq "$1"; then
        daemon_name "$zone" "$number"
        return
      fi
    done
  done
  return 1
}

milliseconds() { date +%s%3N; }

# in_force VERSION succeeds when every proxy has the version in force.
in_force() {
  local zone port
  for zone in $(seq 1 "$zones"); do
    for port in 4 5; do
      curl -sf --max-time 1 "http://127.0.0.1:$(zone_port "$zone" "$port")/applied" |
        grep -q "\"version\": $1," || return 1
    done
  done
}

# change_and_wait N applies a changed deadline and waits until it is in force
# at every proxy, then until the status of the resource API says so.
change_and_wait() {
  local before enforced known version
  write_resources "$work/changed.yaml"
  sed -i "s/deadline: 2s/deadline: 2${1}00ms/" "$work/changed.yaml"
  before=$(milliseconds)
  version=$(control apply -f "$work/changed.yaml" | sed -n 's/^accepted at version \([0-9]*\).*/\1/p')
  until_true 10 in_force "$version" || fail "version $version is not in force at every proxy within 10 s"
  enforced=$(milliseconds)
  control wait --version "$version" --interval 50ms --timeout 40s >"$work/wait.txt" || { cat "$work/wait.txt"; fail "the status does not say so"; }
  known=$(milliseconds)
  echo "version $version in force at every proxy $((enforced - before)) ms after kestrelctl was called; the status says so after $((known - before)) ms"
}

run_faults() {
  local urls=() backends=() zone victim loader
  for zone in $(seq 1 "$zones"); do
    urls+=(--url "http://127.0.0.1:$(zone_port "$zone" 1)/work")
    backends+=(--backend "http://127.0.0.1:$(zone_port "$zone" 6)")
  done
  echo "load: 200 calls a second through every zone's caller proxy"
  "$work/kestrel-lab" load "${urls[@]}" "${backends[@]}" --host echo.example --rate 200 --calls 12000 \
    --method POST >"$work/load.txt" 2>&1 &
  loader=$!
  change_and_wait 1
  # A reader that dies leaves its slot to the next candidate.
  victim=$(find_daemon '"reader":true') || fail "no daemon holds a reader slot"
  echo "killing $victim, which holds a store reader slot"
  crash "$victim"
  change_and_wait 2
  victim=$(find_daemon '"reader":false.*"sessions":[1-9]') || fail "no daemon is a relay only"
  echo "killing $victim, which relays to children"
  crash "$victim"
  change_and_wait 3
  # Its lease lapses while it is paused and still believes in it.
  victim=$(find_daemon '"reader":true') || fail "no daemon holds a reader slot"
  echo "pausing $victim, which holds a store reader slot, past its lease"
  pause "$victim"
  change_and_wait 4
  sleep 8
  resume "$victim"
  echo "$victim runs again"
  change_and_wait 5
  wait "$loader" || { cat "$work/load.txt"; fail "the load generator found calls lost or doubled"; }
  cat "$work/load.txt"
}

echo "building"
go build -o "$work/" ./cmd/...
seeds=$(seeds_list)

start store "$work/kestrel-lab" store --listen 127.0.0.1:17000
until_true 10 listens 17000 || fail "the store does not listen"
for zone in $(seq 1 "$zones"); do
  for number in $(seq 1 "$daemons"); do start_daemon "$zone" "$number"; done
  start_zone "$zone"
done
for zone in $(seq 1 "$zones"); do
  for number in $(seq 1 "$daemons"); do
    wait_ready "$(daemon_name "$zone" "$number")" "http://127.0.0.1:$(daemon_port "$zone" "$number" 2)/ready"
  done
done

resources=examples/minimal/resources
if [ "$zones" -gt 1 ]; then
  resources=$work/resources.yaml
  write_resources "$resources"
fi
echo "applying ${resources#"$work/"}"
control apply -f "$resources"
for zone in $(seq 1 "$zones"); do
  wait_ready "proxy-caller-$zone" "http://127.0.0.1:$(zone_port "$zone" 5)/ready"
  wait_ready "proxy-backend-$zone" "http://127.0.0.1:$(zone_port "$zone" 4)/ready"
done
for zone in $(seq 1 "$zones"); do
  echo "calling echo.example through the caller's proxy of zone $(zone_name "$zone")"
  curl -sS --fail-with-body -i --max-time 5 -H 'Host: echo.example' "http://127.0.0.1:$(zone_port "$zone" 1)/hello" |
    grep -E '^(HTTP|Lab-Backend)' || fail "the call failed"
done
if $faults; then run_faults; fi

# Summaries of the zones are combined for up to a second on their way.
in_all_zones() { [ "$(control status | grep -c '^local')" -eq "$zones" ]; }
until_true 10 in_all_zones || true
control status

if $keep; then
  echo "running until interrupted; logs in $work"
  echo "try: $work/kestrelctl --server http://$(living_api) get services"
  echo "     curl -H 'Host: echo.example' http://127.0.0.1:$(zone_port 1 1)/hello"
  wait
fi
