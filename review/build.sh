#!/bin/sh
# The stand-ins of the cases are Python scripts and need no build; this checks that they can start.
set -eu
cd "$(dirname "$0")"
exec python3 -B -c 'import sys, tomllib; sys.path.insert(0, "lib"); import deployment'
