"""Workers that start again under their IDs and are cut off soon after:
recut.py BURDOCKSHED [--seed N] [--seeds N] [--rounds N] [--variant NAME].
Guards against a task that runs twice because a call that was meant for a
worker's former life gives a longer lease, or starts a run, in the next one."""

import argparse
import os
import random
import shutil
import signal
import sys
import tempfile
import threading
import time

import proxy
import soak_checks
from network import Network
from nodes import Node, job_body, kill_nodes, submit, wait_for
from standin import Platform, now_ms

NODES = 4
PROCESSOR_SHARE = 0.25
WORKERS = 16
# Short tasks, and those that outlast a worker's cut.
SHORT_MS, LONG_MS = 700, 11000
LONG_SHARE = 0.35
JOB_TASKS = 3
CLIENTS, JOB_INTERVAL_S = 4, 0.4
# The first lives' clocks begin here: they have been up for long.
CLOCK_BEGIN_MS = 3600000
DARK_S = 0.6
# Time from a worker's restart to its cut, and how long that lasts.
UNTIL_CUT_S = (0.2, 2.0)
CUT_S = 9
WARM_UP_S = 3
SETTLE_S = 2
OWNER_AWAY_S = 1
LATE_SHARE, LATE_MAX_S = 0.1, 2.5
LOST_SHARE = 0.05
VARIANTS = ["late", "waiting", "owner"]
TRACED_PAIRS = 3
# Lines of the nodes' logs on a worker that are printed: from this before its
# restart on.
LOG_BEFORE_MS, LOG_LINES = 200, 60


class RecutPlatform(Platform):
    """Records the calls that its workers carry out, and their lives."""

    def __init__(self):
        self.calls = []  # (worker ID, text with the time, time)
        self.lives = []  # (worker ID, time, "restart", "dark" or "cut")
        super().__init__(["search"], WORKERS)

    def serve_worker(self, worker, handler, path, body):
        answer = super().serve_worker(worker, handler, path, body)
        if self.calls_late and random.random() < LOST_SHARE:
            raise ConnectionError("the answer is lost")
        return answer

    def carry_out(self, call):
        worker, done_ms = call.worker, now_ms()
        lease_before = worker.lease_deadline_ms
        status = "no answer"
        fields = {k: v for k, v in call.fields.items() if k != "spec"}
        clock, life = worker.clock_ms(), worker.incarnation_start_ms
        try:
            code, answer = super().carry_out(call)
            status = "%d %s" % (code, answer.get("reason", ""))
            return code, answer
        finally:
            self.calls.append((worker.id, done_ms, {
                "path": call.path, "sent_ms": call.sent_ms,
                "is_late": call.is_late, "is_former": call.life != life,
                "clock": clock, "fields": fields, "status": status,
                "lease": (lease_before, worker.lease_deadline_ms)}))

    def note(self, worker, what):
        self.lives.append((worker.id, now_ms(), what))


