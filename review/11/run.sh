#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 plays the same without the disruption; the rule must hold then.
export TROUBLE="${TROUBLE:-1}"
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "$0")/case.py"
