"""Guards against a booking that runs again when it is resent through another entry, which is assigned to the
service or forwards the booking, with and without a team."""

from bookings import count_executions
from start import start


def run(fleet, say):
    start(fleet, controls=1, entries=6, backends=6)
    for name, team in (("no team", {}), ("a team", {"Anvillb-Team": "gang"})):
        key = f"key of {name}".replace(" ", "-")
        answers = [fleet.request(entry, "POST", "/possessions", body="x", headers={"Idempotency-Key": key, **team})
                   for entry in fleet.entries]
        replayed = sum(headers.get("Anvillb-Replayed") == "1" for _, headers, _ in answers)
        say(f"{name}: {sum(status == 200 for status, _, _ in answers)} answered, {replayed} replayed, "
            f"executed {count_executions(fleet).get(key, 0)}")
