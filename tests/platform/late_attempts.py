"""Guards against a request that is broken off at a target which is at work on it, for an attempt that cannot follow: the
start of its body is no longer kept, or the entry stops and the other target rejects it."""

import signal
import threading

from stand_in import route, service
from fleet import wait_until

# Longer than the part of a body that an entry keeps for another attempt.
LONG_BODY = b"x" * 400_000
USUAL_S, SLOW_S = 0.05, 1.5
USUAL_COUNT, SLOW_COUNT = 30, 6
SLOTS = 20


def start(fleet):
    fleet.start(entries=2)
    wait_until(lambda: fleet.put("00000001", "0", [route("safe", "s1")], [service("s1")]) == 200, "the first configuration")
    for _ in range(2):
        target = fleet.add_target("s1", slots=SLOTS)
        target.work_s = lambda path: float(path.rsplit("/", 1)[1])
        wait_until(lambda: target.send_heartbeat() == 200, "a heartbeat")
    for i in range(2):
        wait_until(lambda: fleet.readiness_status(i) == 200, "the entry is ready")
        for _ in range(USUAL_COUNT):
            wait_until(lambda: fleet.request(f"/safe/{USUAL_S}", entry=i)[1] == 200, "the entry answers")


def run(fleet, say):
    start(fleet)

    def send_together(entry, method, body):
        """Returns the statuses of slow requests, and how many times they ran in all."""
        statuses, attempts = [], []

        def send_request():
            attempt, status, _, _ = fleet.request(f"/safe/{SLOW_S}", method=method, entry=entry, body=body)
            statuses.append(status)
            attempts.append(attempt)

        threads = [threading.Thread(target=send_request) for _ in range(SLOW_COUNT)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return f"{sorted(set(statuses))}, run {sum(fleet.executions(attempt) for attempt in attempts)} times"

    say(f"long uploads: {send_together(1, 'POST', LONG_BODY)}")
    fleet.entries[0].popen.send_signal(signal.SIGTERM)
    wait_until(lambda: fleet.readiness_status(0) == 503, "the entry stops")
    fleet.targets[0].mode = "full"
    say(f"slow requests during a stop, one target full: {send_together(0, 'GET', None)}")
    say(f"exit status {fleet.entries[0].popen.wait(10)}")
