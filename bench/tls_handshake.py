"""Counts the bytes and the processor time of one TLS handshake with certificates on both sides.

Usage: python3 bench/tls_handshake.py
The handshake runs in memory, both ends in this process, with the certificate that the tests use
(RSA 2048, signed by the authority of the fleet). Bytes leave out the headers of TCP and IP. The
library is OpenSSL, not the GnuTLS of the programs, so the time is an order of magnitude only.
"""

import pathlib
import ssl
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "tests" / "support"))

from fleet import Fleet  # noqa: E402

HANDSHAKES = 200


def context(directory, purpose):
    result = ssl.SSLContext(purpose)
    result.load_cert_chain(directory / "fleet.pem", directory / "fleet.key")
    result.load_verify_locations(directory / "ca.pem")
    result.check_hostname = False
    result.verify_mode = ssl.CERT_REQUIRED
    return result


def handshake(client_context, server_context):
    """Returns the bytes that the client and the server sent."""
    to_server, to_client = ssl.MemoryBIO(), ssl.MemoryBIO()
    client = client_context.wrap_bio(to_client, to_server)
    server = server_context.wrap_bio(to_server, to_client, server_side=True)
    sent, waiting = {client: 0, server: 0}, {client, server}
    while waiting:
        for end, output in ((client, to_server), (server, to_client)):
            before = output.pending
            try:
                end.do_handshake()
                waiting.discard(end)
            except ssl.SSLWantReadError:
                pass
            sent[end] += output.pending - before
    return sent[client], sent[server], client.version()


def main():
    with Fleet(".") as fleet:
        fleet.use_tls()
        client = context(fleet.directory, ssl.PROTOCOL_TLS_CLIENT)
        server = context(fleet.directory, ssl.PROTOCOL_TLS_SERVER)
        start = time.process_time()
        for _ in range(HANDSHAKES):
            sent = handshake(client, server)
        spent_ms = (time.process_time() - start) * 1000 / HANDSHAKES
    print(f"{sent[2]}: client {sent[0]} bytes, server {sent[1]} bytes, both ends {spent_ms:.2f} ms of processor time")


if __name__ == "__main__":
    main()
