"""Guards against an entry that keeps the bytes of a target that writes without end, in a head or a body, and runs out of
memory with the requests of all its callers. Half of the callers don't read what they get."""

import os
import socket
import threading
import time

from fleet import wait_until
from stand_in import ENDLESS, HOST

CALLER_COUNT = 16
DEADLINE_MS = 1500
# Most that an entry queues for a caller: PROXY_HIGH_WATER_BYTES and one read.
QUEUED_KB = 256 + 64
# Growth that doesn't depend on the targets: buffers, connections and free memory of the allocator.
SLACK_KB = 8192


def run(fleet, say):
    # The address sanitizer keeps 256 MB of freed memory otherwise, which would count as memory of the entry.
    os.environ["ASAN_OPTIONS"] = "quarantine_size_mb=1"
    fleet.start_serving()
    healthy, faulty = fleet.targets
    entry = fleet.entries[0]
    send_many(fleet)
    limit_kb = entry.peak_kb() + CALLER_COUNT * QUEUED_KB + SLACK_KB
    for mode in ENDLESS:
        faulty.mode, before, arrivals_before = mode, faulty.cut_count, len(faulty.arrival_times)
        served = send_many(fleet)
        while len(faulty.arrival_times) == arrivals_before:
            served += send_many(fleet)
        wait_until(lambda: faulty.cut_count - before >= len(faulty.arrival_times) - arrivals_before,
                   "the entry closes the connections")
        say(f"{mode}: others served: {served > 0}")
        faulty.mode = "normal"
    say(f"memory bounded: {entry.peak_kb() <= limit_kb}")
    say(f"ended processes: {sum(program.popen.poll() is not None for program in fleet.processes())}")
    say(f"answer afterwards: {fleet.request('/safe/x')[1]}")


def send_many(fleet):
    """Sends requests of all callers at once. Returns how many got the answer of a normal target."""
    served = []
    threads = [threading.Thread(target=send_and_wait, args=(fleet, number, served)) for number in range(CALLER_COUNT)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(served)


def send_and_wait(fleet, number, served):
    """Sends one request on a connection of its own, and reads and drops the answer unless NUMBER is odd."""
    with fleet.lock:
        fleet.attempts += 1
        attempt = "%016x" % fleet.attempts
    end = time.monotonic() + DEADLINE_MS / 1000 + 0.5
    method, path = ("POST", "/unsafe/x") if number % 4 < 2 else ("GET", "/safe/x")
    with socket.create_connection((fleet.ip(2, 0), fleet.ports[0]), timeout=2) as connection:
        connection.sendall(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nConnection: close\r\n"
                           f"Content-Length: 0\r\nDeadline-Remaining-Ms: {DEADLINE_MS}\r\n\r\n".encode())
        connection.settimeout(0.1)
        while time.monotonic() < end:
            if number % 2:
                time.sleep(0.1)
                continue
            try:
                received = connection.recv(1 << 20)
                served.append(received.endswith(b"answer to " + attempt.encode()))
                if not received:
                    break
            except TimeoutError:
                continue
            except OSError:
                break
