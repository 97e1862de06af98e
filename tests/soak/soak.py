"""Randomized soak test: runs the real programs on loopback, injects faults, and checks the guarantees of the fleet.

Usage: soak.py BUILD_DIRECTORY [--seeds FIRST-LAST | --seeds N,N...] [--seconds S] [--entries N] [--keep DIRECTORY]

Each seed runs a fleet of three control instances and three entries with six targets behind loopback proxies. Callers
reuse a connection until it ends. Faults follow each other and overlap: connections that are delayed, reset, or dropped
in one direction or both; targets that refuse, fail, write late copies of answers or bytes without end; processes that
are paused, killed and restarted; disks of control instances that are full, fail or hang, one at a time; planned stops; SIGHUP; targets that drain; changes of the configuration, and the same
change sent again. Every third seed has planned work and late copies only. Two services have one target with one slot, a
limit of one or two connections, and routes that let requests wait for seconds; some requests there take much longer than
most. Some answers take seconds to pass, and some paths lack a part of a prefix. The grace period depends on the seed.

Checks what callers and targets see: an answer belongs to its request and is whole; a request that is not idempotent runs
at most once; a request that was refused as not run did not run; a drained target gets no work 2 s after the
acknowledgement, except from an entry that was paused all the time since; an acknowledged configuration is read back, and never an older one; a change that was acknowledged is
acknowledged again; a planned stop cuts off no request that was passed on, or that arrived well before its connection
ended, and answers none itself at which a target is at work; a request runs only at the service of the longest prefix that begins its path; no process ends by itself or grows
beyond its machine; after the last fault the fleet serves again, and all control instances are voters that follow. REGRESSIONS lists the seeds that failed once.
"""

import argparse
import pathlib
import random
import shutil
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(HERE), str(HERE.parent / "support"), str(HERE.parent / "platform")]

import http.client  # noqa: E402

from fleet import wait_until  # noqa: E402
from full_disks import FAULTS, is_complete  # noqa: E402
from loopback import MODES, LoopbackProxy  # noqa: E402
from stand_in import ENDLESS, GRACE_S, HOST, PlatformFleet, route, service  # noqa: E402

# Seeds that failed once, each with its cause.
REGRESSIONS = {
    33: "SIGTERM right after a start, before program_run() had added its handlers, ended the process with -15; an answer that was "
        "not whole at the deadline of its request counted as cut off by the stop",
    103: "three control instances that stopped at once passed leadership around until their grace periods ended, and left the "
         "group without a voter",
    40: "an entry that is paused since before a departure passes a request on as it goes on; the check counted that as late work",
}

DRAIN_LIMIT_S = 2.0
RECOVERY_LIMIT_S = 15.0
# A read that begins this long after an acknowledgement must return the acknowledged version or a later one.
READ_LAG_S = 2.0
VOTERS = 3
# Time that a new control instance, or one without its disk, has to become a full member.
CATCH_UP_S = 4.0
LOSSES = ("disk", "disk", "kill", "pause")
CALLER_COUNT = 6
TARGET_COUNT = 6
# Callers that keep the services with one target busy.
PATIENT_CALLER_COUNT = 8
# A request whose connection ends sooner after it was sent may have crossed the end.
CROSSING_S = 0.2
# Time in which an entry that drains closes a connection after an answer.
CLOSING_S = 0.3
# Grace periods of the entries, by seed.
GRACE_PERIODS_S = (GRACE_S, 10, GRACE_S, 1)
# A request that was sent later than this after SIGTERM must not be ended by the stop.
LAST_ENDED_S = 3
# Work of most requests, and of some, at the targets that are alone.
PATIENT_WORK_S, SLOW_WORK_S = 0.8, 4.0
# Memory of the smallest machines of the users' deployments.
MAX_ENTRY_KB, MAX_CONTROL_KB = 160 << 10, 256 << 10
# Routes by their prefix: the service, and whether a request may be repeated.
ROUTES = {"/safe/": ("s1", True), "/unsafe/": ("s1", False), "/one/": ("one", True), "/one/book/": ("two", False)}
PATHS = {True: ("/safe/x",), False: ("/unsafe/x",)}
PATIENT_PATHS = {True: ("/one/x",) * 9 + ("/one/slow",), False: ("/one/book/x",) * 9 + ("/one/book/slow",)}
ODD_PATHS = ("/safe", "/unsafe", "/one/book", "/one/book?x=/", "/safex/", "/one/bookx/", "/unsafe%2Fx", "//unsafe/x",
             "/one//book/x")


