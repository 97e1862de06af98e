"""Planned stop of an entry; a kept connection is used again after the entry has stopped accepting connections."""

import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from deployment import BOUNDS, ZONES, CannotRun, Connection, main, route  # noqa: E402

PARTS = 20
PART_S = 0.2  # a map is sent for 4 s
WORK_S = 1.5
STOP_AFTER_S = 0.5
SECOND_REQUEST_S = 4.6  # after SIGTERM


def handle(target, connection, request):
    target.begin_run(request)
    if request["path"].startswith("/map/"):
        body = b"m" * 1000
        head = (f"HTTP/1.1 200 OK\r\nAttempt-Id: {request['attempt']}\r\nInstance-Id: {target.name}\r\n"
                f"Server-Signature: s.{target.name}.{request['attempt']}\r\nContent-Length: {PARTS * len(body)}\r\n\r\n")
        connection.sendall(head.encode())
        for _ in range(PARTS):
            connection.sendall(body)
            time.sleep(PART_S)
        target.deployment.record.write(f"{target.name} has sent its whole answer to {request['attempt']}")
        return
    time.sleep(WORK_S)
    target.reply(connection, request, 200, b"deposit taken")


def run(deployment, trouble):
    deployment.start(fronts=[ZONES[0], ZONES[0]])
    deployment.configure([route("map", "/map/", "safe", "commesse", 8000, 4000),
                          route("deposit", "/deposit/", "unsafe", "commesse", 4000, 2000)], ["commesse"])
    for i in range(2):
        deployment.add_target(f"i-commesse-{i + 1}", "commesse", ZONES[0], 2, handle)
    deployment.wait_ready()

    connection = Connection(deployment, deployment.front())
    attempt = connection.send("GET", "/map/a", 15000)
    time.sleep(STOP_AFTER_S)
    # The client keeps this response for three times its ttl_s, as some clients do.
    addresses, ttl_s = deployment.resolve(ZONES[0])
    if deployment.front() not in addresses or 3 * ttl_s < SECOND_REQUEST_S + 0.5:
        raise CannotRun("the client may not use the address for long enough")
    stop = deployment.record.now()
    if trouble:
        deployment.signal("front-1", signal.SIGTERM)
    first = connection.receive(attempt)
    kept = first.complete and first.headers.get("connection", "").lower() != "close"
    deployment.record.write(f"the connection is {'kept' if kept else 'to be closed'} after the answer")
    time.sleep(max(0, stop + SECOND_REQUEST_S - deployment.record.now()))
    violations = [] if first.complete else [f"LOST: {attempt} was passed on and not answered"]
    if not kept:
        return violations
    try:
        attempt = connection.send("POST", "/deposit/a", 5000, b"amount=100")
    except OSError:
        return violations  # closed before the request was read
    sent = deployment.record.now()
    answer = connection.receive(attempt)
    end = deployment.record.now()
    received = any(run[1] == attempt for target in deployment.targets for run in target.runs)
    if not answer.complete and received and sent - stop > 3 and end - stop <= BOUNDS["grace_s"] + 1:
        violations.append(f"LOST: {attempt}, sent {sent - stop:.1f} s after SIGTERM on a kept connection, was passed on "
                          f"to a target, and its connection ended {end - sent:.1f} s later without an answer")
    return violations


main(HERE, run)
