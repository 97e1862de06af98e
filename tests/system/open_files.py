"""Guards against file descriptors that stay open after callers of the operator and admin ports have disconnected."""

import os

from fleet import call, wait_until
from start import start

CALL_COUNT = 100
MAX_LEFT_OPEN = 20


def run(fleet, say):
    start(fleet, controls=1, entries=1, backends=1)
    control, entry = fleet.controls[0], fleet.entries[0]
    before = [count_open_files(process) for process in (control, entry)]
    for _ in range(CALL_COUNT):
        fleet.operator(control, "GET", "/v1/groups")
        call(control.ports["operator"], "GET", "/v1/groups")
        call(control.ports["admin"], "GET", "/metrics")
        call(entry.ports["admin"], "GET", "/metrics")
    wait_until(lambda: all(count_open_files(process) < count + MAX_LEFT_OPEN 
                           for process, count in zip((control, entry), before)),
               "the descriptors are closed")
    say(f"{4 * CALL_COUNT} calls leave fewer than {MAX_LEFT_OPEN} descriptors open")


def count_open_files(process):
    return len(os.listdir(f"/proc/{process.popen.pid}/fd"))
