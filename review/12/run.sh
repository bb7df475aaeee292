#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 runs it
# without the disruption. Needs the build of the deploy file and of review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/release/review-stand-ins-3
[ -x "$program" ] && [ -x target/release/chivewheel-edge ] || exit 2
exec "$program" cold review/12
