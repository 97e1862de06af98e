"""Guards against two accepted patches for one base, against a patch that is accepted twice when it is
resent, also after the leader was killed, and against an entry that goes back to an older version."""

import threading

from fleet import wait_until
from start import start

ROUNDS = 12


def run(fleet, say):
    start(fleet, entries=4, backends=3)
    watcher = VersionWatcher(fleet)
    watcher.start()
    accepted, stale, changed_answers = 0, 0, 0
    for number in range(1, ROUNDS + 1):
        results = submit_concurrently(fleet, number)
        outcomes = sorted(answer["outcome"] for _, answer in results)
        accepted += outcomes.count("accepted")
        stale += outcomes.count("stale")
        if number == ROUNDS // 2:
            fleet.leader("config").kill()
            wait_until(lambda: fleet.leader("config"), "another member leads")
        winner = next(i for i, (_, answer) in enumerate(results) if answer["outcome"] == "accepted")
        _, answer = submit_patch(fleet, number, winner)
        changed_answers += answer["outcome"] != "repeated" or answer["version"] != number + 1
    wait_until(lambda: all(fleet.version(entry) == ROUNDS + 1 for entry in fleet.entries), "in force everywhere")
    watcher.stop()
    say(f"rounds {ROUNDS}: accepted {accepted}, stale {stale}")
    say(f"resent patches with another answer than the first: {changed_answers}")
    say(f"entries that went back to an older version: {watcher.reverted}")
    say(f"the watcher finds a planted reversal: {finds_planted_reversal()}")


def make_patch(number, operator):
    return {"team_default": {"rate": 1000 * number + operator}}


def submit_patch(fleet, number, operator):
    live = next(process for process in fleet.controls if process.popen.poll() is None)
    return fleet.submit(number, make_patch(number, operator), f"round-{number}-{operator}", live)


def submit_concurrently(fleet, number):
    results = [None, None]

    def submit(operator):
        results[operator] = submit_patch(fleet, number, operator)

    threads = [threading.Thread(target=submit, args=(operator,)) for operator in range(2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def finds_planted_reversal():
    """Returns whether the watcher counts a version that goes back; guards against a watcher that finds nothing."""
    versions = iter([3, 4, 3, 4])

    class PlantedFleet:
        entries = [None]

        def version(self, _):
            value = next(versions, None)
            if value is None:
                watcher.stop_event.set()
            return value or 4

    watcher = VersionWatcher(PlantedFleet())
    watcher.start()
    watcher.join()
    return watcher.reverted == 1


class VersionWatcher(threading.Thread):
    """Polls the version in force on each entry and counts how often it goes back."""

    def __init__(self, fleet):
        super().__init__()
        self.fleet, self.stop_event, self.reverted = fleet, threading.Event(), 0

    def run(self):
        highest = [0] * len(self.fleet.entries)
        while not self.stop_event.wait(0.05):
            for i, entry in enumerate(self.fleet.entries):
                version = self.fleet.version(entry)
                self.reverted += version < highest[i]
                highest[i] = max(highest[i], version)

    def stop(self):
        self.stop_event.set()
        self.join()
