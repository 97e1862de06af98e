"""Planned stop of an entry while requests wait in its queue."""

import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from deployment import BOUNDS, ZONES, Connection, main, route  # noqa: E402

WORK_S = 2.0
CLIENT_COUNT = 18
WARM_UP_S = 12
TIMEOUT_MS = 14000
GOAL_MS = 9000


def handle(target, connection, request):
    target.begin_run(request)
    time.sleep(WORK_S)
    target.reply(connection, request, 200, b"deposit taken")


def run(deployment, trouble):
    deployment.start(fronts=[ZONES[0], ZONES[0]])
    deployment.configure([route("deposit", "/deposit/", "unsafe", "commesse", TIMEOUT_MS, GOAL_MS)], ["commesse"])
    for i in range(2):
        deployment.add_target(f"i-commesse-{i + 1}", "commesse", ZONES[0], 2, handle)
    deployment.wait_ready()

    results = []
    stopped = threading.Event()

    def send_requests():
        """Sends one request after the other on a kept connection; the last one begins before the stop."""
        connection = Connection(deployment, deployment.front())
        while not stopped.is_set():
            attempt = connection.send("POST", "/deposit/a", TIMEOUT_MS + 1000, b"amount=100")
            sent = deployment.record.now()
            answer = connection.receive(attempt)
            results.append((attempt, sent, deployment.record.now(), answer))
            if answer.status == 503:
                time.sleep(float(answer.headers.get("retry-after", 1)))
        connection.close()

    threads = [threading.Thread(target=send_requests) for _ in range(CLIENT_COUNT)]
    for thread in threads:
        thread.start()
        time.sleep(0.5)
    time.sleep(WARM_UP_S - 0.5 * CLIENT_COUNT)
    stopped.set()
    stop = deployment.record.now()
    if trouble:
        deployment.signal("front-1", signal.SIGTERM)
    for thread in threads:
        thread.join()
    received = {run[1] for target in deployment.targets for run in target.runs}
    return [f"LOST: {attempt} was read whole {end - sent:.1f} s before its connection ended without an answer, "
            f"{end - stop:.1f} s after SIGTERM; no target had received it"
            for attempt, sent, end, answer in results
            if not answer.complete and attempt not in received
            and BOUNDS["loss_slack_ms"] < (end - sent) * 1000 < TIMEOUT_MS
            and (not trouble or end - stop <= BOUNDS["grace_s"] + 1)]


main(HERE, run)
