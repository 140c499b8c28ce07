#!/usr/bin/env bash
# Runs the property tests of all decoders under AddressSanitizer and UndefinedBehaviorSanitizer on many random inputs.
# Arguments: number of inputs for each property, default 20000; first seed, default the clock, printed.
set -euo pipefail
cd "$(dirname "$0")/.."
inputs=${1:-20000}
seed=${2:-$(date +%s)}
if ! [[ $inputs =~ ^[1-9][0-9]*$ && $seed =~ ^[0-9]+$ ]]; then
    echo "usage: tools/fuzz.sh [INPUTS [SEED]], both whole numbers" >&2
    exit 2
fi
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
export RC_PARAMS="seed=$seed max_success=$inputs"
tests=(hostileinput_tests hostileplatform_tests oddentries_tests platformadapter_tests wire_tests wirefleet_tests)
cmake --preset asan >/dev/null
cmake --build build/asan -j 4 --target "${tests[@]}"
echo "$inputs inputs for each property, seed $seed"
for test in "${tests[@]}"; do
    echo "$test"
    "build/asan/tests/$test"
done
