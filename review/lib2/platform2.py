"""The users' platform on loopback, as the scripts of this review need it.

Starts the programs with the commands of deploy/system.toml from the repository root, with settings made from the
templates of the deploy file, each machine with an address of its own in 127.0.0.0/8. Also holds a sound operator, sound
targets and a sound client, and the record of what was sent, answered and run. Only the standard library is used.
"""

import http.client
import http.server
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


class Record:
    """record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start, self.lock = time.monotonic(), threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")
            self.file.flush()


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def find_value(fields, name):
    value = fields
    for part in name.split("."):
        try:
            value = value[int(part)] if isinstance(value, list) else value.get(part)
        except (AttributeError, IndexError, ValueError):
            return None
        if value is None:
            return None
    return value


def render(text, fields):
    """Fills in a template of the deploy file: values, lists joined by commas, and sections."""

    def section(match):
        value = find_value(fields, match.group(2))
        shown = value is not None and value is not False
        return match.group(3) if shown == (match.group(1) == "#") else ""

    def value(match):
        found = find_value(fields, match.group(1))
        if found is None:
            return ""
        if isinstance(found, bool):
            return "true" if found else "false"
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}\n?(.*?)\{\{/\2\}\}\n?", section, text, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class Machine:
    """A machine with one role. Restarts its process after a short delay if it ends, like the platform."""

    def __init__(self, platform, role, name, zone, number):
        self.platform, self.role, self.name, self.zone = platform, role, name, zone
        self.ip = f"127.{60 + (role == 'control')}.{platform.block}.{number + 1}"
        self.popen, self.ends, self.memory_ends, self.keeps_running = None, 0, 0, False
        self.folder = platform.folder / name
        self.folder.mkdir()

    def write_settings(self, bootstrap):
        platform, ports = self.platform, self.platform.ports
        is_core = self.role == "control"
        listen = ({"control": f"{self.ip}:{ports['control']}", "directory": f"{self.ip}:{ports['directory']}"} if is_core
                  else {"front": f"{self.ip}:{ports['front']}", "ready": f"{self.ip}:{ports['ready']}"})
        limits = platform.core_limits if is_core else platform.front_limits
        fields = {"node_name": self.name, "zone": self.zone, "ip": self.ip, "bootstrap": bootstrap, "listen": listen,
                  "limits": limits, "internal_port_range": [ports["internal"], ports["internal"] + 1],
                  "seeds": platform.seeds(), "bounds": platform.bounds, "fault_tolerance": {"machines": platform.tolerance},
                  "data_dir": str(self.folder / "data")}
        template = (ROOT / platform.deploy["roles"][self.role]["template"]).read_text()
        temporary = self.folder / "settings.new"
        temporary.write_text(render(template, fields))
        temporary.rename(self.folder / "settings")

    def start(self, bootstrap=False):
        self.write_settings(bootstrap)
        role = self.platform.deploy["roles"][self.role]
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment.update({name: str(self.folder / "settings") for name in role["env"]})
        with open(self.folder / "log", "ab") as log:
            self.popen = subprocess.Popen(role["run"].split(" "), cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                          stdout=log, stderr=log)
        self.keeps_running = True
        return self

    def is_running(self):
        return self.popen is not None and self.popen.poll() is None

    def kill(self):
        self.keeps_running = False
        if self.popen is not None:
            if self.popen.poll() is None:
                self.popen.kill()
            self.popen.wait()

    def signal(self, number):
        self.popen.send_signal(number)

    def log(self):
        return (self.folder / "log").read_text(errors="replace")

    def memory_bytes(self):
        try:
            status = pathlib.Path(f"/proc/{self.popen.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"^VmRSS:\s+(\d+) kB", status, re.MULTILINE)
        return int(found.group(1)) * 1024 if found else 0

    def disk_bytes(self):
        try:
            return sum(path.stat().st_size for path in (self.folder / "data").iterdir())
        except OSError:
            return 0


class Platform:
    """Machines, and the limits and bounds of a deployment."""

    def __init__(self, record, cores=3, fronts=2, tolerance=1, bounds=None, core_memory_mb=256, front_memory_mb=260):
        self.record, self.tolerance = record, tolerance
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        for role in self.deploy["roles"].values():
            if not (ROOT / role["run"].split(" ")[0]).exists():
                raise CannotRun("the programs are not built")
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self.temporary.name)
        # Another run at the same time has other addresses; the processor of a core machine is not limited here.
        self.block = os.getpid() % 250 + 1
        self.bounds = {"grace_s": 6, "retry_budget_ratio": 0.2, **(bounds or {})}
        self.core_limits = {"cpu_share": 0.6, "memory_mb": core_memory_mb, "link_mbps": 1000.0}
        self.front_limits = {"cpu_share": 0.2, "memory_mb": front_memory_mb, "link_mbps": 1000.0}
        names = ("control", "directory", "front", "ready", "internal")
        self.ports = dict(zip(names, free_ports(len(names))))
        zones = ("bay-a", "bay-b", "bay-c")
        self.cores = [Machine(self, "control", f"core-{i + 1}", zones[i % 3], i) for i in range(cores)]
        self.fronts = [Machine(self, "entry", f"front-{i + 1}", zones[i % 3], i) for i in range(fronts)]
        self.stopping = threading.Event()
        self.keeper = threading.Thread(target=self.keep_running, daemon=True)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stopping.set()
        if self.keeper.is_alive():
            self.keeper.join()
        for machine in self.machines():
            if machine.popen is not None and machine.popen.poll() is None:
                machine.popen.send_signal(signal.SIGCONT)
            machine.kill()
        self.temporary.cleanup()

    def machines(self):
        return self.cores + self.fronts

    def seeds(self):
        return [f"{machine.ip}:{self.ports['control']}" for machine in self.cores[:3]]

    def start(self):
        for machine in self.machines():
            machine.start(bootstrap=True)
        self.keeper.start()

    def keep_running(self):
        """Ends processes that use more than their memory, and starts ended ones again after half a second."""
        restart_at = {}
        while not self.stopping.wait(0.05):
            for machine in self.machines():
                limit = (self.core_limits if machine.role == "control" else self.front_limits)["memory_mb"] << 20
                if not machine.keeps_running:
                    restart_at.pop(machine, None)
                elif machine.is_running():
                    used = machine.memory_bytes()
                    if used > limit:
                        machine.memory_ends += 1
                        self.record(f"platform: {machine.name} uses {used >> 20} MiB of {limit >> 20}, killed")
                        machine.popen.kill()
                        machine.popen.wait()
                elif machine not in restart_at:
                    machine.ends += 1
                    restart_at[machine] = time.monotonic() + 0.5
                    self.record(f"platform: the process of {machine.name} ended with {machine.popen.returncode}")
                elif time.monotonic() >= restart_at[machine]:
                    del restart_at[machine]
                    machine.start()
                    self.record(f"platform: {machine.name} started again")

    def ready(self, front):
        try:
            return call(front.ip, self.ports["ready"], "GET", "/-/ready", timeout=1)[0] == 200
        except OSError:
            return False


def call(ip, port, method, path, body=None, headers=None, timeout=1.0):
    """Returns (status, fields, body). Fails with OSError if there is no complete answer."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, {name.lower(): value for name, value in answer.getheaders()}, answer.read()
    except http.client.HTTPException as error:
        raise OSError(f"no complete answer: {error!r}") from error
    finally:
        connection.close()


