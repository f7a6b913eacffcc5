#!/usr/bin/env bash
# Checks that the interpreter of the stand-ins is here (scripts/install lists it) and that they compile. Nothing else
# has to be built: the cases start the daemon that the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX=$cache python3 -m py_compile standins/standins.py [1-5]/*.py
