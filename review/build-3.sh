#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start beside the product: Python stand-ins, which only need to be compiled.
set -euo pipefail
cd "$(dirname "$0")/standins-3"
PYTHONDONTWRITEBYTECODE=1 python3 -c "compile(open('standins.py').read(), 'standins.py', 'exec')"
