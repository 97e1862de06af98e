"""A core machine is exchanged as planned, and right after its stop another one loses its disk; see claim.txt."""

import pathlib
import shutil
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

from platform2 import (TROUBLE, CannotRun, Client, Machine, Operator, Platform, Target, configuration, main,  # noqa: E402
                       route, service, wait_until)

CATCH_UP_S = 4
GRACE_S = 6
RECOVER_S = 15
CONTACT_S = 3
# after_ack_wipe: for_s of the site file.
DOWN_S = 3


def case(record):
    with Platform(record, cores=3, fronts=2, tolerance=1) as platform:
        platform.start()
        operator, client = Operator(platform, record), Client(platform, record)
        services = [service("huvo11a")]
        routes = [route("r-safe", "/lohu930/", "safe", "huvo11a"), route("r-unsafe", "/pufi791/", "unsafe", "huvo11a")]
        first = operator.order("config.put", configuration("00000001", routes, services), "0")
        record(f"operator: version 00000001: {first}")
        targets = [Target(platform, record, "huvo11a").beat() for _ in range(2)]
        wait_until(lambda: all(platform.ready(front) for front in platform.fronts), "the fronts are ready", 20)
        wait_until(lambda: client.request(platform.fronts[0], "GET", "/lohu930/x")[1] == 200, "a request is served", 20)

        # The planned exchange: the new machine first, empty, at another address; then SIGTERM for the old one.
        staying, losing, leaving = platform.cores
        new = Machine(platform, "control", "core-4", "bay-c", 3)
        new.start(bootstrap=False)
        platform.cores.append(new)
        record("platform: core-4 is started, to replace core-3")
        time.sleep(CATCH_UP_S + 2)
        status, body = operator.read(new)
        record(f"operator: read at core-4: {status} {body['version'] if status == 200 else body}")
        status = operator.order("config.patch", {"version": "00000003", "upsert": {"routes": [
            route("r-new", "/new/", "safe", "huvo11a")]}, "drop": {}}, "00000001")
        record(f"operator: version 00000003: {status}")
        if status != 200:
            raise CannotRun("the change was not acknowledged")
        leaving.keeps_running = False
        leaving.signal(signal.SIGTERM)
        leaving.popen.wait(GRACE_S)
        platform.cores.remove(leaving)
        record("platform: core-3 got SIGTERM and has ended; it does not come back")

        # The successor has had catch_up_s, so core-3 doesn't count any more, and one machine may be lost.
        if TROUBLE:
            time.sleep(0.5)
            losing.kill()
            record("platform: core-2 is down")
            time.sleep(DOWN_S)
            shutil.rmtree(losing.folder / "data")
            losing.start()
            record("platform: core-2 has lost its disk and is started again at its address")
        time.sleep(RECOVER_S)
        for core in platform.cores:
            record(f"platform: {core.name} runs: {core.is_running()}, ended by itself {core.ends} times")

        # The operator reads back what was acknowledged, repeatedly and at each node.
        answer, reads, end = None, 0, time.monotonic() + 4 * CONTACT_S
        while time.monotonic() < end and answer is None:
            for core in platform.cores:
                status, body = operator.read(core)
                record(f"operator: read at {core.name}: {status} {body['version'] if status == 200 else ''}")
                reads += 1
                if status == 200:
                    answer = body
            time.sleep(0.5)
        acked = operator.acked
        status = operator.order("config.patch", {"version": "00000005", "upsert": {"routes": []}, "drop": {
            "routes": ["r-new"]}}, "00000003", limit_s=10)
        record(f"operator: one more change: {status}")
        leave = [target.identity for target in targets if not target.heartbeat()]
        record(f"targets whose heartbeat was not acknowledged: {leave}")
        targets[0].state = "draining"
        drained = any(targets[0].heartbeat() or time.sleep(1) for _ in range(5))
        record(f"target {targets[0].identity}: draining acknowledged: {drained}")
        for target in targets:
            target.stop()
        if answer is None:
            return (f"version {acked} was acknowledged, and none of {reads} reads was answered from {RECOVER_S} s to "
                    f"{RECOVER_S + 4 * CONTACT_S} s after all machines were back")
        if answer["version"] < acked:
            return f"version {acked} was acknowledged, {answer['version']} is read back"
        return None


if __name__ == "__main__":
    sys.exit(main(HERE, case))
