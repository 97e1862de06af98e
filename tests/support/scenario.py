"""Runs one scripted scenario on real programs and compares what it prints with the expected output.

A scenario is a module in the directory HERE with a function run(fleet, say); say() prints a line. The expected
lines are in SCENARIO.expected in the same directory. On a difference the logs of all processes are printed.
"""

import difflib
import importlib
import sys
import traceback

LOG_LINES = 40


def show_logs(fleet):
    for process in fleet.processes():
        status = process.popen.poll() if process.popen else None
        print(f"--- log of {process.name}, exit status {status}")
        print("\n".join(process.log().splitlines()[-LOG_LINES:]))


def main(here, fleet_class, build, name):
    sys.path[:0] = [str(here)]
    scenario = importlib.import_module(name)
    expected = (here / f"{name}.expected").read_text().splitlines()
    lines = []
    failure = None
    with fleet_class(build) as fleet:
        try:
            scenario.run(fleet, lambda text: (lines.append(text), print(text, flush=True)))
        except Exception:  # the output up to the failure is compared and printed as well
            failure = traceback.format_exc()
        difference = list(difflib.unified_diff(expected, lines, "expected", "seen", lineterm=""))
        if failure or difference:
            show_logs(fleet)
            # Printed last, because the test runner shows only the end of the output.
            print(failure or "", "\n".join(difference), sep="\n")
            return 1
    return 0
