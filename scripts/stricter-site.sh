#!/usr/bin/env bash
# Copies the folder of a site file and sets the switches of the stricter accounting in
# the copy. The copy lies outside the repository and is not committed.
# Usage: scripts/stricter-site.sh SITE FOLDER; prints the path of the copied site file.
set -euo pipefail
site=${1:?usage: scripts/stricter-site.sh SITE FOLDER}
folder=${2:?usage: scripts/stricter-site.sh SITE FOLDER}
mkdir -p "$folder"
cp "$(dirname "$site")"/* "$folder/"
copied="$folder/$(basename "$site")"
chmod u+w "$copied"
sed -i -e '/^\[timing\]/a truthful = true' \
  -e '/^\[bounds\]/a even = true\ncloses = true\nattends = true' "$copied"
[ "$(grep -cE '^(truthful|even|closes|attends) = true' "$copied")" -eq 4 ]
printf '%s\n' "$copied"
