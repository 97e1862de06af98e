"""Guards against a planned stop of an entry that cuts a request off or leaves its address in the directory, and against
an entry that does not return to the directory after its restart."""

import threading

from fleet import wait_until


def run(fleet, say):
    fleet.start_serving()
    for target in fleet.targets:
        target.delay_s = 0.6
    statuses = []
    stop_event = threading.Event()

    def send_requests():
        while not stop_event.is_set():
            statuses.append(fleet.request("/safe/x", entry=0)[1])

    threads = [threading.Thread(target=run_until_refused, args=(send_requests,)) for _ in range(4)]
    for thread in threads:
        thread.start()
    wait_until(lambda: len(statuses) > 8, "requests are served")
    fleet.entries[0].popen.terminate()
    wait_until(lambda: fleet.readiness_status(0) == 503, "not ready")
    address = f"{fleet.ip(2, 0)}:{fleet.ports[0]}"
    wait_until(lambda: all(address not in fleet.resolve(control=i) for i in range(3)), "the directory leaves the entry out")
    say("not ready, and left out of the directory: True")
    say(f"exit status {fleet.entries[0].popen.wait(10)}")
    stop_event.set()
    for thread in threads:
        thread.join()
    say(f"answers {sorted(set(statuses))}")
    for target in fleet.targets:
        target.delay_s = 0
    fleet.entries[0].start()
    wait_until(lambda: all(address in fleet.resolve(control=i) for i in range(3)), "the entry is back")
    say(f"back in the directory, answers {fleet.request('/safe/x', entry=0)[1]}")
    leader = next(program for program in fleet.controls if "role=leader" in program.log())
    say(f"the leader of control stops: exit status {leader.terminate()}, requests {fleet.request('/safe/x')[1]}")
    wait_until(lambda: fleet.read()[0] == 200, "another leader")
    say(f"read by the others: {fleet.read()[0]}")


def run_until_refused(send_requests):
    """Runs send_requests() until the stopped entry refuses connections; a cut answer raises another exception."""
    try:
        send_requests()
    except ConnectionRefusedError:
        pass
