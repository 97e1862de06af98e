"""The configuration grows by many routes, and the operator sends hundreds of changes: the control instances grow without bound."""

import asyncio
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import stand_ins  # noqa: E402

ROUTES = 12  # four kinds of request and eight idle routes
ADDED_ROUTES = 1400  # { kind = "big_config", count = 1400 } of gleisgruen-gw-grown
CHANGES = 850  # "A day may be long and may contain hundreds of changes."
MEMORY_MB = 256  # of a core machine
DISK_MB = 256
LIMIT_S = 95


def read_memory_mib(process):
    status = pathlib.Path(f"/proc/{process.popen.pid}/status").read_text()
    return int(next(line for line in status.splitlines() if line.startswith("VmRSS:")).split()[1]) / 1024


def read_disk_mb(process):
    return sum(file.stat().st_size for file in pathlib.Path(process.fields["data_dir"]).iterdir()) / 1e6


def make_text(routes, version):
    config = {"version": f"{version:08x}", "routes": routes, "services": [stand_ins.make_service()], "limits": stand_ins.LIMITS}
    return json.dumps(config, separators=(",", ":"))


async def case(trouble):
    with stand_ins.Fleet(HERE / "record.txt", entries=1) as fleet:
        fleet.start()
        routes = [stand_ins.make_route(f"p{i:05d}x", "safe" if i % 2 else "unsafe") for i in range(ROUTES)]
        await stand_ins.put_config(fleet, routes)
        version, started = 1, time.monotonic()

        async def put(text):
            nonlocal version
            status, answer = await stand_ins.call_control(fleet, "config.put", text, base=f"{version:08x}", limit_s=20)
            if status != 200:
                raise stand_ins.CannotRun(f"change {version + 1}: {status} {answer!r}")
            version += 1

        if trouble:
            routes += [stand_ins.make_route(f"p{i:05d}x", "safe" if i % 2 else "unsafe") for i in range(ROUTES, ROUTES + ADDED_ROUTES)]
            await put(make_text(routes, version + 1))
            fleet.record(f"the configuration has grown to {len(routes)} routes")
        text = make_text(routes, 0)
        fleet.record(f"a configuration has {len(text)} bytes")

        def measure(changes):
            memory = [read_memory_mib(process) for process in fleet.controls]
            disk = [read_disk_mb(process) for process in fleet.controls]
            fleet.record(f"after {changes} changes in {time.monotonic() - started:.0f} s: memory "
                         f"{', '.join(f'{value:.0f}' for value in memory)} MiB of {MEMORY_MB}, disk "
                         f"{', '.join(f'{value:.0f}' for value in disk)} MB of {DISK_MB}")
            return [process for process, value in zip(fleet.controls, memory) if value > MEMORY_MB]

        over, changes = [], 0
        while changes < CHANGES and not over and time.monotonic() - started < LIMIT_S:
            await put(text.replace('"timeout_ms":2000', f'"timeout_ms":{2001 + changes}', 1)
                      .replace('"version":"00000000"', f'"version":"{version + 1:08x}"', 1))
            changes += 1
            if changes % 25 == 0:
                over = measure(changes)
        if over:
            process = over[0]
            process.kill()
            fleet.record(f"{process.name} is over its memory: the platform kills it and starts it again")
            process.start()
            await asyncio.sleep(4)
            measure(changes)
        elif changes < CHANGES:
            raise stand_ins.CannotRun(f"only {changes} changes in {LIMIT_S} s")
        fleet.record(f"{changes} changes acknowledged, {len(over)} of {len(fleet.controls)} control instances over their memory")
        return bool(over)


stand_ins.main(case)
