"""Guards against a planned stop under overload that ends with requests in the queue of the entry: each request gets an
answer, and those that cannot be served before the end are refused long before it."""

import threading
import time

from stand_in import route, service
from fleet import wait_until

# Longer than the grace period of an entry, which is 4 s.
TIMEOUT_MS = 14000
WORK_S = 1.0
CALLER_COUNT = 24
END_OF_GRACE_S = 3.5


def run(fleet, say):
    fleet.start(entries=1)
    routes = [route(kind, "s1", timeout_ms=TIMEOUT_MS, latency_goal_ms=9000) for kind in ("safe", "unsafe")]
    wait_until(lambda: fleet.put("00000001", "0", routes, [service("s1")]) == 200, "the first configuration")
    target = fleet.add_target("s1", delay_s=WORK_S)
    wait_until(lambda: target.send_heartbeat() == 200, "a heartbeat")
    wait_until(lambda: fleet.readiness_status(0) == 200, "the entry is ready")
    wait_until(lambda: fleet.request("/safe/x")[1] == 200, "the entry answers")
    answers, cut = [], []

    def send_request():
        try:
            answer = fleet.request("/unsafe/x", method="POST", deadline_ms=TIMEOUT_MS)
            answers.append((time.monotonic(), *answer))
        except OSError as error:
            cut.append(error)

    threads = [threading.Thread(target=send_request) for _ in range(CALLER_COUNT)]
    for thread in threads:
        thread.start()
    wait_until(lambda: len(target.requests) > 4, "the target is busy")
    stopped_at = time.monotonic()
    fleet.entries[0].popen.terminate()
    status = fleet.entries[0].popen.wait(10)
    for thread in threads:
        thread.join()
    refused = [(at, attempt, headers) for at, attempt, code, headers, _ in answers if code == 503]
    say(f"exit status {status}, answers {sorted({answer[2] for answer in answers})}, cut off {len(cut)}")
    say(f"refused some: {len(refused) > 0}, of these ran {sum(fleet.executions(attempt) for _, attempt, _ in refused)}, "
        f"with a time to return: {all('Retry-After' in headers for _, _, headers in refused)}")
    say(f"refused before the end: {all(at - stopped_at < END_OF_GRACE_S for at, _, _ in refused)}")
    say(f"run twice {sum(fleet.executions(answer[1]) > 1 for answer in answers)}")
