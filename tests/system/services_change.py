"""Guards against a service that gets no targets because they announced themselves before the configuration
defined it, and against one that is still served after its removal or not served after it is added again."""

from fleet import wait_until
from start import start

ADD_SURVEY = {
    "services": {"survey": {"hosts": ["survey.example"]}},
    "routes": {"photo": {"service": "survey", "methods": ["GET"], "prefix": "/photos", "class": "background",
                         "idempotent": True}},
}
REMOVE_SURVEY = {"services": {"survey": None}, "routes": {"photo": None}}


def run(fleet, say):
    start(fleet, controls=1, entries=3, backends=3)
    fleet.start_backends(3, service="survey")
    wait_until(lambda: sum(fleet.metric(entry, "anvillb_announcements_total") for entry in fleet.entries) > 20,
               "the servers of the unknown service announce themselves")
    say(f"before the service is configured: {photo_status(fleet)}")
    for number, patch in enumerate((ADD_SURVEY, REMOVE_SURVEY, ADD_SURVEY), start=1):
        fleet.submit(number, patch, f"change-{number}")
        expected_status = 404 if patch is REMOVE_SURVEY else 200
        wait_until(lambda s=expected_status: all(photo_status(fleet, entry) == s for entry in fleet.entries),
                   f"answer {expected_status}")
        say(f"version {number + 1}: {expected_status} at all entries")
    say(f"the other service goes on: {fleet.request(fleet.entries[0], 'GET', '/sheets/1')[0]}")


def photo_status(fleet, entry=None):
    return fleet.request(entry or fleet.entries[0], "GET", "/photos/1", host="survey.example")[0]
