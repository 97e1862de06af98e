"""Guards against bookings that are lost or run twice when the leader of the claims group is killed, when the next
leader is killed right after the first one is back, and when a leader stops as planned."""

import signal
import time

from bookings import Bookings, report
from fleet import wait_until
from start import start


def run(fleet, say):
    start(fleet)
    bookings = Bookings(fleet).start()
    time.sleep(1)
    for _ in range(2):
        leader = fleet.leader("claims")
        leader.kill()
        wait_until(lambda: fleet.leader("claims"), "another member leads")
        time.sleep(1)
        leader.start()
        wait_until(lambda p=leader: has_caught_up(fleet, p), "the member has caught up")
    leader = fleet.leader("claims")
    leader.signal(signal.SIGTERM)
    wait_until(lambda: leader.popen.poll() is not None, "the leader has stopped")
    wait_until(lambda: fleet.leader("claims"), "another member leads")
    time.sleep(0.5)
    bookings.stop()
    say(f"exit status of the leader stopped as planned: {leader.popen.returncode}")
    report(fleet, bookings, say)
    say(f"bookings without an answer: {len(bookings.unresolved)}")


def has_caught_up(fleet, process):
    group = fleet.groups(process)["claims"]
    return group["applied"] == group["last"] and group["leader"] != "0000000000000000"
