"""Guards against an acknowledged configuration that is lost, reverted, changed, or refused when it is sent again, and
against an invalid one that is accepted. All control instances and one entry are killed and restarted."""

from fleet import wait_until
from stand_in import route, service

TRUNCATED_BODY = '{"version": "00000009", "routes": ['


def run(fleet, say):
    fleet.start_serving()
    routes, services = [route("safe", "s1"), route("unsafe", "s1")], [service("s1")]
    say(f"the first configuration again: {fleet.put('00000001', '0', routes, services, control=1)}")
    added = route("safe", "s1", name="added")
    say(f"patch: {fleet.patch('00000004', '00000001', [added], control=2)}, again: {fleet.patch('00000004', '00000001', [added], control=1)}")
    wait_until(lambda: all(fleet.request("/added/x", entry=i)[1] == 200 for i in range(2)), "the new route is in force")
    say(f"another change based on the old version: {fleet.patch('00000005', '00000001', [route('safe', 's1', name='late')])}")
    say(f"same version with other content: {fleet.patch('00000004', '00000001', [route('safe', 's1', name='late')])}")
    for fault, body in list_invalid_patches():
        say(f"{fault}: {fleet.rpc('config.patch', body, base='00000004')[0]}")
    say(f"truncated body: {fleet.rpc('config.put', TRUNCATED_BODY, base='00000004')[0]}")
    status, config = fleet.read(control=1)
    say(f"read {status}: version {config['version']}, routes {sorted(item['name'] for item in config['routes'])}")
    say(f"unknown members kept: {config['services'][0] == services[0]}, route as sent: {added in config['routes']}")

    split = route("safe", "s1", name="split")
    del split["service"]
    split["traffic_split"] = [{"service": "s1", "weight": 3}, {"service": "s2", "weight": 1}]
    second_target = fleet.add_target("s2")
    wait_until(lambda: second_target.send_heartbeat() == 200, "a heartbeat")
    body = {"version": "0000000a", "upsert": {"routes": [split], "services": [service("s2")]}, "drop": {"routes": ["r-added"]}}
    say(f"split and removal: {fleet.rpc('config.patch', body, base='00000004')[0]}")
    wait_until(lambda: all(fleet.request("/added/x", entry=i)[1] == 404 for i in range(2)), "the route is gone")
    statuses = {fleet.request("/split/x")[1] for _ in range(40)}
    say(f"split {sorted(statuses)}: {sum(seen[2] == '/split/x' for seen in second_target.requests)} of 40 to the second service")

    for program in fleet.controls:
        program.kill()
    say(f"without control: {fleet.request('/safe/x')[1]}")
    fleet.entries[0].kill()
    for program in fleet.controls + fleet.entries[:1]:
        program.start()
    for target in fleet.targets:
        wait_until(lambda: target.send_heartbeat() == 200, "a heartbeat")
    status, config = wait_until(lambda: (answer := fleet.read())[0] == 200 and answer, "a leader")
    say(f"after all were killed: version {config['version']}, routes {sorted(item['name'] for item in config['routes'])}")
    wait_until(lambda: all(target.send_heartbeat() == 200 for target in fleet.targets) and fleet.request("/split/x")[1] == 200,
               "the restarted entry serves")
    say(f"the restarted entry on the removed route: {fleet.request('/added/x')[1]}")


def list_invalid_patches():
    yield "unknown service", patch(route("safe", "nowhere"))
    yield "zero timeout", patch(route("safe", "s1", timeout_ms=0))
    yield "prefix without slash", patch(route("safe", "s1", path_prefix="bare/"))
    yield "latency goal a minute above the timeout", patch(route("safe", "s1", timeout_ms=1000, latency_goal_ms=61000))
    yield "version not above its base", {**patch(route("safe", "s1")), "version": "00000004"}


def patch(item):
    return {"version": "00000009", "upsert": {"routes": [item]}, "drop": {}}
