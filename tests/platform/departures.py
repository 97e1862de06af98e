"""Guards against new work for a target after its departure was acknowledged: also when the leader dies, when a control
instance loses its disk, and when an older heartbeat arrives late, be it of a target that was not known before."""

import shutil
import time

from fleet import wait_until

DRAIN_S = 2.0


def run(fleet, say):
    fleet.serve(targets=3)
    first, second, third = fleet.targets
    late = first.heartbeat_body()
    first.state = "draining"
    say(f"draining acknowledged: {first.beat(control=1)}")
    time.sleep(DRAIN_S)
    say(f"requests at the draining target: {served_by(fleet, first)}")
    say(f"a heartbeat from before: {fleet.rpc('instances.heartbeat', late, of=first.identity)[0]}")
    say(f"requests after it: {served_by(fleet, first)}")

    leader = next(i for i, program in enumerate(fleet.controls) if "role=leader" in program.log())
    fleet.controls[leader].kill()
    say(f"gone acknowledged without the leader: {wait_until(lambda: second.leave() == 200, 'an acknowledgement')}")
    shutil.rmtree(fleet.directory / f"data-{leader}")
    lost = fleet.controls[leader]
    lost.settings["FOUND_GROUP"] = "false"
    lost.write_settings()
    lost.start()
    wait_until(lambda: any("learner becomes voter" in program.log() for program in fleet.controls if "role=leader" in
                           program.log() and program is not lost), "the lost member is replaced")
    others = [i for i in range(3) if i != leader]
    # The log is committed in order, so with this departure the new member's vote is committed as well.
    wait_until(lambda: fleet.rpc("instances.deregister", {"born": 1}, of="i-marker", control=others[0])[0] == 200,
               "the exchange of members is committed")
    fleet.controls[others[0]].kill()
    wait_until(lambda: fleet.read(control=leader)[0] == 200, "the replacement counts for the majority")
    fleet.controls[others[0]].start()
    for entry in fleet.entries:
        entry.kill()
        entry.start()
    # A target repeats its heartbeats; a control instance that has just started missed the earlier ones.
    wait_until(lambda: third.beat(control=leader) == 200 and
               all(fleet.request("/safe/x", entry=i)[1] == 200 for i in range(2)), "the restarted entries answer")
    second.beat(control=leader)
    time.sleep(DRAIN_S)
    say(f"requests at the target that has gone: {served_by(fleet, second)}")
    second.born += 100000
    second.sequence = 0
    say(f"the same target started again: {second.beat(control=leader)}")
    wait_until(lambda: served_by(fleet, second) > 0, "the new life gets requests")
    say("it gets requests: True")
    stray = fleet.add_target("s1")
    late = stray.heartbeat_body()
    say(f"gone acknowledged where nobody knew the target: {fleet.rpc('instances.deregister', of=stray.identity, control=leader)[0]}")
    say(f"its heartbeat arrives later: {fleet.rpc('instances.heartbeat', late, of=stray.identity, control=leader)[0]}")
    time.sleep(DRAIN_S)
    say(f"requests at it: {served_by(fleet, stray)}")
    say(f"unreadable heartbeat: {fleet.rpc('instances.heartbeat', {'address': 5}, of='i-x', control=leader)[0]}, "
        f"unknown state: {unknown_state(fleet, third, leader)}")


def served_by(fleet, target):
    before = len(target.requests)
    for number in range(20):
        fleet.request("/safe/x", entry=number % 2)
    return len(target.requests) - before


def unknown_state(fleet, target, control):
    body = target.heartbeat_body()
    body["status"]["state"] = "resting"
    return fleet.rpc("instances.heartbeat", body, of=target.identity, control=control)[0]
