"""An entry gets SIGTERM. It breaks off requests at which a target is at work, for another attempt that a full target rejects."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent / "lib3"))
import stand_ins  # noqa: E402

# Longest work time of class sheet-read in the sheet's site file: mean 120 ms, max 900 ms.
USUAL_WORK_S, LONG_WORK_S = 0.05, 0.9
REQUESTS, PAUSE_S = 4, 0.5


async def case(trouble):
    with stand_ins.Fleet(HERE / "record.txt") as fleet:
        fleet.start()
        await stand_ins.put_config(fleet, [stand_ins.make_route("sheet", "safe", timeout_ms=1500)])
        near = stand_ins.Target(fleet, stand_ins.ZONES[0], slots=2, work_s=USUAL_WORK_S)
        full = stand_ins.Target(fleet, stand_ins.ZONES[1], slots=2)
        cut = []

        async def work_long(writer, request):
            if not request.path.startswith("/sheet/long"):
                return False
            await near.run(writer, request, LONG_WORK_S)
            if near.is_cut_off(writer):
                cut.append(request.attempt)
            return True

        async def reject(writer, request):
            """A target that is full: other callers use its slots and its queue."""
            full.write_rejection(writer, request, 503)
            return True

        near.answer, full.answer = work_long, reject
        await near.start()
        await stand_ins.wait_until_ready(fleet)
        for _ in range(60):
            await stand_ins.send_request(fleet, 0, "GET", "/sheet/usual", 1500)
        await full.start()
        await asyncio.sleep(1)

        fleet.record("SIGTERM of " + fleet.entries[0].name if trouble else "no SIGTERM")
        if trouble:
            fleet.entries[0].send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        pending = []
        for _ in range(REQUESTS):
            pending.append(asyncio.create_task(stand_ins.send_request(fleet, 0, "GET", "/sheet/long", 1500)))
            await asyncio.sleep(PAUSE_S)
        answers = await asyncio.gather(*pending)
        await asyncio.sleep(1)

        # Not at its deadline, not the target's own failure, and within 3 s after the signal.
        broken = [answer for answer in answers if answer.attempt in cut and answer.status is not None
                  and answer.status != 200 and "server-signature" not in answer.fields and answer.done - answer.sent < 1.4]
        for answer in broken:
            fleet.record(f"{'LOST' if trouble else 'no rule without a SIGTERM'}: {answer.attempt} was broken off at its target "
                         f"and answered {answer.status} {answer.body!r}, {round((answer.done - answer.sent) * 1000)} ms after it was sent")
        fleet.record(f"{len(answers)} requests, {sum(a.status == 200 for a in answers)} served, {len(broken)} broken off")
        if not any(answer.status == 200 for answer in answers):
            raise stand_ins.CannotRun("the entry does not serve")
        return trouble and bool(broken)


stand_ins.main(case)
