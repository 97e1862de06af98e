"""Stand-ins for the platform on loopback: settings files, targets, an operator and clients.

The programs are started as the deploy file says, with its templates filled in. Every process has an address of its own in
127.0.0.0/8, because all processes of a fleet use the same ports.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HOST = "host.example"
ZONES = ["bay-sued-a", "bay-sued-b", "bay-sued-c"]

# Bounds of gleisgruen-gw, as its sheet gives them.
BOUNDS = {"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
          "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000,
          "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 56, "recover_s": 15, "ttl_max_s": 5,
          "probes_per_s": 3, "floor_share": 0.7}
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


def look_up(fields, path):
    value = fields
    for part in path.split("."):
        value = value.get(part) if isinstance(value, dict) else value[int(part)] if isinstance(value, list) else None
        if value is None:
            return None
    return value


def format_value(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else ",".join(map(str, value)) if isinstance(value, list) else str(value)


def fill_in(template, fields):
    """Fills in a template of the deploy file: sections {{#a}} .. {{/a}} and values {{a.b}}."""
    def section(match):
        return fill_in(match[2], fields) if look_up(fields, match[1]) else ""
    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: format_value(look_up(fields, match[1])), text)


def find_free_ports():
    """Returns the first of six free ports in a row."""
    for _ in range(200):
        first = random.randrange(20000, 60000, 10)
        try:
            for port in range(first, first + 6):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
    raise CannotRun("no free ports")


class Process:
    """One process of a role of the deploy file."""

    def __init__(self, fleet, role, name, fields):
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())["roles"][role]
        self.fleet, self.name, self.popen = fleet, name, None
        self.command = [str(REPOSITORY / deploy["run"].split()[0]), *deploy["run"].split()[1:]]
        self.template = (REPOSITORY / deploy["template"]).read_text()
        self.variable = next(iter(deploy["env"]))
        self.fields = fields

    def start(self):
        settings = self.fleet.directory / f"{self.name}.settings"
        settings.write_text(fill_in(self.template, self.fields))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(self.fleet.directory / f"{self.name}.log", "ab") as log:
            self.popen = subprocess.Popen(self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                          cwd=REPOSITORY, env=environment | {self.variable: str(settings)})

    def send_signal(self, number):
        self.popen.send_signal(number)

    def kill(self):
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
        if self.popen is not None:
            self.popen.wait()

    def log(self):
        return (self.fleet.directory / f"{self.name}.log").read_text(errors="replace")


class Fleet:
    """Three control instances and some entries. Use as a context manager: all processes end with it."""

    def __init__(self, record, entries=2, bounds=None, limits=None):
        self.record_file = open(record, "w")
        self.started = time.monotonic()
        self.temporary = tempfile.TemporaryDirectory(prefix="anvillb-review-")
        self.directory = pathlib.Path(self.temporary.name)
        self.port = find_free_ports()
        self.block = self.port // 10 % 250 + 1
        bounds = BOUNDS | (bounds or {})
        self.limits = {"cpu_share": 0.2, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0} | (limits or {})
        seeds = [f"{self.ip('control', i)}:{self.port}" for i in range(3)]
        self.controls = [self.make_process("control", "core", i, seeds, bounds) for i in range(3)]
        self.entries = [self.make_process("entry", "front", i, seeds, bounds) for i in range(entries)]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.controls + self.entries:
            process.kill()
        self.record_file.close()
        self.temporary.cleanup()

    def ip(self, role, number):
        return f"127.{ {'control': 1, 'entry': 2, 'target': 3}[role]}.{self.block}.{number + 1}"

    def make_process(self, role, machine_class, number, seeds, bounds):
        ip, name = self.ip(role, number), f"{machine_class}-{ZONES[number % 3]}-{number // 3 + 1}"
        fields = {"node_name": name, "zone": ZONES[number % 3], "region": "bay-sued", "ip": ip, "bootstrap": True,
                  "internal_port_range": [self.port + 2, self.port + 3], "seeds": seeds, "bounds": bounds,
                  "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
                  "limits": self.limits,
                  "data_dir": str(self.directory / f"{name}.data") if role == "control" else None,
                  "listen": {"front": f"{ip}:{self.port}", "ready": f"{ip}:{self.port + 1}",
                             "control": f"{ip}:{self.port}", "directory": f"{ip}:{self.port + 1}"}}
        return Process(self, role, name, fields)

    def start(self):
        for process in self.controls + self.entries:
            if not pathlib.Path(process.command[0]).exists():
                raise CannotRun(f"{process.command[0]} is missing: run the build line of deploy/system.toml")
            process.start()

    def record(self, text):
        self.record_file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.record_file.flush()


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    return lines[0], {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:] if line)}


