"""Runs a scenario of this directory. Usage: run.py BUILD_DIRECTORY SCENARIO; see support/scenario.py."""

import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(HERE), str(HERE.parent / "support")]

import scenario  # noqa: E402
from fleet import Fleet  # noqa: E402

if __name__ == "__main__":
    sys.exit(scenario.main(HERE, Fleet, sys.argv[1], sys.argv[2]))
