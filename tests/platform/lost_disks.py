"""Guards against a control instance that lost its disk and never becomes a voter again because none of the seeds, the only
instances that it knows, leads. The group then does not survive the next two lost disks, and acknowledged configurations
are gone."""

import re

from fleet import wait_until
from stand_in import route, service

SEEDS = 3
CONTROLS = 5


def run(fleet, say):
    fleet.start(controls=CONTROLS, entries=0)
    wait_until(lambda: fleet.put("00000001", "0", [route("safe", "s1")], [service("s1")]) == 200, "the first configuration")
    wait_until(lambda: count_promotions(fleet) >= CONTROLS - SEEDS, "all instances are voters")
    wait_until(lambda: move_leadership(fleet), "an instance that is not a seed leads")
    leader = fleet.leader()
    replaced = fleet.lose_disk(0).start()
    wait_until(lambda: is_voter(fleet, replaced), "the instance without its disk is a voter again")
    # The log is committed in order, so when this departure is committed the change of members is as well.
    wait_until(lambda: fleet.rpc("instances.deregister", {"born": 1}, instance="i-marker", control=leader)[0] == 200,
               "the change of members is committed")
    say(f"the leader is a seed: {leader < SEEDS}, an instance that lost its disk is a voter again: True")
    wait_until(lambda: fleet.patch("00000002", "00000001", [route("safe", "s1", name="added")]) == 200,
               "a change is acknowledged")
    say("change acknowledged: True")
    for number in range(CONTROLS):
        fleet.controls[number].kill()
    for number in (1, leader):
        fleet.lose_disk(number)
    for program in fleet.controls:
        program.start()
    wait_until(lambda: fleet.read()[0] == 200, "the configuration is read after two more disks are lost")
    _, config = fleet.read()
    say(f"all killed, two disks lost: version {config['version']}, routes {len(config['routes'])}")


def count_promotions(fleet):
    return sum(program.log().count("learner becomes voter") for program in fleet.controls)


def is_voter(fleet, instance):
    """Returns whether the last identity of an instance was promoted."""
    identities = re.findall(r"member group=fleet id=(\w+) applied=0 last=0", instance.log())
    return any("learner becomes voter group=fleet member=" + identities[-1] in program.log() for program in fleet.controls)


def move_leadership(fleet):
    """Kills the leader if it is a seed. Returns whether another instance leads."""
    leader = fleet.leader()
    if leader is None or leader >= SEEDS:
        return leader is not None
    program = fleet.controls[leader]
    program.kill()
    wait_until(lambda: fleet.leader() is not None, "another instance leads")
    program.start()
    return fleet.leader() >= SEEDS
