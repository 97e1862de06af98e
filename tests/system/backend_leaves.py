"""Guards against new work for a backend server later than 3 s after it announced that it leaves, also when
only one announcement gets through or none does (the process that announces is stopped)."""

import json
import signal
import time

from fleet import call
from start import start


def run(fleet, say):
    start(fleet, controls=1, entries=4, backends=9)
    load = fleet.load("load", ["--service=crew", "--rate=200", "--duration-s=12", "--mix=sheet:GET:/sheets/1:1:0"])
    time.sleep(1)
    leaving, stopped = fleet.backends[0], fleet.backends[1]
    call(leaving.ports["listen"], "POST", "/.fake/control?state=leaving")
    count_before = count_requests(stopped)
    stopped.signal(signal.SIGSTOP)
    time.sleep(3)
    count_after_3_s = count_requests(leaving)
    time.sleep(3)
    say(f"requests of the leaving server after 3 s: {count_requests(leaving) - count_after_3_s}")
    # Requests sent to the stopped server wait in its sockets, and it counts them once it continues. None may have been
    # sent later than 3 s after the stop.
    result = fleet.result(load)
    stopped.signal(signal.SIGCONT)
    time.sleep(0.5)
    say(f"requests of the stopped server are few: {count_requests(stopped) - count_before < 20}")
    say(f"requests cut off: {result['cut']}")
    say(f"the others serve: {result['ok'] > 0.95 * result['sent']}")


def count_requests(backend):
    return json.loads(call(backend.ports["listen"], "GET", "/.fake/stats")[2])["requests"]
