#!/usr/bin/env bash
# Checks the stand-ins of the cases, which are Python programs and need no build.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins.py */case.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1], encoding='utf-8').read(), sys.argv[1])" "$file"
done
