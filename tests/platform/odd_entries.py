"""Guards against processes that end, or stop following the targets, because another writer left odd entries among those of
the targets: nested very deeply, with numbers or ports out of range, very long, or with names that hold a line break."""

import http.client
import json
import time
import urllib.parse

from fleet import wait_until

DEEP = "[" * 10000 + "]" * 10000


def run(fleet, say):
    fleet.start_serving(targets=2)
    known = fleet.targets[0]
    valid = json.dumps(known.heartbeat_body())
    statuses = set()
    for control in range(3):
        for target in fleet.targets:
            wait_until(lambda: target.send_heartbeat() == 200, "a heartbeat")
        for name, identity, body in odd_calls(known, valid):
            statuses.add((name, call(fleet, control, name, identity, body)))
    say(f"answers: {sorted(statuses)}")
    say(f"processes that ended: {sum(program.popen.poll() is not None for program in fleet.processes())}")
    for target in fleet.targets:
        before = len(target.requests)
        wait_until(lambda: fleet.request("/safe/x")[1] == 200 and len(target.requests) > before, "a request at the target")
    say("the other targets are in use: True")
    others = list(fleet.targets)
    added = fleet.add_target("s1")
    wait_until(lambda: added.send_heartbeat() == 200, "a heartbeat")
    for target in others:
        wait_until(lambda: target.deregister() == 200, "an acknowledgement")
    for entry in range(len(fleet.entries)):
        before = len(added.requests)
        wait_until(lambda: fleet.request("/safe/x", entry=entry)[1] == 200 and len(added.requests) > before,
                   "a request at the target that is left")
    say("a target added afterwards is in use at each entry: True")
    logs = [line for program in fleet.controls for line in program.log().splitlines() if "call refused" in line]
    say(f"refusals are logged with their reason: {all('reason=' in line for line in logs)}, "
        f"in lines of their own: {not any(line.startswith('injected') for p in fleet.processes() for line in p.log().splitlines())}")
    say(f"memory of a control instance: {'bounded' if max(program.peak_kb() for program in fleet.controls) < 200 << 10 else 'large'}")


def odd_calls(known, valid):
    """Yields the name, the id and the body of each odd call."""
    def changed(**members):
        body = json.loads(valid)
        for key, value in members.items():
            part = next(part for part in (body, body["info"], body["status"]) if key in part)
            part[key] = value
        return json.dumps(body)

    digits = "9" * 400
    bodies = [DEEP, valid[:-1] + ',"x":' + DEEP + "}", "x" * (4 << 20), "[" + "0," * (2 << 20) + "0]", "", "null", "\x00",
              valid.replace('"slots": 4', f'"slots": {digits}'), valid.replace('"slots": 4', '"slots": NaN'),
              valid.replace('"sequence": ', '"sequence": 1e999, "y": '), valid[:-1] + ',"born":5}',
              changed(born=9007199254740000), changed(address="127.0.0.1:0"), changed(address="127.0.0.1:65536"),
              changed(address="127.0.0.1:-1"), changed(service="s1\x00"), changed(zone="a\ninjected"),
              changed(service="s" * 100000)]
    for body in bodies:
        yield "instances.heartbeat", known.identity, body
        yield "instances.heartbeat", "i-other", body
        yield "config.put", None, body
        yield "config.patch", None, body
        if body:
            yield "instances.deregister", known.identity, body.replace(str(known.born), str(known.born) + ".5")
    for identity in ("", "i\r\nX-Injected: 1", "i\ninjected", "i" * 5000, "\x00"):
        yield "instances.heartbeat", identity, valid
        yield "instances.deregister", identity, ""


def call(fleet, control, name, identity, body):
    """Returns the class of the status, such as 4 for 400."""
    query = urllib.parse.urlencode({"call": name, **({} if identity is None else {"of": identity})})
    headers = {"Base-Version": "00000001", "Content-Type": "application/json"}
    for _ in range(20):
        try:
            status, answer, _ = fleet.call(fleet.ip(1, control), fleet.ports[0], "POST", "/-/rpc?" + query, body.encode(),
                                           headers, timeout=30)
        except (OSError, http.client.HTTPException):
            time.sleep(0.05)
            continue
        if status != 503:
            return status // 100
        time.sleep(0.1)
    return None