def find_service(path):
    """Returns the service of the longest prefix that begins the path as it is written, or None."""
    prefixes = [prefix for prefix in ROUTES if path.split("?")[0].startswith(prefix)]
    return ROUTES[max(prefixes, key=len)][0] if prefixes else None


def configured_routes():
    routes = [route("safe" if safe else "unsafe", name, name=prefix.strip("/")) for prefix, (name, safe) in ROUTES.items()]
    for item in routes:
        item["name"] = item["name"].replace("/", "-")
        if item["service"] != "s1":
            item.update(timeout_ms=14000, latency_goal_ms=9000)
    return routes


def configured_services():
    return [service("s1"), service("one", max_connections=1), service("two", max_connections=2)]


class Violations(list):
    def add(self, text):
        self.append(text)
        print(f"violation: {text}", flush=True)


class Caller(threading.Thread):
    """Sends requests on a connection that it keeps until the connection ends."""

    def __init__(self, soak, number, patient):
        super().__init__(daemon=True)
        self.soak, self.random, self.number, self.sent = soak, random.Random(f"{soak.seed}/{number}"), number, 0
        self.paths, self.deadline_ms = (PATIENT_PATHS, 15000) if patient else (PATHS, 3000)

    def run(self):
        connection, entry = None, 0
        while not self.soak.finished.is_set():
            if connection is None:
                entry = self.random.randrange(len(self.soak.fleet.entries))
                self.opened = time.monotonic()
                connection = http.client.HTTPConnection(self.soak.fleet.ip(2, entry), self.soak.fleet.ports[0],
                                                        timeout=2 * self.deadline_ms / 1000)
            self.sent += 1
            if not self.exchange(connection, entry, f"{self.number:04x}{self.sent:012x}"):
                connection.close()
                connection = None
            time.sleep(self.random.uniform(0.0, 2.0 if self.random.random() < 0.1 else 0.05))

    def exchange(self, connection, entry, attempt):
        """Sends one request and returns whether the connection can be used again."""
        at_most_once = self.random.random() < 0.5
        draw = self.random.random()
        if draw < (0.06 if self.paths is PATHS else 0.2):
            at_most_once, path = False, "/safe/long"
        else:
            path = self.random.choice(ODD_PATHS if draw < 0.1 else self.paths[not at_most_once])
        self.soak.expected_services[attempt] = find_service(path)
        headers = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Remaining-Ms": str(self.deadline_ms)}
        started = time.monotonic()
        try:
            connection.request("POST" if at_most_once else "GET", path, b"content" if at_most_once else None, headers)
            answer = connection.getresponse()
            body = answer.read()
        except (OSError, http.client.HTTPException) as error:
            # An entry ends a request at its deadline, and cuts an answer that isn't whole by then.
            if time.monotonic() - started < self.deadline_ms / 1000:
                self.soak.record_cut(entry, started, attempt, error)
            return False
        # A path of another route decides whether the request may be repeated, not its method.
        at_most_once = at_most_once and path in self.paths[False]
        self.soak.record_answer(attempt, at_most_once, answer, body)
        if answer.status == 504 and time.monotonic() - started < self.deadline_ms / 1000:
            self.soak.record_ended(entry, started, attempt)
        if answer.getheader("Connection", "").lower() == "close" or answer.will_close:
            return False
        self.soak.check_drained(entry, connection.sock, self.opened)
        return True


