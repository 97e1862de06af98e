#!/usr/bin/env bash
# Runs a small fleet on loopback and shows what it does: see scripts/demo.py.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install-deps.sh
[ -d build ] || meson setup build >/dev/null
meson compile -C build >/dev/null
exec python3 scripts/demo.py build
