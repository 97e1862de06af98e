"""Measures the latency and processor time that an entry adds to direct calls, on loopback.

Usage: python3 bench/measure_data_path.py BUILD_DIRECTORY
Runs alternate between direct calls to two fake backends and calls through one entry. Prints one
line for each run, the ratios of the medians, and the memory that the entry uses for each idle
caller connection.
"""

import json
import os
import pathlib
import resource
import socket
import statistics
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "tests" / "support"))

from fleet import CREW_CONFIGURATION, Fleet, wait_until  # noqa: E402

REPEAT_COUNT = 3
BACKEND_COUNT = 2
SLOTS_PER_BACKEND = 64
IDLE_CONNECTION_COUNT = 5000
RESOLVE_REQUEST = b"GET /.anvillb/v1/resolve?service=crew HTTP/1.1\r\nHost: entry\r\n\r\n"
BUILD = sys.argv[1]


def cpu_us(pid):
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().split()
    return (int(fields[13]) + int(fields[14])) * 1e6 / os.sysconf("SC_CLK_TCK")


def rss_bytes(pid):
    with open(f"/proc/{pid}/statm", encoding="utf-8") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def run_load(name, entry, options):
    before = cpu_us(entry.popen.pid)
    output = subprocess.run([f"{BUILD}/tests/fakes/loadgen", *options], check=True,
                            capture_output=True, text=True).stdout
    result = json.loads(output)
    result["cpu_us"] = (cpu_us(entry.popen.pid) - before) / result["sent"]
    print(f"{name:22} {result['ok_per_s']:8.0f}/s p50 {result['p50_ms']:.3f} ms p99 "
          f"{result['p99_ms']:.3f} ms sent {result['sent']} ok {result['ok']} "
          f"entry CPU {result['cpu_us']:.1f} us")
    return result


def compare(name, entry, direct, through_entry, options):
    runs_by_path = {"direct": [], "entry": []}
    for seed in range(1, REPEAT_COUNT + 1):
        for path, base in (("direct", direct), ("entry", through_entry)):
            label = f"{name} {path}"
            runs_by_path[path].append(run_load(label, entry, [*base, *options, f"--seed={seed}"]))
    median = {path: {key: statistics.median(run[key] for run in runs)
                     for key in ("p50_ms", "p99_ms", "ok_per_s", "cpu_us")}
              for path, runs in runs_by_path.items()}
    unproxied, proxied = median["direct"], median["entry"]
    print(f"{name}: p50 ratio {proxied['p50_ms'] / unproxied['p50_ms']:.2f} (+{proxied['p50_ms'] - unproxied['p50_ms']:.3f} ms)"
          f", p99 ratio {proxied['p99_ms'] / unproxied['p99_ms']:.2f} (+{proxied['p99_ms'] - unproxied['p99_ms']:.3f} ms)"
          f", requests/s ratio {proxied['ok_per_s'] / unproxied['ok_per_s']:.2f}"
          f", entry {proxied['ok_per_s']:.0f}/s, entry CPU {proxied['cpu_us']:.1f} us a request")


def open_connections(port, count, send_request):
    connections = []
    for _ in range(count):
        connection = socket.create_connection(("127.0.0.1", port))
        if send_request:
            connection.sendall(RESOLVE_REQUEST)
            connection.recv(4096)
        connections.append(connection)
    time.sleep(0.5)
    return connections


def measure_idle(entry, port):
    connections_kept = open_connections(port, 200, True)
    base = rss_bytes(entry.popen.pid)
    connections_kept += open_connections(port, IDLE_CONNECTION_COUNT, True)
    used = rss_bytes(entry.popen.pid)
    print(f"idle after one request: {(used - base) / IDLE_CONNECTION_COUNT:.0f} bytes a connection")
    before = cpu_us(entry.popen.pid)
    time.sleep(3)
    print(f"CPU with {len(connections_kept)} idle connections: "
          f"{(cpu_us(entry.popen.pid) - before) / 3e6 * 100:.2f} % of a core")
    for connection in connections_kept:
        connection.close()


def main():
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    with Fleet(BUILD) as fleet:
        fleet.start_controls(1)
        fleet.submit(0, {**CREW_CONFIGURATION, "team_default": {"rate": 1000000, "burst": 1000000}}, "first")
        fleet.start_entries(1, ["--log-level=warning"])
        fleet.wait_ready()
        fleet.start_backends(BACKEND_COUNT, slots=SLOTS_PER_BACKEND, service_ms=0, arguments=["--connections=4800"],
                             domain="domain-0")
        wait_until(lambda: fleet.owned_slots() == BACKEND_COUNT * SLOTS_PER_BACKEND, "each target has an owner")
        time.sleep(12)  # the slow start of new targets
        measure(fleet)


def measure(fleet):
    entry = fleet.entries[0]
    direct = [f"--direct=127.0.0.1:{backend.ports['listen']}" for backend in fleet.backends]
    through_entry = [f"--entry=127.0.0.1:{entry.ports['listen']}"]
    compare("260/s", entry, direct, through_entry, ["--rate=260", "--duration-s=4"])
    compare("closed 1", entry, direct, through_entry, ["--closed=1", "--duration-s=2"])
    compare("closed 16", entry, direct, through_entry, ["--closed=16", "--duration-s=2"])
    compare("closed 64", entry, direct, through_entry, ["--closed=64", "--duration-s=2"])
    measure_idle(entry, entry.ports["listen"])


if __name__ == "__main__":
    main()
