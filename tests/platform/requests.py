"""Guards against requests that reach the wrong target, run twice, or are answered with something that no target gave."""

import time

from fleet import wait_until


def run(fleet, say):
    fleet.serve()
    good, bad = fleet.targets
    attempt, status, headers, body = fleet.request("/safe/x?q=1", deadline_ms=3000)
    seen = next(entry for target in fleet.targets for entry in target.requests if entry[0] == attempt)
    say(f"answer {status}, of this request: {body.decode() == 'answer to ' + attempt}, signed: {'Server-Signature' in headers}")
    say(f"method and target unchanged: {seen[1:3] == ('GET', '/safe/x?q=1')}, time handed on in range: {0 < seen[4] <= 3000}")
    attempt, status, _, _ = fleet.request("/unsafe/y", method="POST", body=b"content")
    say(f"body unchanged: {any(entry[3] == b'content' for target in fleet.targets for entry in target.requests)}")
    say(f"no route: {fleet.request('/other/')[1]}, other host: {fleet.request('/safe/x', host='x.example')[1]}")

    def many(path, method="GET", count=20):
        results = [fleet.request(path, method=method) for _ in range(count)]
        twice = sum(fleet.executions(attempt) > 1 for attempt, *_ in results)
        wrong = sum(status == 200 and body.decode() != "answer to " + attempt for attempt, status, _, body in results)
        refused = sum(status in (429, 503) and fleet.executions(attempt) > 0 for attempt, status, _, _ in results)
        return sorted({status for _, status, _, _ in results}), twice, wrong, refused

    for mode in ("full", "reset", "unsigned", "late", "errors"):
        bad.mode = mode
        statuses, _, wrong, _ = many("/safe/x")
        say(f"{mode}: repeatable requests {statuses}, wrong answers {wrong}")
        _, twice, wrong, refused = many("/unsafe/x", method="POST")
        say(f"{mode}: others run twice {twice}, wrong answers {wrong}, refused after they ran {refused}")
    bad.mode = good.mode = "full once"
    attempt, status, _, _ = fleet.request("/unsafe/x", method="POST", body=slow_body(), length=7)
    say(f"refused by one target, body sent after the head: {status}, run {fleet.executions(attempt)}")
    bad.mode = good.mode = "full"
    attempt, status, headers, _ = fleet.request("/unsafe/x", method="POST")
    say(f"all full: {status}, Retry-After given: {float(headers['Retry-After']) > 0}, run {fleet.executions(attempt)}")
    bad.mode = good.mode = "good"
    gone = fleet.add_target("s1")
    wait_until(lambda: gone.beat() == 200, "a heartbeat")
    fleet.targets.remove(gone)
    gone.stop()
    statuses, _, _, _ = many("/unsafe/x", method="POST")
    say(f"a target takes no connection: {statuses}")
    before = len(bad.requests)
    bad.identity = "i-other"
    statuses = set()

    def noticed():
        statuses.add(fleet.request("/safe/x")[1])
        return "target replaced" in fleet.entries[0].log()

    wait_until(noticed, "the entry notices the other target")
    say(f"address taken over by another target: {sorted(statuses)}, run there {len(bad.requests) - before}")


def slow_body():
    """A body that the entry receives while the attempt is on its way."""
    time.sleep(0.1)
    yield b"content"
