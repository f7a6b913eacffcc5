#!/usr/bin/env bash
# A short soak with fixed seeds, among them each that ever failed. Argument: the build directory.
set -uo pipefail
cd "$(dirname "$0")/../.."
mapfile -t seeds < <(sed -n 's/^\([0-9][0-9]*\) .*/\1/p' tests/soak/seeds.txt)
scripts/soak --seconds 6 --build "${1:-build}" "${seeds[@]}"