def rpc(platform, core, name, body=None, of=None, base=None, timeout=1.0):
    """Calls control on one machine and follows a redirection twice. Returns (status, decoded body or None)."""
    query = {"call": name, **({"of": of} if of else {})}
    path = "/-/rpc?" + urllib.parse.urlencode(query)
    headers = {"Content-Type": "application/json", **({"Base-Version": base} if base else {})}
    text = body if isinstance(body, str) else json.dumps(body) if body is not None else None
    ip, port = core.ip, platform.ports["control"]
    for _ in range(3):
        status, fields, raw = call(ip, port, "POST", path, text, headers, timeout)
        if status != 307:
            break
        url = urllib.parse.urlsplit(fields["location"])
        ip, port, path = url.hostname, url.port, f"{url.path}?{url.query}"
    is_json = fields.get("content-type", "").startswith("application/json")
    return status, json.loads(raw) if raw and is_json else None


class Operator:
    """Sends orders as the pages say: to any node, again and unchanged if there is no clear answer."""

    def __init__(self, platform, record):
        self.platform, self.record, self.acked, self.next_core = platform, record, None, 0

    def order(self, name, body, base, limit_s=20.0, timeout=1.0, version=None):
        """Returns the status that ends the order, or None if there was no clear answer within LIMIT_S.

        BODY may be text; VERSION is then its version. The first node is the one that answered last.
        """
        end, pause = time.monotonic() + limit_s, 0.05
        while time.monotonic() < end:
            core = self.platform.cores[self.next_core % len(self.platform.cores)]
            try:
                status, _ = rpc(self.platform, core, name, body, base=base, timeout=timeout)
            except OSError:
                status = None
            if status == 200:
                self.acked = version or body["version"]
                return status
            if status is not None and 400 <= status < 500 and status not in (408, 429):
                return status
            self.next_core += 1
            time.sleep(pause)
            pause = min(pause * 2, 1.0)
        return None

    def read(self, core, timeout=1.0):
        try:
            return rpc(self.platform, core, "config.get", timeout=timeout)
        except OSError as error:
            return None, str(error)


