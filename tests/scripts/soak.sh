#!/usr/bin/env bash
# A short soak with fixed seeds, among them each that ever failed. Argument: the build directory.
set -uo pipefail
cd "$(dirname "$0")/../.."
failed=0
while read -r seed seconds _; do
  scripts/soak --seconds "$seconds" --parallel 1 --build "${1:-build}" "$seed" </dev/null || failed=1
done < <(grep '^[0-9]' tests/soak/seeds.txt)
exit "$failed"
