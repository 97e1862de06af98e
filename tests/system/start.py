"""Common start of the scenarios: control, entries, configuration and backend servers."""

from fleet import CREW_CONFIGURATION, wait_until


def submit_first_configuration(fleet):
    """Submits the first configuration and returns whether its outcome is final.

    The caller repeats a submission that was answered 503, with the same patch_id: a leader may be deposed between the
    proposal and the commit, and until the next election there is none.
    """
    status, answer = fleet.submit(0, CREW_CONFIGURATION, "first")
    if status == 503:
        return False
    assert status in (200, 201), answer
    return True


def start(fleet, controls=3, entries=6, backends=9, entry_arguments=(), **options):
    fleet.start_controls(controls)
    wait_until(lambda: submit_first_configuration(fleet), "the outcome of the first configuration")
    fleet.start_entries(entries, entry_arguments)
    fleet.wait_ready()
    fleet.start_backends(backends, **options)
    slots = options.get("slots", 2) * backends
    wait_until(lambda: fleet.owned_slots() == slots, "each target has an owner")
