#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 15. They are Python programs without dependencies: checks the interpreter
# and that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))' || { echo "python3 3.8 or newer is needed"; exit 1; }
for source in standins-3/*.py 1[1-5]/case.py; do
  [ -e "$source" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$source"
done
