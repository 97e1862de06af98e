"""Guards against a planned stop that cuts a request off, against an address that is still given out, and against an entry
that stays out after its restart."""

import threading

from fleet import wait_until


def run(fleet, say):
    fleet.serve()
    for target in fleet.targets:
        target.delay_s = 0.6
    results = []
    stop = threading.Event()

    def caller():
        while not stop.is_set():
            results.append(fleet.request("/safe/x", entry=0)[1])

    threads = [threading.Thread(target=caller_until_closed, args=(caller,)) for _ in range(4)]
    for thread in threads:
        thread.start()
    wait_until(lambda: len(results) > 8, "requests are served")
    fleet.entries[0].popen.terminate()
    wait_until(lambda: fleet.ready(0) == 503, "not ready")
    address = f"{fleet.ip(2, 0)}:{fleet.ports[0]}"
    wait_until(lambda: all(address not in fleet.resolve(control=i) for i in range(3)), "the directory leaves it out")
    say("not ready, and left out of the directory: True")
    say(f"exit status {fleet.entries[0].popen.wait(10)}")
    stop.set()
    for thread in threads:
        thread.join()
    say(f"answers {sorted(set(results))}")
    for target in fleet.targets:
        target.delay_s = 0
    fleet.entries[0].start()
    wait_until(lambda: all(address in fleet.resolve(control=i) for i in range(3)), "the entry is back")
    say(f"back in the directory, answers {fleet.request('/safe/x', entry=0)[1]}")
    leader = next(program for program in fleet.controls if "role=leader" in program.log())
    say(f"the leader of control stops: exit status {leader.terminate()}, requests {fleet.request('/safe/x')[1]}")
    wait_until(lambda: fleet.read()[0] == 200, "another leader")
    say(f"read by the others: {fleet.read()[0]}")


def caller_until_closed(caller):
    """A closed port is what a caller sees of an entry that has stopped; a cut answer is another exception."""
    try:
        caller()
    except ConnectionRefusedError:
        pass
