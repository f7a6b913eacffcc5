#!/usr/bin/env bash
# The demonstration is a test of the real processes over loopback: each of its steps has to hold.
set -euo pipefail
cd "$(dirname "$0")/../.."
scripts/demo
