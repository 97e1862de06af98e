"""Guards against an operators' tool that founds a group twice or in part, hides a refused patch, prints different
reports for the same month, or replaces an instance so that the group fails when it loses another one."""

import json
import pathlib
import re
import shutil

from fleet import wait_until

EXAMPLE = pathlib.Path(__file__).resolve().parents[2] / "declarations" / "example.json"
GROUPS = ["config", "claims"]


def run(fleet, say):
    tool = Tool(fleet, say)
    fleet.start_controls(3, found=False)
    found(fleet, tool, say)
    submit_changes(tool, say)
    read_versions(fleet, tool, say)
    replaced = replace(fleet, tool, say)
    lose_another_instance(fleet, tool, say, replaced)


class Tool:
    """Runs anvillbctl and prints its output, with the parts that differ between runs masked."""

    def __init__(self, fleet, say):
        self.fleet, self.say, self.labels = fleet, say, {}

    def __call__(self, title, *arguments):
        status, output, error = self.fleet.run_ctl(*arguments)
        self.say(f"{title}: exit {status}")
        for line in (output + error).splitlines():
            self.say(f"  {self.mask_varying_parts(line)}".rstrip())
        return output

    def mask_varying_parts(self, line):
        line = re.sub(r"\b[0-9a-f]{64}\b", "DIGEST", line)
        line = re.sub(r"\b[0-9a-f]{16}\b", "ID", line)
        line = re.sub(r"\d{4}-\d\d-\d\d \d\d:\d\d:\d\d UTC", "TIME", line)
        for process in self.fleet.controls:
            line = line.replace(url(process), f"URL-{self.labels.get(process, process.name)}")
        return line

    def submit(self, title, file, base, patch_id, command="submit"):
        return self(title, f"--base={base}", "--operator=anna", f"--reason=change against {base}",
                    f"--patch-id={patch_id}", command, str(file))


def url(process):
    return f"http://127.0.0.1:{process.ports['operator']}"


def found(fleet, tool, say):
    urls = [url(process) for process in fleet.controls]
    _, output, _ = fleet.run_ctl("members")
    say(f"groups without members: {output.count('no members')}")
    status, _, _ = fleet.run_ctl("members", "found", "config", *urls[:2], "http://127.0.0.1:1")
    _, output, _ = fleet.run_ctl("members")
    say(f"found with an absent instance: exit {status}, groups without members: {output.count('no members')}")
    tool("found config", "members", "found", "config", *urls)
    found_in_part(fleet, "claims")
    tool("complete claims", "members", "found", "claims", *reversed(urls))
    fleet.wait_leaders()
    tool("found config again", "members", "found", "config", *urls)
    tool("found config with fewer", "members", "found", "config", *urls[:2])
    tool("found with an instance twice", "members", "found", "config", urls[0], urls[0])
    wait_until(lambda: fleet.run_ctl("members")[1].count(", voter") == 18, "all know their members")
    say("each instance lists three voters of each group")


def found_in_part(fleet, name):
    """Founds the group on the first instance only, like a call of the tool that was interrupted."""
    groups = [fleet.groups(process)[name] for process in fleet.controls]
    members = sorted(({"id": group["id"], "name": group["name"]} for group in groups), key=lambda m: m["id"])
    status, answer = fleet.operator(fleet.controls[0], "POST", f"/v1/groups/{name}/found", {"members": members})
    assert status == 200, answer


def submit_changes(tool, say):
    fleet = tool.fleet
    patch = fleet.directory / "patch.json"
    invalid = fleet.directory / "invalid.json"
    patch.write_text(json.dumps({"teams": {"survey": {"rate": 5}}, "routes": {"lookup": {"timeout_ms": 1500}}}))
    invalid.write_text(json.dumps({"routes": {"lookup": {"service": "absent"}}}))
    tool.submit("dry run", EXAMPLE, 0, "unused", "dry-run")
    tool.submit("submit the example", EXAMPLE, 0, "change-1")
    tool.submit("dry run of a fault", invalid, 1, "unused", "dry-run")
    tool.submit("submit a patch", patch, 1, "change-2")
    tool.submit("stale base", patch, 1, "change-3")
    tool.submit("resend", patch, 1, "change-2")
    tool.submit("other content with a used id", EXAMPLE, 1, "change-2")
    wait_version(fleet, 2)


