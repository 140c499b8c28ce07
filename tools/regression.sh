#!/usr/bin/env bash
# The regression runs on the users' bench: a score and a hunt for broken rules on each site. The days are recorded in
# journal/. Without names the current sites are run; the older grown ones run when they are named.
set -euo pipefail
cd "$(dirname "$0")/.."
declare -A days=([wdcs-racks]=60 [tdm-edge]=40 [recogidas-bajio]=40 [wdcs-racks-grown]=8 [tdm-edge-large]=8
    [tdm-edge-grown]=8 [recogidas-bajio-grown]=8 [kadastra-be-grown]=8 [ktm-heatnet-grown]=8)
declare -A folders=([wdcs-racks]=further [tdm-edge]=sites [recogidas-bajio]=sites
    [wdcs-racks-grown]=further-grown [tdm-edge-large]=large [tdm-edge-grown]=grown [recogidas-bajio-grown]=grown
    [kadastra-be-grown]=demands [ktm-heatnet-grown]=demands)
if (($# < 2)); then
    echo "usage: tools/regression.sh BENCH SITES [SITE...]: the program, the folder with the sites, of ${!days[*]}" >&2
    exit 2
fi
bench=$1
sites=$2
shift 2
names=("$@")
if ((${#names[@]} == 0)); then
    names=(wdcs-racks tdm-edge recogidas-bajio wdcs-racks-grown tdm-edge-large kadastra-be-grown ktm-heatnet-grown)
fi
for name in "${names[@]}"; do
    if [[ -z ${days[$name]:-} ]]; then
        echo "unknown site '$name'; expected one of ${!days[*]}" >&2
        exit 2
    fi
done
for name in "${names[@]}"; do
    # A day of the large site is 295 processes.
    jobs=3
    [[ $name == *-large ]] && jobs=1
    file=$sites/${folders[$name]}/$name.toml
    "$bench" score "$file" --jobs "$jobs" --why "regression run"
    "$bench" hunt "$file" --days "${days[$name]}" --jobs "$jobs" --why "regression run"
done
