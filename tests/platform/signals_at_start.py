"""Guards against a program that has begun to start and is ended by a signal without a planned stop (SIGTERM) or at all
(SIGHUP), because it does not handle the signal yet."""

import signal
import time

from fleet import wait_until

DELAYS_S = [i / 200 for i in range(10)] + [0.06, 0.1, 0.3]
ALIVE_S = 0.1


def run(fleet, say):
    fleet.start(controls=1, entries=1)
    wait_until(lambda: all("started instance" in program.log() for program in fleet.processes()), "the programs run")
    for program in fleet.processes():
        program.terminate()
    for program in fleet.processes():
        for number in (signal.SIGTERM, signal.SIGHUP):
            seen = {send_at(program, number, delay) for delay in DELAYS_S}
            say(f"{program.program.name} {number.name}: {sorted(seen - {'ended before main()'})}")


def send_at(program, number, delay_s):
    """Sends a signal DELAY_S after the start of a program, and returns what it did."""
    log_size = len(program.log())
    program.start()
    time.sleep(delay_s)
    program.popen.send_signal(number)
    if number == signal.SIGHUP:
        time.sleep(ALIVE_S)
        alive = program.popen.poll() is None
        program.kill()
        return "goes on" if alive else describe(program, log_size)
    program.popen.wait(30)
    return describe(program, log_size)


def describe(program, log_size):
    if program.popen.returncode < 0 and len(program.log()) == log_size:
        return "ended before main()"
    return f"ended with {program.popen.returncode}"
