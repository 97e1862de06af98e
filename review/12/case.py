"""LOST: after SIGTERM an entry cuts off a run to send the request to another target, which is full, and answers 502."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib11"))

from stand_in import GRACE_S, TROUBLE, Caller, main, route  # noqa: E402

ROUNDS = 10
DEADLINE_MS = 3000
UNSAFE_CALLERS, SAFE_CALLERS = 14, 6
# Work times as on the sheet of gleisgruen-gw: a mean of some 100 ms, and some requests of up to 900 ms.
USUAL_S, LONG_S, UNSAFE_S, LONG_IN_100 = 0.12, 0.9, 0.3, 30


def work_s(request):
    if request["path"].startswith("/unsafe/"):
        return UNSAFE_S
    return LONG_S if int(request["attempt"][:4], 16) % 100 < LONG_IN_100 else USUAL_S


class Load:
    """Callers that send one request after another, each on a new connection."""

    def __init__(self, fleet):
        self.fleet, self.stopped, self.answers, self.tasks = fleet, False, [], []

    def add(self, count, entry, method, path, body):
        self.tasks += [asyncio.ensure_future(self.run(entry, method, path, body)) for _ in range(count)]

    async def run(self, entry, method, path, body):
        while not self.stopped:
            caller = Caller(self.fleet, entry)
            answer = await caller.request(method, path, body, deadline_ms=DEADLINE_MS)
            caller.close()
            answer["entry"] = entry
            self.answers.append(answer)
            if answer["status"] != 200:
                await asyncio.sleep(0.1)

    async def end(self):
        self.stopped = True
        await asyncio.wait(self.tasks, timeout=5)


def find_breaks(fleet, answers, stopped):
    breaks = []
    runs = {}
    for target in fleet.targets:
        for run in target.runs:
            runs.setdefault(run["attempt"], []).append(run)
    for answer in answers:
        if answer["entry"] != 0 or answer["end"] < stopped or answer["sent"] > stopped + 3:
            continue
        if not answer["complete"] or "server-signature" in answer["fields"] or answer["status"] < 500:
            continue
        cut = [run for run in runs.get(answer["attempt"], []) if run["how"] == "cut off" and run["end"] > stopped]
        took_s = answer["end"] - answer["sent"]
        excused = took_s >= DEADLINE_MS / 1000 - 0.1 or answer["end"] - stopped >= GRACE_S * 5 / 6
        if cut and not excused:
            worked_s = cut[0]["end"] - cut[0]["start"]
            breaks.append(f"LOST: {answer['attempt']} was answered {answer['status']} by the entry after {took_s:.2f} s, "
                          f"{answer['end'] - stopped:.2f} s after SIGTERM; its target was cut off after {worked_s:.2f} s of work")
    return breaks


async def case(fleet):
    await fleet.put_first([route("safe", "s1", timeout_ms=3000), route("unsafe", "s1", timeout_ms=3000)], ["s1"])
    for _ in range(4):
        await fleet.add_target("s1", zone="bay-sued-a", slots=2, queue=2, work_s=work_s)
    await fleet.wait_ready()
    await asyncio.sleep(1.0)
    load = Load(fleet)
    load.add(UNSAFE_CALLERS // 2, 1, "POST", "/unsafe/x", b"x")
    load.add(UNSAFE_CALLERS // 2, 2, "POST", "/unsafe/x", b"x")
    load.add(SAFE_CALLERS, 0, "GET", "/safe/x", b"")
    breaks = []
    try:
        for _ in range(ROUNDS):
            await asyncio.sleep(3)
            stopped = time.monotonic()
            if not TROUBLE:
                await asyncio.sleep(6)
                continue
            fleet.entries[0].signal(signal.SIGTERM)
            while fleet.entries[0].alive():
                await asyncio.sleep(0.1)
            await asyncio.sleep(0.2)
            breaks += find_breaks(fleet, load.answers, stopped)
            fleet.entries[0].start()
            await fleet.wait_ready()
    finally:
        await load.end()
    return breaks


if __name__ == "__main__":
    sys.exit(main(FOLDER, case, entries=3))
