"""Callers that book in parallel and resend under the same key until they have an answer."""

import http.client
import random
import threading
import time

from fleet import call
import json

RESENDS = 200


class Bookings:
    """Workers that send bookings while the scenario breaks things."""

    def __init__(self, fleet, workers=6, seed=1):
        self.fleet, self.stopping = fleet, False
        self.answered, self.open, self.unexpected = {}, {}, []
        self.false_not_run = []
        self.threads = [threading.Thread(target=self.work, args=(i, random.Random(seed * 1000 + i)))
                        for i in range(workers)]

    def start(self):
        for thread in self.threads:
            thread.start()
        return self

    def work(self, worker, rng):
        number = 0
        while not self.stopping:
            number += 1
            self.book(f"worker-{worker}-{number}", rng)

    def book(self, key, rng):
        """Resends until the outcome is final: answered, or unknown for good."""
        for _ in range(RESENDS):
            status, headers = self.send(rng.choice(self.fleet.entries), key)
            if status == 200:
                self.answered[key] = True
                return
            outcome = headers.get("Anvillb-Outcome")
            if status not in (0, 409, 502, 503, 504):
                self.unexpected.append((key, status))
                return
            if status == 409 and outcome == "unknown":
                self.open[key] = True
                return
            time.sleep(0.1)
        self.open[key] = True

    def send(self, entry, key):
        try:
            status, headers, _ = self.fleet.request(
                entry, "POST", "/possessions", body=f"book {key}", headers={"Idempotency-Key": key}, timeout=8)
            return status, headers
        except (OSError, http.client.HTTPException):
            return 0, {}

    def stop(self):
        self.stopping = True
        for thread in self.threads:
            thread.join()


def executions(fleet):
    """Returns how often each key was executed, over all backend servers."""
    counts = {}
    for backend in fleet.backends:
        stats = json.loads(call(backend.ports["listen"], "GET", "/.fake/stats")[2])
        for key, count in stats["executions"].items():
            counts[key] = counts.get(key, 0) + count
    return counts


def report(fleet, bookings, say):
    """Prints what must hold whatever fails."""
    counts = executions(fleet)
    doubled = [key for key, count in counts.items() if count > 1]
    lost = [key for key in bookings.answered if counts.get(key, 0) != 1]
    say(f"bookings executed more than once: {len(doubled)}")
    say(f"bookings answered but not executed: {len(lost)}")
    say(f"answers that are neither a result nor a temporary refusal: {len(bookings.unexpected)}")
    say(f"some bookings answered: {len(bookings.answered) > 20}")
