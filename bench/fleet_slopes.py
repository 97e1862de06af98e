"""Measures how the cost of the real programs grows with the fleet, on loopback.

Usage: python3 bench/fleet_slopes.py BUILD_DIRECTORY idle|services|targets|spread|calls [SIZE...]

  idle      SIZE entries without services or load
  services  12 entries in 12 failure domains, SIZE services with one target each; every entry is
            assigned to all of them
  targets   3 entries in 3 failure domains, one service with SIZE targets
  spread    SIZE entries; time from a patch until all entries have installed its version
  calls     SIZE calls on new connections to the operators' port of control and the admin port of an
            entry; open file descriptors 15 s after the callers have closed the connections

Prints one table line per size: memory (VmRSS), processor time (schedstat of all threads), and the
messages and bytes of the link counters, which leave out heartbeats and the headers of TCP and IP.
Control does not serve its counters, so those columns are 0 for it.
Bytes and segments on the sockets come from `ss` and cover the sockets that were open over the whole
window, so they are a lower bound.
"""

import pathlib
import re
import statistics
import subprocess
import sys
import time
from datetime import datetime, timezone

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "tests" / "support"))

from fleet import Fleet, call, free_ports, wait_until  # noqa: E402

CONTROL_COUNT = 3
SETTLE_S = 12  # links without messages are closed after 10 s
WINDOW_S = 20
CLOSE_WAIT_S = 15
PATCH_COUNT = 20
PATCH_INTERVAL_S = 0.5
DOMAIN_COUNT = 12
DEFAULT_SIZES = {"idle": [4, 8, 16, 32], "services": [0, 8, 16], "targets": [0, 12, 24, 48],
                 "spread": [8, 32], "calls": [0, 200]}
RATE_LIMIT = {"rate": 1000, "burst": 1000}
EMPTY_CONFIGURATION = {"services": {}, "routes": {}, "teams": {}, "team_default": RATE_LIMIT}


def service_definitions(count):
    return {f"service-{i:05d}": {"hosts": [f"service-{i:05d}.example"], "min_healthy_slots": 1,
                                 "sensitivity": 0.5} for i in range(count)}


def submit(fleet, patch):
    # submit.version is the number of the latest version, the base of the next patch.
    base = submit.version
    status, answer = fleet.submit(base, patch, f"patch-{base}")
    assert status in (200, 201), answer
    submit.version = answer["version"]
    return submit.version


def start(fleet, entries, domains=3):
    submit.version = 0
    fleet.start_controls(CONTROL_COUNT)
    submit(fleet, EMPTY_CONFIGURATION)
    for number in range(entries):
        ports = free_ports(3)
        process = fleet.entry(number, *ports, [f"--domain=domain-{number % domains}"])
        fleet.entries.append(process.start())
    wait_until(lambda: all(installed_at(p, submit.version) for p in fleet.entries), "all have the version")


def installed_at(process, version):
    """Returns the time of day at which PROCESS installed VERSION or a later one, or None."""
    for line in process.log().splitlines():
        found = re.search(r">(\S+)Z .*configuration in force version=(\d+)", line)
        if found and int(found.group(2)) >= version:
            return datetime.fromisoformat(found.group(1)).replace(tzinfo=timezone.utc).timestamp()
    return None


