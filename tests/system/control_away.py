"""Guards against entries that depend on control for serving, and against a restarted entry that comes up
without the version that is in force while control is away."""

from fleet import call, wait_until
from start import start


def run(fleet, say):
    start(fleet, entries=4, backends=6)
    status, _ = fleet.submit(1, {"team_default": {"rate": 9000}}, "second")
    wait_until(lambda: all(fleet.version(entry) == 2 for entry in fleet.entries), "in force everywhere")
    for process in fleet.controls:
        process.kill()
    statuses = [fleet.request(fleet.entries[i % 4], "GET", "/sheets/1")[0] for i in range(20)]
    say(f"lookups answered without control: {statuses.count(200)}")

    restarted = fleet.entries[0]
    restarted.arguments += [f"--seed=127.0.0.1:{entry.ports['peer']}" for entry in fleet.entries[1:]]
    restarted.kill()
    restarted.start()
    fleet.wait_ready([restarted])
    say(f"version of the restarted entry: {fleet.version(restarted)}")
    status, headers, _ = fleet.request(restarted, "POST", "/possessions", body="x", headers={"Idempotency-Key": "k"})
    say(f"booking without control: {status}, not run: {headers.get('Anvillb-Not-Run') == '1'}")

    alone = fleet.entry(9, *three_ports())
    alone.arguments = [a for a in alone.arguments if not a.startswith("--seed")]
    fleet.entries.append(alone.start())
    wait_until(lambda: call(alone.ports["admin"], "GET", "/livez")[0] == 200, "the lone entry runs")
    say(f"entry without any peer: ready {fleet.is_ready(alone)}")
    say(f"entry without configuration answers {fleet.request(alone, 'GET', '/sheets/1')[0]}")


def three_ports():
    from fleet import free_ports
    return free_ports(3)
