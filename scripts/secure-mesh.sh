#!/usr/bin/env bash
# Runs examples/minimal as separate processes with mutual TLS and sealed
# secrets, and rotates the root as docs/operators/security.md says, while calls
# go through. Fails when a call is not answered, when a step drops a stream
# before the old root is retired, or when the old certificate still opens a
# door after that. Stops only what it started.
#
# usage: scripts/secure-mesh.sh [--port N]
#   --port N   first of eleven ports used on loopback (19400)
set -euo pipefail
cd "$(dirname "$0")/.."

port=19400
while [ $# -gt 0 ]; do
  case $1 in
    --port) port=$2; shift ;;
    *) sed -n '2,9p' "$0" >&2; exit 2 ;;
  esac
  shift
done

work=$(mktemp -d)
pids=()
stop() {
  local index
  for ((index = ${#pids[@]} - 1; index >= 0; index--)); do
    kill -TERM "${pids[index]}" 2>/dev/null || true
  done
  wait
  rm -rf "$work"
}
trap stop EXIT

start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

fail() {
  echo "$1" >&2
  tail -n 5 "$work"/*.log >&2
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

at() { echo "127.0.0.1:$((port + $1))"; }
ctl() { "$work/kestrelctl" "$@"; }

# Certificates are made in keys/ and handed out to run/, where processes read.
sign() {
  ctl keys node -d "$work/keys" "$@" --zone local --machine control-1 --control
  ctl keys node -d "$work/keys" "$@" --zone local --machine caller-1 --service caller
  ctl keys node -d "$work/keys" "$@" --zone local --machine echo-1 --service echo
  ctl keys operator -d "$work/keys" "$@" --name ada
}
# The key is put in place first; a process that reads in between keeps its own.
hand_out() { cp "$work"/keys/*-key.pem "$work/run/" && cp "$work"/keys/*.pem "$work/run/"; }

identity_of() {
  echo "identity={certificateFile: $work/run/$1.pem, keyFile: $work/run/$1-key.pem, rootsFile: $work/run/roots.pem, reloadInterval: 1s}"
}

reloads() { grep -c '"credentials reloaded"' "$work/$1.log" || true; }
reloaded() { for name in control-1 caller-1 echo-1; do [ "$(reloads "$name")" -ge "$1" ] || return 1; done; }
hand_out_and_wait() {
  local before
  before=$(reloads control-1)
  hand_out
  until_true 10 reloaded $((before + 1)) || fail "not every process took over the new files"
}

calls() {
  local answered=0 missed=0
  while [ ! -e "$work/enough" ]; do
    if curl -sf --max-time 3 -o /dev/null -H 'Host: echo.example' "http://$(at 5)/"; then
      answered=$((answered + 1))
    else
      missed=$((missed + 1))
    fi
  done
  echo "$answered $missed" >"$work/counted"
}

ended_streams() { cat "$work"/control-1.log | grep -c '"stream ended"' || true; }

mkdir "$work/run"
go build -o "$work/" ./cmd/kestreld ./cmd/kestrel-proxy ./cmd/kestrelctl ./cmd/kestrel-lab
ctl keys root -d "$work/keys" >/dev/null
sign >/dev/null
hand_out
ctl keys sealing >"$work/run/sealing"
cat >"$work/ctl.yaml" <<SETTINGS
server: $(at 1)
identity: {certificateFile: $work/run/ada.pem, keyFile: $work/run/ada-key.pem, rootsFile: $work/run/roots.pem}
SETTINGS

seeds="seeds=[{name: control-1, zone: local, address: \"$(at 2)\"}]"
start store "$work/kestrel-lab" store --listen "$(at 0)"
start backend "$work/kestrel-lab" backend --listen "$(at 4)" --name echo-1 --service echo --zone local
start control-1 "$work/kestreld" --name control-1 --zone local --api "$(at 1)" --stream "$(at 2)" --admin "$(at 3)" \
  --store "$(at 0)" --set "$(identity_of control-1)" --set "sealing.identitiesFile=$work/run/sealing"
start caller-1 "$work/kestrel-proxy" --name caller-1 --zone local --outbound "$(at 5)" --admin "$(at 6)" \
  --set "$seeds" --set "$(identity_of caller-1)" --set 'node.services=[caller]'
start echo-1 "$work/kestrel-proxy" --name echo-1 --zone local --outbound "$(at 7)" --inbound "$(at 8)" --admin "$(at 9)" \
  --set "$seeds" --set "$(identity_of echo-1)" --set 'node.services=[echo]' \
  --set "backend={service: echo, endpoint: echo-1, address: \"$(at 4)\", healthPath: /health, labels: {service: echo}}"

cat >"$work/echo.yaml" <<RESOURCES
apiVersion: kestrelstream/v1
kind: Service
metadata: {name: echo}
spec:
  slots: 20
  connections: 130
  deadline: 2s
  selector: {labels: {service: echo}}
---
apiVersion: kestrelstream/v1
kind: Secret
metadata: {name: echo-key}
spec: {header: Authorization, value: planted-value}
---
apiVersion: kestrelstream/v1
kind: Route
metadata: {name: echo}
spec: {host: echo.example, pathPrefix: /, service: echo, secret: echo-key, consumers: [caller]}
RESOURCES
until_true 20 ctl -c "$work/ctl.yaml" status || fail "the resource API does not answer an operator"
ctl -c "$work/ctl.yaml" apply -f "$work/echo.yaml" --wait --timeout 20s >/dev/null || fail "the first change is not in force"
until_true 20 curl -sf -o /dev/null -H 'Host: echo.example' "http://$(at 5)/" || fail "a call is not answered"

calls &
caller=$!
streams=$(ended_streams)
echo "step 1 and 2: a second root is believed by every process"
ctl keys root -d "$work/keys" --name root-2 >/dev/null
hand_out_and_wait
echo "step 3: every certificate is signed anew"
cp "$work/run/ada.pem" "$work/ada-old.pem"
cp "$work/run/ada-key.pem" "$work/ada-old-key.pem"
sign --root root-2 --replace >/dev/null
hand_out_and_wait
ctl -c "$work/ctl.yaml" status
[ "$(ended_streams)" = "$streams" ] || fail "a stream was dropped before the old root was retired"
echo "step 5: the old root is retired"
ctl keys bundle -d "$work/keys" --root root-2 >/dev/null
hand_out_and_wait
sed -i "s/value: planted-value/value: another-value/" "$work/echo.yaml"
ctl -c "$work/ctl.yaml" apply -f "$work/echo.yaml" --wait --timeout 20s >/dev/null || fail "a change after the rotation is not in force"
sed "s|$work/run/ada|$work/ada-old|g" "$work/ctl.yaml" >"$work/old.yaml"
if ctl -c "$work/old.yaml" status >/dev/null 2>&1; then fail "the old certificate is still believed"; fi
touch "$work/enough"
wait "$caller"
read -r answered missed <"$work/counted"
ctl -c "$work/ctl.yaml" history
if grep -l 'planted-value\|another-value' "$work"/*.log; then fail "a secret value shows in a log"; fi
echo "calls answered: $answered, not answered: $missed"
[ "$missed" -eq 0 ] && [ "$answered" -gt 0 ] || fail "calls were not answered"
