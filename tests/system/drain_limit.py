"""Guards against requests without an answer at the drain limit of an entry.

Requests that take longer than the limit are held at the targets, so that some are always in progress when the limit is
reached; under the load alone, all of them may have been refused or answered by then.
"""

import re
import signal
import threading
import time

from fleet import wait_until
from start import start

HELD = 4


def tells_outcome(answer):
    """Whether a held request was told that the instance stops, and whether the request may have run."""
    status, headers, body = answer
    outcome = {503: headers.get("Anvillb-Not-Run"), 504: headers.get("Anvillb-Outcome") == "unknown"}.get(status)
    return bool(outcome) and body == b"instance is stopping\n"


def run(fleet, say):
    start(fleet, controls=1, entries=2, backends=3, service_ms=3500,
          entry_arguments=["--resolve-ttl-ms=1000", "--drain-limit-ms=1000"])
    stopped = fleet.entries[1]
    answers = []
    held = [threading.Thread(target=lambda n=n: answers.append(fleet.request(stopped, "GET", f"/maps/{n}")))
            for n in range(HELD)]
    for thread in held:
        thread.start()
    time.sleep(0.3)
    load = fleet.load("load", ["--service=crew", "--rate=20", "--duration-s=6", "--mix=sheet:GET:/sheets/1:1:0"])
    time.sleep(1)
    stopped.signal(signal.SIGTERM)
    wait_until(lambda: stopped.popen.poll() is not None, "the entry has stopped")
    for thread in held:
        thread.join()
    result = fleet.result(load)
    in_flight = re.search(r"drain limit reached in_flight=(\d+)", stopped.log())
    say(f"exit status of the stopped entry: {stopped.popen.returncode}")
    say(f"limit reached with the held requests in progress: {in_flight is not None and int(in_flight.group(1)) >= HELD}")
    say(f"held requests answered with their outcome: {sum(map(tells_outcome, answers))} of {HELD}")
    say(f"requests cut off: {result['cut']}")
    say(f"requests without an answer: {result['sent'] - sum(result['statuses'].values())}")
