"""Guards against bookings that run twice when entries are killed under load, one after the other and two at once,
and restarted with the same addresses."""

import time

from bookings import Bookings, report
from start import start


def run(fleet, say):
    start(fleet)
    bookings = Bookings(fleet).start()
    for indexes in ([0], [1], [2, 3]):
        time.sleep(0.7)
        for index in indexes:
            fleet.entries[index].kill()
        time.sleep(0.7)
        for index in indexes:
            fleet.entries[index].start()
        fleet.wait_ready()
    bookings.stop()
    report(fleet, bookings, say)
