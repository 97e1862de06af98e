"""Runs the benchmark programs behind docs/CAPACITY.md one after the other; see docs/MEASUREMENTS.md.

Usage: python3 bench/slopes.py BUILD_DIRECTORY
Prints each command before its output. The exit status is the number of commands that failed.
"""

import pathlib
import shlex
import subprocess
import sys

HERE = pathlib.Path(__file__).resolve().parent

PROGRAMS = [
    "bench_config document 62000 440000 keyed",
    "bench_config changes 62000 440000 20",
    "bench_config history 100000",
    *[f"claim_bench {records} {answer}" for records in (10000, 100000, 500000) for answer in (0, 300)],
    "membership_model steady 512",
    "membership_model spread 512",
    "membership_model memory 2048",
    "limiter_model",
    "placement_model",
    "raft_bench",
]
SCRIPTS = [
    "tls_handshake.py",
    *[f"fleet_slopes.py BUILD {mode}" for mode in ("idle", "services", "targets", "spread", "calls")],
]


def run(arguments):
    print(f"\n$ {shlex.join(str(a) for a in arguments)}", flush=True)
    return subprocess.run(arguments).returncode != 0


def main(build):
    build = pathlib.Path(build)
    failed = 0
    for program in PROGRAMS:
        name, *arguments = program.split()
        failed += run([build / "bench" / name, *arguments])
    for script in SCRIPTS:
        name, *arguments = script.split()
        failed += run([sys.executable, HERE / name, *[build if a == "BUILD" else a for a in arguments]])
    return failed


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
