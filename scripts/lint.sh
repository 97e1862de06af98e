#!/usr/bin/env bash
# Checks the formatting of all sources (clang-format) and lints the programs and tests/fakes (clang-tidy).
# Usage: scripts/lint.sh [--fix]   --fix formats in place instead of checking.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t sources < <(git ls-files '*.c' '*.h' '*.cc')
if [ "${1:-}" = --fix ]; then
  clang-format -i "${sources[@]}"
  exit 0
fi
clang-format --dry-run --Werror "${sources[@]}"

[ -d build ] || meson setup build >/dev/null
meson compile -C build >/dev/null
mapfile -t product < <(git ls-files 'src/*.c' 'platform/*.c' 'tests/fakes/*.c')
printf '%s\n' "${product[@]}" | xargs -P "$(nproc)" -n 4 clang-tidy --quiet -p build 2>/dev/null
echo "lint: ${#sources[@]} files formatted, ${#product[@]} files checked"
