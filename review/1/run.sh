#!/usr/bin/env bash
# Exits with 1 if a request that may run once at most ran twice, or ran and was refused as not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/peridotwheel-gateway ] && [ -x review/bin/case-1 ] || exit 2
exec timeout -k 2 118 review/bin/case-1 review/1
