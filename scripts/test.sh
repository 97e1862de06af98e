#!/usr/bin/env bash
# Builds anvillb and runs every test. Usage: scripts/test.sh [--sanitize] [MESON_TEST_ARGUMENT...]
# Tests listed in KNOWN-RED.txt are run and reported, and do not change the result.
set -euo pipefail
cd "$(dirname "$0")/.."

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
meson test -C "$build" --no-rebuild --print-errorlogs "$@" || status=$?
python3 scripts/summarize_tests.py "$build/meson-logs/testlog.json" KNOWN-RED.txt "$status"
