#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/standin-2/out/cases ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec review/standin-2/out/cases blank-in-name review/10
