#!/usr/bin/env bash
# Runs the benchmarks of docs/CAPACITY.md and writes the results to one JSON file and the tables of the page.
# Usage: tools/capacity.sh [BUILD_DIRECTORY [RESULT_FILE]]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build/release}
result=${2:-docs/capacity.json}
parts=$(mktemp -d)
trap 'rm -r "$parts"' EXIT
for name in membership summaries configuration flowtable requests; do
    "$build/benchmark/benchmark-$name" >"$parts/$name.json"
done
python3 tools/capacity.py collect "$parts" "$result"
python3 tools/capacity.py page "$result" docs/CAPACITY.md
