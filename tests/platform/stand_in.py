"""Simulates the users' platform (targets, an operator, callers) around a fleet of the real programs.

Each instance has its own address in 127.0.0.0/8, because all instances use the same peer port.
"""

import http.client
import http.server
import json
import os
import pathlib
import random
import re
import shutil
import signal
import subprocess
import tempfile
import threading
import time
import urllib.parse

from fleet import free_ports, wait_until

HOST = "host.example"
WAIT_LIMIT_S = 30
GRACE_S = 4

_FIELD = b"X: " + b"x" * 8000 + b"\r\n"
_OWN = b"HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Signature: s\r\n"
_CHUNK = b"10000\r\n" + b"x" * 65536 + b"\r\n"
# Answers without end: the first bytes, in which ID stands for the id of the request, and what follows again and again.
ENDLESS = {
    "endless line": (b"", b"x" * 65536),
    "endless head": (_OWN, _FIELD),
    "endless interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\n" + _FIELD + b"\r\n"),
    "endless responses to others": (b"", b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 2\r\n\r\nab"),
    "endless body": (_OWN + b"\r\n", b"x" * 65536),
    "endless chunks": (_OWN + b"Transfer-Encoding: chunked\r\n\r\n", _CHUNK),
    "endless chunk size": (_OWN + b"Transfer-Encoding: chunked\r\n\r\n", b"0" * 65536),
    "endless trailers": (_OWN + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", _FIELD),
    "endless unsigned body": (b"HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\n\r\n", b"x" * 65536),
    "endless rejection": (b"HTTP/1.1 503 Full\r\nAttempt-Id: ID\r\nNot-Executed: 1\r\n\r\n", b"x" * 65536),
}


class Program:
    """One running program with its settings in the environment."""

    def __init__(self, fleet, name, program, settings):
        self.fleet, self.name, self.program, self.popen = fleet, name, program, None
        self.settings = settings
        self.settings_file = fleet.directory / f"{name}.settings"
        self.disk_faults = fleet.directory / f"{name}.disk"
        self.write_settings()

    def write_settings(self):
        temporary = self.settings_file.with_suffix(".new")
        temporary.write_text("".join(f"ANVILLB_{key}={value}\n" for key, value in self.settings.items()))
        temporary.rename(self.settings_file)

    def start(self):
        with open(self.fleet.directory / f"{self.name}.log", "ab") as log:
            environment = dict(os.environ, ANVILLB_SETTINGS_FILE=str(self.settings_file))
            if self.fleet.preloads_disk_faults and "DATA_DIR" in self.settings:
                environment |= {"LD_PRELOAD": str(self.fleet.build.resolve().parent / "tests/soak/disk-faults.so"),
                                "ASAN_OPTIONS": environment.get("ASAN_OPTIONS", "") + ":verify_asan_link_order=0",
                                "DISK_FAULTS": str(self.disk_faults), "DISK_FAULTS_IN": str(self.settings["DATA_DIR"])}
            self.popen = subprocess.Popen([str(self.program)], stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                          env=environment)
        return self

    def set_disk_faults(self, faults):
        """Makes calls to the disk fail from now on; see soak/disk_faults.c. Needs fleet.preloads_disk_faults."""
        temporary = self.disk_faults.with_suffix(".new")
        temporary.write_text(faults)
        temporary.rename(self.disk_faults)

    def kill(self):
        if self.popen and self.popen.poll() is None:
            self.popen.kill()
        if self.popen:
            self.popen.wait()

    def terminate(self, limit_s=WAIT_LIMIT_S):
        """Requests a planned stop with SIGTERM and returns the exit status."""
        self.popen.send_signal(signal.SIGTERM)
        return self.popen.wait(limit_s)

    def peak_kb(self):
        status = pathlib.Path(f"/proc/{self.popen.pid}/status").read_text()
        return int(next(line for line in status.splitlines() if line.startswith("VmHWM:")).split()[1])

    def log(self):
        path = self.fleet.directory / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""


class Target:
    """A target that announces itself and answers requests in the protocol of the platform.

    mode selects a fault: "full" refuses every request, "full once" the first attempt of each request, "refuses after the
    run" a request that it recorded as run, "unproven refusal" answers 503 without saying that the request was not run, "refuses POST after the run" only those with this method, "reset" closes the connection, "reset and stop"
    also takes no further connection, "unsigned" leaves the signature out, "late"
    sends the answer of another request first, "errors" answers with 500, "normal" has no fault. "busy" refuses every
    request and asks for a pause of pause_s. "leaving" says in each answer that the target leaves; "spoiled leaving" says
    it in a success without a signature, "late leaving" in an additional answer to another request. The modes of ENDLESS
    write bytes without end; cut_count counts the connections that were closed meanwhile. "copies" refuses some requests,
    and writes its last answer once more, as it was or damaged, where the next answer on the connection is expected.
    on_head, if set, is called with the handler in place of all this, before the body of the request is read. work_s, if set,
    takes the path of a request and returns the time that it takes, in place of delay_s.
    """

    on_head = None
    work_s = None

    def __init__(self, fleet, number, service, zone="a", delay_s=0.0, identity=None, address=None, slots=4):
        self.fleet, self.service, self.zone, self.delay_s, self.slots = fleet, service, zone, delay_s, slots
        self.random = random.Random(number)
        self.identity = identity or f"i-{number:08x}"
        self.born, self.sequence, self.state = int(time.time() * 1000), 0, "ready"
        self.requests, self.execution_times, self.mode = [], [], "normal"
        self.completed = set()  # requests whose answer was written
        self.fields = {}  # by request id: fields of the head, and lines of the trailer
        self.arrival_times, self.pause_s, self.cut_count = [], "1.5", 0
        handler = type("Handler", (TargetHandler,), {"target": self})
        self.server = TargetServer(address or ("127.0.0.1", 0), handler)
        self.server.daemon_threads = True
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def stop(self):
        self.server.shutdown()
        self.server.server_close()

    def heartbeat_body(self):
        self.sequence += 1
        return {"address": self.address, "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
                "status": {"state": self.state, "sequence": self.sequence, "warmup_left_ms": 0}}

    def send_heartbeat(self, control=None):
        return self.fleet.rpc("instances.heartbeat", self.heartbeat_body(), instance=self.identity, control=control)[0]

    def deregister(self, control=None):
        return self.fleet.rpc("instances.deregister", {"born": self.born}, instance=self.identity, control=control)[0]


class TargetServer(http.server.ThreadingHTTPServer):
    def handle_error(self, request, client_address):
        """Prints no traceback: an entry that abandons a request closes its connection."""


class TargetHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    target = None

    last_answer = None  # on this connection

    def answer(self, status, headers=(), body=b"", pause_s=0):
        """Answers at once, or writes the body in parts with pauses between them."""
        lines = [f"HTTP/1.1 {status} Status"] + [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        self.last_answer = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        first_size = len(self.last_answer) - (len(body) if pause_s > 0 else 0)
        self.wfile.write(self.last_answer[:first_size])
        for start in range(first_size, len(self.last_answer), 6):
            time.sleep(pause_s)
            self.wfile.write(self.last_answer[start:start + 6])

    def write_copy(self):
        """Writes the last answer of this connection once more, or a part of it, or a refusal without an id."""
        if self.last_answer is None:
            return
        draw = self.target.random
        time.sleep(draw.choice((0, draw.uniform(0.001, 0.3))))
        refusal = (b"HTTP/1.1 503 Unavailable\r\n" + draw.choice((b"", b"Not-Executed: 1\r\n"))
                   + draw.choice((b"", b"Server-Leaving: 1\r\n", b"Retry-After: 1\r\n")) + b"Content-Length: 0\r\n\r\n")
        without_id = re.sub(rb"Attempt-Id: [^\r]*\r\n", b"", self.last_answer)
        self.wfile.write(draw.choice((self.last_answer, self.last_answer, without_id, refusal)))

    def read_chunks(self):
        """Reads a chunked body and returns it and the lines of its trailer."""
        body, trailer = b"", []
        while size := int(self.rfile.readline(), 16):
            body += self.rfile.read(size)
            self.rfile.readline()
        while line := self.rfile.readline().strip():
            trailer.append(line.decode("latin-1"))
        return body, trailer

    def handle_request(self):
        if self.target.on_head:
            self.close_connection = True
            self.target.on_head(self)
            return
        chunked = self.headers.get("Transfer-Encoding") == "chunked"
        body, trailer = self.read_chunks() if chunked else (self.rfile.read(int(self.headers.get("Content-Length", 0))), [])
        self.target.fields[self.headers.get("Attempt-Id", "")] = self.headers.items(), trailer
        expected = self.headers.get("Expected-Instance")
        attempt = self.headers.get("Attempt-Id", "")
        if expected and expected != self.target.identity:
            self.answer(421, [("Attempt-Id", attempt), ("Instance-Id", self.target.identity)])
            return
        refuse_first = self.target.mode == "full once" and attempt not in self.target.fleet.seen_attempts
        self.target.fleet.seen_attempts.add(attempt)
        self.target.arrival_times.append(time.monotonic())
        if self.target.mode == "copies":
            self.write_copy()
            if self.target.random.random() < 0.3:
                self.answer(503, [("Attempt-Id", attempt), ("Not-Executed", "1")])
                return
        if self.target.mode == "busy":
            self.answer(503, [("Attempt-Id", attempt), ("Not-Executed", "1"), ("Retry-After", self.target.pause_s)])
            return
        if self.target.mode == "endless rejection":
            self.write_endlessly(attempt, *ENDLESS[self.target.mode])
            return
        if self.target.mode == "full" or refuse_first:
            self.answer(503, [("Attempt-Id", attempt), ("Not-Executed", "1")])
            return
        self.target.execution_times.append(time.monotonic())
        self.target.requests.append((attempt, self.command, self.path, body,
                                     int(self.headers.get("Deadline-Remaining-Ms", -1))))
        if self.target.mode == "refuses after the run" or (self.target.mode == "refuses POST after the run" and
                                                           self.command == "POST"):
            self.answer(503, [("Attempt-Id", attempt), ("Not-Executed", "1")])
            return
        if self.target.mode == "unproven refusal":
            self.answer(503, [("Attempt-Id", attempt), ("Server-Signature", "s." + self.target.identity)])
            return
        if self.target.mode in ("reset", "reset and stop"):
            if self.target.mode == "reset and stop":
                self.target.stop()
            self.close_connection = True
            self.connection.close()
            return
        if self.target.mode in ENDLESS:
            self.write_endlessly(attempt, *ENDLESS[self.target.mode])
            return
        time.sleep(self.target.work_s(self.path) if self.target.work_s else self.target.delay_s)
        unsigned = self.target.mode in ("unsigned", "spoiled leaving")
        signature = [] if unsigned else [("Server-Signature", "s." + self.target.identity)]
        if self.target.mode in ("late", "late leaving"):
            leaving = b"Server-Leaving: 1\r\n" if self.target.mode == "late leaving" else b""
            self.wfile.write(b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Signature: x\r\n" + leaving +
                             b"Content-Length: 5\r\n\r\nwrong")
        if self.target.mode in ("leaving", "spoiled leaving"):
            signature.append(("Server-Leaving", "1"))
        status = 500 if self.target.mode == "errors" else 200
        self.answer(status, [("Attempt-Id", attempt), ("Server-Load", "1,0,4")] + signature,
                    ("answer to %s" % attempt).encode(), pause_s=0.5 if self.path.endswith("/long") else 0)
        self.target.completed.add(attempt)

    def write_endlessly(self, attempt, head, block):
        """Writes until the entry closes the connection."""
        self.close_connection = True
        try:
            self.wfile.write(head.replace(b"ID", attempt.encode()))
            while True:
                self.wfile.write(block)
        except OSError:
            self.target.cut_count += 1

    do_GET = do_POST = handle_request

    def log_message(self, *_):
        pass


class PlatformFleet:
    """Control instances and entries with the platform adapter, and simulated targets."""

    def __init__(self, build):
        self.build = pathlib.Path(build) / "platform"
        self.temporary = tempfile.TemporaryDirectory(prefix="anvillb-")
        self.directory = pathlib.Path(self.temporary.name)
        self.controls, self.entries, self.targets = [], [], []
        self.ports = free_ports(4)
        self.port_block = self.ports[0] // 200
        self.attempts, self.seen_attempts = 0, set()
        self.preloads_disk_faults = False  # set it before start()
        self.entry_settings = {}  # besides the usual ones; set them before start()
        self.lock = threading.Lock()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for program in self.entries + self.controls:
            program.kill()
        for target in self.targets:
            target.stop()
        self.temporary.cleanup()

    def processes(self):
        return self.controls + self.entries

    def ip(self, kind, number):
        return f"127.{kind}.{self.port_block % 250 + 1}.{number + 1}"

    def start(self, controls=3, entries=2):
        """The first three control instances are the seeds."""
        self.tolerated_failures = (controls - 1) // 2
        seeds = self.seeds(range(min(controls, 3)))
        for _ in range(controls):
            self.add_control(seeds, found_group=True)
        for i in range(entries):
            ip = self.ip(2, i)
            self.entries.append(Program(self, f"entry-{i}", self.build / "anvillb-fleet-entry", {
                "INSTANCE": f"entry-{i}", "DOMAIN": "abc"[i % 3], "LISTEN": f"{ip}:{self.ports[0]}",
                "READY_LISTEN": f"{ip}:{self.ports[1]}", "PEER_LISTEN": f"{ip}:{self.ports[2]}",
                "METRICS_LISTEN": f"{ip}:{self.ports[3]}", "SEED": seeds, "GRACE_S": GRACE_S, "RETRY_SHARE": 1, "RETRY_RATE": 100,
                "DEFAULT_LATENCY_MS": 1000, **self.entry_settings}).start())

    def seeds(self, controls):
        return ",".join(f"{self.ip(1, i)}:{self.ports[0]}" for i in controls)

    def change_seeds(self, controls):
        """Changes the seeds in the settings of all programs, which read them again."""
        for program in self.processes():
            program.settings["SEED"] = self.seeds(controls)
            program.write_settings()

    def add_control(self, seeds, found_group=False):
        """Starts a further control instance and returns its number."""
        i = len(self.controls)
        ip = self.ip(1, i)
        self.controls.append(Program(self, f"control-{i}", self.build / "anvillb-fleet-control", {
            "INSTANCE": f"control-{i}", "DOMAIN": "abc"[i % 3], "CALL_LISTEN": f"{ip}:{self.ports[0]}",
            "DIRECTORY_LISTEN": f"{ip}:{self.ports[1]}", "PEER_LISTEN": f"{ip}:{self.ports[2]}", "SEED": seeds,
            "METRICS_LISTEN": f"{ip}:{self.ports[3]}",
            "DATA_DIR": self.directory / f"data-{i}", "FOUND_GROUP": str(found_group).lower(), "CALL_TIMEOUT_MS": 5000,
            "TOLERATED_FAILURES": self.tolerated_failures}).start())
        return i

    def add_target(self, service, **arguments):
        target = Target(self, len(self.targets) + 1, service, **arguments)
        self.targets.append(target)
        return target

    # Requests of operators, callers and targets.

    def call(self, ip, port, method, path, body=None, headers=None, timeout=10):
        connection = http.client.HTTPConnection(ip, port, timeout=timeout)
        try:
            connection.request(method, path, body, headers or {})
            answer = connection.getresponse()
            return answer.status, dict(answer.getheaders()), answer.read()
        finally:
            connection.close()

    def rpc(self, name, body=None, instance=None, base=None, control=None):
        """Calls a procedure of a control instance, follows redirects, and returns (status, decoded body).

        The body is None if it is empty or text, as in a 504 answer of the control instance's HTTP server.
        """
        query = {"call": name, **({"of": instance} if instance else {})}
        path = "/-/rpc?" + urllib.parse.urlencode(query)
        headers = {"Content-Type": "application/json", **({"Base-Version": base} if base else {})}
        text = body if isinstance(body, str) else json.dumps(body) if body is not None else None
        ip, port = self.ip(1, control if control is not None else self.live_control()), self.ports[0]
        for _ in range(3):
            status, answer, raw = self.call(ip, port, "POST", path, text, headers)
            if status != 307:
                break
            url = urllib.parse.urlsplit(answer["Location"])
            ip, port, path = url.hostname, url.port, f"{url.path}?{url.query}"
        is_json = answer.get("Content-Type", "").startswith("application/json")
        return status, json.loads(raw) if raw and is_json else None

    def read_control_metric(self, control, name):
        """Returns the value of a metric of a control instance, or None if it does not answer."""
        try:
            _, _, raw = self.call(self.ip(1, control), self.ports[3], "GET", "/metrics")
        except OSError:
            return None
        values = re.findall(rf"^{name}(?:{{[^}}]*}})? (\S+)$", raw.decode(), re.MULTILINE)
        return float(values[0]) if values else None

    def lose_disk(self, control):
        """Kills a control instance and removes its data; start() brings it back as a new one."""
        program = self.controls[control]
        program.kill()
        shutil.rmtree(self.directory / f"data-{control}")
        program.settings["FOUND_GROUP"] = "false"
        program.write_settings()
        return program

    def leader(self):
        """Returns the number of the control instance that leads in the highest term, or None if it does not run."""
        terms = [max((int(term) for term in re.findall(r"role=leader term=(\d+)", program.log())), default=0)
                 for program in self.controls]
        leader = terms.index(max(terms))
        return leader if max(terms) > 0 and self.controls[leader].popen.poll() is None else None

    def live_control(self):
        return next(i for i, program in enumerate(self.controls) if program.popen.poll() is None)

    def put(self, version, base, routes, services, control=None):
        body = {"version": version, "routes": routes, "services": services,
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000}}
        return self.rpc("config.put", body, base=base, control=control)[0]

    def patch(self, version, base, upsert=(), drop=(), control=None):
        body = {"version": version, "upsert": {"routes": list(upsert)}, "drop": {"routes": list(drop)}}
        return self.rpc("config.patch", body, base=base, control=control)[0]

    def read(self, control=None):
        return self.rpc("config.get", control=control)

    def resolve(self, zone="a", control=None):
        path = "/-/resolve?" + urllib.parse.urlencode({"name": HOST, "region": "r", "zone": zone})
        ip = self.ip(1, control if control is not None else self.live_control())
        status, _, raw = self.call(ip, self.ports[1], "GET", path)
        return json.loads(raw)["addresses"] if status == 200 else []

    def readiness_status(self, entry):
        return self.call(self.ip(2, entry), self.ports[1], "GET", "/-/ready")[0]

    def request(self, path, method="GET", entry=0, deadline_ms=5000, body=None, host=HOST, length=None):
        with self.lock:
            self.attempts += 1
            attempt = "%016x" % self.attempts
        headers = {"Host": host, "Attempt-Id": attempt, "Deadline-Remaining-Ms": str(deadline_ms)}
        if length is not None:
            headers["Content-Length"] = str(length)
        status, answer, raw = self.call(self.ip(2, entry), self.ports[0], method, path, body, headers)
        return attempt, status, answer, raw

    def executions(self, attempt):
        return sum(1 for target in self.targets for seen in target.requests if seen[0] == attempt)

    def start_serving(self, targets=2, entries=2):
        """Starts the fleet with one configuration and TARGETS targets, and waits until each entry answers 200."""
        self.start(entries=entries)
        wait_until(lambda: self.put("00000001", "0", [route("safe", "s1"), route("unsafe", "s1")], [service("s1")]) == 200,
                   "the first configuration")
        for _ in range(targets):
            target = self.add_target("s1")
            wait_until(lambda: target.send_heartbeat() == 200, "a heartbeat")
        wait_until(lambda: all(self.readiness_status(i) == 200 for i in range(len(self.entries))), "the entries are ready")
        wait_until(lambda: all(self.request("/safe/x", entry=i)[1] == 200 for i in range(len(self.entries))),
                   "the entries answer")


def route(kind, service_name, name=None, **members):
    name = name or kind
    return {"name": f"r-{name}", "host": HOST, "path_prefix": f"/{name}/", "route_type": kind, "timeout_ms": 4000,
            "latency_goal_ms": 2000, "priority": 1, "service": service_name, "max_attempts": 3, **members}


def service(name, max_connections=390):
    return {"name": name, "health_path": "/health", "max_connections": max_connections, "protocol": "h1", "tls": False}
