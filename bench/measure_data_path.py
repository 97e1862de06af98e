"""Measures what the data path adds to direct calls, in one run on loopback.

Usage: python3 bench/measure_data_path.py BUILD_DIRECTORY
Runs alternate between direct calls to two fake backends and calls through one entry. Prints one
line for each run, medians as ratios, and the memory of the entry for an idle caller connection.
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

from fleet import CREW, Fleet, wait_until  # noqa: E402

REPEATS = 3
BACKENDS = 2
SLOTS = 64
IDLE_CONNECTIONS = 5000
RESOLVE = b"GET /.anvillb/v1/resolve?service=crew HTTP/1.1\r\nHost: entry\r\n\r\n"
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


def compare(name, entry, direct, through, options):
    pairs = {"direct": [], "entry": []}
    for seed in range(1, REPEATS + 1):
        for path, base in (("direct", direct), ("entry", through)):
            line = f"{name} {path}"
            pairs[path].append(run_load(line, entry, [*base, *options, f"--seed={seed}"]))
    median = {path: {key: statistics.median(run[key] for run in runs)
                     for key in ("p50_ms", "p99_ms", "ok_per_s", "cpu_us")}
              for path, runs in pairs.items()}
    a, b = median["direct"], median["entry"]
    print(f"{name}: p50 ratio {b['p50_ms'] / a['p50_ms']:.2f} (+{b['p50_ms'] - a['p50_ms']:.3f} ms)"
          f", p99 ratio {b['p99_ms'] / a['p99_ms']:.2f} (+{b['p99_ms'] - a['p99_ms']:.3f} ms)"
          f", requests/s ratio {b['ok_per_s'] / a['ok_per_s']:.2f}"
          f", entry {b['ok_per_s']:.0f}/s, entry CPU {b['cpu_us']:.1f} us a request")


def open_connections(port, count, ask):
    connections = []
    for _ in range(count):
        connection = socket.create_connection(("127.0.0.1", port))
        if ask:
            connection.sendall(RESOLVE)
            connection.recv(4096)
        connections.append(connection)
    time.sleep(0.5)
    return connections


def measure_idle(entry, port):
    kept = open_connections(port, 200, True)
    base = rss_bytes(entry.popen.pid)
    kept += open_connections(port, IDLE_CONNECTIONS, True)
    used = rss_bytes(entry.popen.pid)
    print(f"idle after one request: {(used - base) / IDLE_CONNECTIONS:.0f} bytes a connection")
    before = cpu_us(entry.popen.pid)
    time.sleep(3)
    print(f"CPU with {len(kept)} idle connections: "
          f"{(cpu_us(entry.popen.pid) - before) / 3e6 * 100:.2f} % of a core")
    for connection in kept:
        connection.close()


def main():
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    with Fleet(BUILD) as fleet:
        fleet.start_controls(1)
        fleet.submit(0, {**CREW, "team_default": {"rate": 1000000, "burst": 1000000}}, "first")
        fleet.start_entries(1, ["--log-level=warning"])
        fleet.wait_ready()
        fleet.start_backends(BACKENDS, slots=SLOTS, service_ms=0, arguments=["--connections=4800"],
                             domain="domain-0")
        wait_until(lambda: fleet.owned_slots() == BACKENDS * SLOTS, "each target has an owner")
        time.sleep(12)  # the slow start of new targets
        measure(fleet)


def measure(fleet):
    entry = fleet.entries[0]
    direct = [f"--direct=127.0.0.1:{backend.ports['listen']}" for backend in fleet.backends]
    through = [f"--entry=127.0.0.1:{entry.ports['listen']}"]
    compare("260/s", entry, direct, through, ["--rate=260", "--duration-s=4"])
    compare("closed 1", entry, direct, through, ["--closed=1", "--duration-s=2"])
    compare("closed 16", entry, direct, through, ["--closed=16", "--duration-s=2"])
    compare("closed 64", entry, direct, through, ["--closed=64", "--duration-s=2"])
    measure_idle(entry, entry.ports["listen"])


if __name__ == "__main__":
    main()
