#!/usr/bin/env bash
# Checks the formatting and runs clang-tidy on all sources except generated ones, or only on the given files.
set -euo pipefail
cd "$(dirname "$0")/.."
if (($# > 0)); then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '^schema/generated/')
fi
clang-format --dry-run --Werror "${files[@]}"
printf '%s\n' "${files[@]}" | { grep '\.cpp$' || true; } | xargs -r -P "$(nproc)" -n 1 tools/tidy-file.sh
