"""Guards against requests without an answer at the drain limit of an entry."""

import signal
import time

from fleet import wait_until
from start import start


def run(fleet, say):
    start(fleet, controls=1, entries=2, backends=3, service_ms=1500,
          entry_arguments=["--resolve-ttl-ms=1000", "--drain-limit-ms=1000"])
    load = fleet.load("load", ["--service=crew", "--rate=20", "--duration-s=6", "--mix=sheet:GET:/sheets/1:1:0"])
    time.sleep(3)
    stopped = fleet.entries[1]
    stopped.signal(signal.SIGTERM)
    wait_until(lambda: stopped.popen.poll() is not None, "the entry has stopped")
    result = fleet.result(load)
    log = stopped.log()
    say(f"exit status of the stopped entry: {stopped.popen.returncode}")
    say(f"limit reached with requests in progress: {'drain limit reached in_flight=' in log and 'in_flight=0' not in log}")
    say(f"requests cut off: {result['cut']}")
    say(f"requests without an answer: {result['sent'] - sum(result['statuses'].values())}")