class Play:
    def __init__(self, binary, seed, variant, rounds):
        random.seed(seed)
        self.rng = random.Random(seed)
        self.variant, self.rounds = variant, rounds
        self.platform = RecutPlatform()
        for w in self.platform.workers:
            w.has_own_clock = True
            w.crash()
            w.clock_zero_ms -= CLOCK_BEGIN_MS
        if variant != "waiting":
            self.platform.calls_late = LATE_SHARE
            self.platform.late_max_s = LATE_MAX_S
        self.links = Network(self.platform, NODES)
        self.directory = tempfile.mkdtemp(prefix="recut-%d-" % seed)
        self.nodes = []
        self.is_over = threading.Event()
        for i in range(NODES):
            self.nodes.append(Node(
                binary, self.directory, self.platform, i, PROCESSOR_SHARE,
                store=self.links.store_address(i)))
            self.links.add_node(self.nodes[i])

    def submit_jobs(self, client):
        rng = random.Random(self.rng.random())
        number = client
        while not self.is_over.wait(JOB_INTERVAL_S):
            number += CLIENTS
            body = job_body(rng.randint(1, JOB_TASKS), LONG_MS
                            if rng.random() < LONG_SHARE else SHORT_MS)
            job = "%016x" % number
            self.platform.jobs[job] = body["steps"]
            path = "/search/" + job
            if self.nodes[number % NODES].call("POST", path, body)[0] != 200:
                submit(self.nodes, path, body)

    def cut(self, worker):
        self.platform.note(worker, "cut")
        ends = [self.links.workers[i, worker.id].add_fault(proxy.SILENT)
                for i in range(NODES)] + [worker.cut_from_store()]
        return lambda: [end() for end in ends]

    def kill_owner(self):
        for node in self.nodes:
            if node.address() == self.platform.owner("search"):
                node.process.send_signal(signal.SIGKILL)
                node.process.wait()
                threading.Timer(OWNER_AWAY_S, node.start).start()

    def play_round(self):
        chosen = self.rng.sample(self.platform.workers, WORKERS // 2)
        for w in chosen:
            self.platform.note(w, "dark")
            w.go_dark()
        time.sleep(DARK_S)
        for w in chosen:
            w.restart()
            self.platform.note(w, "restart")
        restart_s = time.monotonic()
        cuts = sorted((self.rng.uniform(*UNTIL_CUT_S), w.id, w)
                      for w in chosen)
        if self.variant == "owner":
            time.sleep(self.rng.uniform(0.05, UNTIL_CUT_S[0]))
            self.kill_owner()
        ends = []
        for until_cut_s, _, w in cuts:
            time.sleep(max(0, restart_s + until_cut_s - time.monotonic()))
            ends.append(self.cut(w))
        time.sleep(CUT_S)
        for end in ends:
            end()
        time.sleep(SETTLE_S)

    def run_test(self):
        wait_for("ready", lambda: all(
            n.call("GET", "/-/ready", port=n.readiness_port)[0] == 200
            for n in self.nodes))
        for i in range(CLIENTS):
            threading.Thread(target=self.submit_jobs, args=[i],
                             daemon=True).start()
        time.sleep(WARM_UP_S)
        for _ in range(self.rounds):
            self.play_round()
        self.is_over.set()
        return self.check()

    def check(self):
        violations = list(self.platform.violations)
        done_ms = soak_checks.acknowledged_done(self.platform)
        by_task = soak_checks.runs_by_task(self.platform)
        traced = 0
        for task, runs in sorted(by_task.items()):
            found = list(soak_checks.check_twice(runs, done_ms.get(task), 1))
            violations += found
            if found and traced < TRACED_PAIRS:
                traced += 1
                self.trace(task, runs, found)
        return violations

    # The trace of a violation; times are relative to a worker's last restart
    # before the second run.

    def trace(self, task, runs, found):
        def say(text, *values):
            print(text % values, file=sys.stderr)
        say("%s", "; ".join(found))
        for a, b in zip(runs, runs[1:]):
            if b.start_ms >= a.end_ms and a.result != "done":
                continue
            zero_ms = max([t for w, t, what in self.platform.lives
                           if w == a.worker.id and what == "restart"
                           and t <= b.start_ms], default=a.start_ms)
            for r in (a, b):
                say("  run %d on %s by %s: %d to %d (%s)", r.number,
                    r.worker.id, r.sender, r.start_ms - zero_ms,
                    r.end_ms - zero_ms, r.result)
            events = [(t, what) for w, t, what in self.platform.lives
                      if w == a.worker.id]
            events += [(t, self.describe(c, zero_ms))
                       for w, t, c in self.platform.calls if w == a.worker.id
                       and (c["fields"].get("task") == task
                            or c["lease"][0] != c["lease"][1])]
            events += self.log_lines(a.worker.id, task)
            events = [e for e in sorted(events) if zero_ms - LOG_BEFORE_MS
                      - 1000 * DARK_S <= e[0] <= a.end_ms + 1000]
            for t, text in events[:LOG_LINES]:
                say("    %6d %s", t - zero_ms, text)

    @staticmethod
    def describe(call, zero_ms):
        return "%s%s%s sent at %d, clock %d, lease %d to %d, %s: %s" % (
            call["path"], " late" if call["is_late"] else "",
            " of a former life" if call["is_former"] else "",
            call["sent_ms"] - zero_ms, call["clock"],
            *[max(t - zero_ms, -1) for t in call["lease"]], call["status"],
            call["fields"])

    def log_lines(self, worker_id, task):
        """Return the lines of the nodes' logs on a worker or a task."""
        unix_ms = int(time.time() * 1000) - now_ms()
        found = []
        for n in self.nodes:
            with open(n.log_file.name, errors="replace") as f:
                for line in f:
                    words = line.rstrip().split(" ", 1)
                    if words[0].isdigit() and (worker_id in line.split()
                                               or task in line):
                        found.append((int(words[0]) - unix_ms, "node-%d: %s"
                                      % (n.number, words[1])))
        return found


def play(binary, seed, variant, rounds):
    p = Play(binary, seed, variant, rounds)
    violations = []
    try:
        violations = p.run_test()
        print("seed %d, %s: %d runs, %d violations" % (
            seed, variant, p.platform.count_runs(), len(violations)),
            file=sys.stderr)
    finally:
        p.is_over.set()
        kill_nodes(p.nodes)
    if violations:
        print("logs in", p.directory, file=sys.stderr)
    else:
        shutil.rmtree(p.directory, ignore_errors=True)
    return violations


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("binary")
    parser.add_argument("--seed", type=int, default=2)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--variant", choices=VARIANTS)
    a = parser.parse_args()
    for seed in range(a.seed, a.seed + a.seeds):
        for variant in [a.variant] if a.variant else VARIANTS:
            violations = play(a.binary, seed, variant, a.rounds)
            print("%s: violations: %s" % (variant, violations))


main()
