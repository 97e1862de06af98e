"""A small deployment on loopback for the cases of the review.

The programs are started with the commands and settings templates of the deploy file, one address in 127.0.0.0/8 for
each machine. Targets, clients and the operator are stand-ins on raw sockets, so that a case decides each byte.
"""

import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HOST = "gateway.example"
ZONES = ("brescia", "cremona", "mantova")
HEARTBEAT_S = 1.5
BOUNDS = {"drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000, "retry_budget_ratio": 0.2}


class CannotRun(Exception):
    """The case could not be set up, which is no result."""


class Record:
    """record.txt: one line for each event, with the time in seconds since the start."""

    def __init__(self, directory):
        self.file = open(pathlib.Path(directory) / "record.txt", "w")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


def look_up(fields, name):
    value = fields
    for part in name.split("."):
        if not isinstance(value, dict) or part not in value:
            return ""
        value = value[part]
    if isinstance(value, bool):
        return "true" if value else "false"
    return ",".join(value) if isinstance(value, list) else str(value)


def render(template, fields):
    """Fills in the placeholders of a settings template; those of the project are plain values and lists."""
    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", lambda match: look_up(fields, match.group(1)), template)


def receive_head(reader):
    """Reads the head of a message. Returns its first line and its headers with lower-case names, or None at the end."""
    line = reader.readline()
    if not line.endswith(b"\r\n"):
        return None
    headers = {}
    while True:
        field = reader.readline()
        if field == b"\r\n":
            return line.decode("latin-1").strip(), headers
        if not field.endswith(b"\r\n"):
            return None
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


def receive_body(reader, headers):
    """Reads a body with a length or in chunks. Returns (body, whether it is complete)."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            line = reader.readline()
            if not line.endswith(b"\r\n"):
                return body, False
            size = int(line.split(b";")[0], 16)
            data = reader.read(size + 2)
            if len(data) < size + 2:
                return body + data, False
            if size == 0:
                return body, True
            body += data[:size]
    size = int(headers.get("content-length", 0))
    body = reader.read(size)
    return body, len(body) == size


class Answer:
    """What a client saw: a status with its body, or the end of the connection."""

    def __init__(self, status=None, headers=None, body=b"", complete=False, error=""):
        self.status, self.headers, self.body = status, headers or {}, body
        self.complete, self.error = complete, error

    def __str__(self):
        if self.status is None:
            return f"connection ended without an answer ({self.error})"
        signature = self.headers.get("server-signature", "none")
        return f"{self.status} signature={signature} body={'whole' if self.complete else 'incomplete'}"


class Connection:
    """A kept connection of a client to an entry."""

    def __init__(self, deployment, address, timeout_s=30):
        host, port = address.rsplit(":", 1)
        self.deployment = deployment
        self.socket = socket.create_connection((host, int(port)), timeout=1)
        self.socket.settimeout(timeout_s)
        self.reader = self.socket.makefile("rb")

    def send(self, method, path, deadline_ms, body=b"", attempt=None):
        """Sends a request and returns its Attempt-Id."""
        attempt = attempt or self.deployment.next_attempt()
        head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
                f"Deadline-Remaining-Ms: {deadline_ms}\r\n")
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        self.deployment.record.write(f"client sends {attempt} {method} {path} deadline_ms={deadline_ms}")
        self.socket.sendall(head.encode() + b"\r\n" + body)
        return attempt

    def receive(self, attempt):
        try:
            head = receive_head(self.reader)
            if head is None:
                answer = Answer(error="closed")
            else:
                body, complete = receive_body(self.reader, head[1])
                answer = Answer(int(head[0].split()[1]), head[1], body, complete)
        except OSError as error:
            answer = Answer(error=type(error).__name__)
        self.deployment.record.write(f"client gets for {attempt}: {answer}")
        return answer

    def close(self):
        self.socket.close()


class Target:
    """A target. HANDLE(target, connection, request) answers a request that arrived; see reply()."""

    def __init__(self, deployment, name, service, zone, slots, handle):
        self.deployment, self.name, self.service, self.zone = deployment, name, service, zone
        self.slots, self.handle = slots, handle
        self.born, self.sequence, self.state = int(time.time() * 1000), 0, "ready"
        self.listener = socket.create_server((deployment.ip("target"), 0), backlog=128)
        self.address = "%s:%d" % self.listener.getsockname()
        self.runs = []  # (time, attempt, method, path)
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        """Serves one request at a time on a connection, as the pages say."""
        reader = connection.makefile("rb")
        try:
            while True:
                head = receive_head(reader)
                if head is None:
                    return
                method, path, _ = head[0].split(" ")
                body, complete = receive_body(reader, head[1])
                if not complete:
                    return
                request = {"method": method, "path": path, "headers": head[1], "body": body,
                           "attempt": head[1].get("attempt-id", "")}
                self.deployment.record.write(f"{self.name} receives {request['attempt']} {method} {path}")
                if head[1].get("expected-instance", self.name) != self.name:
                    self.reply(connection, request, 421, not_executed=True)
                else:
                    self.handle(self, connection, request)
        except OSError:
            pass
        finally:
            connection.close()

    def begin_run(self, request):
        with self.lock:
            self.runs.append((self.deployment.record.now(), request["attempt"], request["method"], request["path"]))
        self.deployment.record.write(f"{self.name} ({self.service}) runs {request['attempt']}")

    def build(self, request, status, body=b"", not_executed=False):
        head = f"HTTP/1.1 {status} Status\r\nAttempt-Id: {request['attempt']}\r\nInstance-Id: {self.name}\r\n"
        head += "Not-Executed: 1\r\n" if not_executed else f"Server-Signature: s.{self.name}.{request['attempt']}\r\n"
        return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body

    def reply(self, connection, request, status, body=b"", not_executed=False):
        self.deployment.record.write(f"{self.name} answers {request['attempt']}: {status}"
                                     f"{' Not-Executed' if not_executed else ''}")
        connection.sendall(self.build(request, status, body, not_executed))

    def announce(self):
        """Sends heartbeats until the end, to any control instance."""
        while not self.stopping.is_set():
            self.sequence += 1
            body = {"address": self.address, "born": self.born,
                    "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
                    "status": {"state": self.state, "sequence": self.sequence, "warmup_left_ms": 0}}
            self.deployment.rpc("instances.heartbeat", body, instance=self.name)
            self.stopping.wait(HEARTBEAT_S)

    def stop(self):
        self.stopping.set()
        self.listener.close()


class Deployment:
    """Control instances and entries from the deploy file, with targets and an operator."""

    def __init__(self, case_directory):
        self.record = Record(case_directory)
        self.deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.directory = pathlib.Path(self.temporary.name)
        self.processes, self.machines, self.targets = {}, {}, []
        self.attempts, self.lock = 0, threading.Lock()
        self.block = os.getpid() % 120 + 2
        self.last_ip = {"core": 0, "front": 0, "target": 0}
        self.ports = self.find_ports()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for target in self.targets:
            target.stop()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.temporary.cleanup()

    def ip(self, kind):
        self.last_ip[kind] += 1
        return f"127.{self.block}.{('core', 'front', 'target').index(kind) + 1}.{self.last_ip[kind]}"

    def find_ports(self):
        """Returns six ports that are free on every loopback address."""
        first = 20000 + os.getpid() % 1000 * 10
        for base in range(first, first + 2000, 10):
            try:
                for port in range(base, base + 6):
                    with socket.socket() as probe:
                        probe.bind(("0.0.0.0", port))
            except OSError:
                continue
            return range(base, base + 6)
        raise CannotRun("no free ports")

    def next_attempt(self):
        with self.lock:
            self.attempts += 1
            return "%016x" % (0xa000000000000000 + self.attempts)

    def start_machine(self, role, name, ip, zone, bootstrap):
        front = role == "entry"
        listen = ({"front": f"{ip}:{self.ports[0]}", "ready": f"{ip}:{self.ports[1]}"} if front else
                  {"control": f"{ip}:{self.ports[2]}", "directory": f"{ip}:{self.ports[3]}"})
        data = self.directory / name
        data.mkdir(exist_ok=True)
        fields = {"node_name": name, "zone": zone, "ip": ip, "listen": listen, "seeds": self.seeds,
                  "internal_port_range": {"0": self.ports[4], "1": self.ports[5]}, "data_dir": str(data),
                  "bootstrap": bootstrap, "fault_tolerance": {"machines": 1}, "bounds": BOUNDS,
                  "limits": {"link_mbps": 1000.0, "cpu_share": 0.2}}
        deploy = self.deploy["roles"][role]
        settings = self.directory / f"{name}.settings"
        settings.write_text(render((REPOSITORY / deploy["template"]).read_text(), fields))
        program, *arguments = deploy["run"].split()
        with open(self.directory / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [str(REPOSITORY / program), *arguments], stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                cwd=REPOSITORY, env={"PATH": os.environ["PATH"], "ANVILLB_SETTINGS_FILE": str(settings)})
        self.machines[name] = {"role": role, "zone": zone, "ip": ip, **listen}

    def start(self, fronts, cores=3):
        """Starts CORES control instances and one entry for each zone in FRONTS."""
        ips = [self.ip("core") for _ in range(cores)]
        self.seeds = [f"{ip}:{self.ports[2]}" for ip in ips[:3]]
        for i, ip in enumerate(ips):
            self.start_machine("control", f"core-{i + 1}", ip, ZONES[i % 3], True)
        for i, zone in enumerate(fronts):
            self.start_machine("entry", f"front-{i + 1}", self.ip("front"), zone, True)

    def signal(self, name, number):
        self.record.write(f"{name} gets {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    def call(self, address, method, target, body=b"", headers=None, timeout_s=2):
        """One call on a connection of its own. Returns an Answer."""
        host, port = address.rsplit(":", 1)
        try:
            with socket.create_connection((host, int(port)), timeout=1) as connection:
                connection.settimeout(timeout_s)
                lines = [f"{method} {target} HTTP/1.1", f"Host: {address}", f"Content-Length: {len(body)}"]
                lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
                connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                reader = connection.makefile("rb")
                head = receive_head(reader)
                if head is None:
                    return Answer(error="closed")
                content, complete = receive_body(reader, head[1])
                return Answer(int(head[0].split()[1]), head[1], content, complete)
        except OSError as error:
            return Answer(error=type(error).__name__)

    def rpc(self, name, body, instance=None, base=None):
        """Calls one control instance after the other until one acknowledges or refuses; follows a 307 twice."""
        query = {"call": name, **({"of": instance} if instance else {})}
        path = "/-/rpc?" + urllib.parse.urlencode(query)
        headers = {"Content-Type": "application/json", **({"Base-Version": base} if base else {})}
        answer = Answer(error="no control instance")
        for machine in [m for m in self.machines.values() if m["role"] == "control"]:
            address, target = machine["control"], path
            for _ in range(3):
                answer = self.call(address, "POST", target, json.dumps(body).encode(), headers)
                if answer.status != 307:
                    break
                url = urllib.parse.urlsplit(answer.headers["location"])
                address, target = url.netloc, f"{url.path}?{url.query}"
            if answer.status is not None and answer.status < 500:
                return answer
        return answer

    def configure(self, routes, services, version="00000001", base="00000000", max_connections=None):
        """Sends the first configuration until it is acknowledged."""
        limits = max_connections or {}
        body = {"version": version, "routes": routes,
                "services": [{"name": name, "health_path": "/health", "max_connections": limits.get(name, 390),
                              "protocol": "h1", "tls": False} for name in services],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000}}
        wait_until(lambda: self.rpc("config.put", body, base=base).status == 200, "the first configuration")
        self.record.write(f"configuration {version} acknowledged: "
                          + ", ".join(f"{r['path_prefix']} -> {r['service']}" for r in routes))

    def add_target(self, name, service, zone, slots, handle):
        target = Target(self, name, service, zone, slots, handle)
        self.targets.append(target)
        threading.Thread(target=target.announce, daemon=True).start()
        return target

    def front(self, name="front-1"):
        return self.machines[name]["front"]

    def resolve(self, zone):
        """Asks the directory for entries, as a client does. Returns (addresses, ttl_s)."""
        for machine in [m for m in self.machines.values() if m["role"] == "control"]:
            answer = self.call(machine["directory"], "GET", f"/-/resolve?name={HOST}&region=padana&zone={zone}")
            if answer.status == 200:
                body = json.loads(answer.body)
                self.record.write(f"the directory answers {body['addresses']} ttl_s={body['ttl_s']}")
                return body["addresses"], body["ttl_s"]
        return [], 0

    def wait_ready(self):
        """Waits until each entry is ready and in the directory, and has had the targets for some seconds."""
        for name, machine in self.machines.items():
            if machine["role"] == "entry":
                wait_until(lambda m=machine: self.call(m["ready"], "GET", "/-/ready").status == 200, f"{name} is ready")
        wait_until(lambda: all(f"id={t.name}" in self.log(name) for t in self.targets
                               for name, m in self.machines.items() if m["role"] == "entry"), "the entries know the targets")
        for name, machine in self.machines.items():
            if machine["role"] == "entry":
                wait_until(lambda m=machine: m["front"] in self.resolve(m["zone"])[0], f"{name} is in the directory", 10)
        time.sleep(4)

    def log(self, name):
        return (self.directory / f"{name}.log").read_text(errors="replace")


def route(name, prefix, kind, service, timeout_ms, goal_ms, max_attempts=2):
    return {"name": name, "host": HOST, "path_prefix": prefix, "route_type": kind, "timeout_ms": timeout_ms,
            "latency_goal_ms": goal_ms, "priority": 1, "service": service, "max_attempts": max_attempts}


def wait_until(condition, text, limit_s=30):
    end = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end:
            raise CannotRun(f"timeout: {text}")
        time.sleep(0.05)


def main(case_directory, run):
    """Runs RUN(deployment, trouble), which returns the violations, and exits with 1, 0 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # leaves the deployment, which ends its processes
    try:
        with Deployment(case_directory) as deployment:
            violations = run(deployment, trouble)
            for violation in violations:
                deployment.record.write(f"BROKEN: {violation}")
            deployment.record.write("rule broken" if violations else "rule held")
            keep_log = os.environ.get("REVIEW_LOGS")
            if keep_log:
                for name in deployment.machines:
                    (pathlib.Path(keep_log) / f"{name}.log").write_text(deployment.log(name))
    except Exception as error:
        print(f"cannot run: {type(error).__name__}: {error}", file=sys.stderr)
        sys.exit(2)
    for violation in violations:
        print(violation)
    sys.exit(1 if violations else 0)
