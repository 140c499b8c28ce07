#!/usr/bin/env bash
# Builds with a sanitizer and runs the tests: all of them under AddressSanitizer and UndefinedBehaviorSanitizer, the
# multithreaded ones under ThreadSanitizer. Arguments: "asan", "tsan" or both; none means both.
set -euo pipefail
cd "$(dirname "$0")/.."
presets=("$@")
if ((${#presets[@]} == 0)); then
    presets=(asan tsan)
fi
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
export TSAN_OPTIONS=halt_on_error=1
threaded=(mailbox_tests configtask_tests operator_tests platformclient_tests)
for preset in "${presets[@]}"; do
    cmake --preset "$preset" >/dev/null
    selection=()
    targets=()
    if [[ $preset == tsan ]]; then
        targets=(--target "${threaded[@]}")
        selection=(-R "^($(IFS='|'; printf '%s' "${threaded[*]}"))\$")
    fi
    cmake --build "build/$preset" -j 4 "${targets[@]}"
    ctest --test-dir "build/$preset" --output-on-failure -j 2 "${selection[@]}"
done
