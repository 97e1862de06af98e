"""Guards against a group that refuses or does not answer changes after its disks, one after another, failed for a while
and work again, and against a process that ends because its disk fails."""

import time

from fleet import wait_until
from stand_in import route, service

CONTROLS = 5
FAULT_S = 1.5
# Twenty restarts of a failed task take 10 s.
LONG_FAULT_S = 13.0
ACKNOWLEDGEMENT_LIMIT_S = 4.0
VOTER_LIMIT_S = 10.0
# What each call does while a disk fails.
FAULTS = {
    "writes, no space": "write=full create=full rename=full",
    "writes, a part": "write=part create=full",
    "writes and truncations, no space": "write=full truncate=full create=full rename=full",
    "syncs, no space": "sync=full syncdir=full",
    "syncs, error": "sync=io syncdir=io",
    "all, error": "write=io sync=io syncdir=io truncate=io create=io rename=io",
}


def run(fleet, say):
    with type(fleet)(fleet.build.parent) as other:
        show_creation(other, say)
    fleet.preloads_disk_faults = True
    fleet.start(controls=CONTROLS, entries=0)
    routes, services = [route("safe", "s1")], [service("s1")]
    wait_until(lambda: fleet.put("00000001", "0", routes, services) == 200, "the first configuration")
    wait_until(lambda: count_voters(fleet) == CONTROLS, "all instances are voters")
    changes = Changes(fleet)
    for name, faults in FAULTS.items():
        leader = fleet.leader()
        slowest = 0
        for number in [leader] + [i for i in range(CONTROLS) if i != leader]:
            fleet.controls[number].set_disk_faults(faults)
            end = time.monotonic() + FAULT_S
            while time.monotonic() < end:
                slowest = max(slowest, changes.submit(skip=number))
            fleet.controls[number].set_disk_faults("")
        last = max(changes.submit(skip=None) for _ in range(CONTROLS))
        say(f"{name}: acknowledged during faults: {slowest < ACKNOWLEDGEMENT_LIMIT_S}, after: {last < ACKNOWLEDGEMENT_LIMIT_S}, "
            f"all are voters: {is_complete(fleet)}, ended: {list_ended(fleet)}")
    for name in ("writes and truncations, no space", "syncs, error"):
        show_long_fault(fleet, changes, name, say)
    status, config = fleet.read()
    say(f"read {status}: the last change is there: {int(config['version'], 16) == changes.version}")


def show_long_fault(fleet, changes, name, say):
    """The disk of the leader fails for long. Another instance is restarted after its disk has filled up."""
    leader = fleet.leader()
    other = (leader + 1) % CONTROLS
    fleet.controls[leader].set_disk_faults(FAULTS[name])
    fleet.controls[other].kill()
    fleet.controls[other].set_disk_faults(FAULTS["writes, no space"])
    fleet.controls[other].start()
    end = time.monotonic() + LONG_FAULT_S
    while time.monotonic() < end:
        changes.submit(skip=leader)
        time.sleep(0.05)
    usable = {fleet.read_control_metric(i, "anvillb_group_disk_usable") for i in (leader, other)}
    waits = all("disk cannot be used" in fleet.controls[i].log() for i in (leader, other))
    for number in (leader, other):
        fleet.controls[number].set_disk_faults("")
    say(f"{name}, for long: usable {usable}, logged: {waits}, all are voters: {is_complete(fleet)}, "
        f"ended: {list_ended(fleet)}")


def show_creation(fleet, say):
    """The group is created while the disk of one of the seeds is full."""
    fleet.preloads_disk_faults = True
    full = fleet.directory / "control-0.disk"
    full.write_text(FAULTS["writes, no space"])
    fleet.start(controls=3, entries=0)
    wait_until(lambda: fleet.put("00000001", "0", [route("safe", "s1")], [service("s1")], control=1) == 200, "a configuration")
    full.write_text("")
    wait_until(lambda: count_voters(fleet, 3) == 3, "the seed is a voter")
    say(f"created with a full disk: read {fleet.read(control=0)[0]}, "
        f"ended: {list_ended(fleet)}")


class Changes:
    """Submits changes, each based on the one before, to one control instance after another."""

    def __init__(self, fleet):
        self.fleet, self.version, self.next_control = fleet, 1, 0

    def submit(self, skip):
        """Repeats a change until it is acknowledged, and returns the time that took. SKIP: an instance that is not asked."""
        start = time.monotonic()
        self.version += 1
        while True:
            self.next_control = (self.next_control + 1) % CONTROLS
            if self.next_control == skip:
                continue
            changed = route("safe", "s1", name="changed", timeout_ms=3000 + self.version % 500)
            try:
                status = self.fleet.patch(f"{self.version:08x}", f"{self.version - 1:08x}", [changed], control=self.next_control)
            except OSError:
                status = None
            if status == 200:
                return time.monotonic() - start
            assert status in (None, 503, 504), f"change {self.version} answered {status}"
            assert time.monotonic() < start + 30, f"change {self.version} is not acknowledged"


def list_ended(fleet):
    return [program.name for program in fleet.controls if program.popen.poll() is not None]


def count_voters(fleet, controls=CONTROLS):
    """Returns the number of voters that follow, as the leader counts them."""
    return max(fleet.read_control_metric(i, "anvillb_group_following_voters") or 0 for i in range(controls))


def is_complete(fleet, voters=None):
    """Returns whether VOTERS control instances, by default all, are voters that follow, within the limit."""
    end, controls = time.monotonic() + VOTER_LIMIT_S, len(fleet.controls)
    while time.monotonic() < end:
        if count_voters(fleet, controls) == (voters or controls):
            return True
        time.sleep(0.1)
    return False
