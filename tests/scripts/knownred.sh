#!/usr/bin/env bash
# An entry in KNOWN-RED.txt excludes its case and no other, and an executable that ran no case counts as a failure.
set -uo pipefail
cd "$(dirname "$0")/../.."
executable=${1:-build}/tests/auto/utils/tst_utils
all=$("$executable" --list-test-names-only 2>/dev/null | grep -c .)
mapfile -t names < <("$executable" --list-test-names-only 2>/dev/null)
check() { # expected, actual
  [ "$1" = "$2" ] || { echo "expected '$1', not '$2'"; exit 1; }
}
check "$all passed, 0 failed" "$(scripts/runcases "$executable" | tail -1)"
check "$((all - 1)) passed, 0 failed" "$(scripts/runcases "$executable" "${names[0]}" | tail -1)"
check "$((all - 2)) passed, 0 failed" "$(scripts/runcases "$executable" "${names[1]}" "a case of another executable" "${names[2]}" | tail -1)"
check "0 passed, 0 failed" "$(scripts/runcases "$executable" "${names[@]}" | tail -1)"
check "0 passed, 1 failed" "$(scripts/runcases /bin/true | tail -1)"
# An executable that executes fewer cases than it lists, all of which pass, has failed.
fewer=$(mktemp)
trap 'rm -f "$fewer"' EXIT
printf '%s\n' '#!/usr/bin/env bash' \
  'if [ "$1" = --list-test-names-only ]; then printf "%s\n" one two three; else' \
  'echo "All tests passed (9 assertions in 2 test cases)"; fi' >"$fewer"
chmod +x "$fewer"
check "2 passed, 1 failed" "$(scripts/runcases "$fewer" | tail -1)"
check "2 passed, 0 failed" "$(scripts/runcases "$fewer" three | tail -1)"
