"""Callers that book in parallel and resend under the same key until they have an answer."""

import http.client
import random
import threading
import time

from fleet import call
import json

MAX_RESENDS = 200


class Bookings:
    """Worker threads that send bookings until stop() is called."""

    def __init__(self, fleet, workers=6, seed=1):
        self.fleet, self.stopping = fleet, False
        self.answered, self.unresolved, self.unexpected = {}, {}, []
        self.false_not_run = []
        self.threads = [threading.Thread(target=self.run_worker, args=(i, random.Random(seed * 1000 + i)))
                        for i in range(workers)]

    def start(self):
        for thread in self.threads:
            thread.start()
        return self

    def run_worker(self, worker, random_source):
        number = 0
        while not self.stopping:
            number += 1
            self.send_until_final(f"worker-{worker}-{number}", random_source)

    def send_until_final(self, key, random_source):
        """Resends a booking until it is answered, its outcome is unknown, or MAX_RESENDS is reached."""
        for _ in range(MAX_RESENDS):
            status, headers = self.send(random_source.choice(self.fleet.entries), key)
            if status == 200:
                self.answered[key] = True
                return
            outcome = headers.get("Anvillb-Outcome")
            if status not in (0, 409, 502, 503, 504):
                self.unexpected.append((key, status))
                return
            if status == 409 and outcome == "unknown":
                self.unresolved[key] = True
                return
            time.sleep(0.1)
        self.unresolved[key] = True

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


def count_executions(fleet):
    """Returns how often each key was executed, over all backend servers."""
    counts = {}
    for backend in fleet.backends:
        stats = json.loads(call(backend.ports["listen"], "GET", "/.fake/stats")[2])
        for key, count in stats["executions"].items():
            counts[key] = counts.get(key, 0) + count
    return counts


def report(fleet, bookings, say):
    """Prints the results that must be the same whichever process fails."""
    counts = count_executions(fleet)
    repeated = [key for key, count in counts.items() if count > 1]
    not_executed = [key for key in bookings.answered if counts.get(key, 0) != 1]
    say(f"bookings executed more than once: {len(repeated)}")
    say(f"bookings answered but not executed: {len(not_executed)}")
    say(f"answers that are neither a result nor a temporary refusal: {len(bookings.unexpected)}")
    say(f"some bookings answered: {len(bookings.answered) > 20}")
