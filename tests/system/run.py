"""Runs one scripted scenario on the real programs and compares what it prints with the expected output.

Usage: run.py BUILD_DIRECTORY SCENARIO
A scenario is a module beside this file with a function run(fleet, say); say() prints a line. The
expected lines are in SCENARIO.expected. On a difference the logs of all processes are shown.
"""

import difflib
import importlib
import pathlib
import sys
import traceback

HERE = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(HERE), str(HERE.parent / "support")]

from fleet import Fleet  # noqa: E402

LOG_LINES = 40


def show_logs(fleet):
    for process in fleet.controls + fleet.entries + fleet.backends:
        status = process.popen.poll() if process.popen else None
        print(f"--- log of {process.name}, exit status {status}")
        print("\n".join(process.log().splitlines()[-LOG_LINES:]))


def main(build, name):
    scenario = importlib.import_module(name)
    expected = (HERE / f"{name}.expected").read_text().splitlines()
    lines = []
    failure = None
    with Fleet(build) as fleet:
        try:
            scenario.run(fleet, lambda text: (lines.append(text), print(text, flush=True)))
        except Exception:  # the scenario's output so far is still worth showing
            failure = traceback.format_exc()
        difference = list(difflib.unified_diff(expected, lines, "expected", "seen", lineterm=""))
        if failure or difference:
            show_logs(fleet)
            # Last, because the test runner shows the end of the output only.
            print(failure or "", "\n".join(difference), sep="\n")
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2]))
