"""No rule that counts: an upload stops for good behind a short request at the same target, and is answered 504."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "lib11"))

from stand_in import TROUBLE, Caller, main, route  # noqa: E402

BODY_BYTES = 8_000_000
TIMEOUT_MS = 9000
# Settings of caroni-hq-grown: memory_mb 160, and quotas.
SETTINGS = {"MEMORY_MB": 160, "OVERLOAD_POLICY": "value"}


def work_s(request):
    return 1.5 if request["path"].endswith("/short") else 0.1


async def case(fleet):
    await fleet.put_first([route("unsafe", "s1", timeout_ms=TIMEOUT_MS, latency_goal_ms=5000)], ["s1"])
    await fleet.add_target("s1", slots=2, queue=2, work_s=work_s)
    await fleet.wait_ready()
    await asyncio.sleep(1.0)

    async def call(path, body):
        caller = Caller(fleet, 0)
        answer = await caller.request("POST", path, body, deadline_ms=TIMEOUT_MS + 1000)
        caller.close()
        return answer

    calls = []
    if TROUBLE:
        calls.append(asyncio.ensure_future(call("/unsafe/short", b"x")))
        await asyncio.sleep(0.2)
    upload = await call("/unsafe/long", bytes(BODY_BYTES))
    await asyncio.gather(*calls)
    if upload["status"] == 200:
        return []
    return [f"the upload got {upload['status']} after {upload['end'] - upload['sent']:.2f} s, "
            f"though its target was idle for most of that time"]


if __name__ == "__main__":
    sys.exit(main(FOLDER, case, entries=1, entry_settings=SETTINGS))