async def read_answer(reader):
    """Returns the status, the fields and the body of an answer. An answer that ends early raises an error."""
    first, fields = await read_head(reader)
    status = int(first.split()[1])
    if fields.get("transfer-encoding") == "chunked":
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return status, fields, body
    return status, fields, await reader.readexactly(int(fields.get("content-length", 0)))


async def call(ip, port, method, path, body=b"", fields=None, limit_s=1.0):
    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            head = {"Host": f"{ip}:{port}", **(fields or {}), "Content-Length": len(body)}
            lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in head.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            return await read_answer(reader)
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), limit_s)


async def call_control(fleet, name, body, target=None, base=None, limit_s=10.0):
    """Calls one control instance after another until one gives a clear answer."""
    query = urllib.parse.urlencode({"call": name, **({"of": target} if target else {})})
    fields = {"Content-Type": "application/json", **({"Base-Version": base} if base else {})}
    end, number, status = time.monotonic() + limit_s, random.randrange(3), None
    while time.monotonic() < end:
        number += 1
        try:
            status, _, answer = await call(fleet.ip("control", number % 3), fleet.port, "POST", f"/-/rpc?{query}",
                                           (body if isinstance(body, str) else json.dumps(body)).encode(), fields)
            if status < 500 and status not in (307, 408, 429):
                return status, answer
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.1)
    return status, b""


def make_route(name, kind, service="crew-app", **members):
    return {"name": f"r-{name}", "host": HOST, "path_prefix": f"/{name}/", "route_type": kind, "timeout_ms": 2000,
            "latency_goal_ms": 500, "priority": 1, "service": service, "max_attempts": 2, **members}


def make_service(name="crew-app"):
    return {"name": name, "health_path": "/health", "max_connections": 330, "protocol": "h1", "tls": False}


async def put_config(fleet, routes, services=None, **members):
    """Sends the first configuration until it is accepted."""
    config = {"version": "00000001", "routes": routes, "services": services or [make_service()], "limits": LIMITS,
              **members}
    status, answer = await call_control(fleet, "config.put", config, base="0", limit_s=20)
    if status != 200:
        raise CannotRun(f"first configuration: {status} {answer!r}")


class Request:
    def __init__(self, method, path, fields, body):
        self.method, self.path, self.fields, self.body = method, path, fields, body
        self.attempt = fields.get("attempt-id", "")


