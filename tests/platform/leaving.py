"""Guards against requests to a target that said in an answer that it leaves, or that refused a request and asked for a
pause. Answers that are damaged or belong to another request must not end a target, and a pause ends."""

import time

from fleet import wait_until

# Entries 0 and 3 are in one failure domain and so in one cell.
ENTRIES = 4
SAME_CELL = (0, 3)
# Time that the message to the other entries of the cell may take.
CELL_DELAY_S = 0.5


def run(fleet, say):
    fleet.start_serving(targets=3, entries=ENTRIES)
    first, second, third = fleet.targets

    for mode in ("spoiled leaving", "late leaving"):
        first.mode = mode
        send_until_used(fleet, first)
        first.mode = "normal"
        time.sleep(CELL_DELAY_S)
        send_until_used(fleet, first)
        say(f"{mode}: the target is still in use")

    first.mode = "leaving"
    send_until_used(fleet, first)
    time.sleep(CELL_DELAY_S)
    say(f"leaving: requests at the target {count_requests_at(fleet, first, SAME_CELL)}")
    wait_until(lambda: first.send_heartbeat() == 200, "a heartbeat")
    time.sleep(CELL_DELAY_S)
    say(f"leaving, after a heartbeat: requests at the target {count_requests_at(fleet, first, SAME_CELL)}")
    first.mode = "normal"
    first.born += 1000
    first.sequence = 0
    wait_until(lambda: first.send_heartbeat() == 200, "a heartbeat")
    send_until_used(fleet, first)
    say("a new incarnation gets requests: True")

    first.mode = second.mode = third.mode = "busy"
    began = time.monotonic()
    _, status, headers, _ = fleet.request("/unsafe/x", method="POST")
    retry_after = float(headers["Retry-After"])
    say(f"all busy: {status}, Retry-After from the targets: {0.5 < retry_after <= 1.5}")
    before = {target: len(target.arrival_times) for target in fleet.targets}
    answers = [fleet.request("/unsafe/x", method="POST") for _ in range(20)]
    say(f"all paused: {sorted({status for _, status, _, _ in answers})}, at once: {time.monotonic() - began < 1.0}, "
        f"requests at the targets {sum(len(target.arrival_times) - before[target] for target in fleet.targets)}")
    for target in fleet.targets:
        target.mode = "normal"
    time.sleep(1.6)
    say(f"after the pause: {sorted({fleet.request('/safe/x')[1] for _ in range(10)})}")

    # The last pause is longer than any that is accepted.
    for value in ("nan", "-5", "Wed, 21 Oct 2026 07:28:00 GMT", "1e999"):
        first.pause_s, first.mode = value, "busy"
        send_until_used(fleet, first, arrivals=True)
        first.mode = "normal"
    say(f"odd pauses: {sorted({fleet.request('/safe/x')[1] for _ in range(10)})}, "
        f"ended processes {sum(program.popen.poll() is not None for program in fleet.processes())}")


def send_until_used(fleet, target, arrivals=False):
    """Sends requests to entry 0 until TARGET gets one."""
    seen = target.arrival_times if arrivals else target.requests
    before = len(seen)
    wait_until(lambda: fleet.request("/safe/x")[1] and len(seen) > before, "a request at the target")


def count_requests_at(fleet, target, entries):
    before = len(target.requests)
    for number in range(40):
        fleet.request("/safe/x", entry=entries[number % len(entries)])
    return len(target.requests) - before
