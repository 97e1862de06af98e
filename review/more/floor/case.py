"""Another writer announces some servers of a service that no configuration names, at addresses of sound targets."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent / "lib3"))
import stand_ins  # noqa: E402

TARGETS, ODD_ENTRIES = 10, 4
SLOTS, WORK_S = 2, 0.1
RATE, LOAD_S = 160, 12  # of at most 200 a second that the targets can serve
SOUND_AFTER_S = 2 * 3.0  # twice contact_ms without a disruption
WINDOW_S, FLOOR_SHARE = 2, 0.7


def count_window(start, answers, arrivals):
    """Returns the share of targets that got requests from START on, and the share of requests that were not served."""
    sent = [answer for answer in answers if start <= answer.sent < start + WINDOW_S]
    reached = sum(any(start <= moment < start + WINDOW_S for moment in moments) for moments in arrivals)
    return reached / len(arrivals), sum(answer.status != 200 for answer in sent) / max(len(sent), 1)


async def case(trouble):
    with stand_ins.Fleet(HERE / "record.txt") as fleet:
        fleet.start()
        await stand_ins.put_config(fleet, [stand_ins.make_route("sheet", "safe", timeout_ms=800)])
        targets = [stand_ins.Target(fleet, stand_ins.ZONES[i % 2], slots=SLOTS, work_s=WORK_S) for i in range(TARGETS)]
        for target in targets:
            await target.start()
        await stand_ins.wait_until_ready(fleet)
        await asyncio.sleep(SOUND_AFTER_S)
        pending, start = [], time.monotonic()
        odd_due = start + 3
        for number in range(int(RATE * LOAD_S)):
            await asyncio.sleep(start + number / RATE - time.monotonic())
            pending.append(asyncio.create_task(stand_ins.send_request(fleet, number % 2, "GET", "/sheet/x", 1500)))
            if trouble and time.monotonic() >= odd_due:
                odd_due = float("inf")
                for index, target in enumerate(targets[:ODD_ENTRIES]):
                    body = {"address": target.address, "born": int(time.time() * 1000),
                            "info": {"service": "not-configured", "version": "v1", "zone": target.zone, "slots": SLOTS},
                            "status": {"state": "ready", "sequence": 1, "warmup_left_ms": 0}}
                    status, _ = await stand_ins.call_control(fleet, "instances.heartbeat", body, target=f"odd-{index}")
                    fleet.record(f"another writer announces odd-{index} at {target.address}, service not-configured: {status}")
        answers = await asyncio.gather(*pending)
        arrivals = [target.run_times for target in targets]
        broken, moment = 0, start + 1
        while moment + WINDOW_S < start + LOAD_S:
            reached, unserved = count_window(moment, answers, arrivals)
            is_broken = 0 < reached < FLOOR_SHARE and 0.1 < unserved < 0.5
            broken += is_broken
            fleet.record(f"from {moment - start:4.1f} s on: {reached:.2f} of the sound targets get requests, "
                         f"{unserved:.2f} of the requests are not served{', FLOOR broken' if is_broken else ''}")
            moment += 0.5
        late = [target.id for target in targets if not any(moment > start + LOAD_S - 3 for moment in target.run_times)]
        fleet.record(f"{sum(a.status == 200 for a in answers)} of {len(answers)} served; targets whose heartbeats are "
                     f"acknowledged and that get nothing at the end: {len(late)}")
        if sum(answer.status == 200 for answer in answers) < len(answers) / 4:
            raise stand_ins.CannotRun("the fleet does not serve")
        return broken > 0


stand_ins.main(case)
