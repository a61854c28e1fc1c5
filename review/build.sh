#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]*/case.cc; do
    [ -f "$source" ] || continue
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "bin/case-$(dirname "$source")" "$source"
done
