"""Guards against state that does not survive kill -9 of every process at once: configuration versions
after 500 changes, answers of bookings, and patches resent long afterwards."""

from bookings import count_executions
from fleet import call, wait_until
from start import start

VERSION_COUNT = 500


def run(fleet, say):
    start(fleet, controls=3, entries=3, backends=6)
    for number in range(1, VERSION_COUNT):
        submit_until_acknowledged(fleet, number)
    wait_until(lambda: all(fleet.version(entry) == VERSION_COUNT for entry in fleet.entries), "in force everywhere")
    answers_before = [send_booking(fleet, f"key-{i}") for i in range(20)]
    executions_before = count_executions(fleet)
    say(f"bookings answered before: {sum(status == 200 for status, _ in answers_before)}")

    for process in fleet.controls + fleet.entries:
        process.kill()
    for process in fleet.controls + fleet.entries:
        process.start()
    wait_until(lambda: fleet.leader("config") and fleet.leader("claims"), "both groups have a leader")
    fleet.wait_ready()
    say(f"version after the restart: {fleet.version(fleet.entries[0])}")

    answers_after = [send_booking(fleet, f"key-{i}") for i in range(20)]
    say(f"bookings replayed after: {sum(status == 200 and replayed for status, replayed in answers_after)}")
    say(f"executions unchanged: {count_executions(fleet) == executions_before}")
    status, answer = fleet.submit(7, {"team_default": {"rate": 10007}}, "patch-7")
    say(f"patch 7 resent: {status} {answer['outcome']} {answer['version']}")
    status, answer = fleet.submit(7, {"team_default": {"rate": 1}}, "patch-7")
    say(f"patch 7 with other content: {status} {answer['outcome']} {answer['version']}")
    status, answer = fleet.submit(7, {"team_default": {"rate": 1}}, "other")
    say(f"another patch against version 7: {status} {answer['outcome']} current {answer['current']}")


def submit_until_acknowledged(fleet, base):
    """Submits the change of version BASE. A leader that loses contact to the majority cannot tell the outcome and answers
    503; the patch is then sent again, as operators do, and must be accepted once and for all as the next version."""

    def try_submit():
        answer = fleet.submit(base, {"team_default": {"rate": 10000 + base}}, f"patch-{base}")
        return answer if answer[0] != 503 else None

    status, answer = wait_until(try_submit, f"an acknowledgement of patch-{base}")
    assert status in (200, 201) and answer["version"] == base + 1, answer


def send_booking(fleet, key):
    entry = fleet.entries[len(key) % 3]

    def try_send():
        result = fleet.request(entry, "POST", "/possessions", body=key, headers={"Idempotency-Key": key})
        return result if result[0] != 503 else None

    status, headers, _ = wait_until(try_send, f"an answer for {key}")
    return status, headers.get("Anvillb-Replayed") == "1"