class Target:
    """A sound target with SLOTS and a queue. BEFORE_ANSWER and ANSWER may be replaced to make it faulty."""

    count = 0
    queue_size = 8

    def __init__(self, fleet, zone, slots=2, work_s=0.05, service="crew-app"):
        Target.count += 1
        self.fleet, self.zone, self.slots, self.work_s, self.service = fleet, zone, slots, work_s, service
        self.id, self.born, self.sequence = f"i-{random.getrandbits(40):010x}", int(time.time() * 1000), 0
        self.ip, self.runs, self.run_times, self.running = fleet.ip("target", Target.count % 250), [], [], 0
        self.before_answer = self.answer = None
        self.free_slots, self.waiting = asyncio.Semaphore(slots), 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.address = f"{self.ip}:{self.server.sockets[0].getsockname()[1]}"
        await self.send_heartbeat()
        self.heartbeats = asyncio.create_task(self.repeat_heartbeat())

    async def send_heartbeat(self):
        self.sequence += 1
        body = {"address": self.address, "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
                "status": {"state": "ready", "sequence": self.sequence, "warmup_left_ms": 0}}
        await call_control(self.fleet, "instances.heartbeat", body, target=self.id, limit_s=3)

    async def repeat_heartbeat(self):
        while True:
            await asyncio.sleep(1.5)
            await self.send_heartbeat()

    async def serve(self, reader, writer):
        connection = {"answers": 0}
        writer.reader = reader
        try:
            while True:
                first, fields = await read_head(reader)
                method, path, _ = first.split(" ", 2)
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                request = Request(method, path, fields, body)
                if fields.get("expected-instance", self.id) != self.id:
                    self.write_rejection(writer, request, 421)
                    continue
                if self.before_answer is not None:
                    await self.before_answer(writer, request, connection)
                if self.answer is not None and await self.answer(writer, request):
                    continue
                if self.waiting >= self.queue_size:
                    self.write_rejection(writer, request, 503)
                    continue
                self.waiting += 1
                async with self.free_slots:
                    self.waiting -= 1
                    await self.run(writer, request, self.work_s)
                connection["answers"] += 1
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def write_rejection(self, writer, request, status):
        writer.write(f"HTTP/1.1 {status} Rejected\r\nAttempt-Id: {request.attempt}\r\nNot-Executed: 1\r\n"
                     "Content-Length: 0\r\n\r\n".encode())
        self.fleet.record(f"target {self.id} rejects {request.attempt} with {status}, not run")

    @staticmethod
    def is_cut_off(writer):
        return writer.reader.at_eof() or writer.transport.is_closing()

    async def run(self, writer, request, work_s):
        """Runs the request. The work stops when the connection is closed meanwhile."""
        if self.is_cut_off(writer):
            return
        self.runs.append(request.attempt)
        self.run_times.append(time.monotonic())
        self.running += 1
        self.fleet.record(f"target {self.id} runs {request.attempt} {request.method} {request.path}")
        try:
            await asyncio.sleep(work_s)
        finally:
            self.running -= 1
        if self.is_cut_off(writer):
            self.fleet.record(f"target {self.id} is cut off at {request.attempt}")
            return
        body = f"answer to {request.attempt}".encode()
        writer.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {request.attempt}\r\nServer-Signature: s.{self.id}.{request.attempt}\r\n"
                     f"Server-Load: {self.running + 1},{self.waiting},{self.slots}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        self.fleet.record(f"target {self.id} answers {request.attempt} with 200")


class Answer:
    def __init__(self, attempt, status, fields, body, sent, done):
        self.attempt, self.status, self.fields, self.body, self.sent, self.done = attempt, status, fields, body, sent, done


async def send_request(fleet, entry, method, path, deadline_ms, body=b"", fields=None):
    """One attempt of a client on a connection of its own. The status is None if no complete answer came."""
    attempt = f"{random.getrandbits(64):016x}"
    fields = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Remaining-Ms": deadline_ms, **(fields or {})}
    sent = time.monotonic()
    fleet.record(f"client sends {attempt} {method} {path} to {fleet.entries[entry].name}")
    try:
        status, answer, content = await call(fleet.ip("entry", entry), fleet.port, method, path, body, fields,
                                             deadline_ms / 1000)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        status, answer, content = None, {}, type(error).__name__.encode()
    done = time.monotonic()
    fleet.record(f"client gets {attempt} {status} after {round((done - sent) * 1000)} ms, "
                 f"signature {answer.get('server-signature')}, body {content[:60]!r}")
    return Answer(attempt, status, answer, content, sent, done)


async def wait_until_ready(fleet):
    """Waits until every entry says that it is ready."""
    end = time.monotonic() + 20
    for number in range(len(fleet.entries)):
        while True:
            try:
                status, _, _ = await call(fleet.ip("entry", number), fleet.port + 1, "GET", "/-/ready")
                if status == 200:
                    break
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            if time.monotonic() > end:
                raise CannotRun("an entry is not ready")
            await asyncio.sleep(0.1)


def main(case):
    """Runs CASE and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(case(trouble), 110))
    except (CannotRun, asyncio.TimeoutError) as error:
        print("cannot run:", error or "it takes too long")
        raise SystemExit(2)
    print("broken" if broken else "held", "with the disruption" if trouble else "without the disruption")
    raise SystemExit(1 if broken else 0)