def wait_version(fleet, version):
    """Waits until each live instance has VERSION: a follower answers from its own log, which may be behind the leader."""
    live = [process for process in fleet.controls if process.popen.poll() is None]
    wait_until(lambda: all(fleet.operator(process, "GET", "/v1/versions")[1]["current"] == version
                           for process in live), f"version {version} at each live instance")


def read_versions(fleet, tool, say):
    tool("diff", "diff", "1", "2")
    history = tool("history", "history")
    tool("explain a booking", "explain", "POST", "planning.example", "/bookings/7")
    tool("explain a download", "--team=survey", "explain", "GET", "maps.example", "/areas/3")
    tool("verify", "verify")
    month = re.search(r"(\d{4}-\d\d)-\d\d \d\d:", history).group(1)
    reports = [fleet.run_ctl("report", month, servers=[process]) for process in fleet.controls + fleet.controls[:1]]
    say(f"reports: exit {[status for status, _, _ in reports]}, different {len(set(reports))}")
    say(f"the report names both changes: {all(f'change-{i}' in reports[0][1] for i in (1, 2))}")


def replace(fleet, tool, say):
    """Replaces the leader of the group config, so that the group also elects a new leader."""
    replaced_process = fleet.leader("config")
    tool.labels[replaced_process] = "replaced"
    old_ids = {name: group["id"] for name, group in fleet.groups(replaced_process).items()}
    replaced_process.kill()
    shutil.rmtree(fleet.directory / replaced_process.name)
    replaced_process.start()
    wait_until(lambda: fleet.operator(replaced_process, "GET", "/v1/groups")[0] == 200, "the instance answers")
    fleet.wait_leaders()
    new_ids = {name: group["id"] for name, group in fleet.groups(replaced_process).items()}
    say(f"the instance has new identities: {all(old_ids[name] != new_ids[name] for name in GROUPS)}")
    for name in GROUPS:
        change_members(fleet, say, "remove", name, old_ids[name])
        change_members(fleet, say, "add", name, url(replaced_process))
    wait_until(lambda: are_voters(fleet, replaced_process, new_ids), "the new members are voters")
    wait_version(fleet, 2)
    say("the replaced instance is a voter of both groups")
    tool("add it again", "members", "add", "config", url(replaced_process))
    tool("remove an unknown identity", "members", "remove", "config", old_ids["config"])
    return replaced_process


def are_voters(fleet, process, ids):
    """Returns whether the leaders have committed PROCESS as a voter under IDS and no change is pending."""
    _, output, _ = fleet.run_ctl("members")
    name = f"127.0.0.1:{process.ports['peer']}/127.0.0.1:{process.ports['operator']}"
    voters = [f"id {identity}, name {name}, voter, match" for identity in ids.values()]
    return "change pending" not in output and all(voter in output for voter in voters)


def change_members(fleet, say, action, name, member):
    """Repeats a change of members while it is refused because the previous one is not committed."""
    def try_change():
        status, _, error = fleet.run_ctl("members", action, name, member)
        assert status == 0 or "pending" in error, error
        return status == 0
    wait_until(try_change, f"{action} in {name}")
    say(f"{action} a member of {name}: done")


def lose_another_instance(fleet, tool, say, replaced):
    patch = fleet.directory / "last.json"
    patch.write_text(json.dumps({"team_default": {"rate": 40}}))
    next(process for process in fleet.controls if process is not replaced).kill()
    fleet.wait_leaders()
    tool.submit("submit with the replaced instance as part of the majority", patch, 2, "change-3")
    wait_version(fleet, 3)
    status, output, error = fleet.run_ctl("history", servers=[replaced])
    say(f"versions at the replaced instance: exit {status}, {len(re.findall('change-[0-9]', output))} {error}".strip())
    status, output, _ = fleet.run_ctl("members")
    say(f"status with a killed instance: exit {status}, no status {output.count('no status')}")
