#!/usr/bin/env bash
# Installs dependencies, builds, and runs a scenario on the emulated platform with real balancers.
set -euo pipefail
cd "$(dirname "$0")/.."
scenario=${1:?usage: tools/emulate.sh SCENARIO.ini [--faults=planned|sparse|dense|by-seed] [--seed=N] [--runs=N]}
shift
tools/install-packages.sh
cmake --preset release >/dev/null
cmake --build build/release -j "$(nproc)" --target poplarroad-emulator poplarroad-edge
build/release/poplarroad-emulator --scenario="$scenario" "$@"
