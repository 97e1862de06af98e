#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python scripts of the standard library (3.11, as in Debian 12), so this only
# checks that they can be read. The programs themselves come from the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib11/*.py 1[1-5]/case.py more3/*/case.py <<'PYTHON'
import pathlib
import sys

for name in sys.argv[1:]:
    if pathlib.Path(name).exists():
        compile(pathlib.Path(name).read_text(), name, "exec")
PYTHON
