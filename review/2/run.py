"""A target of a service with one connection answers a request with 500; other services' requests are in flight."""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from deployment import ZONES, Connection, main, route  # noqa: E402

DEPOSIT_CLIENTS = 8
DEPOSIT_WORK_S = 0.4
PRICE_REQUESTS = 40
FAILING = (20, 30)  # two of 40 price requests: x = 0.05


def run(deployment, trouble):
    state = {"prices": 0}

    def handle_deposit(target, connection, request):
        target.begin_run(request)
        time.sleep(DEPOSIT_WORK_S)
        target.reply(connection, request, 200, b"deposit taken")

    def handle_price(target, connection, request):
        target.begin_run(request)
        state["prices"] += 1
        time.sleep(0.03)
        if trouble and state["prices"] in FAILING:
            target.reply(connection, request, 500, b"failed")
        else:
            target.reply(connection, request, 200, b"price")

    deployment.start(fronts=[ZONES[0]])
    deployment.configure([route("deposit", "/deposit/", "unsafe", "commesse", 4000, 2000),
                          route("price", "/price/", "safe", "preventivi", 2000, 1000)], ["commesse", "preventivi"],
                         max_connections={"preventivi": 1})
    targets = [deployment.add_target(f"i-commesse-{i + 1}", "commesse", ZONES[0], 4, handle_deposit) for i in range(2)]
    deployment.add_target("i-preventivi-1", "preventivi", ZONES[0], 1, handle_price)
    deployment.wait_ready()

    results = []
    ended = threading.Event()

    def send_deposits():
        connection = Connection(deployment, deployment.front())
        while not ended.is_set():
            try:
                attempt = connection.send("POST", "/deposit/a", 5000, b"amount=100")
            except OSError:
                break  # closed before the request was sent
            answer = connection.receive(attempt)
            results.append((attempt, answer))
            if not answer.complete or answer.headers.get("connection", "").lower() == "close":
                break
        connection.close()

    threads = [threading.Thread(target=send_deposits) for _ in range(DEPOSIT_CLIENTS)]
    for thread in threads:
        thread.start()
        time.sleep(0.03)
    try:
        connection = Connection(deployment, deployment.front())
        for _ in range(PRICE_REQUESTS):
            attempt = connection.send("GET", "/price/a", 3000)
            if not connection.receive(attempt).complete:
                break
            time.sleep(0.1)
    except OSError as error:
        deployment.record.write(f"the price client cannot go on ({type(error).__name__})")
    ended.set()
    for thread in threads:
        thread.join()
    status = deployment.processes["front-1"].poll()
    deployment.record.write("front-1 " + ("runs" if status is None else f"ended by itself with status {status}"))

    received = {run[1] for target in targets for run in target.runs}
    lost = [attempt for attempt, answer in results if not answer.complete and attempt in received]
    if len(lost) <= 3:
        return []
    return [f"LOST: {attempt}, from a kept connection, was passed on to a sound target, and its connection ended "
            "without an answer" for attempt in lost] + [f"front-1 ended by itself with status {status}"]


main(HERE, run)
