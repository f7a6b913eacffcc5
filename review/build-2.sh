#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. They are Python programs that use the standard library alone,
# so that it only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import glob

for path in sorted(glob.glob("standins-2/*.py") + glob.glob("[0-9]*/case.py")):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
CHECK
