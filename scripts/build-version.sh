#!/usr/bin/env bash
# Builds the programs of another version from the history. Usage: scripts/build-version.sh REVISION DIRECTORY
# Exits with 77 if the history does not have the revision, as in a source archive.
set -euo pipefail
cd "$(dirname "$0")/.."

revision=$1
directory=$2
git cat-file -e "$revision^{commit}" 2>/dev/null || exit 77
[ -e "$directory/build.ninja" ] && exit 0
mkdir -p "$directory.source"
git archive "$revision" | tar -x -C "$directory.source"
meson setup "$directory" "$directory.source" --buildtype=release -Dtests=false
meson compile -C "$directory"
