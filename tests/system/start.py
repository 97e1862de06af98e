"""Common start of the scenarios: control, entries, configuration and backend servers."""

from fleet import CREW, wait_until


def start(fleet, controls=3, entries=6, backends=9, entry_arguments=(), **options):
    fleet.start_controls(controls)
    status, answer = fleet.submit(0, CREW, "first")
    assert status in (200, 201), answer
    fleet.start_entries(entries, entry_arguments)
    fleet.wait_ready()
    fleet.start_backends(backends, **options)
    slots = options.get("slots", 2) * backends
    wait_until(lambda: fleet.owned_slots() == slots, "each target has an owner")
