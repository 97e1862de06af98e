#!/usr/bin/env bash
# Installs what anvillb needs to build and test on Debian 12. Does nothing if all packages are installed.
set -euo pipefail

packages=(
  build-essential pkg-config meson ninja-build git curl openssl
  clang-format clang-tidy
  libglib2.0-dev libsoup-3.0-dev glib-networking libmsgpack-dev libcjson-dev libhttp-parser-dev zlib1g-dev
  libgtest-dev libgmock-dev libbenchmark-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}\n' "$package" 2>/dev/null | grep -q '^install ok installed$' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0

sudo=()
[ "$(id -u)" -eq 0 ] || sudo=(sudo)
"${sudo[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${sudo[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}"
