"""Guards against entries that stop serving when all control instances are killed, and against an entry that is
restarted then and does not get the version in force from another entry."""

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

    isolated = fleet.entry(9, *entry_ports())
    isolated.arguments = [a for a in isolated.arguments if not a.startswith("--seed")]
    fleet.entries.append(isolated.start())
    wait_until(lambda: call(isolated.ports["admin"], "GET", "/livez")[0] == 200, "the entry without peers runs")
    say(f"entry without any peer: ready {fleet.is_ready(isolated)}")
    say(f"entry without configuration answers {fleet.request(isolated, 'GET', '/sheets/1')[0]}")


def entry_ports():
    from fleet import free_ports
    return free_ports(3)
