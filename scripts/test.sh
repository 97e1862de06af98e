#!/usr/bin/env bash
# Builds anvillb and runs every test. Usage: scripts/test.sh [--sanitize] [MESON_TEST_ARGUMENT...]
# Without further arguments the tests of the suite "scenario", which start fleets of processes, run after the others
# and few at a time. Tests listed in KNOWN-RED.txt are run and reported, and do not change the result.
set -euo pipefail
cd "$(dirname "$0")/.."

# More fleets at once slow each other down so much that requests are refused because their deadline is too close.
max_scenarios=3

scripts/install-deps.sh
build=build
setup=()
if [ "${1:-}" = --sanitize ]; then
  shift
  build=build-sanitize
  setup=(-Db_sanitize=address,undefined -Db_lundef=false)
  # Instrumented runs are several times slower.
  export ANVILLB_TEST_SEEDS="${ANVILLB_TEST_SEEDS:-200}"
fi
[ -d "$build" ] || meson setup "$build" "${setup[@]}"
meson compile -C "$build"
status=0
logs=()
run_tests() {
  meson test -C "$build" --no-rebuild --print-errorlogs --logbase "$@" || status=$?
  logs+=("$build/meson-logs/$1.json")
}
if [ $# -gt 0 ]; then
  run_tests testlog "$@"
else
  run_tests testlog --no-suite scenario
  run_tests scenarios --suite scenario --num-processes "$max_scenarios"
fi
python3 scripts/summarize_tests.py KNOWN-RED.txt "$status" "${logs[@]}"
