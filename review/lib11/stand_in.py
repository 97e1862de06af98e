"""A small fleet of the real programs on loopback, with stand-ins for the platform, targets and callers.

The settings are those that deploy/*.settings give on sites/gleisgruen-gw.toml. Each machine has an address of its own
in 127.0.0.0/8, and all machines use the same ports, as on the platform.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "host.example"
ZONES = ("bay-sued-a", "bay-sued-b", "bay-sued-c")
# Bounds of sites/gleisgruen-gw.toml.
GRACE_S = 6
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
LOSS_SLACK_S = 0.2
RETRY_SHARE = 0.2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run; exit status 2."""


class Record:
    """What was sent, answered and run, in record.txt."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_ports(count):
    """Returns ports that are free on all of 127.0.0.0/8, below the ephemeral range."""
    found = []
    base = random.randrange(12000, 30000)
    port = base
    while len(found) < count:
        port += 1
        with socket.socket() as probe:
            try:
                probe.bind(("0.0.0.0", port))
            except OSError:
                continue
        found.append(port)
    return found


class Program:
    def __init__(self, fleet, name, program, settings):
        self.fleet, self.name, self.program, self.settings = fleet, name, program, settings
        self.popen = None
        self.settings_file = fleet.folder / f"{name}.settings"
        self.log_file = fleet.folder / f"{name}.log"

    def write_settings(self):
        text = "".join(f"ANVILLB_{key}={value}\n" for key, value in self.settings.items())
        temporary = self.settings_file.with_suffix(".new")
        temporary.write_text(text)
        temporary.rename(self.settings_file)

    def start(self):
        self.write_settings()
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["ANVILLB_SETTINGS_FILE"] = str(self.settings_file)
        with open(self.log_file, "ab") as log:
            self.popen = subprocess.Popen([str(ROOT / self.program)], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
                                          stderr=log, env=environment)
        self.fleet.record.write(f"start {self.name} pid={self.popen.pid}")

    def signal(self, number):
        self.fleet.record.write(f"signal {signal.Signals(number).name} to {self.name}")
        self.popen.send_signal(number)

    def alive(self):
        return self.popen is not None and self.popen.poll() is None

    def end(self):
        if self.alive():
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        if self.popen is not None:
            self.popen.wait()

    def log(self):
        return self.log_file.read_text(errors="replace") if self.log_file.exists() else ""


async def read_head(reader):
    """Returns the first line and the fields of a message, or None at the end of the input."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, count=None):
    """Reads a body with a length or in chunks. COUNT, if set, is called with the bytes so far."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if count:
                count(len(body))
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Target:
    """A target that announces itself, runs at most SLOTS requests at a time, queues QUEUE more and rejects the rest.

    work_s(request) gives the time that a request takes. handle, if set, is called in place of the usual answer.
    """

    def __init__(self, fleet, number, service, zone, slots=2, queue=0, work_s=None, handle=None, ip=None,
                 port=None):
        self.fleet, self.service, self.zone, self.slots = fleet, service, zone, slots
        self.identity = f"i-{random.randrange(1 << 40):010x}"
        self.ip = ip or f"127.{fleet.block}.9.{number + 1}"
        self.port = port or 0
        self.work_s = work_s or (lambda request: 0.05)
        self.handle = handle
        self.sequence, self.state, self.running, self.waiting, self.queue = 0, "ready", 0, 0, queue
        self.born = int(time.time() * 1000)
        self.runs = []  # one dictionary for each request that was run
        self.server = self.beats = None
        self.connections = set()
        self.silent = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"
        self.beats = asyncio.ensure_future(self.beat())

    def body(self):
        self.sequence += 1
        return {"address": self.address, "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
                "status": {"state": self.state, "sequence": self.sequence, "warmup_left_ms": 0}}

    async def beat(self):
        while True:
            if not self.silent:
                await self.send_heartbeat()
            await asyncio.sleep(1.5)

    async def send_heartbeat(self, control=None):
        return await self.fleet.call_any("instances.heartbeat", self.body(), of=self.identity, control=control)

    async def deregister(self):
        return await self.fleet.call_any("instances.deregister", {"born": self.born}, of=self.identity)

    async def stop(self):
        if self.beats:
            self.beats.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        head = await read_head(reader)
        if head is None:
            return False
        line, fields = head
        method, path, _ = line.split(" ")
        attempt = fields.get("attempt-id", "")
        request = {"attempt": attempt, "method": method, "path": path, "fields": fields, "target": self}
        self.fleet.record.write(f"{self.identity} receives attempt={attempt} {method} {path}"
                                f" deadline_ms={fields.get('deadline-remaining-ms')}")
        if fields.get("expected-instance", self.identity) != self.identity:
            await read_body(reader, fields)
            await self.answer(writer, 421, attempt, b"", [("Not-Executed", "1")])
            return True
        if self.handle is not None:
            return await self.handle(self, request, reader, writer)
        return await self.run(request, reader, writer)

    async def run(self, request, reader, writer, before_answer=None):
        """Reads the body, and runs the request if a slot is free. Ends the run if the connection is closed."""
        attempt = request["attempt"]
        if self.running + self.waiting >= self.slots + self.queue:
            await read_body(reader, request["fields"])
            self.fleet.record.write(f"{self.identity} full attempt={attempt}")
            await self.answer(writer, 503, attempt, b"", [("Not-Executed", "1")])
            return True
        self.waiting += 1
        try:
            body = await read_body(reader, request["fields"])
            gone = asyncio.ensure_future(reader.read(1))
            while self.running >= self.slots and not gone.done():
                await asyncio.sleep(0.002)
        finally:
            self.waiting -= 1
        if gone.done():
            self.fleet.record.write(f"{self.identity} cut off in its queue attempt={attempt}")
            return False
        self.running += 1
        run = {"attempt": attempt, "start": time.monotonic(), "end": None, "how": "at work", "target": self}
        self.runs.append(run)
        self.fleet.record.write(f"{self.identity} runs attempt={attempt} body_bytes={len(body)}")
        try:
            done, _ = await asyncio.wait([gone], timeout=self.work_s(request))
        finally:
            self.running -= 1
            run["end"] = time.monotonic()
        if done:
            run["how"] = "cut off"
            self.fleet.record.write(f"{self.identity} cut off while at work attempt={attempt}")
            return False
        gone.cancel()
        try:
            await gone
        except asyncio.CancelledError:
            pass
        run["how"] = "done"
        self.fleet.record.write(f"{self.identity} done attempt={attempt}")
        if before_answer is not None and not await before_answer():
            return False
        await self.answer(writer, 200, attempt, f"answer to {attempt}".encode(), [])
        return True

    async def answer(self, writer, status, attempt, body, more):
        fields = [("Attempt-Id", attempt), ("Content-Length", str(len(body))),
                  ("Server-Load", f"{self.running},{self.waiting},{self.slots}"), *more]
        if not any(name == "Not-Executed" for name, _ in more):
            fields.append(("Server-Signature", f"s.{self.identity}"))
        head = f"HTTP/1.1 {status} Status\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields) + "\r\n"
        writer.write(head.encode() + body)
        await writer.drain()


class Fleet:
    def __init__(self, folder, controls=3, entries=2, tolerated=1, entry_settings=None):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="anvillb-review-"))
        self.record = Record(folder)
        self.block = random.randrange(10, 250)
        self.ports = free_ports(4)
        self.controls, self.entries, self.targets = [], [], []
        self.attempts = 0
        self.tolerated = tolerated
        for name in ("entry", "control"):
            if not (ROOT / f"target/platform/anvillb-fleet-{name}").exists():
                raise CannotRun("the programs are not built")
        seeds = ",".join(f"{self.ip(1, i)}:{self.ports[0]}" for i in range(min(controls, 3)))
        for i in range(controls):
            self.controls.append(Program(self, f"core-{i}", "target/platform/anvillb-fleet-control", {
                "INSTANCE": f"core-{i}", "DOMAIN": ZONES[i % 3], "CALL_LISTEN": f"{self.ip(1, i)}:{self.ports[0]}",
                "DIRECTORY_LISTEN": f"{self.ip(1, i)}:{self.ports[1]}", "PEER_LISTEN": f"{self.ip(1, i)}:{self.ports[2]}",
                "SEED": seeds, "INSECURE_LISTEN": "true", "DATA_DIR": self.folder / f"data-{i}", "FOUND_GROUP": "true",
                "TOLERATED_FAILURES": tolerated, "GRACE_S": GRACE_S,
                "METRICS_LISTEN": f"{self.ip(1, i)}:{self.ports[3]}"}))
            (self.folder / f"data-{i}").mkdir()
        for i in range(entries):
            self.entries.append(Program(self, f"front-{i}", "target/platform/anvillb-fleet-entry", {
                "INSTANCE": f"front-{i}", "DOMAIN": ZONES[i % 3], "LISTEN": f"{self.ip(2, i)}:{self.ports[0]}",
                "READY_LISTEN": f"{self.ip(2, i)}:{self.ports[1]}", "PEER_LISTEN": f"{self.ip(2, i)}:{self.ports[2]}",
                "SEED": seeds, "INSECURE_LISTEN": "true", "GRACE_S": GRACE_S, "LINK_MBPS": 1000, "CPU_SHARE": 0.2,
                "METRICS_LISTEN": f"{self.ip(2, i)}:{self.ports[3]}", "RETRY_SHARE": RETRY_SHARE,
                **(entry_settings or {})}))

    def ip(self, kind, number):
        return f"127.{self.block}.{kind}.{number + 1}"

    async def start(self):
        for program in self.controls + self.entries:
            program.start()

    async def close(self):
        for target in self.targets:
            await target.stop()
        for program in self.entries + self.controls:
            program.end()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def add_target(self, service, zone=ZONES[0], **arguments):
        target = Target(self, len(self.targets), service, zone, **arguments)
        self.targets.append(target)
        await target.start()
        return target

    # Calls of targets and the operator.

    async def http(self, ip, port, method, path, body=None, fields=(), timeout=1.0):
        """One call on a new connection; returns (status, fields, body), or None without an answer."""
        async def go():
            reader, writer = await asyncio.open_connection(ip, port, limit=1 << 20)
            try:
                text = "" if body is None else json.dumps(body)
                head = [f"{method} {path} HTTP/1.1", f"Host: {ip}:{port}", "Content-Type: application/json",
                        f"Content-Length: {len(text)}", "Connection: close"]
                head += [f"{name}: {value}" for name, value in fields]
                writer.write(("\r\n".join(head) + "\r\n\r\n" + text).encode())
                head = await read_head(reader)
                if head is None:
                    return None
                return int(head[0].split()[1]), head[1], await read_body(reader, head[1])
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(go(), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None

    async def call(self, control, name, body, of=None, base=None):
        query = urllib.parse.urlencode({"call": name, **({"of": of} if of else {})})
        ip, port, path = self.ip(1, control), self.ports[0], f"/-/rpc?{query}"
        fields = [("Base-Version", base)] if base is not None else []
        for _ in range(3):
            answer = await self.http(ip, port, "POST", path, body, fields)
            if answer is None or answer[0] != 307:
                return answer
            url = urllib.parse.urlsplit(answer[1]["location"])
            ip, port, path = url.hostname, url.port, f"{url.path}?{url.query}"
        return answer

    async def call_any(self, name, body, of=None, base=None, control=None, tries=8):
        """Calls one control instance after another until one gives a clear answer. Returns its status."""
        order = random.sample(range(len(self.controls)), len(self.controls)) if control is None else [control]
        for i in range(tries):
            answer = await self.call(order[i % len(order)], name, body, of, base)
            if answer is not None and answer[0] < 500 and answer[0] not in (408, 429):
                return answer[0], answer[2]
            await asyncio.sleep(0.1 * (i + 1))
        return None

    async def put(self, version, base, routes, services, more=None):
        body = {"version": version, "routes": routes, "services": [service(name) for name in services],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000}, **(more or {})}
        answer = await self.call_any("config.put", body, base=base)
        self.record.write(f"operator config.put version={version} base={base} answer={answer and answer[0]}")
        return answer and answer[0]

    async def wait_ready(self, limit_s=15):
        """Waits until each entry is ready."""
        end = time.monotonic() + limit_s
        for i in range(len(self.entries)):
            while True:
                answer = await self.http(self.ip(2, i), self.ports[1], "GET", "/-/ready")
                if answer is not None and answer[0] == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun("an entry is not ready")
                await asyncio.sleep(0.05)

    async def put_first(self, routes, services, more=None):
        """Sends the first configuration until it is accepted."""
        end = time.monotonic() + 15
        while await self.put("00000005", "00000000", routes, services, more) != 200:
            if time.monotonic() > end:
                raise CannotRun("the first configuration was not accepted")
            await asyncio.sleep(0.2)

    def new_attempt(self):
        self.attempts += 1
        return f"{random.randrange(1 << 48):012x}{self.attempts:04x}"


class Caller:
    """A caller with one kept connection to an entry."""

    def __init__(self, fleet, entry):
        self.fleet, self.entry = fleet, entry
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.fleet.ip(2, self.entry), self.fleet.ports[0], limit=1 << 20), 1.0)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def request(self, method, path, body=b"", deadline_ms=4000, pieces=None, fields=(), attempt=None):
        """Sends one request and returns a dictionary with its answer; status None: the connection ended without one.

        PIECES, if set, is (count, pause_s): the body is sent in so many pieces with this pause between them.
        """
        attempt = attempt or self.fleet.new_attempt()
        result = {"attempt": attempt, "status": None, "complete": False, "sent": time.monotonic(), "last": None, "end": None,
                  "fields": {}, "body": b""}
        head = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {attempt}",
                f"Deadline-Remaining-Ms: {deadline_ms}", *(f"{name}: {value}" for name, value in fields)]
        if body or method not in ("GET", "HEAD"):
            head.append(f"Content-Length: {len(body)}")
        self.fleet.record.write(f"caller sends attempt={attempt} {method} {path} body_bytes={len(body)} to front-{self.entry}")

        async def send():
            self.writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            count, pause_s = pieces or (1, 0)
            size = -(-len(body) // count) if body else 0
            for i in range(count):
                if i > 0:
                    await asyncio.sleep(pause_s)
                self.writer.write(body[i * size:(i + 1) * size])
                await self.writer.drain()
            result["last"] = time.monotonic()

        async def receive():
            head = await read_head(self.reader)
            if head is None:
                return
            result["status"], result["fields"] = int(head[0].split()[1]), head[1]
            try:
                result["body"] = await read_body(self.reader, head[1])
                result["complete"] = True
            except (asyncio.IncompleteReadError, ConnectionError):
                pass

        try:
            if self.writer is None:
                await self.connect()
            sender = asyncio.ensure_future(send())
            try:
                await asyncio.wait_for(receive(), deadline_ms / 1000 + 1)
            finally:
                # A request whose body was not sent whole ends its connection.
                unfinished = not sender.done()
                sender.cancel()
                try:
                    await sender
                except (asyncio.CancelledError, ConnectionError):
                    pass
        except (OSError, asyncio.TimeoutError) as error:
            result["error"] = type(error).__name__
            unfinished = True
        result["end"] = time.monotonic()
        signed = "server-signature" in result["fields"]
        self.fleet.record.write(f"caller gets attempt={attempt} status={result['status']} complete={result['complete']}"
                                f" signed={signed} after_s={result['end'] - result['sent']:.3f} {result['body'][:60]!r}")
        if unfinished or not result["complete"] or result["fields"].get("connection", "").lower() == "close":
            self.close()
        return result


def route(kind, service_name, name=None, **members):
    name = name or kind
    return {"name": f"r-{name}", "host": HOST, "path_prefix": f"/{name}/", "route_type": kind, "timeout_ms": 4000,
            "latency_goal_ms": 800, "priority": 1, "service": service_name, "max_attempts": 2, **members}


def service(name):
    return {"name": name, "health_path": "/health", "max_connections": 330, "protocol": "h1", "tls": False}


def main(folder, case, **arguments):
    """Runs CASE with a fleet. It returns the breaks that it saw, as a list of texts."""
    async def go():
        fleet = Fleet(folder, **arguments)
        try:
            await fleet.start()
            return await case(fleet)
        finally:
            await fleet.close()
    try:
        breaks = asyncio.run(asyncio.wait_for(go(), int(os.environ.get("LIMIT","110"))))
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print(f"cannot run: {type(error).__name__} {error}")
        return 2
    for text in breaks:
        print(text)
    print("broken" if breaks else "held")
    return 1 if breaks else 0
