#!/usr/bin/env bash
# Builds the stand-ins of the review's cases, and the sidecar with the line of deploy/system.toml where
# it is missing. Needs no network after a build of the project.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/kestrel-sidecar ]; then
  go build -ldflags=-linkmode=external -o target/ ./cmd/kestrel-sidecar
fi
go build -o target/review-standin ./review/_standin
