"""Guards against a request without the key of a team that reaches a target, a key that a target sees, a team that a
caller forges, a key that stays valid after its withdrawal, and keys in logs."""

import http.client
import threading
import time

from fleet import wait_until
from stand_in import HOST, route, service

IN_FORCE_LIMIT_S = 2
FORGED = [("Tenant-Name", "forged"), ("tenant-name", "forged"), ("TENANT_NAME", "forged"), ("Tenant_name", "forged"),
          ("Connection", "Tenant-Name")]


def team(name, *keys, **members):
    return {"name": name, "api_keys": list(keys), "priority": 1, "rate_per_s": 437, "burst": 437, **members}


TEAMS = [team("alpha", "key-alpha-1", "key-alpha-2", rate_per_s=0), team("beta", "key-beta-1", priority=0, rate_per_s=1000000, burst=0.5)]
CONFIG = {"routes": [route("safe", "s1"), route("safe", "s1", name="open", public_access=True), route("unsafe", "s1"),
                     route("safe", "s2", name="narrow", priority=3, timeout_ms=10000, latency_goal_ms=9000)],
          "services": [service("s1"), service("s2")]}


class Caller:
    """A caller with one kept connection to an entry."""

    def __init__(self, fleet, entry=0):
        self.fleet = fleet
        self.connection = http.client.HTTPConnection(fleet.ip(2, entry), fleet.ports[0], timeout=10)

    def send(self, path, *fields, body=None, trailer=()):
        """Returns the request id, the status and the fields of the answer. BODY is sent in chunks with TRAILER."""
        with self.fleet.lock:
            self.fleet.attempts += 1
            attempt = "%016x" % self.fleet.attempts
        connection = self.connection
        connection.putrequest("GET" if body is None else "POST", path, skip_host=True, skip_accept_encoding=True)
        for name, value in [("Host", HOST), ("Attempt-Id", attempt), ("Deadline-Remaining-Ms", "10000"), *fields]:
            connection.putheader(name, value)
        if body is not None:
            connection.putheader("Transfer-Encoding", "chunked")
        connection.endheaders()
        if body is not None:
            lines = [f"{name}: {value}\r\n" for name, value in trailer]
            connection.send(b"%x\r\n%s\r\n0\r\n%s\r\n" % (len(body), body, "".join(lines).encode()))
        answer = connection.getresponse()
        answer.read()
        return attempt, answer.status, dict(answer.getheaders())


