#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 and of more/. They are Python scripts of the standard library (3.11, as in Debian 12), so
# this only checks that they can be read. The programs themselves come from the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib2/*.py lib3/*.py [6-9]/case.py 10/case.py more/*/case.py <<'PYTHON'
import pathlib
import sys
import tomllib

for name in sys.argv[1:]:
    if pathlib.Path(name).exists():
        compile(pathlib.Path(name).read_text(), name, "exec")
PYTHON