class Soak:
    def __init__(self, build, seed, seconds, plant=False, entries=3):
        self.seed, self.seconds, self.plant, self.random = seed, seconds, plant, random.Random(seed)
        self.fleet, self.finished = PlatformFleet(build), threading.Event()
        self.violations, self.answers, self.lock = Violations(), [], threading.Lock()
        self.proxies, self.fault_end_times, self.drained = [], {}, []
        self.acknowledged, self.version, self.planned_stops, self.reserved = [], 1, [], {}
        self.expected_services, self.planned_only = {}, seed % 3 == 0
        self.entry_pauses = []  # start and end of each pause of an entry
        self.replaced = []  # control instances that were stopped for good
        self.entries, self.grace_s = entries, GRACE_PERIODS_S[seed % len(GRACE_PERIODS_S)]

    # Reports of the callers.

    def record_answer(self, attempt, at_most_once, answer, body):
        with self.lock:
            self.answers.append((attempt, at_most_once, answer.status))
        if answer.status == 200 and body.decode() != "answer to " + attempt:
            self.violations.add(f"{attempt} got a wrong answer: {body!r}")

    def record_cut(self, entry, started, attempt, error):
        """Adds a violation if a planned stop cut off a request that had run, or long after it was sent, and no other
        fault was active."""
        now = time.monotonic()
        stop = self.find_stop(entry, started, now)
        executions = self.fleet.executions(attempt)
        if stop is None or self.may_be_ended(attempt, started - stop, now - stop):
            return
        if executions > 0 or now - started > CROSSING_S:
            self.violations.add(f"{attempt}, sent {started - stop:.2f} s after SIGTERM at entry-{entry}, was cut off after "
                                f"{now - started:.2f} s, run {executions}: {error!r}")

    def record_ended(self, entry, started, attempt):
        """Adds a violation if a planned stop answered 504 before the deadline while a target was at work, and no other
        fault was active."""
        now = time.monotonic()
        stop = self.find_stop(entry, started, now)
        if stop is None or not self.is_at_work(attempt) or self.may_be_ended(attempt, started - stop, now - stop):
            return
        self.violations.add(f"{attempt}, sent {started - stop:.2f} s after SIGTERM at entry-{entry}, was answered 504 after "
                            f"{now - started:.2f} s while its target was at work")

    def find_stop(self, entry, started, now):
        """Returns the time of the planned stop of ENTRY that may have ended a request, or None."""
        stops = [at for at, stopped in self.planned_stops if stopped == entry and at <= now <= at + self.grace_s + 2]
        return max(stops) if stops and not self.had_fault_since(started - 3) else None

    def is_at_work(self, attempt):
        return self.fleet.executions(attempt) > 0 and not any(attempt in target.completed for target in self.fleet.targets)

    def may_be_ended(self, attempt, sent_s, ended_s):
        """Returns whether a stop may end a request, by the times since SIGTERM: it was sent before the drain, and its
        target needed more than the rest of the grace period."""
        last_s = min(self.grace_s / 2, LAST_ENDED_S)
        return self.is_at_work(attempt) and ended_s >= self.grace_s * 5 / 6 and sent_s <= last_s

    def check_drained(self, entry, connection, opened):
        """Adds a violation if a connection from before a planned stop stays open after an answer that was complete after
        the drain."""
        now = time.monotonic()
        stops = [at for at, stopped in self.planned_stops if stopped == entry and opened < at < now - self.grace_s / 2]
        if not stops or self.had_fault_since(stops[0] - 3):
            return
        connection.settimeout(CLOSING_S)
        try:
            connection.recv(1)
        except TimeoutError:
            self.violations.add(f"entry-{entry} kept a connection {time.monotonic() - stops[0]:.2f} s after SIGTERM")
        except OSError:
            pass
        connection.settimeout(None)

    def had_fault_since(self, since):
        return any(end is None or end >= since for end in self.fault_end_times.values())

    # Faults.

    def run_fault(self, name, seconds, begin, finish):
        """Runs begin(), and finish() after SECONDS, in a thread that it returns; faults may overlap."""
        key = (name, time.monotonic())

        def run():
            self.fault_end_times[key] = None
            begin()
            self.finished.wait(seconds)
            finish()
            self.fault_end_times[key] = time.monotonic()

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        return thread

    def break_link(self):
        proxy, mode = self.random.choice(self.proxies), self.random.choice(MODES[1:])
        return self.run_fault(f"link {mode}", self.random.uniform(0.3, 3), lambda: proxy.set(mode),
                              lambda: proxy.set("normal"))

    def choose_target(self):
        """Returns a target; each second one is the only one of its service."""
        return self.random.choice(self.fleet.targets[1:] + 2 * self.fleet.targets[TARGET_COUNT:])

    def break_target(self):
        target = self.choose_target()
        mode = self.random.choice(("full", "reset", "errors", "late", "copies", "copies", self.random.choice(list(ENDLESS))))
        return self.run_fault(f"target {mode}", self.random.uniform(0.3, 3), lambda: setattr(target, "mode", mode),
                              lambda: setattr(target, "mode", "normal"))

    def send_copies(self):
        """Lets a target write late copies of its answers. This is no fault that excuses a planned stop."""
        target = self.choose_target()

        def run():
            target.mode = "copies"
            self.finished.wait(self.random.uniform(0.5, 3))
            target.mode = "normal"

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        return thread

    def send_hup(self):
        program = self.random.choice(self.fleet.processes())
        if program.popen.poll() is None:
            program.popen.send_signal(signal.SIGHUP)

    def reserve(self, programs):
        """Reserves and returns a running program that no other fault has reserved, or returns None."""
        free = [p for p in programs if p.popen.poll() is None and not self.reserved.get(p.name)]
        program = self.random.choice(free) if free else None
        if program:
            self.reserved[program.name] = True
        return program

    def release(self, program):
        self.reserved[program.name] = False

    def pause_process(self):
        program = self.reserve(self.fleet.processes())
        if program is None:
            return None

        paused_at = []

        def pause():
            paused_at.append(time.monotonic())
            program.popen.send_signal(signal.SIGSTOP)

        def resume():
            if program in self.fleet.entries:
                self.entry_pauses.append((paused_at[0], time.monotonic()))
            program.popen.send_signal(signal.SIGCONT)
            self.release(program)

        return self.run_fault("pause " + program.name, self.random.uniform(0.2, 3), pause, resume)

    def kill(self):
        # Keeps a majority of the control group running: the settings tolerate the loss of one instance.
        down = [p for p in self.controls() if self.reserved.get(p.name)]
        program = self.reserve(self.fleet.entries if down else self.fleet.processes())
        if program is None:
            return None

        def restart():
            program.start()
            self.release(program)

        return self.run_fault("kill " + program.name, self.random.uniform(0.05, 1.5), program.kill, restart)

    def break_disk(self):
        """Lets calls of one control instance to its disk fail, and restarts it meanwhile in one of three cases."""
        if any(self.reserved.get(p.name) for p in self.controls()):
            return None
        program = self.reserve(self.controls())
        if program is None:
            return None
        faults, restarts = self.random.choice(list(FAULTS.values()) + ["sync=hang"]), self.random.random() < 0.3

        def begin():
            program.set_disk_faults(faults)
            if restarts:
                program.kill()
                program.start()

        def finish():
            program.set_disk_faults("")
            self.release(program)

        return self.run_fault("disk " + program.name, self.random.uniform(0.2, 6), begin, finish)

    def kill_all_controls(self):
        programs = [p for p in self.controls() if not self.reserved.get(p.name)]
        if len(programs) < len(self.controls()):
            return None
        self.reserved.update((p.name, True) for p in programs)

        def restart():
            for program in programs:
                program.start()
                self.release(program)

        return self.run_fault("kill all controls", self.random.uniform(0.05, 1),
                              lambda: [p.kill() for p in programs], restart)

    def controls(self):
        return [p for p in self.fleet.controls if p not in self.replaced]

    def numbers(self, controls):
        return [self.fleet.controls.index(p) for p in controls]

    def replace_controls(self):
        """Replaces one, two or all control instances as planned, by turns, while another one may be lost for a while."""
        choose, end = random.Random(f"{self.seed}/replace"), time.monotonic() + self.seconds
        while not self.finished.wait(choose.uniform(0.5, 2)) and time.monotonic() < end:
            if not any(self.reserved.get(p.name) for p in self.controls()):
                self.replace_some(choose)

    def replace_some(self, choose):
        # No other fault may hit the control instances meanwhile: the settings tolerate the loss of one.
        leavers = choose.sample(self.controls(), choose.choice((1, 1, 2, VOTERS)))
        seeds = self.fleet.seeds(self.numbers(self.controls()))
        self.reserved.update((p.name, True) for p in self.controls())
        new = [self.fleet.controls[self.fleet.add_control(seeds)] for _ in leavers]
        self.reserved.update((p.name, True) for p in new)
        time.sleep(CATCH_UP_S)
        others = [p for p in self.controls() if p not in leavers]
        loss_delay_s, stop_delay_s = choose.uniform(0, 1.5), choose.uniform(0, 1)
        loss = threading.Timer(loss_delay_s, self.lose_control, (choose.choice(others), choose.choice(LOSSES), choose.uniform(0.2, 3)))
        if not self.planned_only:
            loss.start()
        time.sleep(stop_delay_s)
        # The platform's list of seeds follows its instances.
        self.fleet.change_seeds(self.numbers(p for p in self.controls() if p not in leavers)[:VOTERS])
        for program in leavers:
            program.popen.terminate()
        for program in leavers:
            status = program.popen.wait(2 * GRACE_S)
            if status != 0:
                self.violations.add(f"{program.name} ended a planned stop with {status}")
        if not self.planned_only:
            loss.join()
        self.replaced += leavers
        time.sleep(CATCH_UP_S)
        for program in self.controls():
            self.release(program)

    def lose_control(self, program, kind, seconds):
        key = (f"lose {kind} {program.name}", time.monotonic())
        self.fault_end_times[key] = None
        if kind == "pause":
            program.popen.send_signal(signal.SIGSTOP)
        elif kind == "disk":
            self.fleet.lose_disk(self.fleet.controls.index(program))
        else:
            program.kill()
        time.sleep(seconds)
        if kind == "pause":
            program.popen.send_signal(signal.SIGCONT)
        else:
            program.start()
        self.fault_end_times[key] = time.monotonic()

    def planned_stop(self):
        program = self.reserve(self.fleet.entries)
        if program is None:
            return None

        def run():
            self.planned_stops.append((time.monotonic(), self.fleet.entries.index(program)))
            status = program.terminate()
            if status != 0:
                self.violations.add(f"{program.name} ended a planned stop with {status}")
            program.start()
            self.release(program)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        return thread

    def drain_target(self):
        ready = [t for t in self.fleet.targets if t.state == "ready" and t.service == "s1"]
        if len(ready) <= TARGET_COUNT // 2:
            return None
        target = self.random.choice(ready)
        target.state = "draining"
        if self.try_call(target.send_heartbeat) == 200:
            self.drained.append((target, time.monotonic()))
        return None

    def change_configuration(self):
        number, base = self.version + 1, self.version
        extra = [route("safe", "s1", name=f"extra{i}") for i in range(number % 7)]
        change = (f"{number:08x}", f"{base:08x}", configured_routes() + extra, configured_services())
        status = self.try_call(lambda: self.fleet.put(*change))
        for _ in range(20):
            if status == 200 or self.finished.is_set():
                break
            if status in (400, 412):
                self.violations.add(f"version {number} refused with {status}")
            time.sleep(0.1)
            status = self.try_call(lambda: self.fleet.put(*change))
        if status != 200:
            # The outcome is unknown, so the base of the next change is the version that is in force.
            self.version = wait_until(self.read_version, "a read after an unknown outcome")
            return None
        self.version = number
        self.acknowledged.append((time.monotonic(), number))
        if self.random.random() < 0.3 and (
                repeated_status := self.try_call(lambda: self.fleet.put(*change))) in (400, 412):
            self.violations.add(f"version {number} was acknowledged, and refused with {repeated_status} when it was sent again")
        return None

    def try_call(self, call):
        try:
            return call()
        except (OSError, http.client.HTTPException, StopIteration):
            return None

    def read_version(self):
        answer = self.try_call(lambda: self.fleet.read(control=self.fleet.controls.index(self.random.choice(self.controls()))))
        return int(answer[1]["version"], 16) if answer and answer[0] == 200 else None

    def check_reads(self):
        """Adds a violation for each read, from any control instance, that is older than the acknowledged version."""
        while not self.finished.is_set():
            required = max((number for at, number in self.acknowledged if time.monotonic() - at > READ_LAG_S), default=0)
            seen = self.read_version()
            if seen is not None and seen < required:
                self.violations.add(f"read version {seen} after {required} was acknowledged")
            time.sleep(0.1)

    def check_processes(self):
        """Adds a violation for each process that ends without having been stopped or killed."""
        reported = set()
        while not self.finished.is_set():
            for program in self.fleet.processes():
                ended = program.popen.poll() is not None and not self.reserved.get(program.name)
                if ended and program.name not in reported:
                    reported.add(program.name)
                    self.violations.add(f"{program.name} ended by itself with {program.popen.returncode}")
            time.sleep(0.1)

    def check_memory(self):
        for programs, limit_kb in ((self.fleet.entries, MAX_ENTRY_KB), (self.fleet.controls, MAX_CONTROL_KB)):
            for program in programs:
                if program.popen.poll() is None and program.peak_kb() > limit_kb:
                    self.violations.add(f"{program.name} took {program.peak_kb()} KiB")

    def send_heartbeats(self):
        while not self.finished.is_set():
            for target in list(self.fleet.targets):
                if target.state == "ready":
                    self.try_call(target.send_heartbeat)
            self.finished.wait(0.4)

    # The run.

    def run(self):
        with self.fleet:
            self.fleet.preloads_disk_faults = True
            self.fleet.entry_settings = {"GRACE_S": self.grace_s}
            self.fleet.start(entries=self.entries)
            wait_until(lambda: self.fleet.put("00000001", "0", configured_routes(), configured_services()) == 200,
                       "the first configuration")
            for number in range(TARGET_COUNT + 2):
                # The last two are the only targets of their services.
                name, slots = ("s1", 4) if number < TARGET_COUNT else (("one", "two")[number - TARGET_COUNT], 1)
                target = self.fleet.add_target(name, zone="abc"[number % 3], delay_s=0.02, slots=slots)
                if slots == 1:
                    target.work_s = lambda path: SLOW_WORK_S if path.endswith("/slow") else PATIENT_WORK_S
                proxy = LoopbackProxy(target.server.server_address[:2], self.random.random())
                target.address = proxy.address
                self.proxies.append(proxy)
            threads = [threading.Thread(target=loop, daemon=True) for loop in (self.send_heartbeats, self.check_reads,
                                                                        self.check_processes)]
            threads += [Caller(self, number, patient=number >= CALLER_COUNT)
                        for number in range(CALLER_COUNT + PATIENT_CALLER_COUNT)]
            for thread in threads:
                thread.start()
            wait_until(lambda: sum(status == 200 for _, _, status in self.answers) > 20, "the fleet serves")
            if self.plant:
                # Every target gets requests that may run only once, whichever of them the entries prefer.
                for target in self.fleet.targets:
                    target.mode = "refuses POST after the run"
            faults = self.inject_faults()
            for thread in faults:
                thread.join(30)
            self.check_recovery()
            self.check_memory()
            self.finished.set()
            for thread in threads:
                thread.join(10)
            self.check_executions()
            for proxy in self.proxies:
                proxy.stop()
            if self.violations:
                return [(p.name, p.log()) for p in self.fleet.processes()]
        return []

    def inject_faults(self):
        planned = [self.planned_stop, self.planned_stop, self.drain_target, self.send_hup, self.send_copies,
                   self.change_configuration, self.change_configuration]
        actions = planned if self.planned_only else planned[1:] + [self.break_link] * 4 + [self.break_target] * 3 + [
            self.pause_process, self.kill, self.kill_all_controls, self.break_disk, self.break_disk]
        threads, end = [], time.monotonic() + self.seconds
        threads.append(threading.Thread(target=self.replace_controls, daemon=True))
        threads[0].start()
        while time.monotonic() < end:
            thread = self.random.choice(actions)()
            if thread is not None:
                threads.append(thread)
            time.sleep(self.random.choice((0.0, 0.1, 0.3, 0.6)))
        return threads

    def check_recovery(self):
        """Adds a violation unless the fleet serves and returns the last acknowledged version after the last fault."""
        started = len(self.answers)
        try:
            wait_until(lambda: sum(status == 200 for _, _, status in self.answers[started:]) > 20, "answers",
                       limit_s=RECOVERY_LIMIT_S)
        except AssertionError:
            self.violations.add("the fleet does not serve after the last fault")
        required = max((number for _, number in self.acknowledged), default=0)
        try:
            wait_until(lambda: (self.read_version() or 0) >= required, "a read", limit_s=RECOVERY_LIMIT_S)
        except AssertionError:
            self.violations.add(f"version {required} was acknowledged and is not read back")
        if not is_complete(self.fleet, VOTERS):
            self.violations.add("not all control instances are voters that follow")

    def is_after_pause(self, at, acknowledged):
        """Returns whether an entry had just gone on that was paused all the time since a departure was ACKNOWLEDGED."""
        return any(begin < acknowledged + CROSSING_S and end <= at <= end + CROSSING_S for begin, end in self.entry_pauses)

    def check_executions(self):
        execution_counts = {}
        for target in self.fleet.targets:
            for attempt, *_ in target.requests:
                execution_counts[attempt] = execution_counts.get(attempt, 0) + 1
                if self.expected_services[attempt] != target.service:
                    self.violations.add(f"{attempt} ran at {target.service} and not at {self.expected_services[attempt]}")
        for attempt, at_most_once, status in self.answers:
            executions_seen = execution_counts.get(attempt, 0)
            if at_most_once and executions_seen > 1:
                self.violations.add(f"{attempt} ran {executions_seen} times")
            if at_most_once and executions_seen > 0 and status in (408, 421, 429, 503):
                self.violations.add(f"{attempt} was refused with {status} and ran")
        for target, at in self.drained:
            late_executions = [(seen - at, request[0]) for seen, request in zip(target.execution_times, target.requests)
                               if seen > at + DRAIN_LIMIT_S and not self.is_after_pause(seen, at)]
            if late_executions:
                late_s, attempt = late_executions[-1]
                self.violations.add(f"{target.identity} got work {late_s:.1f} s after it drained: {attempt}")


