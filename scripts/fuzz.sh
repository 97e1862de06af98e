#!/usr/bin/env bash
# Fuzzes for a while with libFuzzer, guided by coverage, with address and undefined-behaviour sanitizers.
# Usage: scripts/fuzz.sh TARGET SECONDS [DIRECTORY]
#
# TARGET is http, platform, wire or files. DIRECTORY keeps the inputs that reach new code (default: build-fuzz/inputs/TARGET).
# A failing input is written to the current directory as crash-*. Copy it to tests/fuzz/corpus/TARGET, where the tests
# play it from then on, with its cause in tests/fuzz/corpus/README.md. Needs clang.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
target=$1
seconds=$2
inputs=${3:-$root/build-fuzz/inputs/$target}

if [ ! -d "$root/build-fuzz" ]; then
  # The compiler warnings of the project are those of GCC.
  CC=clang CXX=clang++ meson setup "$root/build-fuzz" "$root" -Dfuzz=true -Dwerror=false \
    -Db_sanitize=address,undefined -Db_lundef=false \
    -Dc_args="-fsanitize=fuzzer-no-link -fno-sanitize-recover=all" \
    -Dcpp_args="-fsanitize=fuzzer-no-link -fno-sanitize-recover=all"
fi
meson compile -C "$root/build-fuzz" "fuzz_$target" "fuzz_seeds_$target"
mkdir -p "$inputs"
"$root/build-fuzz/tests/fuzz/fuzz_seeds_$target" --write-seeds="$inputs"
# Memory: no input may make a target allocate more than 64 MiB at once, or hold 512 MiB.
exec "$root/build-fuzz/tests/fuzz/fuzz_$target" -max_total_time="$seconds" -malloc_limit_mb=64 -rss_limit_mb=512 \
  -timeout=5 -max_len=65536 -print_final_stats=1 "$inputs" "$root/tests/fuzz/corpus/$target"
