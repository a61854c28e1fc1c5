#!/usr/bin/env bash
# Runs the tests of a build folder. Tests that KNOWN-RED.txt lists by lines "ctest NAME: ..." are
# run and reported, but do not fail the check.
# Usage: run_tests.sh BUILD_DIR JOBS
set -euo pipefail
build=$1
jobs=$2
pattern=$(sed -n 's/^ctest \([^ :]*\): .*/\1/p' KNOWN-RED.txt | sed 's/[.]/\\./g' | paste -s -d '|')
if [ -z "$pattern" ]; then
    exec ctest --test-dir "$build" --output-on-failure -j "$jobs" --no-tests=error
fi
echo "== tests listed in KNOWN-RED.txt, whose result does not count"
ctest --test-dir "$build" --output-on-failure -j "$jobs" --no-tests=error -R "^($pattern)\$" || true
echo "== all other tests"
ctest --test-dir "$build" --output-on-failure -j "$jobs" --no-tests=error -E "^($pattern)\$"
