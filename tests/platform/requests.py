"""Guards against requests that reach the wrong target, run twice, or get an answer that no target sent. Targets refuse,
reset, answer without a signature or to another request, and are replaced at the same address."""

import time

from fleet import wait_until


def run(fleet, say):
    fleet.start_serving()
    healthy, faulty = fleet.targets
    attempt, status, headers, body = fleet.request("/safe/x?q=1", deadline_ms=3000)
    seen = next(entry for target in fleet.targets for entry in target.requests if entry[0] == attempt)
    say(f"answer {status}, of this request: {body.decode() == 'answer to ' + attempt}, signed: {'Server-Signature' in headers}")
    say(f"method and target unchanged: {seen[1:3] == ('GET', '/safe/x?q=1')}, deadline handed on in range: {0 < seen[4] <= 3000}")
    attempt, status, _, _ = fleet.request("/unsafe/y", method="POST", body=b"content")
    say(f"body unchanged: {any(entry[3] == b'content' for target in fleet.targets for entry in target.requests)}")
    say(f"prefix without its last slash: {[fleet.request(path)[1] for path in ('/safe', '/safe?x=/', '/safe%2F', '/safe%2Fx')]}")
    say(f"no route: {fleet.request('/other/')[1]}, other host: {fleet.request('/safe/x', host='x.example')[1]}")

    def send_many(path, method="GET", count=20):
        results = [fleet.request(path, method=method) for _ in range(count)]
        run_twice = sum(fleet.executions(attempt) > 1 for attempt, *_ in results)
        wrong_answers = sum(status == 200 and body.decode() != "answer to " + attempt
                            for attempt, status, _, body in results)
        refused_after_run = sum(status in (429, 503) and fleet.executions(attempt) > 0
                                for attempt, status, _, _ in results)
        return sorted({status for _, status, _, _ in results}), run_twice, wrong_answers, refused_after_run

    for mode in ("full", "reset", "unsigned", "late", "errors"):
        faulty.mode = mode
        statuses, _, wrong_answers, _ = send_many("/safe/x")
        say(f"{mode}: repeatable requests {statuses}, wrong answers {wrong_answers}")
        _, run_twice, wrong_answers, refused_after_run = send_many("/unsafe/x", method="POST")
        say(f"{mode}: others run twice {run_twice}, wrong answers {wrong_answers}, refused after they ran {refused_after_run}")
    faulty.mode = healthy.mode = "unproven refusal"
    results = [fleet.request("/unsafe/x", method="POST") for _ in range(4)]
    say(f"503 without proof: {sorted({status for _, status, _, _ in results})}, "
        f"run {sorted({fleet.executions(attempt) for attempt, *_ in results})}")
    faulty.mode = healthy.mode = "full once"
    attempt, status, _, _ = fleet.request("/unsafe/x", method="POST", body=slow_body(), length=7)
    say(f"refused by one target, body sent after the head: {status}, run {fleet.executions(attempt)}")
    faulty.mode = healthy.mode = "full"
    attempt, status, headers, _ = fleet.request("/unsafe/x", method="POST")
    say(f"all full: {status}, Retry-After given: {float(headers['Retry-After']) > 0}, run {fleet.executions(attempt)}")
    faulty.mode = healthy.mode = "normal"
    unreachable = fleet.add_target("s1")
    wait_until(lambda: unreachable.send_heartbeat() == 200, "a heartbeat")
    fleet.targets.remove(unreachable)
    unreachable.stop()
    statuses, _, _, _ = send_many("/unsafe/x", method="POST")
    say(f"a target takes no connection: {statuses}")
    count_before = len(faulty.requests)
    faulty.announced, healthy.announced, unreachable.announced = faulty.identity, healthy.identity, unreachable.identity
    faulty.identity = "i-other"
    statuses = set()

    def replacement_noticed():
        statuses.add(fleet.request("/safe/x")[1])
        return "target replaced" in fleet.entries[0].log()

    wait_until(replacement_noticed, "the entry notices that the target was replaced")
    say(f"address taken over by another target: {sorted(statuses)}, run there {len(faulty.requests) - count_before}")
    for target in (faulty, healthy, unreachable):
        wait_until(lambda: fleet.rpc("instances.deregister", {"born": target.born}, instance=target.announced)[0] == 200,
                   "an acknowledgement")
    for path, method in (("/safe/x", "GET"), ("/unsafe/x", "POST")):
        last = fleet.add_target("s1")
        wait_until(lambda: last.send_heartbeat() == 200, "a heartbeat")
        wait_until(lambda: fleet.request("/safe/x")[1] == 200, "the last target is in use")
        last.mode = "reset and stop"
        attempt, status, _, _ = fleet.request(path, method=method, deadline_ms=3000)
        say(f"{method} whose answer was lost, no target left: {status}, run {fleet.executions(attempt)}")
        wait_until(lambda: last.deregister() == 200, "an acknowledgement")


def slow_body():
    """A body that the caller sends after the head, while the entry already tries a target."""
    time.sleep(0.1)
    yield b"content"
