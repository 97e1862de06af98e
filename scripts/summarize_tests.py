"""Summarises Meson test logs: counts, known failures, and the exit status of the whole run.

A line "test: SUITE/NAME" or "test: NAME" in KNOWN-RED.txt names a test that is known to fail.
"""

import json
import os
import sys

PASSED = {"OK", "EXPECTEDFAIL"}


def known_failures(path):
    if not os.path.exists(path):
        return set()
    with open(path, encoding="utf-8") as file:
        return {line.split(":", 1)[1].strip() for line in file if line.startswith("test:")}


def read_tests(log_paths):
    for path in log_paths:
        with open(path, encoding="utf-8") as file:
            yield from map(json.loads, file)


def main(known_path, runner_status, log_paths):
    known = known_failures(known_path)
    counts = {"passed": 0, "failed": 0, "skipped": 0, "known": 0}
    for test in read_tests(log_paths):
        name = test["name"].rsplit("/", 1)[-1].split(" ")[-1]
        if test["result"] in PASSED:
            counts["passed"] += 1
        elif test["result"] == "SKIP":
            counts["skipped"] += 1
        elif name in known:
            counts["known"] += 1
            print(f"known failure (KNOWN-RED.txt): {name}")
        else:
            counts["failed"] += 1
            print(f"failed: {name} ({test['result']})")
    if counts["passed"] == 0 or (runner_status != 0 and counts["failed"] + counts["known"] == 0):
        counts["failed"] += 1
        print("the test runner failed or ran no test")
    skipped = counts["skipped"] + counts["known"]
    tail = f", {skipped} skipped" if skipped else ""
    print(f"{counts['passed']} passed, {counts['failed']} failed{tail}")
    return 1 if counts["failed"] else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], int(sys.argv[2]), sys.argv[3:]))
