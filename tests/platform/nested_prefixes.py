"""Guards against requests that run at the service of another prefix, or get no answer, while the longer of two nested
prefixes is added and dropped."""

import threading
import time

from fleet import wait_until
from stand_in import route, service

CHANGE_COUNT = 6


def run(fleet, say):
    fleet.start(entries=2)
    outer, inner = route("safe", "s1"), route("unsafe", "s2", name="safe/inner")
    inner["name"] = "r-inner"
    wait_until(lambda: fleet.put("00000001", "0", [outer], [service("s1"), service("s2")]) == 200, "the first configuration")
    targets = {name: fleet.add_target(name, zone="a") for name in ("s1", "s2")}
    for target in targets.values():
        wait_until(lambda: target.send_heartbeat() == 200, "a heartbeat")
    wait_until(lambda: all(fleet.readiness_status(i) == 200 for i in range(2)), "the entries are ready")
    wait_until(lambda: all(fleet.request("/safe/x", entry=i)[1] == 200 for i in range(2)), "the entries answer")
    results, finished = [], threading.Event()

    def send_requests(entry):
        while not finished.is_set():
            for path in ("/safe/inner", "/safe/inner?x=/", "/safe/innerx/", "/safe/inner/x"):
                attempt, status, _, _ = fleet.request(path, entry=entry)
                results.append((path, attempt, status))

    threads = [threading.Thread(target=send_requests, args=(i,)) for i in range(2)]
    for thread in threads:
        thread.start()
    for number in range(2, 2 + CHANGE_COUNT):
        change = {"drop": [inner["name"]]} if number % 2 else {"upsert": [inner]}
        wait_until(lambda: fleet.patch(f"{number:08x}", f"{number - 1:08x}", **change) == 200, "a change")
        time.sleep(0.5)
    finished.set()
    for thread in threads:
        thread.join()
    services = {attempt: name for name, target in targets.items() for attempt, *_ in target.requests}
    for path in ("/safe/inner", "/safe/inner?x=/", "/safe/innerx/", "/safe/inner/x"):
        seen = {services.get(attempt) for other, attempt, _ in results if other == path}
        say(f"{path}: run by {sorted(seen, key=str)}")
    say(f"answers {sorted({status for _, _, status in results})}")
    say(f"read back: {sorted(r['path_prefix'] for r in fleet.read()[1]['routes'])}")
