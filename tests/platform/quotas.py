"""Guards against a limit that holds at each entry alone, a refusal without the time at which a request is admitted, a
refused request that a target sees, a request that waits for a silent owner beyond its deadline, and a change of the
leader or of the limit that lifts the limit."""

import signal
import time

from fleet import wait_until
from stand_in import HOST, route, service
from team_keys import Caller, team

RATE, BURST, WINDOW_S = 4, 6, 5


def run(fleet, say):
    fleet.start(entries=3)
    tenants = [team("alpha", "key-1", rate_per_s=RATE, burst=BURST), team("beta", "key-2", rate_per_s=0)]
    config = {"routes": [route("safe", "s1")], "services": [service("s1")], "tenants": tenants}
    wait_until(lambda: fleet.rpc("config.put", {"version": "00000001", **config}, base="0")[0] == 200, "a configuration")
    target = fleet.add_target("s1")
    wait_until(lambda: target.send_heartbeat() == 200, "a heartbeat")
    wait_until(lambda: all(fleet.readiness_status(i) == 200 for i in range(3)), "the entries are ready")
    callers = [Caller(fleet, entry) for entry in range(3)]

    def send(number, key="key-1"):
        return callers[number % 3].send("/safe/x", ("Authorization", f"Bearer {key}"))

    def seen(attempt):
        return attempt in target.fields

    def send_for(duration_s, pause_s=0.02):
        """Sends requests over all entries. Returns the times of those that were admitted, and the others."""
        start, admitted, others = time.monotonic(), [], []
        while time.monotonic() < start + duration_s:
            attempt, status, answer = send(len(admitted) + len(others))
            if status == 200:
                admitted.append(time.monotonic())
            else:
                others.append((attempt, status, answer))
            time.sleep(pause_s)
        return admitted, others

    def worst_window(times):
        return max(sum(1 for other in times if time_ - WINDOW_S < other <= time_) for time_ in times)

    def allowed(rate, burst):
        return (rate * WINDOW_S + burst) * 1.1 + 20

    for entry in range(3):
        wait_until(lambda: send(entry, "key-2")[1] == 200, "the entry answers")
    time.sleep(BURST / RATE)
    say(f"team without a limit: {[send(i, 'key-2')[1] for i in range(30)].count(200)} of 30 admitted")
    admitted, others = send_for(3)
    say("30 requests a second for 3 s over three entries:")
    say(f"  about the limit admitted: {BURST + 3 * RATE - 4 <= len(admitted) <= BURST + 3 * RATE + 4}")
    say(f"  others: {sorted({status for _, status, _ in others})}, seen by the target: {any(seen(a) for a, _, _ in others)}")
    waits = [float(answer["Retry-After"]) for _, _, answer in others]
    say(f"  Retry-After within two periods of the rate: {0 < min(waits) and max(waits) <= 2 / RATE}")
    _, status, answer = send(0)
    while status == 200:
        _, status, answer = send(0)
    time.sleep(float(answer["Retry-After"]))
    say(f"  admitted after it: {send(1)[1]}")
    leader = fleet.leader()
    say(f"refusals counted by the owner: {fleet.read_control_metric(leader, 'anvillb_quota_requests_total') > 0}")

    def send_with_deadline(deadline_ms):
        """Returns the status and whether the answer took less than half a second."""
        headers = {"Host": HOST, "Attempt-Id": f"ffff{deadline_ms:012x}", "Deadline-Remaining-Ms": str(deadline_ms),
                   "Authorization": "Bearer key-1"}
        start = time.monotonic()
        status = fleet.call(fleet.ip(2, 0), fleet.ports[0], "GET", "/safe/x", None, headers)[0]
        return status, time.monotonic() - start < 0.5

    fleet.controls[leader].popen.send_signal(signal.SIGSTOP)
    say(f"owner frozen, deadline before the verdict: {send_with_deadline(30)}")
    status, in_time = send_with_deadline(5000)
    say(f"  decided without it: {status in (200, 429)}, in time: {in_time}")
    fleet.controls[leader].popen.send_signal(signal.SIGCONT)
    fleet.controls[leader].kill()
    admitted, others = send_for(8)
    say(f"leader killed: within the rule: {worst_window(admitted) <= allowed(RATE, BURST)}, "
        f"not less than half of the limit: {len(admitted) >= 8 * RATE / 2}, others {sorted({s for _, s, _ in others})}")
    fleet.controls[leader].start()
    wait_until(lambda: fleet.read()[0] == 200, "the control instances answer")
    lower = {"upsert": {"tenants": [team("alpha", "key-1", rate_per_s=1, burst=1)]}}
    say(f"lower limit: {fleet.rpc('config.patch', {'version': '00000002', **lower}, base='00000001')[0]}")
    time.sleep(2)
    admitted, _ = send_for(6)
    say(f"  in force: {3 <= len(admitted) <= 1 + 6 + 4}")
