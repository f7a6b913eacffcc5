#!/usr/bin/env bash
# A short soak with fixed seeds, among them every seed that ever failed. Argument: the build directory.
set -uo pipefail
cd "$(dirname "$0")/../.."
failed=0
for seconds in $(awk '/^[0-9]/ { print $2 }' tests/soak/seeds.txt | sort -un); do
  mapfile -t seeds < <(awk -v seconds="$seconds" '/^[0-9]/ && $2 == seconds { print $1 }' tests/soak/seeds.txt)
  scripts/soak --seconds "$seconds" --parallel 3 --build "${1:-build}" "${seeds[@]}" || failed=1
done
exit "$failed"
