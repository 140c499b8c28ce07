#!/usr/bin/env bash
# Runs clang-tidy on one source file. The build's flags are not used, since clang cannot read the GCC precompiled header.
set -euo pipefail
includes=(-I. -Iinclude -Isrc -Iplatform -isystem schema/generated -isystem /usr/include/evhtp)
if ! output=$(clang-tidy --quiet "$1" -- -std=c++20 "${includes[@]}" 2>/dev/null); then
    printf '%s\n' "$output"
    exit 1
fi
