"""Guards against links, ports and an operators' tool that do not work with TLS, against a peer that is accepted
without a certificate, and against a tool that accepts a certificate of an unknown authority."""

import json
import socket
import ssl
import subprocess
import urllib.request

from fleet import CREW_CONFIGURATION, TOKEN, wait_until


def run(fleet, say):
    fleet.use_tls()
    context = ssl.create_default_context(cafile=str(fleet.directory / "ca.pem"))
    context.check_hostname = False
    start_control_with_tls(fleet, context)
    body = {"base": 0, "patch_id": "first", "operator": "test", "reason": "test", "patch": CREW_CONFIGURATION}
    say(f"patch over TLS: {post_json(context, fleet.controls[0].ports['operator'], '/v1/patches', body)['outcome']}")
    check_operators_tool(fleet, say)
    fleet.start_entries(3)
    fleet.wait_ready()
    ready = wait_until(lambda: get_text(context, fleet.entries[2].ports["admin"], "/readyz"), "ready")
    say(f"entry is {ready.strip()}")
    say(f"plain connection to a peer port is closed: {is_closed(fleet.entries[0].ports['peer'])}")
    say(f"TLS without a certificate is closed: {is_closed(fleet.entries[0].ports['peer'], context)}")


def check_operators_tool(fleet, say):
    status, output, error = fleet.run_ctl("members")
    say(f"anvillbctl over TLS: exit {status}, leads {output.count(': leader, ')} groups {error}".strip())
    # Without --tls-ca the tool trusts only the authorities of the system, which do not include the test authority.
    server = f"--server=https://127.0.0.1:{fleet.controls[0].ports['operator']}"
    tool = [fleet.build / "src" / "anvillbctl", f"--token-file={fleet.token_file}", server, "members"]
    refused = subprocess.run(tool, capture_output=True, text=True, stdin=subprocess.DEVNULL, timeout=60)
    say(f"anvillbctl without the authority: exit {refused.returncode}, "
        f"refuses the certificate: {'certificate' in refused.stdout.lower()}")


def start_control_with_tls(fleet, context):
    import fleet as fleet_module
    plain_call = fleet_module.call
    fleet_module.call = lambda port, *arguments, **options: tls_call(context, port, *arguments)
    try:
        fleet.start_controls(1)
    finally:
        fleet_module.call = plain_call


def tls_call(context, port, method, path, body=None, headers=None):
    request = urllib.request.Request(f"https://127.0.0.1:{port}{path}",
                                     data=body.encode() if isinstance(body, str) else body, headers=headers or {},
                                     method=method)
    with urllib.request.urlopen(request, context=context, timeout=10) as answer:
        return answer.status, dict(answer.headers), answer.read()


def post_json(context, port, path, body):
    headers = {"Authorization": f"Bearer {TOKEN}", "Content-Type": "application/json"}
    return json.loads(tls_call(context, port, "POST", path, json.dumps(body).encode(), headers)[2])


def get_text(context, port, path):
    try:
        return tls_call(context, port, "GET", path)[2].decode()
    except OSError:
        return None


def is_closed(port, context=None):
    """Returns whether the process closes the connection without an answer of its own protocol."""
    with socket.create_connection(("127.0.0.1", port), timeout=10) as raw:
        try:
            stream = context.wrap_socket(raw) if context else raw
            stream.sendall(b"\0\0\0\2\x91\x01")
            received = b""
            while data := stream.recv(4096):
                received += data
        except (ConnectionError, ssl.SSLError):
            return True
        return b"entry-0" not in received
