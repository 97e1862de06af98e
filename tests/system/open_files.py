"""Guards against descriptors that stay open after callers of the operators' and admin ports have gone."""

import os

from fleet import call, wait_until
from start import start

CALLS = 100
SLACK = 20


def run(fleet, say):
    start(fleet, controls=1, entries=1, backends=1)
    control, entry = fleet.controls[0], fleet.entries[0]
    before = [open_files(process) for process in (control, entry)]
    for _ in range(CALLS):
        fleet.operator(control, "GET", "/v1/groups")
        call(control.ports["operator"], "GET", "/v1/groups")
        call(control.ports["admin"], "GET", "/metrics")
        call(entry.ports["admin"], "GET", "/metrics")
    wait_until(lambda: all(open_files(process) < count + SLACK for process, count in zip((control, entry), before)),
               "the descriptors are closed")
    say(f"{4 * CALLS} calls leave fewer than {SLACK} descriptors open")


def open_files(process):
    return len(os.listdir(f"/proc/{process.popen.pid}/fd"))
