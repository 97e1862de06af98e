"""Guards against a slow backend server that keeps its share of the work, against ejections below the floor,
and against ejections while the whole service is slow."""

import json
import time

from fleet import CREW_CONFIGURATION, call
from start import start


def run(fleet, say):
    start(fleet, controls=1, entries=3, backends=9, service_ms=20, arguments=["--announce-ms=500"])
    fleet.submit(1, {"services": {"crew": {"slow_start_ms": 1000}}}, "slow-start")
    load = fleet.load("load", ["--service=crew", "--rate=150", "--duration-s=16", "--mix=sheet:GET:/sheets/1:1:0"])
    time.sleep(5)
    slow = fleet.backends[0]
    call(slow.ports["listen"], "POST", "/.fake/control?slow=10")
    time.sleep(4)
    count_before = count_requests(slow)
    time.sleep(3)
    share = (count_requests(slow) - count_before) / (150 * 3)
    say(f"share of the slow server below a quarter of its fair share: {share < 0.25 / 9}")
    call(slow.ports["listen"], "POST", "/.fake/control?slow=1")
    result = fleet.result(load)
    say(f"ejected slots stay within the floor: {count_ejected_slots(fleet) <= 18 - CREW_CONFIGURATION['services']['crew']['min_healthy_slots']}")
    say(f"requests cut off: {result['cut']}")


def count_requests(backend):
    return json.loads(call(backend.ports["listen"], "GET", "/.fake/stats")[2])["requests"]


def count_ejected_slots(fleet):
    return sum(fleet.metric(entry, "anvillb_service_ejected_slots") for entry in fleet.entries)
