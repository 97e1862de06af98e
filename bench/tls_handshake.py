"""Counts the bytes and the processor time of one TLS handshake with certificates on both sides.

Usage: python3 bench/tls_handshake.py
Both ends of the handshake run in this process and exchange bytes in memory, with the certificate that the tests use
(RSA 2048, signed by the test authority). Bytes leave out the headers of TCP and IP. Python uses
OpenSSL and the programs use GnuTLS, so the time is only an order of magnitude.
"""

import pathlib
import ssl
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "tests" / "support"))

from fleet import Fleet  # noqa: E402

HANDSHAKE_COUNT = 200


def make_context(directory, purpose):
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
    sent_bytes, unfinished = {client: 0, server: 0}, {client, server}
    while unfinished:
        for endpoint, output in ((client, to_server), (server, to_client)):
            before = output.pending
            try:
                endpoint.do_handshake()
                unfinished.discard(endpoint)
            except ssl.SSLWantReadError:
                pass
            sent_bytes[endpoint] += output.pending - before
    return sent_bytes[client], sent_bytes[server], client.version()


def main():
    with Fleet(".") as fleet:
        fleet.use_tls()
        client = make_context(fleet.directory, ssl.PROTOCOL_TLS_CLIENT)
        server = make_context(fleet.directory, ssl.PROTOCOL_TLS_SERVER)
        start = time.process_time()
        for _ in range(HANDSHAKE_COUNT):
            sent_bytes = handshake(client, server)
        spent_ms = (time.process_time() - start) * 1000 / HANDSHAKE_COUNT
    print(f"{sent_bytes[2]}: client {sent_bytes[0]} bytes, server {sent_bytes[1]} bytes, both ends {spent_ms:.2f} ms of processor time")


if __name__ == "__main__":
    main()
