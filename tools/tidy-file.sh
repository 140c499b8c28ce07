#!/usr/bin/env bash
# Runs clang-tidy over one source file. The precompiled header is GCC's, which clang cannot read, so its flags are left out.
set -euo pipefail
includes=(-I. -Iinclude -Isrc -Iplatform -isystem schema/generated -isystem /usr/include/evhtp)
if ! output=$(clang-tidy --quiet "$1" -- -std=c++20 "${includes[@]}" 2>/dev/null); then
    printf '%s\n' "$output"
    exit 1
fi
