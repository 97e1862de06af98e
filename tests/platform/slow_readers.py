"""Guards against an entry that runs out of memory, or serves nobody, because thousands of callers read a byte a second while
targets do not read uploads. Counted are the resident memory of the entry and what the kernel holds for its sockets.
ANVILLB_TEST_MEMORY_MB=0 shows the run without a bound, which must fail."""

import asyncio
import os
import pathlib
import re
import socket
import threading
import time

from fleet import wait_until
from stand_in import HOST, route, service

MEMORY_MB = int(os.environ.get("ANVILLB_TEST_MEMORY_MB", "160"))
# Memory that the load may add: the half of memory-mb that connections may hold, an eighth above it until connections close,
# and 10 MB for requests, the log and free memory of the allocator.
MAX_GROWTH_KB = 160 * 1000 // 2 * 9 // 8 + 10 * 1024
SLOW_COUNT, UPLOAD_COUNT, GOOD_COUNT = 2000, 300, 12
LARGE, UPLOAD_BYTES = b"x" * 200_000, 1_000_000
RAMP_S, HOLD_S = 6, 6
MAX_GOOD_P99_S = 0.5
MIN_GOOD_SERVED = 0.95
TCP_CLOSE = 7  # state of a connection that was reset, in TCP_INFO


class Load:
    def __init__(self, fleet):
        self.fleet, self.seen, self.good, self.refused = fleet, set(), [], []
        self.slow, self.statuses, self.cut, self.stopping = [], {}, 0, False
        self.peak_kb, self.target_addresses = 0, set()
        self.entry = (fleet.ip(2, 0), fleet.ports[0])

    def head(self, method, path, length=0, deadline_ms=4000):
        with self.fleet.lock:
            self.fleet.attempts += 1
            attempt = "%016x" % self.fleet.attempts
        return attempt, (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nContent-Length: {length}\r\n"
                         f"Deadline-Remaining-Ms: {deadline_ms}\r\n\r\n").encode()

    async def serve_target(self, reader, writer):
        """Answers GET requests; does not read what follows the head of a POST request."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                attempt = re.search(rb"Attempt-Id: (\w+)", head)[1]
                self.seen.add(attempt.decode())
                if head.startswith(b"POST"):
                    await asyncio.sleep(60)
                body = LARGE if b"/large" in head else b"small"
                writer.write(b"HTTP/1.1 200 OK\r\nServer-Signature: s\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s"
                             % (attempt, len(body), body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def connect(self, head, upload=b""):
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, self.entry)
        try:
            await loop.sock_sendall(connection, head)
            while upload:
                upload = upload[connection.send(upload):]
        except OSError:
            pass
        return connection

    async def open_slow(self, count, make):
        """Opens COUNT connections, spread over the ramp."""
        begin = time.monotonic()
        for number in range(count):
            attempt, head, upload = make()
            self.slow.append([await self.connect(head, upload), attempt, head.startswith(b"POST"), b""])
            await asyncio.sleep(max(0, begin + number * RAMP_S / count - time.monotonic()))

    async def read_slowly(self):
        """Reads a byte a second from each connection."""
        while not self.stopping:
            for item in list(self.slow):
                connection, attempt, _, seen = item
                try:
                    item[3] = max(seen, connection.recv(2048, socket.MSG_PEEK), key=len)
                    # Bytes that arrived before a reset can still be read.
                    if connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSE:
                        raise ConnectionResetError
                    if not connection.recv(1):
                        raise ConnectionResetError
                except BlockingIOError:
                    continue
                except OSError:
                    self.slow.remove(item)
                    connection.close()
                    self.cut += 1
                if item[3] and attempt not in self.statuses:
                    self.note_status(item)
            await asyncio.sleep(1)

    def note_status(self, item):
        _, attempt, _, head = item
        status = int(head[9:12])
        self.statuses[attempt] = status
        if status == 503:
            self.refused.append((attempt, b"Retry-After: " in head))

    async def read_well(self, number):
        """Sends requests one after the other and reads the answers at once."""
        path = "/safe/large" if number % 4 == 0 else "/safe/small"
        writer = None
        while not self.stopping:
            attempt, head = self.head("GET", path)
            begin, status = time.monotonic(), 0
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(*self.entry)
                writer.write(head)
                answer = await reader.readuntil(b"\r\n\r\n")
                status = int(answer[9:12])
                await reader.readexactly(int(re.search(rb"Content-Length: (\d+)", answer)[1]))
                if status == 503:
                    self.refused.append((attempt, b"Retry-After: " in answer))
            except (OSError, asyncio.IncompleteReadError):
                writer = None
            self.good.append((status, time.monotonic() - begin))
            await asyncio.sleep(0.1)

    def memory_kb(self):
        """Returns the resident memory of the entry and the bytes in the queues of its sockets."""
        entry = self.fleet.entries[0]
        status = pathlib.Path(f"/proc/{entry.popen.pid}/status").read_text()
        resident_kb = int(re.search(r"VmRSS:\s+(\d+)", status)[1])
        listen = "%s:%04X" % (socket.inet_aton(self.entry[0])[::-1].hex().upper(), self.entry[1])
        queued = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, remote, _, queues, *_ = line.split()
            if local == listen or remote in self.target_addresses:
                queued += sum(int(part, 16) for part in queues.split(":"))
        return resident_kb + queued // 1024

    async def watch_memory(self):
        while not self.stopping:
            self.peak_kb = max(self.peak_kb, self.memory_kb())
            await asyncio.sleep(0.25)

    async def run(self, targets):
        for target in targets:
            server = await asyncio.start_server(self.serve_target, "127.0.0.1", 0, backlog=1024)
            target.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
            self.target_addresses.add("0100007F:%04X" % server.sockets[0].getsockname()[1])
            await asyncio.to_thread(wait_until, lambda t=target: t.send_heartbeat() == 200, "a heartbeat")
        for path in ("/safe/small", "/safe/large"):
            await asyncio.to_thread(wait_until, lambda p=path: self.fleet.request(p)[1] == 200, "an answer")
        await asyncio.sleep(1)
        base_kb = self.memory_kb()
        tasks = [asyncio.create_task(work) for work in
                 (self.read_slowly(), self.watch_memory(), *(self.read_well(i) for i in range(GOOD_COUNT)))]
        await asyncio.gather(
            self.open_slow(SLOW_COUNT, lambda: (*self.head("GET", "/safe/large"), b"")),
            self.open_slow(UPLOAD_COUNT, lambda: (*self.head("POST", "/up/x", UPLOAD_BYTES, 12000), b"x" * UPLOAD_BYTES)))
        await asyncio.sleep(HOLD_S)
        self.stopping = True
        await asyncio.gather(*tasks)
        for connection, *_ in self.slow:
            connection.close()
        return self.peak_kb - base_kb


def run(fleet, say):
    # The address sanitizer keeps 256 MB of freed memory otherwise, which would count as memory of the entry.
    os.environ["ASAN_OPTIONS"] = "quarantine_size_mb=1"
    fleet.entry_settings = {"MEMORY_MB": MEMORY_MB, "MAX_CONNECTIONS": 4000}
    fleet.start(entries=1)
    wait_until(lambda: fleet.put("00000001", "0", [route("safe", "s1"), route("unsafe", "s2", name="up", timeout_ms=12000)],
                                 [service("s1"), service("s2")]) == 200, "the first configuration")
    targets = [fleet.add_target(name, slots=400) for name in ("s1", "s1", "s2")]
    wait_until(lambda: fleet.readiness_status(0) == 200, "the entry is ready")
    load = Load(fleet)
    loop = asyncio.new_event_loop()
    threading.Thread(target=loop.run_forever, daemon=True).start()
    growth_kb = asyncio.run_coroutine_threadsafe(load.run(targets), loop).result()
    latencies = sorted(latency for status, latency in load.good if status == 200)
    served = len(latencies) / len(load.good)
    p99_s = latencies[int(len(latencies) * 0.99)]
    print(f"measured: growth_kb={growth_kb} cut={load.cut} refused={len(load.refused)} good={len(load.good)} "
          f"served={served:.4f} p50_ms={latencies[len(latencies) // 2] * 1000:.1f} p99_ms={p99_s * 1000:.1f} "
          f"statuses={[(s, list(load.statuses.values()).count(s)) for s in sorted(set(load.statuses.values()))]}", flush=True)
    say(f"memory bounded: {growth_kb <= MAX_GROWTH_KB}")
    say(f"well-behaved callers served: {served >= MIN_GOOD_SERVED}, in time: {p99_s <= MAX_GOOD_P99_S}")
    say(f"refused with Retry-After: {all(retry_after for _, retry_after in load.refused)}, "
        f"seen by a target: {sum(attempt in load.seen for attempt, _ in load.refused)}")
    say(f"slow connections cut: {load.cut > 0}, ended processes: {sum(p.popen.poll() is not None for p in fleet.processes())}")

    def held_bytes():
        raw = fleet.call(fleet.ip(2, 0), fleet.ports[3], "GET", "/metrics")[2].decode()
        return int(re.search(r"^anvillb_memory_held_bytes (\d+)", raw, re.MULTILINE)[1]) if MEMORY_MB else 0

    wait_until(lambda: held_bytes() < 1_000_000, "what was held is given back")
    say(f"answer afterwards: {fleet.request('/safe/small')[1]}")
