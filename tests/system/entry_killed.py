"""Guards against doubled bookings when entries are killed in the middle of their work, each in turn and
two together, and restarted with the same addresses."""

import time

from bookings import Bookings, report
from start import start


def run(fleet, say):
    start(fleet)
    bookings = Bookings(fleet).start()
    for victims in ([0], [1], [2, 3]):
        time.sleep(0.7)
        for victim in victims:
            fleet.entries[victim].kill()
        time.sleep(0.7)
        for victim in victims:
            fleet.entries[victim].start()
        fleet.wait_ready()
    bookings.stop()
    report(fleet, bookings, say)
