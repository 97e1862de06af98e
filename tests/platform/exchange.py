"""Guards against requests that run without a route, and configurations that are lost, refused or not put in force, while the
programs of an earlier version are exchanged over their data, in each order, and while they are put back.

The earlier version is ANVILLB_EXCHANGE_FROM, by default the oldest one whose data must be read."""

import os
import pathlib
import subprocess
import sys
import threading
import time

from fleet import wait_until
from stand_in import route, service
from write_fixture import ROUTES

SKIPPED = 77
EARLIER_VERSION = os.environ.get("ANVILLB_EXCHANGE_FROM", "a8286f9")
CONTROLS, ENTRIES = 3, 2
PATHS = [("GET", "/quotes/x"), ("POST", "/quotes/book/x"), ("POST", "/capture/x"), ("GET", "/capture/status/x")]
UNROUTED = [("GET", "/quotes"), ("POST", "/capture"), ("POST", "/capture?x=1")]
ORDERS = {
    "all at once": [["control-0", "control-1", "control-2", "entry-0", "entry-1"]],
    "entries first": [["entry-0"], ["entry-1"], ["control-0"], ["control-1"], ["control-2"]],
    "control instances first": [["control-0"], ["control-1"], ["control-2"], ["entry-0"], ["entry-1"]],
}


def run(fleet, say):
    current = fleet.build
    earlier = current.parent / "versions" / EARLIER_VERSION
    script = pathlib.Path(__file__).resolve().parents[2] / "scripts" / "build-version.sh"
    built = subprocess.run([script, EARLIER_VERSION, earlier], stdout=subprocess.DEVNULL)
    if built.returncode == SKIPPED:
        sys.exit(SKIPPED)
    built.check_returncode()
    for name, steps in ORDERS.items():
        with type(fleet)(earlier) as other:
            say(f"{name}:")
            Exchange(other, say).play(steps, earlier / "platform", current)


class Exchange:
    """A fleet whose programs are exchanged while requests, heartbeats and changes go on."""

    def __init__(self, fleet, say):
        self.fleet, self.say = fleet, say
        self.finished = threading.Event()
        self.version, self.routes = 0, 0
        self.failures, self.served = [], 0

    def play(self, steps, earlier, current):
        fleet = self.fleet
        fleet.start(controls=CONTROLS, entries=ENTRIES)
        self.targets = {name: fleet.add_target(name, slots=20) for name in ("s1", "s2")}
        threads = [threading.Thread(target=self.send_heartbeats)]
        threads += [threading.Thread(target=self.send_requests, args=(i,)) for i in range(ENTRIES)]
        threads[0].start()
        wait_until(lambda: fleet.put("00000001", "0", ROUTES, [service("s1"), service("s2")]) == 200, "the configuration")
        self.version = 1
        wait_until(lambda: all(self.answers(i) for i in range(ENTRIES)), "the entries answer")
        for thread in threads[1:]:
            thread.start()
        try:
            self.change()
            for step in steps:
                self.exchange(step, current)
                self.change()
            self.show("exchanged")
            unrouted = {self.status(i, *request) for i in range(ENTRIES) for request in UNROUTED}
            self.say(f"  paths without a route: {sorted(unrouted)}")
            self.exchange(["control-0", "control-1", "control-2", "entry-0", "entry-1"], earlier)
            self.change()
            self.show("put back")
        finally:
            self.finished.set()
            for thread in threads:
                thread.join()
        self.say(f"  requests served: {self.served > 0}, failures {self.failures}")

    def read(self):
        """Reads the configuration. A 5xx, which the users' pages allow, is asked again and printed on stderr."""
        answer = []

        def is_read():
            answer[:] = self.fleet.read()
            if answer[0] != 200:
                print(f"read answered {answer}", file=sys.stderr)
            return answer[0] == 200

        wait_until(is_read, "a read")
        return answer

    def show(self, name):
        status, config = self.read()
        changes = [r for r in config["routes"] if r["name"].startswith("r-change-")]
        prefixes = {r["path_prefix"] for r in config["routes"]} >= {r["path_prefix"] for r in ROUTES}
        self.say(f"  {name}: read {status}, version and changes whole: "
                 f"{int(config['version'], 16) == self.version and len(changes) == self.routes}, prefixes as sent: {prefixes}")

    def exchange(self, names, build):
        """Stops the programs as planned, and starts those of BUILD over their data."""
        programs = [p for p in self.fleet.processes() if p.name in names]
        for program in programs:
            program.popen.terminate()
        for program in programs:
            program.popen.wait(30)
            program.program = build / program.program.name
            program.start()
        wait_until(lambda: all(self.answers(i) for i in range(ENTRIES)), "the entries answer")

    def change(self):
        """Adds a route, sends the change again, and waits until it is in force at all entries."""
        fleet, base = self.fleet, f"{self.version:08x}"
        self.version, self.routes = self.version + 1, self.routes + 1
        added = route("safe", "s1", name=f"change-{self.routes}")
        for control in range(2):
            wait_until(lambda: fleet.patch(f"{self.version:08x}", base, [added], control=control) == 200, "a change")
        wait_until(lambda: all(self.status(i, "GET", f"/change-{self.routes}/x") == 200 for i in range(ENTRIES)),
                   f"change {self.routes} is in force")

    def status(self, entry, method, path):
        try:
            return self.fleet.request(path, method=method, entry=entry)[1]
        except OSError:
            return None

    def answers(self, entry):
        return all(self.status(entry, *request) == 200 for request in PATHS)

    def send_requests(self, entry):
        """An entry that starts has no route or target for a moment; no other service may run a request."""
        while not self.finished.wait(0.02):
            for method, path in PATHS:
                try:
                    attempt, status, _, _ = self.fleet.request(path, method=method, entry=entry)
                except OSError:
                    continue
                expected = "s1" if path == "/quotes/x" else "s2"
                others = [name for name, target in self.targets.items() if name != expected and
                          any(seen[0] == attempt for seen in list(target.requests))]
                if status == 200 and not others:
                    self.served += 1
                elif others or status not in (404, 502, 503, 504):
                    self.failures.append((method, path, status, others))

    def send_heartbeats(self):
        while not self.finished.wait(0.3):
            for target in self.targets.values():
                for control in range(CONTROLS):
                    try:
                        target.send_heartbeat(control)
                    except OSError:
                        continue