def rss_kb(process):
    status = pathlib.Path(f"/proc/{process.popen.pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status).group(1))


def cpu_s(process):
    tasks = pathlib.Path(f"/proc/{process.popen.pid}/task").glob("*/schedstat")
    return sum(int(path.read_text().split()[0]) for path in tasks) / 1e9


def read_counters(process):
    """Returns the metrics of PROCESS, summed over labels; control does not serve any."""
    if "admin" not in process.ports:
        return {}
    text = call(process.ports["admin"], "GET", "/metrics")[2].decode()
    values = {}
    for line in text.splitlines():
        if not line.startswith("#"):
            name = line.split("{")[0].split(" ")[0]
            values[name] = values.get(name, 0) + float(line.rsplit(" ", 1)[1])
    return values


def read_socket_counts(processes):
    """Returns {pid: {socket: (bytes, segments)}} sent by the open TCP connections of PROCESSES."""
    result = {p.popen.pid: {} for p in processes}
    output = subprocess.run(["ss", "-tinpOH"], capture_output=True, text=True, check=True).stdout
    for line in output.splitlines():
        pid = re.search(r"pid=(\d+)", line)
        sent = re.search(r"bytes_sent:(\d+)", line)
        segments = re.search(r"segs_out:(\d+)", line)
        if pid and sent and segments and int(pid.group(1)) in result:
            name = tuple(line.split()[3:5])
            result[int(pid.group(1))][name] = (int(sent.group(1)), int(segments.group(1)))
    return result


def take_sample(processes):
    return {"time": time.monotonic(), "sockets": read_socket_counts(processes),
            "counters": [read_counters(p) for p in processes], "cpu": [cpu_s(p) for p in processes]}


def measure_rates(processes, window_s):
    """Returns one dictionary of figures for each process over WINDOW_S."""
    before = take_sample(processes)
    time.sleep(window_s)
    after = take_sample(processes)
    seconds = after["time"] - before["time"]
    result = []
    for i, process in enumerate(processes):
        def counter_rate(name):
            return (after["counters"][i].get(name, 0) - before["counters"][i].get(name, 0)) / seconds
        old, new = before["sockets"][process.popen.pid], after["sockets"][process.popen.pid]
        still_open = [key for key in new if key in old]
        result.append({
            "rss_kb": rss_kb(process),
            "cpu_percent": (after["cpu"][i] - before["cpu"][i]) / seconds * 100,
            "messages": counter_rate("anvillb_link_messages_sent_total"),
            "bytes": counter_rate("anvillb_link_bytes_sent_total"),
            "links": after["counters"][i].get("anvillb_links", 0),
            "kept": len(still_open),
            "socket_bytes": sum(new[key][0] - old[key][0] for key in still_open) / seconds,
            "segments": sum(new[key][1] - old[key][1] for key in still_open) / seconds,
        })
    return result


COLUMNS = [("rss_kb", 0), ("cpu_percent", 3), ("messages", 2), ("bytes", 0), ("links", 1), ("kept", 1),
           ("socket_bytes", 0), ("segments", 1)]


def print_header():
    print("| size | role | " + " | ".join(name for name, _ in COLUMNS) + " | highest bytes |")
    print("|---" * (len(COLUMNS) + 3) + "|", flush=True)


def print_line(size, role, figures):
    formatted_columns = [f"{statistics.mean(f[name] for f in figures):,.{digits}f}" for name, digits in COLUMNS]
    print(f"| {size} | {role} | " + " | ".join(formatted_columns) + f" | {max(f['bytes'] for f in figures):,.0f} |",
          flush=True)


def measure(fleet, size):
    time.sleep(SETTLE_S)
    figures = measure_rates(fleet.entries + fleet.controls, WINDOW_S)
    print_line(size, "entry", figures[:len(fleet.entries)])
    print_line(size, "control", figures[len(fleet.entries):])


def run_idle(build, sizes):
    print_header()
    for size in sizes:
        with Fleet(build) as fleet:
            start(fleet, size)
            measure(fleet, size)


def run_services(build, sizes):
    print_header()
    with Fleet(build) as fleet:
        start(fleet, DOMAIN_COUNT, DOMAIN_COUNT)
        for size in sizes:
            if size > 0:
                submit(fleet, {"services": service_definitions(size)})
            for number in range(len(fleet.backends), size):
                fleet.start_backends(1, service=f"service-{number:05d}", domain=f"domain-{number % DOMAIN_COUNT}")
            wait_until(lambda: fleet.owned_slots() == 2 * size, "each target has an owner")
            measure(fleet, size)


def run_targets(build, sizes):
    print_header()
    with Fleet(build) as fleet:
        start(fleet, 3)
        submit(fleet, {"services": service_definitions(1)})
        for size in sizes:
            fleet.start_backends(size - len(fleet.backends), service="service-00000", slots=2)
            wait_until(lambda: fleet.owned_slots() == 2 * size, "each target has an owner")
            measure(fleet, size)


def run_spread(build, sizes):
    print("| entries | patches | from sending: p50 ms | max ms | from the acceptance: p50 ms | max ms |")
    print("|---|---|---|---|---|---|", flush=True)
    for size in sizes:
        with Fleet(build) as fleet:
            start(fleet, size)
            time.sleep(SETTLE_S)
            from_sending, from_acceptance = [], []
            for i in range(PATCH_COUNT):
                sent = time.time()
                version = submit(fleet, {"team_default": {"rate": 2000 + i}})
                accepted = time.time()
                wait_until(lambda: all(installed_at(p, version) for p in fleet.entries), "version is in force")
                last = max(installed_at(p, version) for p in fleet.entries)
                from_sending.append((last - sent) * 1000)
                from_acceptance.append((last - accepted) * 1000)
                time.sleep(PATCH_INTERVAL_S)
            formatted_columns = [f"{f(v):.0f}" for v in (from_sending, from_acceptance) for f in (statistics.median, max)]
            print(f"| {size} | {PATCH_COUNT} | " + " | ".join(formatted_columns) + " |", flush=True)


def count_open_files(process):
    return len(list(pathlib.Path(f"/proc/{process.popen.pid}/fd").iterdir()))


def run_calls(build, sizes):
    print("| calls | control, open files before | after | entry, open files before | after |")
    print("|---|---|---|---|---|", flush=True)
    with Fleet(build) as fleet:
        start(fleet, 1)
        for size in sizes:
            processes = [fleet.controls[0], fleet.entries[0]]
            before = [count_open_files(p) for p in processes]
            for _ in range(size):
                fleet.operator(processes[0], "GET", "/v1/groups")
                read_counters(processes[1])
            time.sleep(CLOSE_WAIT_S)
            after = [count_open_files(p) for p in processes]
            print(f"| {size} | {before[0]} | {after[0]} | {before[1]} | {after[1]} |", flush=True)


def main(build, mode, sizes):
    runs = {"idle": run_idle, "services": run_services, "targets": run_targets, "spread": run_spread, "calls": run_calls}
    runs[mode](build, sizes or DEFAULT_SIZES[mode])


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2], [int(size) for size in sys.argv[3:]])
