#!/bin/sh
# Exits with 1 if EXPOSURE was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the store turns no machine away.
cd "$(dirname "$0")/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
[ -n "$run" ] && [ -x target/review-2/fleet ] || exit 2
exec target/review-2/fleet -case rollout -command "$run" -record review/5/record.txt
