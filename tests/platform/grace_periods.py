"""Guards against requests that a planned stop breaks off at their target although they arrived late in the grace period,
against late requests that are refused although their deadline ends them before the process does, and against requests
that a stop with a short grace period breaks off long before its end. Grace periods may have a fraction."""

import signal
import threading
import time

from fleet import wait_until
from stand_in import route, service

TIMEOUT_MS = 6000
USUAL_S, LONG_S = 0.2, 5.9
GRACE_PERIODS_S = (1, 1.5, 10, 20)
# Seconds after SIGTERM at which the request is sent, deadline of the caller, and work at the target; for each grace period.
REQUESTS = {
    1: ((-0.2, 9000, 0.98), (-0.1, 9000, 3.0)),
    1.5: ((-0.2, 9000, 1.4),),
    10: ((2.0, 9000, USUAL_S), (3.4, 9000, LONG_S), (4.1, 9000, LONG_S), (4.3, 2000, LONG_S)),
    20: ((4.4, 9000, LONG_S), (8.5, 9000, LONG_S), (8.7, 9000, USUAL_S)),
}
AT_ONCE_S = 0.3
# Time before the signal.
LEAD_S = 0.5


def start(fleet):
    fleet.start(entries=len(GRACE_PERIODS_S))
    for program, grace_s in zip(fleet.entries, GRACE_PERIODS_S):
        program.kill()
        program.settings["GRACE_S"] = grace_s
        program.write_settings()
        program.start()
    routes = [route("unsafe", "s1", timeout_ms=TIMEOUT_MS)]
    wait_until(lambda: fleet.put("00000001", "0", routes, [service("s1")]) == 200, "the first configuration")
    target = fleet.add_target("s1", slots=20)
    target.work_s = lambda path: float(path.rsplit("/", 1)[1])
    wait_until(lambda: target.send_heartbeat() == 200, "a heartbeat")
    for i in range(len(GRACE_PERIODS_S)):
        wait_until(lambda: fleet.readiness_status(i) == 200, "the entry is ready")
        wait_until(lambda: fleet.request(f"/unsafe/{USUAL_S}", method="POST", entry=i)[1] == 200, "the entry answers")


def run(fleet, say):
    start(fleet)
    outcomes, stopped_at = {}, {}

    def send_request(entry, after_s, deadline_ms, work_s):
        sent_at = time.monotonic()
        attempt, status, headers, _ = fleet.request(f"/unsafe/{work_s}", method="POST", entry=entry, deadline_ms=deadline_ms)
        took_s = time.monotonic() - sent_at
        text = f"status {status}, run {fleet.executions(attempt)}"
        if status == 503:
            text += f", at once {took_s < AT_ONCE_S}, may return {'Retry-After' in headers}"
        elif status == 504:
            at_end = sent_at + took_s - stopped_at[entry] >= GRACE_PERIODS_S[entry] * 5 / 6
            text += f", at the deadline {took_s >= deadline_ms / 1000}, in the last sixth of the grace period {at_end}"
        outcomes[entry, after_s] = text

    def stop_entry(entry):
        requests = REQUESTS[GRACE_PERIODS_S[entry]]
        stopped_at[entry] = time.monotonic() + LEAD_S
        threads = [threading.Thread(target=send_request, args=(entry, *request)) for request in requests]
        actions = [(request[0], thread.start) for request, thread in zip(requests, threads)]
        actions.append((0, lambda: fleet.entries[entry].popen.send_signal(signal.SIGTERM)))
        for after_s, action in sorted(actions, key=lambda item: item[0]):
            time.sleep(max(stopped_at[entry] + after_s - time.monotonic(), 0))
            action()
        for thread in threads:
            thread.join()

    stops = [threading.Thread(target=stop_entry, args=(entry,)) for entry in range(len(GRACE_PERIODS_S))]
    for thread in stops:
        thread.start()
    for thread in stops:
        thread.join()
    for entry, grace_s in enumerate(GRACE_PERIODS_S):
        for after_s, deadline_ms, work_s in REQUESTS[grace_s]:
            say(f"grace {grace_s} s, sent after {after_s} s for {deadline_ms} ms, work {work_s} s: {outcomes[entry, after_s]}")
        say(f"exit status {fleet.entries[entry].popen.wait(30)}")
