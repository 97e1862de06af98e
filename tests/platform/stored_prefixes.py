"""Guards against requests that run without a route because an earlier version, which left out the last slash of each
prefix, stored the configuration. A control instance starts with the data of that version; see write_fixture.py."""

import pathlib
import shutil

from fleet import wait_until
from stand_in import route
from write_fixture import ROUTES

FIXTURE = pathlib.Path(__file__).resolve().parent / "fixtures" / "a8286f9"
REQUESTS = [("GET", "/quotes/x"), ("POST", "/quotes/book/x"), ("POST", "/capture/x"), ("GET", "/capture/status/x"),
            ("GET", "/quotes"), ("POST", "/quotes/book"), ("POST", "/capture"), ("POST", "/capture?x=1"),
            ("POST", "/capture/status"), ("POST", "/added"), ("POST", "/added/x")]


def run(fleet, say):
    shutil.copytree(FIXTURE, fleet.directory / "data-0")
    fleet.start(controls=1, entries=1)
    targets = {name: fleet.add_target(name) for name in ("s1", "s2")}
    for target in targets.values():
        wait_until(lambda: target.send_heartbeat() == 200, "a heartbeat")
    wait_until(lambda: fleet.readiness_status(0) == 200, "the entry is ready")
    wait_until(lambda: fleet.request("/quotes/x")[1] == 200, "the entry answers")
    say("with the stored configuration:")
    show_requests(fleet, targets, say)
    say(f"the last change again: {fleet.patch('00000002', '00000001', ROUTES[3:])}")
    say(f"with other content: {fleet.patch('00000002', '00000001', ROUTES[:1])}")
    for prefix in ("//", "/capture//"):
        odd = route("safe", "s1", name="odd", path_prefix=prefix)
        say(f"prefix {prefix}: {fleet.patch('00000003', '00000002', [odd])}")
    added = route("unsafe", "s2", name="added")
    say(f"patch: {fleet.patch('00000003', '00000002', [added])}, again: {fleet.patch('00000003', '00000002', [added])}")
    wait_until(lambda: fleet.request("/added/x", method="POST")[1] == 200, "the change is in force")
    say("after a change:")
    show_requests(fleet, targets, say)
    say(f"read back: {sorted(item['path_prefix'] for item in fleet.read()[1]['routes'])}")


def show_requests(fleet, targets, say):
    for method, path in REQUESTS:
        attempt, status, _, _ = fleet.request(path, method=method)
        services = [name for name, target in targets.items() if any(seen[0] == attempt for seen in target.requests)]
        say(f"  {method} {path}: {status} {' '.join(services)}".rstrip())
