#!/usr/bin/env bash
# Installs dependencies, builds, and runs both example deployments with real processes under load.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install-packages.sh
cmake --preset release >/dev/null
cmake --build build/release -j "$(nproc)"
python3 tools/runner.py "$@"
