"""Guards against a part of a response that looks complete, a response that the caller cannot read, and a request that is
sent again, when a target resets the connection of an upload. The entry is stopped around the reset, so that the next
bytes of the upload and the reset are there at once."""

import os
import signal
import socket
import struct
import threading
import time

from fleet import wait_until
from stand_in import HOST

ROUNDS = 4
PART = b"x" * 50000
PART_COUNT = 8
BODY = b"12345678901234567890"
SIGNED = b"HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nServer-Signature: s\r\n"
ANSWERS = {
    "without a length": SIGNED + b"\r\n" + BODY,
    "with a length": SIGNED + b"Content-Length: 40\r\n\r\n" + BODY,
    "in chunks": SIGNED + b"Transfer-Encoding: chunked\r\n\r\n28\r\n" + BODY,
    "none": b"",
}


def run(fleet, say):
    fleet.start_serving(entries=1)
    for name, answer in ANSWERS.items():
        for stopped in (True, False):
            seen = [upload(fleet, answer, stopped) for _ in range(ROUNDS)]
            say(f"{name}, entry {'stopped' if stopped else 'running'}: {', '.join(sorted(set(seen)))}")
    say(f"ended processes: {sum(program.popen.poll() is not None for program in fleet.processes())}")
    say(f"answer afterwards: {fleet.request('/safe/x')[1]}")


def upload(fleet, answer, stopped):
    """Uploads to a target that resets the connection after ANSWER. Returns what the caller saw."""
    heads, sent = [], threading.Event()

    def on_head(handler):
        if handler.path != "/unsafe/x":  # a second attempt of an earlier request, which may be repeated
            return
        heads.append(handler.headers["Attempt-Id"])
        if stopped:
            os.kill(fleet.entries[0].popen.pid, signal.SIGSTOP)
        handler.wfile.write(answer.replace(b"ID", heads[0].encode()))
        sent.wait(10)
        handler.rfile.close()
        handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        handler.connection.close()
        if stopped:
            time.sleep(0.1)
            os.kill(fleet.entries[0].popen.pid, signal.SIGCONT)

    set_on_head(fleet, on_head)
    fleet.attempts += 1
    with socket.create_connection((fleet.ip(2, 0), fleet.ports[0]), timeout=10) as connection:
        connection.sendall(f"POST /unsafe/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {fleet.attempts:016x}\r\n"
                           f"Content-Length: {len(PART) * PART_COUNT}\r\nConnection: close\r\n"
                           f"Deadline-Remaining-Ms: 8000\r\n\r\n".encode() + PART)
        wait_until(lambda: heads, "the request at the target")
        try:
            for part in range(1, PART_COUNT):
                connection.sendall(PART)
                sent.set()
                time.sleep(0.02)
            received = read_all(connection)
        except ConnectionError:
            return "connection reset"
        finally:
            sent.set()
    set_on_head(fleet, None)
    wait_until(lambda: fleet.request("/safe/x")[1] == 200, "an answer of the targets")
    return ("complete" if is_complete(received) else "incomplete") + \
        f" {received[9:12].decode()}{' with the part' if BODY in received else ''}, sent {len(heads)} times"


def set_on_head(fleet, on_head):
    for target in fleet.targets:
        target.on_head = on_head


def read_all(connection):
    received = b""
    while data := connection.recv(65536):
        received += data
    return received


def is_complete(received):
    head, _, body = received.partition(b"\r\n\r\n")
    if b"chunked" in head:
        return body.endswith(b"0\r\n\r\n")
    length = head.partition(b"Content-Length: ")[2].partition(b"\r\n")[0]
    return length.isdigit() and len(body) >= int(length)
