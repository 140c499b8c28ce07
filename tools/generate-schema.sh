#!/usr/bin/env bash
# Regenerates the committed Cap'n Proto code in schema/generated from schema/*.capnp.
set -euo pipefail
cd "$(dirname "$0")/../schema"
capnp compile -oc++:generated ./*.capnp
