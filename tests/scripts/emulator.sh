#!/usr/bin/env bash
# The emulator's commands: exit status, errors with their place, and a history that is played from its file alone.
set -uo pipefail
cd "$(dirname "$0")/../.."
emulator=${1:-build}/tests/emulator/emulator
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
check() { # expected, actual
  [ "$1" = "$2" ] || { echo "expected '$1', not '$2'"; exit 1; }
}
"$emulator" print --seed=7 >"$work/7.history"
check "$("$emulator" run --seed=7)" "$("$emulator" replay "$work/7.history")"
printf '%s\n' "fleet daemons=3 zones=3 servers=3 lease=6000 length=60000" "5 explode" >"$work/bad.history"
check "$work/bad.history:2: unknown step \"explode\"" "$("$emulator" replay "$work/bad.history" 2>&1)"
"$emulator" replay "$work/bad.history" 2>/dev/null
check 2 $?
check "--seed: \"x\" is not a number" "$("$emulator" run --seed=x 2>&1)"
check "$work/none: cannot be read" "$("$emulator" replay "$work/none" 2>&1)"
printf '%s\n' "fleet daemons=3 zones=3 servers=3 lease=6000 length=60000" "5 store-forget" \
  "9 submit id=huge queue=ordinary steps=4x8:1000:gang" >"$work/lost.history"
"$emulator" replay "$work/lost.history" >/dev/null
check 1 $?
"$emulator" shrink "$work/lost.history" 2>/dev/null >"$work/shorter.history"
check 2 "$(wc -l <"$work/shorter.history")"
"$emulator" search --first-seed=1 --histories=2 >/dev/null
check 0 $?