class Target:
    """A sound target. Sends heartbeats to any node, answers requests, and keeps the ids of those that it ran.

    on_request, if set, is called with the handler, after the head was read; it returns whether it has dealt with it.
    """

    count = 0

    def __init__(self, platform, record, service, zone="bay-a", slots=4, work_s=0.01, address=None):
        Target.count += 1
        self.platform, self.record, self.service, self.zone, self.slots = platform, record, service, zone, slots
        self.work_s, self.on_request = work_s, None
        self.identity = f"i-{os.getpid():04x}{Target.count:04x}"
        self.born, self.sequence, self.state = int(time.time() * 1000), 0, "ready"
        self.runs, self.lock, self.stopped = [], threading.Lock(), threading.Event()
        self.connections = set()
        handler = type("Handler", (Handler,), {"target": self})
        self.server = Server(address or ("127.0.0.1", 0), handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def stop(self):
        if self.stopped.is_set():
            return
        self.stopped.set()
        self.server.shutdown()
        self.server.server_close()

    def leave(self):
        """Deregisters, and exits with what it still works on. Returns whether the call was acknowledged."""
        acked = False
        for core in self.platform.cores:
            try:
                acked = acked or rpc(self.platform, core, "instances.deregister", {"born": self.born},
                                     of=self.identity)[0] == 200
            except OSError:
                continue
        self.stop()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        return acked

    def heartbeat(self, core=None, timeout=1.0):
        """Sends one heartbeat, to CORE or to one node after the other. Returns whether it was acknowledged."""
        with self.lock:
            self.sequence += 1
            body = {"address": self.address, "born": self.born,
                    "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
                    "status": {"state": self.state, "sequence": self.sequence, "warmup_left_ms": 0}}
        for node in [core] if core is not None else self.platform.cores:
            try:
                if rpc(self.platform, node, "instances.heartbeat", body, of=self.identity, timeout=timeout)[0] == 200:
                    return True
            except OSError:
                continue
        return False

    def beat(self, period_s=1.5):
        """Sends heartbeats until the target stops."""
        def run():
            while not self.stopped.is_set():
                self.heartbeat()
                self.stopped.wait(period_s)
        threading.Thread(target=run, daemon=True).start()
        return self


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    target = None

    def setup(self):
        super().setup()
        self.target.connections.add(self.connection)

    def finish(self):
        self.target.connections.discard(self.connection)
        try:
            super().finish()
        except OSError:
            pass

    def read_body(self):
        if self.headers.get("Transfer-Encoding") == "chunked":
            body = b""
            while size := int(self.rfile.readline(), 16):
                body += self.rfile.read(size)
                self.rfile.readline()
            self.rfile.readline()
            return body
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def answer(self, status, fields=(), body=b""):
        attempt = self.headers.get("Attempt-Id", "")
        lines = [f"HTTP/1.1 {status} Status", f"Attempt-Id: {attempt}"]
        lines += [f"{name}: {value}" for name, value in fields]
        lines.append(f"Content-Length: {len(body)}")
        self.wfile.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def run(self):
        """Notes that the request runs."""
        target, attempt = self.target, self.headers.get("Attempt-Id", "")
        with target.lock:
            target.runs.append((attempt, time.monotonic()))
        target.record(f"run: {attempt} {self.command} {self.path} at {target.identity} ({target.service})")

    def do_any(self):
        target = self.target
        if self.path.split("?")[0] == "/health":
            self.wfile.write(f"HTTP/1.1 200 OK\r\nInstance-Id: {target.identity}\r\nContent-Length: 0\r\n\r\n".encode())
            return
        if target.on_request is not None and target.on_request(self):
            return
        self.read_body()
        expected = self.headers.get("Expected-Instance")
        if expected is not None and expected != target.identity:
            self.answer(421, [("Instance-Id", target.identity)])
            return
        self.run()
        time.sleep(target.work_s)
        attempt = self.headers.get("Attempt-Id", "")
        self.answer(200, [("Server-Signature", f"{target.identity}.{attempt}")], b"answer to " + attempt.encode())

    do_GET = do_POST = do_PUT = do_DELETE = do_HEAD = do_any

    def log_message(self, *_):
        pass


class Client:
    """Sends single requests, each on a new connection."""

    def __init__(self, platform, record):
        self.platform, self.record, self.count, self.lock = platform, record, 0, threading.Lock()

    def new_id(self):
        with self.lock:
            self.count += 1
            return f"{os.getpid():08x}{self.count:08x}"

    def request(self, front, method, path, deadline_ms=2000, body=None):
        """Returns (id, status, body); the status is None if there was no complete answer."""
        attempt = self.new_id()
        headers = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Remaining-Ms": str(deadline_ms)}
        try:
            status, _, raw = call(front.ip, self.platform.ports["front"], method, path, body, headers, deadline_ms / 1000 + 1)
        except OSError as error:
            self.record(f"request: {attempt} {method} {path} to {front.name}: {error}")
            return attempt, None, b""
        self.record(f"request: {attempt} {method} {path} to {front.name}: {status}")
        return attempt, status, raw


def route(name, prefix, kind, service, **members):
    return {"name": name, "host": HOST, "path_prefix": prefix, "route_type": kind, "timeout_ms": 2500, "latency_goal_ms": 800,
            "priority": 1, "service": service, "max_attempts": 2, **members}


def service(name):
    return {"name": name, "health_path": "/health", "max_connections": 390, "protocol": "h1", "tls": False}


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def wait_until(check, what, limit_s):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if check():
            return
        time.sleep(0.05)
    raise CannotRun(f"{what}: not within {limit_s} s")


def main(folder, case):
    """Runs CASE with the record of FOLDER. It returns a text if the rule was broken, and None if it held."""
    record = Record(folder)
    record(f"trouble: {TROUBLE}")
    try:
        broken = case(record)
    except CannotRun as error:
        record(f"could not run: {error}")
        print(f"could not run: {error}")
        return 2
    except (Exception, KeyboardInterrupt) as error:  # a fault of the script itself, or its time is over
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    record(f"broken: {broken}" if broken else "held")
    print(f"broken: {broken}" if broken else "held")
    return 1 if broken else 0
