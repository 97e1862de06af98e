"""Guards against refusals at an entry whose failure domain has lost all its backend servers while the other
failure domains have capacity."""

from fleet import wait_until
from start import start


def run(fleet, say):
    start(fleet, controls=1, entries=3, backends=9)
    for backend in fleet.backends[0::3]:
        backend.kill()
    wait_until(lambda: fleet.owned_slots() == 12, "the leases have ended")
    for entry in fleet.entries:
        lookups = [fleet.request(entry, "GET", f"/sheets/{i}")[0] for i in range(20)]
        bookings = [fleet.request(entry, "POST", "/possessions", body="x",
                                  headers={"Idempotency-Key": f"{entry.name}-{i}"})[0] for i in range(20)]
        say(f"{entry.name}: {lookups.count(200)} lookups and {bookings.count(200)} bookings of 20 answered")