def run(fleet, say):
    fleet.start()
    wait_until(lambda: fleet.rpc("config.put", {"version": "00000001", **CONFIG}, base="0")[0] == 200, "a configuration")
    for name, arguments in (("s1", {}), ("s1", {}), ("s2", {"slots": 1, "delay_s": 0.4})):
        target = fleet.add_target(name, **arguments)
        wait_until(lambda: target.send_heartbeat() == 200, "a heartbeat")
    wait_until(lambda: all(fleet.readiness_status(i) == 200 for i in range(2)), "the entries are ready")
    wait_until(lambda: all(fleet.request("/safe/x", entry=i)[1] == 200 for i in range(2)), "the entries answer")

    def seen(attempt):
        """Returns the fields of team and key, and the trailer, that a target got; None if no target saw the request."""
        found = [target.fields[attempt] for target in fleet.targets if attempt in target.fields]
        if not found:
            return None
        fields, trailer = found[0]
        return [(name, value) for name, value in fields
                if name.lower().replace("_", "-") in ("tenant-name", "authorization")] + trailer

    def show(text, caller, path, *fields, **arguments):
        attempt, status, answer = caller.send(path, *fields, **arguments)
        challenge = answer.get("WWW-Authenticate")
        say(f"  {text}: {status}{', ' + challenge if challenge else ''}, target saw {seen(attempt)}")

    def key(text):
        return ("Authorization", f"Bearer {text}")

    caller, other = Caller(fleet), Caller(fleet, entry=1)
    say("without teams:")
    show("fields as they came", caller, "/safe/x", key("any"), ("Tenant-Name", "own"))
    say(f"put with an empty list: {fleet.rpc('config.put', {'version': '00000002', 'tenants': [], **CONFIG}, base='00000001')[0]}"
        f", read back {fleet.read()[1]['tenants']}")
    show("no key", caller, "/safe/x")

    def change(name, body, version, base):
        """Returns the status, and records the time of the answer for within_limit()."""
        status, answer = fleet.rpc(name, {"version": version, **body}, base=base)
        fleet.changed_at = time.monotonic()
        return f"{status}{' ' + str(answer) if status >= 400 else ''}"

    def within_limit(*conditions):
        wait_until(lambda: all(condition() for condition in conditions), "the change is in force")
        return time.monotonic() - fleet.changed_at < IN_FORCE_LIMIT_S

    def status_of(sender, text, path="/safe/x"):
        return sender.send(path, key(text))[1]

    say(f"put with two teams: {change('config.put', {**CONFIG, 'tenants': TEAMS}, '00000003', '00000002')}")
    say(f"in force on kept connections in time: {within_limit(lambda: status_of(caller, 'x') == 401, lambda: status_of(other, 'x') == 401)}")
    got = fleet.read()[1]
    say(f"read back as sent: {got['tenants'] == TEAMS}, routes {got['routes'] == sorted(CONFIG['routes'], key=lambda r: r['name'])}")
    say("with two teams:")
    show("key", caller, "/safe/x", key("key-alpha-1"))
    show("second key", caller, "/safe/x", key("key-alpha-2"))
    show("scheme in lower case", caller, "/safe/x", ("authorization", "bearer key-beta-1"))
    show("forged team", caller, "/safe/x", key("key-beta-1"), *FORGED)
    show("forged in a trailer", caller, "/unsafe/x", key("key-beta-1"), ("Trailer", "Tenant-Name"), body=b"content",
         trailer=FORGED[:4])
    for text, fields in (("no key", []), ("unknown key", [key("key-alpha-3")]), ("start of a key", [key("key-alpha-")]),
                         ("key without scheme", [("Authorization", "key-alpha-1")]),
                         ("other scheme", [("Authorization", "Basic key-alpha-1")]),
                         ("key and more", [key("key-alpha-1 x")]), ("no word", [("Authorization", "Bearer ")]),
                         ("two fields", [key("key-alpha-1"), key("key-alpha-1")]),
                         ("forged team alone", FORGED)):
        show(text, caller, "/safe/x", *fields)
    show("long body without key", caller, "/unsafe/x", body=b"x" * 5000)
    show("no route", caller, "/none/x")
    show("public route, no key", caller, "/open/x")
    show("public route, key", caller, "/open/x", key("key-alpha-1"), *FORGED)
    show("public route, unknown key", caller, "/open/x", key("secret"), *FORGED)

    # Without the priority of the team, the second request of alpha, which came earlier, would go first.
    threads = [threading.Thread(target=Caller(fleet).send, args=(f"/narrow/{name}", key(f"key-{name}-1")))
               for name in ("alpha", "alpha", "beta")]
    for thread in threads:
        thread.start()
        time.sleep(0.1)
    for thread in threads:
        thread.join()
    say(f"one slot, by the priority of the team: {[request[2] for request in fleet.targets[2].requests][:2]}")

    move = {"upsert": {"tenants": [team("alpha", "key-alpha-2"), team("beta", "key-beta-1", "key-alpha-1")]}}
    same = {"upsert": {"tenants": [team("gamma", "key-beta-1")]}}
    say(f"two teams with one key: {change('config.patch', same, '00000004', '00000003')}")
    say(f"key moved: {change('config.patch', move, '00000004', '00000003')}")

    def team_of(text):
        attempt, _, _ = caller.send("/safe/x", key(text))
        return seen(attempt)

    say(f"in force in time: {within_limit(lambda: team_of('key-alpha-1') == [('Tenant-Name', 'beta')])}")
    withdrawal = {"upsert": {"tenants": [team("alpha", "key-alpha-4")]}}
    say(f"key withdrawn: {change('config.patch', withdrawal, '00000005', '00000004')}")
    say(f"in force on kept connections in time: "
        f"{within_limit(lambda: status_of(caller, 'key-alpha-2') == 401, lambda: status_of(other, 'key-alpha-2') == 401)}")

    for program in fleet.controls + fleet.entries[:1]:
        program.kill()
    for program in fleet.controls + fleet.entries[:1]:
        program.start()
    wait_until(lambda: fleet.readiness_status(0) == 200, "the entry is ready")
    wait_until(lambda: fleet.read()[0] == 200, "the control instances answer")
    caller = Caller(fleet)
    for target in fleet.targets:
        wait_until(lambda: target.send_heartbeat() == 200, "a heartbeat")
    wait_until(lambda: status_of(caller, "key-alpha-4") == 200, "the entry answers")
    say("after a restart from stored state:")
    show("new key", caller, "/safe/x", key("key-alpha-4"))
    show("withdrawn key", caller, "/safe/x", key("key-alpha-2"))
    show("withdrawn key at the other entry", other, "/safe/x", key("key-alpha-2"))
    say(f"  read back {[(item['name'], item['api_keys']) for item in fleet.read()[1]['tenants']]}")
    say(f"last teams dropped: {change('config.patch', {'drop': {'tenants': ['alpha', 'beta']}}, '00000006', '00000005')}")
    say(f"in force in time: {within_limit(lambda: status_of(caller, 'key-alpha-4') == 401)}")
    show("no key", caller, "/safe/x")
    say(f"put without teams: {change('config.put', CONFIG, '00000007', '00000006')}")
    say(f"in force in time: {within_limit(lambda: status_of(caller, 'key-alpha-4') == 200)}")
    logs = "".join(program.log() for program in fleet.processes())
    say(f"keys in logs: {'key-alpha' in logs or 'key-beta' in logs or 'secret' in logs}")
