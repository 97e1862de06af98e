"""A target sends the rejection of a request twice, the second copy late; or other bytes after a complete answer."""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from deployment import ZONES, Connection, main, route  # noqa: E402

PLAIN_COUNT = 40  # answers of the garbling target before each one that is garbled: x = 0.024
WORK_S = 0.02
SHORT_HOLD_S = 0.4
LONG_HOLD_S = 4.0
LATE_S = 0.1
GARBLING = "i-commesse-1"  # one of two targets
PAGE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"  # belongs to no request: it has no Attempt-Id


def run(deployment, trouble):
    rejected = set()

    def handle(target, connection, request):
        """Runs a request; the garbling target is full when a marked one arrives first, and free when it comes again."""
        marked = request["path"].endswith("/marked") and target.name == GARBLING
        if marked and request["attempt"] not in rejected:
            rejected.add(request["attempt"])
            target.reply(connection, request, 503, not_executed=True)
            if trouble:
                copy = target.build(request, 503, not_executed=True)
                threading.Timer(LATE_S, send_more, (target, connection, "503 Not-Executed once more", copy)).start()
            return
        target.begin_run(request)
        if request["path"].endswith("/hold"):
            time.sleep(SHORT_HOLD_S if target.name == GARBLING else LONG_HOLD_S)
        else:
            time.sleep(2 * LATE_S if marked or request["path"].endswith("/next") else WORK_S)
        target.reply(connection, request, 200, b"deposit taken")
        if trouble and request["path"].endswith("/spilling"):
            threading.Timer(LATE_S, send_more, (target, connection, "a 503 without an id", PAGE)).start()

    def send_more(target, connection, what, data):
        deployment.record.write(f"{target.name} sends bytes after its complete answer: {what}")
        try:
            connection.sendall(data)
        except OSError as error:
            deployment.record.write(f"the connection is closed already ({type(error).__name__})")

    deployment.start(fronts=[ZONES[0]])
    deployment.configure([route("deposit", "/deposit/", "unsafe", "commesse", 5000, 2000, max_attempts=3),
                          route("capture", "/capture/", "unsafe", "commesse", 5000, 2000, max_attempts=2)], ["commesse"])
    targets = [deployment.add_target(f"i-commesse-{i + 1}", "commesse", ZONES[0], 1, handle) for i in range(2)]
    deployment.wait_ready()

    answers = {}

    def request(path):
        connection = Connection(deployment, deployment.front())
        attempt = connection.send("POST", path, 5000, b"amount=100")
        answers[attempt] = connection.receive(attempt)
        connection.close()

    def send_to_garbling(paths):
        """Sends requests while the slot of the other target is in use by a long one."""
        holding = [threading.Thread(target=request, args=("/capture/hold",)) for _ in range(2)]
        for thread in holding:
            thread.start()
            time.sleep(0.1)
        time.sleep(2 * SHORT_HOLD_S)
        for path in paths:
            request(path)
        for thread in holding:
            thread.join()

    for prefix in ("/deposit/", "/capture/"):
        send_to_garbling([prefix + "a"] * PLAIN_COUNT + [prefix + "marked"])
    send_to_garbling(["/capture/a"] * PLAIN_COUNT + ["/capture/spilling", "/capture/next"])
    time.sleep(1)

    runs = [run[1] for target in targets for run in target.runs]
    violations = [f"TWICE: {attempt} ran {runs.count(attempt)} times; the client got {answer}"
                  for attempt, answer in answers.items() if runs.count(attempt) > 1]
    violations += [f"REFUSED: {attempt} was answered {answer.status} and has run"
                   for attempt, answer in answers.items() if answer.status in (408, 421, 429, 503) and attempt in runs]
    return violations


main(HERE, run)
