"""Guards against work that is given up, or run again, because it takes longer than the stall time (stall_ms).

A silent connection counts as stalled when another connection shows that its target works. For a route whose requests
simply take that long, ending them is wrong: no attempt is ever answered, and a request that is not idempotent is
reported with an unknown outcome while it runs.
"""

import json
import time

from fleet import call
from start import start

# (method, path, requests); the routes have time limits of 2 s, 5 s and 5 s, and stall_ms is 1000.
CALLS = [("GET", "/sheets", 4), ("GET", "/maps", 3), ("POST", "/possessions", 3)]


def run(fleet, say):
    start(fleet, controls=1, entries=2, backends=3, service_ms=1500)
    sent = 0
    for method, path, count in CALLS:
        statuses = []
        for number in range(count):
            body = b"{}" if method == "POST" else None
            headers = {"Idempotency-Key": f"key-{number}"} if method == "POST" else {}
            statuses.append(fleet.request(fleet.entries[number % 2], method, f"{path}/{number}", body=body, headers=headers)[0])
            sent += 1
        say(f"{method} {path}: {statuses}")
    time.sleep(1.6)
    say(f"runs for {sent} requests: {sum(backend_runs(fleet))}")


def backend_runs(fleet):
    return [json.loads(call(backend.ports["listen"], "GET", "/.fake/stats")[2])["executed"] for backend in fleet.backends]
