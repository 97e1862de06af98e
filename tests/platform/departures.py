"""Guards against new work for a target after its departure was acknowledged: also after the leader is killed, after a
control instance loses its disk, and when an older heartbeat arrives late, from a known or an unknown target."""

import shutil
import time

from fleet import wait_until

DRAIN_LIMIT_S = 2.0


def run(fleet, say):
    fleet.start_serving(targets=3)
    first, second, third = fleet.targets
    old_heartbeat = first.heartbeat_body()
    first.state = "draining"
    say(f"draining acknowledged: {first.send_heartbeat(control=1)}")
    time.sleep(DRAIN_LIMIT_S)
    say(f"requests at the draining target: {count_requests_at(fleet, first)}")
    say(f"an older heartbeat: {fleet.rpc('instances.heartbeat', old_heartbeat, instance=first.identity)[0]}")
    say(f"requests after the older heartbeat: {count_requests_at(fleet, first)}")

    leader = next(i for i, program in enumerate(fleet.controls) if "role=leader" in program.log())
    fleet.controls[leader].kill()
    say(f"departure acknowledged without the leader: {wait_until(lambda: second.deregister() == 200, 'an acknowledgement')}")
    shutil.rmtree(fleet.directory / f"data-{leader}")
    replaced = fleet.controls[leader]
    replaced.settings["FOUND_GROUP"] = "false"
    replaced.write_settings()
    replaced.start()
    wait_until(lambda: any("learner becomes voter" in program.log() for program in fleet.controls if "role=leader" in
                           program.log() and program is not replaced), "the member without its disk is replaced")
    others = [i for i in range(3) if i != leader]
    # The log is committed in order, so when this departure is committed the change of members is as well.
    wait_until(lambda: fleet.rpc("instances.deregister", {"born": 1}, instance="i-marker", control=others[0])[0] == 200,
               "the change of members is committed")
    fleet.controls[others[0]].kill()
    wait_until(lambda: fleet.read(control=leader)[0] == 200, "the replacement counts for the majority")
    fleet.controls[others[0]].start()
    for entry in fleet.entries:
        entry.kill()
        entry.start()
    # A target repeats its heartbeats; a control instance that has just started missed the earlier ones.
    wait_until(lambda: third.send_heartbeat(control=leader) == 200 and
               all(fleet.request("/safe/x", entry=i)[1] == 200 for i in range(2)), "the restarted entries answer")
    second.send_heartbeat(control=leader)
    time.sleep(DRAIN_LIMIT_S)
    say(f"requests at the departed target: {count_requests_at(fleet, second)}")
    second.born += 100000
    second.sequence = 0
    say(f"a new incarnation of the target: {second.send_heartbeat(control=leader)}")
    wait_until(lambda: count_requests_at(fleet, second) > 0, "the new incarnation gets requests")
    say("the new incarnation gets requests: True")
    unknown = fleet.add_target("s1")
    old_heartbeat = unknown.heartbeat_body()
    say(f"departure of an unknown target acknowledged: {fleet.rpc('instances.deregister', instance=unknown.identity, control=leader)[0]}")
    say(f"older heartbeat of the unknown target: {fleet.rpc('instances.heartbeat', old_heartbeat, instance=unknown.identity, control=leader)[0]}")
    time.sleep(DRAIN_LIMIT_S)
    say(f"requests at the unknown target: {count_requests_at(fleet, unknown)}")
    say(f"unreadable heartbeat: {fleet.rpc('instances.heartbeat', {'address': 5}, instance='i-x', control=leader)[0]}, "
        f"unknown state: {send_unknown_state(fleet, third, leader)}")


def count_requests_at(fleet, target):
    before = len(target.requests)
    for number in range(20):
        fleet.request("/safe/x", entry=number % 2)
    return len(target.requests) - before


def send_unknown_state(fleet, target, control):
    body = target.heartbeat_body()
    body["status"]["state"] = "resting"
    return fleet.rpc("instances.heartbeat", body, instance=target.identity, control=control)[0]
