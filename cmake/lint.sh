#!/usr/bin/env bash
# Lints one source file, unless the same source and preprocessed text already passed with the same
# checks and the same version of clang-tidy.
# Usage: lint.sh BUILD_DIR FILE
set -euo pipefail
build=$1
file=$2
cache=${XDG_CACHE_HOME:-$HOME/.cache}/peridotwheel-lint
mkdir -p "$cache"
key=$( { cat .clang-tidy; clang-tidy --version; \
    clang++ -std=c++17 -E -P -Iinclude -Iunittests -Ilib/peer/gen -I. "$file" 2>/dev/null || cat "$file"; \
    cat "$file"; } | sha256sum | cut -d' ' -f1)
[ -e "$cache/$key" ] && exit 0
if ! out=$(clang-tidy -p "$build" --quiet "$file" 2>&1); then
    printf '%s\n' "$out" | grep -vE 'warnings? (generated|treated)' >&2
    echo "lint failed: $file" >&2
    exit 1
fi
touch "$cache/$key"
