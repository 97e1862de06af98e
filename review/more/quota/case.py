"""All processes of the core are killed and are back within a second, in the moment in which a tenant turns hot."""

import asyncio
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent / "lib3"))
import stand_ins  # noqa: E402

ENTRIES = 107  # fronts of caroni-hq-grown
RATE, BURST = 16, 16
USUAL_RATE = RATE / 1.6  # quota_x of the site file
HOT = 7.5  # { kind = "hot_tenant", x = 7.5, for_s = 6.5 }
HOT_S, CALM_S = 6.5, 6
DOWN_S = 0.95
WINDOW_S, OVER, SLACK = 5, 0.1, 20


async def case(trouble):
    bounds = {"quota_window_s": WINDOW_S, "quota_over": OVER, "quota_slack": SLACK, "revoke_ms": 5000}
    limits = {"cpu_share": 0.1, "memory_mb": 160, "link_mbps": 2.5}
    with stand_ins.Fleet(HERE / "record.txt", ENTRIES, bounds, limits) as fleet:
        fleet.start()
        tenants = [{"name": "t-shop", "api_keys": ["key-of-the-shop"], "rate_per_s": RATE, "burst": BURST}]
        await stand_ins.put_config(fleet, [stand_ins.make_route("order", "unsafe", public_access=False)], tenants=tenants)
        targets = [stand_ins.Target(fleet, stand_ins.ZONES[i % 3], slots=4, work_s=0.02) for i in range(6)]
        for target in targets:
            await target.start()
        await stand_ins.wait_until_ready(fleet)
        await asyncio.sleep(3)

        order, pending = list(range(ENTRIES)), []
        random.Random(1).shuffle(order)

        async def send(rate, seconds):
            start = time.monotonic()
            for number in range(int(rate * seconds)):
                await asyncio.sleep(start + number / rate - time.monotonic())
                pending.append(asyncio.create_task(stand_ins.send_request(
                    fleet, order[number % ENTRIES], "POST", "/order/x", 1200, b"one build",
                    {"Authorization": "Bearer key-of-the-shop"})))

        async def kill_core():
            fleet.record("all processes of the core are killed")
            for process in fleet.controls:
                process.kill()
            await asyncio.sleep(DOWN_S)
            for process in fleet.controls:
                process.start()
            fleet.record("all processes of the core are back")

        await send(USUAL_RATE, CALM_S)
        if trouble:
            pending.append(asyncio.create_task(kill_core()))
        fleet.record("the tenant turns hot")
        await send(USUAL_RATE * HOT, HOT_S)
        await asyncio.gather(*pending)

        runs = sorted(moment for target in targets for moment in target.run_times)
        worst = max(sum(start <= moment <= start + WINDOW_S for moment in runs) for start in runs) if runs else 0
        allowed = (RATE * WINDOW_S + BURST) * (1 + OVER) + SLACK
        fleet.record(f"{len(runs)} runs; {worst} of them in the worst {WINDOW_S} s, allowed are {allowed:.1f}")
        if len(runs) < RATE * HOT_S / 2:
            raise stand_ins.CannotRun("the fleet does not serve")
        return worst > allowed


stand_ins.main(case)
