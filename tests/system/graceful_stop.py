"""Guards against requests that are cut off by a planned stop of an entry under load."""

import signal
import time

from fleet import wait_until
from start import start


def run(fleet, say):
    start(fleet, controls=1, entries=4, backends=9, entry_arguments=["--resolve-ttl-ms=1000"], service_ms=20)
    load = fleet.load("load", ["--service=crew", "--rate=150", "--duration-s=8", "--mix=sheet:GET:/sheets/1:8:0",
                               "--mix=map:GET:/maps/1:2:0"])
    time.sleep(2)
    stopped = fleet.entries[1]
    stopped.signal(signal.SIGTERM)
    wait_until(lambda: stopped.popen.poll() is not None, "the entry has stopped")
    result = fleet.result(load)
    say(f"exit status of the stopped entry: {stopped.popen.returncode}")
    say(f"requests cut off: {result['cut']}")
    say(f"requests with an unknown outcome: {result['unknown']}")
    say(f"requests without an answer: {result['sent'] - sum(result['statuses'].values())}")
    say(f"answers other than 200: {dict((k, v) for k, v in result['statuses'].items() if k != '200')}")
    say(f"requests sent: {'many' if result['sent'] > 500 else result['sent']}")
