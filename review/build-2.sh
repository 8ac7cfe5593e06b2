#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start. It runs after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/fleet ./review/_fleet
# Those of review/8, and of what review/_probe/seen tells.
go build -o target/review/probe ./review/_probe
