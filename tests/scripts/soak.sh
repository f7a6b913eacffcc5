#!/usr/bin/env bash
# A short soak with fixed seeds, among them every seed that ever failed. Argument: the build directory.
set -uo pipefail
cd "$(dirname "$0")/../.."
failed=0
while read -r seconds zones servers; do
  mapfile -t seeds < <(awk -v kind="$seconds $zones $servers" '/^[0-9]/ && $2 " " $3 " " $4 == kind { print $1 }' \
    tests/soak/seeds.txt)
  options=(--seconds "$seconds" --zones "$zones" --parallel 3 --build "${1:-build}")
  [ "$servers" = failing ] && options+=(--failing)
  scripts/soak "${options[@]}" "${seeds[@]}" || failed=1
done < <(awk '/^[0-9]/ { print $2, $3, $4 }' tests/soak/seeds.txt | sort -u)
exit "$failed"
