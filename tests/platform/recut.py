"""Workers that start again under their IDs and are cut off soon after:
recut.py BURDOCKSHED [--seed N] [--seeds N] [--rounds N] [--variant NAME]
[--hide-ends].
Guards against a task that runs twice because a call that was meant for a
worker's former life gives a longer lease, or starts a run, in the next one."""

import argparse
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

import proxy
import soak_checks
from network import Network
from nodes import Node, job_body, kill_nodes, submit, wait_for
from standin import LEASE_MAX_MS, Platform, now_ms

NODES = 4
PROCESSOR_SHARE = 0.25
WORKERS = 16
# Short tasks, and those that outlast a worker's cut.
SHORT_MS, LONG_MS = 700, 11000
LONG_SHARE = 0.35
JOB_TASKS = 3
CLIENTS, JOB_INTERVAL_S = 4, 0.3
# The first lives' clocks begin here: they have been up for long.
CLOCK_BEGIN_MS = 3600000
DARK_S = 0.6
# Time from a worker's restart to its cut, and how long that lasts.
UNTIL_CUT_S = (0.2, 2.0)
CUT_S = 9
ROUNDS = 3
WARM_UP_S = 3
SETTLE_S = 2
OWNER_AWAY_S = 1
LATE_SHARE, LATE_MAX_S = 0.1, 2.5
LOST_SHARE = 0.05
# Calls are carried out late; only those that wait for a restart; they are
# late, and the owner is killed between restart and cut.
VARIANTS = ["late", "waiting", "owner"]
TRACED_TASKS = 3
# Lines of the nodes' logs on a worker that are printed: from this before its
# restart on.
LOG_BEFORE_MS = 200


class RecutPlatform(Platform):
    """Records the calls that its workers carry out, and their lives."""

    def __init__(self):
        self.calls = []  # (worker ID, text with the time, time)
        self.lives = []  # (worker ID, time, "restart", "dark" or "cut")
        super().__init__(["search"], WORKERS)

    def serve_worker(self, worker, handler, path, body):
        answer = super().serve_worker(worker, handler, path, body)
        if random.random() < LOST_SHARE:
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
    def __init__(self, binary, seed, variant, rounds, hides_ends):
        random.seed(seed)
        self.rng = random.Random(seed)
        self.variant, self.rounds = variant, rounds
        self.platform = RecutPlatform()
        for w in self.platform.workers:
            w.has_own_clock = True
            w.hides_later_ends = hides_ends
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
        by_task = soak_checks.runs_by_task(self.platform)
        traced = 0
        for task, runs in sorted(by_task.items()):
            found = list(soak_checks.check_twice(self.platform, task, runs))
            violations += found
            if found:
                traced += 1
                self.trace(task, runs, found, traced <= TRACED_TASKS)
        return violations

    # The trace of a violation; times are relative to a worker's last restart
    # before the second run.

    def trace(self, task, runs, found, with_events):
        print("; ".join(found), file=sys.stderr)
        for i, a in enumerate(runs):
            for b in runs[i + 1:]:
                if b.start_ms < a.end_ms or a.result == "done":
                    self.trace_pair(task, a, b, with_events)

    def trace_pair(self, task, a, b, with_events):
        zero_ms = max([t for w, t, what in self.platform.lives
                       if w == a.worker.id and what == "restart"
                       and t <= b.start_ms], default=a.start_ms)
        for r in (a, b):
            life = sum(w == r.worker.id and what == "restart"
                       and t <= r.start_ms
                       for w, t, what in self.platform.lives)
            print("  run %d on %s, life %d, by %s: %d to %d (%s)" % (
                r.number, r.worker.id, life, r.sender, r.start_ms - zero_ms,
                r.end_ms - zero_ms, r.result), file=sys.stderr)
        events = []
        for w in {a.worker, b.worker} if with_events else ():
            events += self.events(w.id, task, zero_ms)
        for t, text in sorted(events):
            if -1000 * DARK_S - LOG_BEFORE_MS <= t <= \
                    min(a.end_ms, b.end_ms) - zero_ms + 1000:
                print("    %6d %s" % (t, text), file=sys.stderr)

    def events(self, worker_id, task, zero_ms):
        """Return (time, text) of what happened on a worker: its lives, its
        calls for TASK and those that were of a former life or gave a lease
        beyond it, and the lines of the nodes' logs."""
        events = [(t - zero_ms, "%s %s" % (w, what))
                  for w, t, what in self.platform.lives if w == worker_id]
        calls = [(t, c) for w, t, c in self.platform.calls if w == worker_id]
        for i, (t, c) in enumerate(calls):
            is_last = c["lease"][1] > c["lease"][0] and all(
                after["lease"][1] <= c["lease"][1]
                for t2, after in calls[i + 1:] if t2 < t + LEASE_MAX_MS)
            if is_last or c["is_former"] or c["fields"].get("task") == task \
                    or is_beyond(c):
                events.append((t - zero_ms, worker_id + " "
                               + describe_call(c, zero_ms)))
        unix_ms = int(time.time() * 1000) - now_ms()
        for n in self.nodes:
            with open(n.log_file.name, errors="replace") as f:
                for line in f:
                    if '"%s"' % worker_id in line or task in line:
                        entry = json.loads(line)
                        events.append((entry["t"] - unix_ms - zero_ms,
                                       "log " + line.strip()))
        return events


def is_beyond(call):
    """Tell whether the deadline lies beyond the longest lease: it is one on
    the clock of a former life."""
    return call["fields"].get("deadline_ms", 0) > call["clock"] + LEASE_MAX_MS


def describe_call(call, zero_ms):
    return "%s%s%s%s sent at %d, clock %d, lease until %d, then %d, %s: %s" % (
        call["path"], " late" if call["is_late"] else "",
        " of a former life" if call["is_former"] else "",
        " BEYOND" if is_beyond(call) else "",
        call["sent_ms"] - zero_ms, call["clock"],
        *[max(t - zero_ms, -1) for t in call["lease"]], call["status"],
        call["fields"])


def play(binary, seed, variant, rounds, hides_ends):
    p = Play(binary, seed, variant, rounds, hides_ends)
    violations = []
    try:
        violations = p.run_test()
        print("seed %d, %s: %d runs, %d calls on a former clock, %d "
              "violations" % (
                  seed, variant, p.platform.count_runs(),
                  sum(is_beyond(c) for _, _, c in p.platform.calls),
                  len(violations)), file=sys.stderr)
    finally:
        p.is_over.set()
        kill_nodes(p.nodes)
    if violations:
        print("logs in", p.directory, file=sys.stderr)
    else:
        shutil.rmtree(p.directory, ignore_errors=True)
    return violations


def play_all():
    """Play the variants side by side, and print their results in order."""
    command = [sys.executable, *sys.argv, "--variant"]
    plays = [subprocess.Popen(command + [v], stdout=subprocess.PIPE)
             for v in VARIANTS]
    outputs = [p.communicate()[0].decode() for p in plays]
    print("".join(outputs), end="")
    sys.exit(any(p.returncode for p in plays))


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("binary")
    parser.add_argument("--seed", type=int, default=24)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=ROUNDS)
    parser.add_argument("--variant", choices=VARIANTS)
    parser.add_argument("--hide-ends", action="store_true", help="let workers "
                        "hide ends by a last_seen that was meant for their "
                        "former life")
    a = parser.parse_args()
    if not a.variant:
        play_all()
    for seed in range(a.seed, a.seed + a.seeds):
        print("%s: violations: %s" % (
            a.variant, play(a.binary, seed, a.variant, a.rounds,
                               a.hide_ends)))


main()
