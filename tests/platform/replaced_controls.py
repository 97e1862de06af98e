"""Guards against a control group without a leader after a planned replacement of instances and one loss, in each order: the
stopped instance still counted as a voter, and the majority that remained could not elect a leader or remove it."""

import concurrent.futures

from fleet import wait_until
from stand_in import route, service

VOTERS = 3
GRACE_S = 5  # default of the control instance


def run(fleet, say):
    for name, order in ORDERS.items():
        with type(fleet)(fleet.build.parent) as other:
            other.start(controls=VOTERS, entries=0)
            wait_until(lambda: other.put("00000001", "0", [route("safe", "s1")], [service("s1")]) == 200, "the configuration")
            order(other)
            say(f"{name}: {describe(other)}")


def replace_then_lose_disk(fleet):
    replace(fleet, [2])
    fleet.lose_disk(1).start()


def lose_then_replace(fleet):
    add_controls(fleet, 1)
    fleet.controls[0].kill()
    stop(fleet, [2])
    fleet.lose_disk(0).start()


def replace_all_then_lose_disk(fleet):
    replace(fleet, [0, 1, 2])
    fleet.lose_disk(3).start()


def lose_new_one_while_all_stop(fleet):
    add_controls(fleet, VOTERS)
    fleet.controls[VOTERS].kill()
    stop(fleet, [0, 1, 2])
    fleet.lose_disk(VOTERS).start()


ORDERS = {
    "one replaced, then a lost disk": replace_then_lose_disk,
    "one lost, then another one replaced": lose_then_replace,
    "all replaced at once, then a lost disk": replace_all_then_lose_disk,
    "all replaced at once, a new one killed": lose_new_one_while_all_stop,
}


def replace(fleet, leavers):
    add_controls(fleet, len(leavers))
    stop(fleet, leavers)


def add_controls(fleet, count):
    """Starts new instances and waits until each is a member of the group."""
    for _ in range(count):
        number = fleet.add_control(fleet.seeds(range(VOTERS)))
        wait_until(lambda: fleet.read_control_metric(number, "anvillb_group_applied_total") not in (None, 0),
                   "the new instance has the configuration")


def stop(fleet, leavers):
    """Stops instances as planned, all at once."""
    programs = [fleet.controls[i] for i in leavers]
    for program in programs:
        program.popen.terminate()
    with concurrent.futures.ThreadPoolExecutor() as pool:
        list(pool.map(lambda program: program.popen.wait(GRACE_S + 1), programs))


def describe(fleet):
    """Returns whether the group serves again and is complete, with as many live voters as it should have."""
    live = [i for i, program in enumerate(fleet.controls) if program.popen.poll() is None]
    wait_until(lambda: any(answers(fleet, i) for i in live), "a read is answered")
    wait_until(lambda: any(fleet.patch("00000002", "00000001", [route("safe", "s1", name="added")], control=i) == 200
                           for i in live), "a change is acknowledged")
    wait_until(lambda: count_following_voters(fleet, live) == VOTERS, "all voters follow")
    return f"{len(live)} instances, following voters {count_following_voters(fleet, live)}, change acknowledged"


def answers(fleet, control):
    try:
        status, config = fleet.read(control=control)
    except OSError:
        return False
    return status == 200 and config["version"] == "00000001"


def count_following_voters(fleet, live):
    return max(int(fleet.read_control_metric(i, "anvillb_group_following_voters") or 0) for i in live)
