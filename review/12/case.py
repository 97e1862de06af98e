"""LOST: with a long grace period an entry takes requests for too long after SIGTERM and breaks them off."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib11"))

from stand_in import TROUBLE, Caller, main, route  # noqa: E402

# Of the sheet of gleisgruen-gw-large.
GRACE_S = 10
# As history-read on the sheet of mkl-meters-grown: a mean of 670 ms, at most 7,100 ms, and a timeout of 6,000 ms.
USUAL_S, LONG_S = 0.67, 5.8
TIMEOUT_MS, DEADLINE_MS = 6000, 12000
# A caller may keep the addresses that it was told for three times the ttl of 2 s.
SENT_AFTER_S = (3.6, 4.0, 4.4)


def work_s(request):
    return LONG_S if request["path"].endswith("/long") else USUAL_S


async def case(fleet):
    members = {"timeout_ms": TIMEOUT_MS, "latency_goal_ms": 2000}
    await fleet.put_first([route("safe", "s1", **members), route("unsafe", "s1", **members)], ["s1"])
    for _ in range(3):
        await fleet.add_target("s1", slots=4, work_s=work_s)
    await fleet.wait_ready()
    await asyncio.sleep(1.0)

    async def call(path):
        caller = Caller(fleet, 0)
        answer = await caller.request("POST", path, b"x", deadline_ms=DEADLINE_MS)
        caller.close()
        return answer

    for _ in range(5):
        await asyncio.gather(*[call("/unsafe/usual") for _ in range(4)])
    stopped = time.monotonic()
    if TROUBLE:
        fleet.entries[0].signal(signal.SIGTERM)
    calls = []
    for after_s in SENT_AFTER_S:
        await asyncio.sleep(max(stopped + after_s - time.monotonic(), 0))
        calls.append(asyncio.ensure_future(call("/unsafe/long")))
    answers = await asyncio.gather(*calls)

    breaks = []
    for answer in answers:
        signed = "server-signature" in answer["fields"]
        runs = [run for target in fleet.targets for run in target.runs if run["attempt"] == answer["attempt"]]
        cut = [run for run in runs if run["how"] == "cut off"]
        took_s = answer["end"] - answer["sent"]
        if TROUBLE and cut and not (answer["complete"] and signed) and took_s < TIMEOUT_MS / 1000 - 0.05:
            breaks.append(f"LOST: {answer['attempt']} was sent {answer['sent'] - stopped:.2f} s after SIGTERM and got "
                          f"{answer['status']} from the entry {took_s:.2f} s later; its target was at work")
    return breaks


if __name__ == "__main__":
    sys.exit(main(FOLDER, case, entry_settings={"GRACE_S": GRACE_S}))
