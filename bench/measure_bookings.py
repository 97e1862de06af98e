"""Measures the throughput of bookings, which the claims group records, and refusals after its leader is killed.

Usage: python3 bench/measure_bookings.py BUILD_DIRECTORY
Real processes on loopback: 1 and 3 control instances, 4 entries, 9 backend servers with 16 slots and no
service time. Then 8 workers book while the leader of the claims group is killed.
"""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent / "tests" / "support"), str(HERE.parent / "tests" / "system")]

from bookings import Bookings, count_executions  # noqa: E402
from fleet import CREW_CONFIGURATION, Fleet, wait_until  # noqa: E402

SLOTS_PER_BACKEND, BACKEND_COUNT = 16, 9


def start(fleet, controls):
    fleet.start_controls(controls)
    fleet.submit(0, {**CREW_CONFIGURATION, "team_default": {"rate": 1000000, "burst": 1000000}}, "first")
    fleet.start_entries(4, ["--log-level=warning"])
    fleet.wait_ready()
    fleet.start_backends(BACKEND_COUNT, slots=SLOTS_PER_BACKEND, service_ms=0)
    wait_until(lambda: fleet.owned_slots() == SLOTS_PER_BACKEND * BACKEND_COUNT, "each target has an owner")
    time.sleep(12)  # the slow start of new targets


def measure_throughput(build, controls):
    with Fleet(build) as fleet:
        start(fleet, controls)
        for workers in (1, 16, 64):
            load = fleet.load(f"load-{workers}", ["--service=crew", f"--closed={workers}", "--duration-s=4",
                                                  "--mix=book:POST:/possessions:1:200"])
            result = fleet.result(load)
            print(f"{controls} control, {workers} in flight: {result['ok_per_s']:.0f} bookings/s, "
                  f"p50 {result['p50_ms']:.1f} ms, p99 {result['p99_ms']:.1f} ms, "
                  f"sent {result['sent']} ok {result['ok']}", flush=True)


class TimedBookings(Bookings):
    """Bookings that record the time and status of each answer."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.answers = []

    def send(self, entry, key):
        status, headers = super().send(entry, key)
        self.answers.append((time.monotonic(), status))
        return status, headers


def measure_leader_failure(build):
    with Fleet(build) as fleet:
        start(fleet, 3)
        bookings = TimedBookings(fleet, workers=8).start()
        time.sleep(3)
        killed_s = time.monotonic()
        fleet.leader("claims").kill()
        time.sleep(5)
        bookings.stop()
        after = [(answered_s, status) for answered_s, status in bookings.answers if answered_s > killed_s]
        answer_times = [killed_s] + [answered_s for answered_s, status in after if status == 200]
        refused = sum(status != 200 for _, status in after)
        gap = max(following - previous for previous, following in zip(answer_times, answer_times[1:]))
        repeated = sum(count > 1 for count in count_executions(fleet).values())
        print(f"leader killed: {len(after)} answers in the 5 s after, {refused} refused, longest time without an "
              f"answer {gap:.2f} s, doubled {repeated}, without an answer {len(bookings.unresolved)}")


if __name__ == "__main__":
    measure_throughput(sys.argv[1], 1)
    measure_throughput(sys.argv[1], 3)
    measure_leader_failure(sys.argv[1])
