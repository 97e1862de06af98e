"""A TCP proxy on loopback that delays, resets, cuts one way or silences the connections through it."""

import random
import socket
import struct
import threading
import time

READ_SIZE = 65536
LINGER_RESET = struct.pack("ii", 1, 0)
MODES = ("good", "delay", "reset", "mute", "deaf", "silent")


class LoopbackProxy:
    """Forwards one address to another. The mode holds for all connections, open and new.

    delay: each piece is held for DELAY_S. reset: connections are reset at their next byte. mute: answers are dropped.
    deaf: requests are dropped. silent: both are, without a reset, also when the mode is good again.
    """

    def __init__(self, upstream, seed):
        self.upstream, self.mode, self.delay_s = upstream, "good", 0.0
        self.random, self.ended = random.Random(seed), False
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.open = set()
        threading.Thread(target=self.accept, daemon=True).start()

    def set(self, mode):
        self.mode, self.delay_s = mode, self.random.uniform(0.02, 0.3)

    def stop(self):
        self.ended = True
        self.listener.close()
        for end in list(self.open):
            end.close()

    def accept(self):
        while not self.ended:
            try:
                caller, _ = self.listener.accept()
                target = socket.create_connection(self.upstream, timeout=5)
                target.settimeout(None)
            except OSError:
                continue
            self.open |= {caller, target}
            lost = threading.Event()
            for source, sink, answers in ((caller, target, False), (target, caller, True)):
                threading.Thread(target=self.pump, args=(source, sink, answers, lost), daemon=True).start()

    def pump(self, source, sink, answers, lost):
        """LOST: bytes of the connection were dropped, so that it stays silent."""
        try:
            while data := source.recv(READ_SIZE):
                mode = self.mode
                if mode == "delay":
                    time.sleep(self.delay_s)
                if mode == "reset":
                    for end in (source, sink):
                        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                    break
                if mode == "silent" or (mode == "mute" and answers) or (mode == "deaf" and not answers):
                    lost.set()
                if not lost.is_set():
                    sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            self.open.discard(end)
            end.close()
