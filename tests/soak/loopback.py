"""A TCP proxy on loopback that delays or resets connections, or drops their data in one direction or both."""

import random
import socket
import struct
import threading
import time

READ_SIZE = 65536
LINGER_RESET = struct.pack("ii", 1, 0)
MODES = ("normal", "delay", "reset", "drop_answers", "drop_requests", "drop_all")


class LoopbackProxy:
    """Forwards connections to another address. The mode applies to all connections, open and new.

    delay: each piece of data is held for delay_s. reset: a connection is reset at its next byte. drop_answers: data from
    the upstream is dropped. drop_requests: data to the upstream is dropped. drop_all: both are dropped. A connection that
    lost data stays open and forwards nothing more, also after the mode is normal again.
    """

    def __init__(self, upstream, seed):
        self.upstream, self.mode, self.delay_s = upstream, "normal", 0.0
        self.random, self.stopped = random.Random(seed), False
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.open_sockets = set()
        threading.Thread(target=self.accept, daemon=True).start()

    def set(self, mode):
        self.mode, self.delay_s = mode, self.random.uniform(0.02, 0.3)

    def stop(self):
        self.stopped = True
        self.listener.close()
        for endpoint in list(self.open_sockets):
            endpoint.close()

    def accept(self):
        while not self.stopped:
            try:
                caller, _ = self.listener.accept()
                target = socket.create_connection(self.upstream, timeout=5)
                target.settimeout(None)
            except OSError:
                continue
            self.open_sockets |= {caller, target}
            silenced = threading.Event()
            for source, sink, is_answer in ((caller, target, False), (target, caller, True)):
                threading.Thread(target=self.forward, args=(source, sink, is_answer, silenced), daemon=True).start()

    def forward(self, source, sink, is_answer, silenced):
        """Copies data from SOURCE to SINK; SILENCED is set once data of the connection was dropped."""
        try:
            while data := source.recv(READ_SIZE):
                mode = self.mode
                if mode == "delay":
                    time.sleep(self.delay_s)
                if mode == "reset":
                    for endpoint in (source, sink):
                        endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                    break
                if mode == "drop_all" or (mode == "drop_answers" and is_answer) or (
                        mode == "drop_requests" and not is_answer):
                    silenced.set()
                if not silenced.is_set():
                    sink.sendall(data)
        except OSError:
            pass
        for endpoint in (source, sink):
            self.open_sockets.discard(endpoint)
            endpoint.close()
