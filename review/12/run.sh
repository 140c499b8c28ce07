#!/usr/bin/env bash
# Exits with 1 if a request was run by a service that no desired state ever allowed, 0 if none was, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
exec python3 case.py
