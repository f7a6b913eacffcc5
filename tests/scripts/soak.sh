#!/usr/bin/env bash
# A short soak with fixed seeds, among them every seed that ever failed. Argument: the build directory.
set -uo pipefail
cd "$(dirname "$0")/../.."
failed=0
while read -r seconds zones; do
  mapfile -t seeds < <(awk -v kind="$seconds $zones" '/^[0-9]/ && $2 " " $3 == kind { print $1 }' tests/soak/seeds.txt)
  scripts/soak --seconds "$seconds" --zones "$zones" --parallel 3 --build "${1:-build}" "${seeds[@]}" || failed=1
done < <(awk '/^[0-9]/ { print $2, $3 }' tests/soak/seeds.txt | sort -n -u -k1,1 -k2,2)
exit "$failed"
