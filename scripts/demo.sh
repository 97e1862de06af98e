#!/usr/bin/env bash
# Builds anvillb and runs a small fleet on loopback: see scripts/demo.py.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install-deps.sh
[ -d build ] || meson setup build >/dev/null
meson compile -C build >/dev/null
exec python3 scripts/demo.py build
