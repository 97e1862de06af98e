"""Runs a small fleet on loopback: 1 control instance, 4 entries in 3 failure domains, 15 backend servers.

Usage: demo.py BUILD_DIRECTORY
Sends urgent and background lookups and bookings, makes one backend server slow, lets one leave and
stops one entry gracefully. Prints the results. Exits with 1 if a request was cut off, executed twice, sent to
a server that had left, or answered with the answer of another request, if the stopped entry did not exit with
status 0, or if no lookup or no booking was answered.
"""

import json
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent / "tests" / "support"), str(HERE.parent / "tests" / "system")]

from bookings import Bookings, count_executions  # noqa: E402
from fleet import CREW_CONFIGURATION, Fleet, call, wait_until  # noqa: E402

BACKEND_COUNT = 15
SLOTS_PER_BACKEND = 2
SLOW_FACTOR = 10
LOAD_S = 24


def read_stats(backend):
    return json.loads(call(backend.ports["listen"], "GET", "/.fake/stats")[2])


def start(fleet):
    print("starting 1 control instance, 4 entries and 15 backend servers")
    fleet.start_controls(1)
    status, answer = fleet.submit(0, CREW_CONFIGURATION, "demo-1")
    print(f"configuration version {answer['version']}: {answer['outcome']}")
    fleet.start_entries(4, ["--resolve-ttl-ms=1000"])
    fleet.wait_ready()
    fleet.start_backends(BACKEND_COUNT, slots=SLOTS_PER_BACKEND, service_ms=20)
    wait_until(lambda: fleet.owned_slots() == BACKEND_COUNT * SLOTS_PER_BACKEND, "each target has an owner")


def measure_detection_s(fleet, backend):
    """Returns the time from now until the last request of the slow server, or None.

    A request is the last one if none follows for 1 s. None: the server still gets requests after 10 s.
    """
    started = time.monotonic()
    last_change, count = started, read_stats(backend)["requests"]
    while time.monotonic() - started < 10:
        now = read_stats(backend)["requests"]
        if now != count:
            last_change, count = time.monotonic(), now
        elif time.monotonic() - last_change > 1:
            return last_change - started
        time.sleep(0.02)
    return None


def main(build):
    with Fleet(build) as fleet:
        start(fleet)
        load = fleet.load("load", ["--service=crew", "--rate=200", f"--duration-s={LOAD_S}",
                                   "--mix=sheet:GET:/sheets/1:8:0", "--mix=map:GET:/maps/1:2:0"])
        bookings = Bookings(fleet, workers=3).start()
        time.sleep(12)  # the slow start of new backend servers

        slow, leaving = fleet.backends[0], fleet.backends[1]
        call(slow.ports["listen"], "POST", f"/.fake/control?slow={SLOW_FACTOR}")
        seconds = measure_detection_s(fleet, slow)
        print(f"backend server made {SLOW_FACTOR} times slower: "
              + (f"last request after {seconds:.2f} s" if seconds is not None else "still gets requests"))

        call(leaving.ports["listen"], "POST", "/.fake/control?state=leaving")
        time.sleep(3)
        count_after_leave = read_stats(leaving)["requests"]

        stopped = fleet.entries[1]
        stopped.signal(signal.SIGTERM)
        wait_until(lambda: stopped.popen.poll() is not None, "the entry has stopped")
        fleet.entries.remove(stopped)
        bookings.stop()
        result = fleet.result(load)
        requests_after_leave = read_stats(leaving)["requests"] - count_after_leave
        return report(fleet, result, bookings, requests_after_leave, stopped.popen.returncode)


def report(fleet, result, bookings, requests_after_leave, status):
    repeated = sum(count > 1 for count in count_executions(fleet).values())
    print(f"lookups sent {result['sent']}, answered {result['ok']}, refused as not run {result['not_run']}, "
          f"outcome unknown {result['unknown']}")
    for name, entry in result["classes"].items():
        print(f"  {name}: p50 {entry['p50_ms']:.1f} ms, p99 {entry['p99_ms']:.1f} ms")
    print(f"bookings answered {len(bookings.answered)}, without an answer {len(bookings.unresolved)}")
    violations = {
        "requests cut off by the graceful stop": result["cut"],
        "bookings executed more than once": repeated,
        "requests of the leaving server after 3 s": requests_after_leave,
        "exit status of the stopped entry": status,
        "answers mixed up": result["mismatched"],
    }
    for name, value in violations.items():
        print(f"{name}: {value}")
    return 1 if any(violations.values()) or not result["ok"] or not bookings.answered else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
