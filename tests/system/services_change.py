"""Guards against a service that gets no targets because they announced themselves before the configuration
named it, and against one that does not end or come back when it is removed and added again."""

from fleet import wait_until
from start import start

SURVEY = {
    "services": {"survey": {"hosts": ["survey.example"]}},
    "routes": {"photo": {"service": "survey", "methods": ["GET"], "prefix": "/photos", "class": "background",
                         "idempotent": True}},
}
NOTHING = {"services": {"survey": None}, "routes": {"photo": None}}


def run(fleet, say):
    start(fleet, controls=1, entries=3, backends=3)
    fleet.start_backends(3, service="survey")
    wait_until(lambda: sum(fleet.metric(entry, "anvillb_announcements_total") for entry in fleet.entries) > 20,
               "the servers of the unknown service announce themselves")
    say(f"before the service is configured: {photo(fleet)}")
    for number, patch in enumerate((SURVEY, NOTHING, SURVEY), start=1):
        fleet.submit(number, patch, f"change-{number}")
        wanted = 404 if patch is NOTHING else 200
        wait_until(lambda w=wanted: all(photo(fleet, entry) == w for entry in fleet.entries), f"answer {wanted}")
        say(f"version {number + 1}: {wanted} at all entries")
    say(f"the other service goes on: {fleet.request(fleet.entries[0], 'GET', '/sheets/1')[0]}")


def photo(fleet, entry=None):
    return fleet.request(entry or fleet.entries[0], "GET", "/photos/1", host="survey.example")[0]
