"""Guards against callers that exceed their limit because they name no team, use a name that is too long, or call
several entries; and against a team that is refused because of another team's requests."""

from start import start


def run(fleet, say):
    start(fleet, controls=1, entries=3, backends=6)
    fleet.submit(1, {"teams": {"gang": {"rate": 0.01, "burst": 5}}, "team_default": {"rate": 0.01, "burst": 8}}, "limits")
    from fleet import wait_until
    wait_until(lambda: all(fleet.version(entry) == 2 for entry in fleet.entries), "in force everywhere")
    say(f"team with burst 5, one entry: {count_admitted(fleet, {'Anvillb-Team': 'gang'}, 1)} of 20")
    say(f"another team with the default burst 8: {count_admitted(fleet, {'Anvillb-Team': 'other'}, 1)} of 20")
    say(f"no team, by address: {count_admitted(fleet, {}, 1)} of 20")
    admitted_by_three = count_admitted(fleet, {"Anvillb-Team": "spread"}, 3)
    # Several entries may admit at most (assigned entries - 1) x (burst + rate x 0.5 s) more than one bucket.
    say(f"one team over three entries within 3 x burst: {8 <= admitted_by_three <= 24}")
    status, headers, _ = fleet.request(fleet.entries[0], "GET", "/sheets/1", headers={"Anvillb-Team": "gang"})
    say(f"over the limit: {status}, Retry-After {int(headers['Retry-After']) > 0}, not run {headers['Anvillb-Not-Run']}")
    say(f"name too long: {fleet.request(fleet.entries[0], 'GET', '/sheets/1', headers={'Anvillb-Team': 'x' * 129})[0]}")


def count_admitted(fleet, headers, entries):
    return sum(fleet.request(fleet.entries[i % entries], "GET", "/sheets/1", headers=headers)[0] == 200
               for i in range(20))
