"""Guards against a booking that runs again when it is resent another way: to an entry that is assigned to the
service, or to one that forwards it, with and without a team."""

from bookings import executions
from start import start


def run(fleet, say):
    start(fleet, controls=1, entries=6, backends=6)
    for name, team in (("no team", {}), ("a team", {"Anvillb-Team": "gang"})):
        key = f"key of {name}".replace(" ", "-")
        answers = [fleet.request(entry, "POST", "/possessions", body="x", headers={"Idempotency-Key": key, **team})
                   for entry in fleet.entries]
        replayed = sum(headers.get("Anvillb-Replayed") == "1" for _, headers, _ in answers)
        say(f"{name}: {sum(status == 200 for status, _, _ in answers)} answered, {replayed} replayed, "
            f"executed {executions(fleet).get(key, 0)}")
