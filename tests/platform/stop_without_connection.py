"""Guards against a request that waits for a connection to its target, is sent shortly before a stopping entry ends, and is
broken off there."""

import signal
import threading
import time

from stand_in import GRACE_S, route, service
from fleet import wait_until

TIMEOUT_MS = 14000
USUAL_S = 0.2
# The first request keeps the only connection until shortly before the end of the requests.
FIRST_S = GRACE_S - 0.4
LEAD_S = 0.1


def run(fleet, say):
    fleet.start(entries=1)
    routes = [route("unsafe", "s1", timeout_ms=TIMEOUT_MS, latency_goal_ms=9000)]
    wait_until(lambda: fleet.put("00000001", "0", routes, [service("s1", max_connections=1)]) == 200, "the first configuration")
    target = fleet.add_target("s1")
    target.work_s = lambda path: float(path.rsplit("/", 1)[1])
    wait_until(lambda: target.send_heartbeat() == 200, "a heartbeat")
    wait_until(lambda: fleet.readiness_status(0) == 200, "the entry is ready")
    wait_until(lambda: fleet.request(f"/unsafe/{USUAL_S}", method="POST")[1] == 200, "the entry answers")
    answers = {}

    def send_request(name, work_s):
        attempt, status, headers, _ = fleet.request(f"/unsafe/{work_s}", method="POST", deadline_ms=TIMEOUT_MS)
        answers[name] = (time.monotonic(), attempt, status, headers)

    threads = []
    for name, work_s in (("first", FIRST_S), ("second", 2 * USUAL_S)):
        threads.append(threading.Thread(target=send_request, args=(name, work_s)))
        threads[-1].start()
        time.sleep(LEAD_S)
    fleet.entries[0].popen.send_signal(signal.SIGTERM)
    for thread in threads:
        thread.join()
    for name, (at, attempt, status, headers) in sorted(answers.items()):
        say(f"{name}: status {status}, run {fleet.executions(attempt)}, may return {'Retry-After' in headers}")
    say(f"refused before the connection was free: {answers['second'][0] < answers['first'][0]}")
    say(f"exit status {fleet.entries[0].popen.wait(10)}")