def parse_seeds(text):
    if "-" in text:
        first, last = text.split("-")
        return list(range(int(first), int(last) + 1))
    return [int(part) for part in text.split(",")]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--seeds", type=parse_seeds, default=[1, 2, 3])
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--keep", type=pathlib.Path)
    parser.add_argument("--plant", action="store_true",
                        help="plants targets that refuse POST requests after they ran them; fails unless the soak reports it")
    options = parser.parse_args()
    failed = []
    for seed in options.seeds:
        soak = Soak(options.build, seed, options.seconds, options.plant, options.entries)
        logs = soak.run()
        served = sum(status == 200 for _, _, status in soak.answers)
        print(f"seed {seed}: {len(soak.answers)} answers, {served} served, {len(soak.acknowledged)} versions, "
              f"{len(soak.fault_end_times)} faults, {len(soak.violations)} violations", flush=True)
        if soak.violations:
            failed.append(seed)
        if logs and options.keep:
            shutil.rmtree(options.keep / str(seed), ignore_errors=True)
            (options.keep / str(seed)).mkdir(parents=True)
            for name, log in logs:
                (options.keep / str(seed) / f"{name}.log").write_text(log)
    print(f"seeds failed: {failed}")
    return int(bool(failed) != options.plant)


if __name__ == "__main__":
    sys.exit(main())
