"""Randomized soak test: soak.py BURDOCKSHED [--seed N] [--seeds N]
[--seconds S] [--again FILE].
Runs real nodes as processes on a stand-in of the platform and injects faults
from outside, one after another and overlapping, drawn from the seed.  Checks
what callers and workers see against the guarantees of the product.  Exits with
status 1, and prints where the logs are, if a guarantee was violated."""

import argparse
import http.client
import json
import os
import random
import signal
import sys
import tempfile
import threading
import time

import proxy
from nodes import Node, kill_nodes, send_request, job_body, wait_for
from standin import Platform, now_ms

SERVICES = ["search", "archive"]
NODES = 4
WORKERS_PER_SERVICE = 4
CLIENTS = 4
SUBMIT_INTERVAL_S = (0.05, 0.5)
FAULT_INTERVAL_S = (0.1, 1.2)
FAULT_DURATION_S = (0.3, 4.0)
# Time for accepted jobs to end after the last fault: twice the sum of the
# longest lease and the maximum age of an owner's confirmation, since the last
# handover is complete by then.
SETTLE_TIMEOUT_S = 40
# Requirement: no task of a job starts later than this after its cancellation.
CANCEL_LIMIT_MS = 3000
STOP_TIMEOUT_S = 7  # the setting stop_s is 6 s
# Time until a new node handles signals: before that, SIGTERM itself ends the
# process.
STARTUP_S = 0.1


class Job:
    def __init__(self, path, body):
        self.path = path
        self.id = path[-16:]
        self.body = body
        self.accepted_ms = None
        self.is_submit_unclear = False
        self.cancelled_ms = None
        self.is_cancel_requested = False
        self.final_state = None


class Client(threading.Thread):
    """Submits jobs, queries and cancels them; reuses a connection until it
    fails."""

    def __init__(self, soak, number):
        super().__init__(daemon=True)
        self.soak = soak
        self.rng = random.Random(soak.seed * 100 + number)
        self.number = number
        self.jobs = []
        self.connections = {}

    def call(self, node, method, path, body=None):
        c = self.connections.get(node)
        if c is None:
            c = http.client.HTTPConnection("127.0.0.1", node.callers_port,
                                           timeout=4)
        try:
            status, text, _ = send_request(c, method, path, body)
            self.connections[node] = c
            return status, text
        except (OSError, http.client.HTTPException):
            self.connections.pop(node, None)
            c.close()
            return 0, ""

    def submit(self):
        n = len(self.jobs)
        path = "/%s/%016x" % (self.rng.choice(SERVICES),
                              self.number * 4096 + n + 1)
        j = Job(path, job_body(self.rng.randint(1, 5), self.rng.choice(
            [100, 400, 1500]), steps=self.rng.randint(1, 2)))
        self.jobs.append(j)
        for _ in range(4):
            status, _ = self.call(self.rng.choice(self.soak.nodes), "POST",
                                  path, j.body)
            if status == 200:
                j.accepted_ms = now_ms()
                return
            if status not in (429, 503):
                j.is_submit_unclear = True
            time.sleep(0.2)

    def check_state(self, j, node):
        status, text = self.call(node, "GET", j.path)
        if status == 410 and j.accepted_ms and self.soak.is_fault_free:
            self.soak.report_violation("accepted job is not found: " + j.id)
        if status != 200:
            return None
        state = json.loads(text)["state"]
        if j.final_state and state != j.final_state:
            self.soak.report_violation("%s after %s: %s"
                                       % (state, j.final_state, j.id))
        if state in ("completed", "failed", "cancelled"):
            if state == "completed" and not j.final_state:
                self.soak.check_completed(j)
            j.final_state = state
        return state

    def cancel(self, j):
        j.is_cancel_requested = True
        status, _ = self.call(self.rng.choice(self.soak.nodes), "DELETE",
                              j.path)
        if status == 200 and j.final_state != "completed":
            j.cancelled_ms = now_ms()

    def run(self):
        while not self.soak.is_fault_free:
            self.submit()
            j = self.rng.choice(self.jobs)
            if j.accepted_ms and self.rng.random() < 0.1:
                self.cancel(j)
            elif j.accepted_ms:
                self.check_state(j, self.rng.choice(self.soak.nodes))
            time.sleep(self.rng.uniform(*SUBMIT_INTERVAL_S))


class Soak:
    def __init__(self, binary, seed, seconds):
        self.seed = seed
        self.seconds = seconds
        self.rng = random.Random(seed)
        self.directory = tempfile.mkdtemp(prefix="soak-%d-" % seed)
        self.lock = threading.Lock()
        self.violations = []
        self.faults = []
        self.is_fault_free = False
        proxies = proxy.Proxies()
        self.platform = Platform(SERVICES, WORKERS_PER_SERVICE, proxies)
        self.store_proxies = [proxies.add(self.platform.server.address)
                              for _ in range(NODES)]
        self.nodes = [Node(binary, self.directory, self.platform, i,
                           processor_share=1.0 if i else 0.12,
                           store=self.store_proxies[i].address)
                      for i in range(NODES)]
        self.faulty_nodes = set()  # nodes with a fault in progress

    def report_violation(self, description):
        with self.lock:
            self.violations.append(description)

    def log_fault(self, description):
        with open(os.path.join(self.directory, "faults.log"), "a") as f:
            f.write("%d %s\n" % (int(time.time() * 1000), description))
        self.faults.append(description)

    # Faults.  Each injects one and returns the function that ends it, or None.

    def kill_node(self):
        node = self.rng.choice(self.nodes)
        if node in self.faulty_nodes:
            return None
        self.faulty_nodes.add(node)
        self.log_fault("kill node-%d" % node.number)
        node.process.kill()
        node.process.wait()

        def end_fault():
            node.start()
            self.faulty_nodes.discard(node)
        return end_fault

    def stop_node(self):
        node = self.rng.choice(self.nodes)
        if node in self.faulty_nodes:
            return None
        self.faulty_nodes.add(node)
        self.log_fault("stop node-%d" % node.number)
        is_starting = time.monotonic() < node.started_s + STARTUP_S
        node.process.send_signal(signal.SIGTERM)

        def end_fault():
            status = node.process.wait(STOP_TIMEOUT_S)
            if status != 0 and not (is_starting and status == -signal.SIGTERM):
                self.report_violation("node-%d ended with %d after SIGTERM"
                                      % (node.number, node.process.returncode))
            node.start()
            self.faulty_nodes.discard(node)
        return end_fault

    def pause_node(self):
        node = self.rng.choice(self.nodes)
        if node in self.faulty_nodes:
            return None
        self.faulty_nodes.add(node)
        self.log_fault("pause node-%d" % node.number)
        node.process.send_signal(signal.SIGSTOP)

        def end_fault():
            node.process.send_signal(signal.SIGCONT)
            self.faulty_nodes.discard(node)
        return end_fault

    def reload_node(self):
        node = self.rng.choice(self.nodes)
        if node not in self.faulty_nodes:
            self.log_fault("reload node-%d" % node.number)
            node.process.send_signal(signal.SIGHUP)

    def set_proxy_fault(self, p, name):
        mode = self.rng.randint(proxy.DELAY, proxy.REFUSE)
        self.log_fault("%s %s" % (proxy.MODE_NAMES[mode], name))
        p.set_mode(mode)
        return lambda: p.set_mode(proxy.PASS)

    def set_store_proxy_fault(self):
        i = self.rng.randrange(NODES)
        return self.set_proxy_fault(self.store_proxies[i],
                                    "store of node-%d" % i)

    def set_worker_proxy_fault(self):
        w = self.rng.choice(self.platform.workers)
        return self.set_proxy_fault(w.proxy, w.id)

    def reset_connections(self):
        self.log_fault("reset")
        for p in self.store_proxies + [w.proxy for w in self.platform.workers]:
            if self.rng.random() < 0.5:
                p.reset_connections()

    def crash_worker(self):
        w = self.rng.choice(self.platform.workers)
        self.log_fault("crash " + w.id)
        w.crash()
        self.platform.list_worker(w)

    def set_store_fault(self, field, value):
        self.log_fault("%s %s" % (field, value))
        before = getattr(Platform([], 0), field)
        setattr(self.platform, field, value)
        return lambda: setattr(self.platform, field, before)

    def publish(self):
        self.log_fault("configuration")
        self.platform.publish_configuration()

    def inject_fault(self):
        return self.rng.choice([
            self.kill_node, self.stop_node, self.pause_node, self.reload_node,
            self.set_store_proxy_fault, self.set_store_proxy_fault,
            self.set_worker_proxy_fault, self.set_worker_proxy_fault,
            self.reset_connections, self.crash_worker, self.publish,
            lambda: self.set_store_fault("store_away", True),
            lambda: self.set_store_fault("store_slow_s", 0.15),
            lambda: self.set_store_fault("store_lost", 0.2)])()

    # Guarantees.

    def all_runs(self):
        """Yield (worker, task, run, start_ms, end_ms, result) of every run."""
        for w in self.platform.workers:
            with w.lock:
                yield from [(w,) + s for s in w.ended_runs]
                yield from [(w, t, r[0], r[2], now_ms(), "runs")
                            for t, r in w.runs.items()]

    def check_completed(self, j):
        done = {s[1] for s in self.all_runs() if s[5] == "done"}
        for k, step in enumerate(j.body["steps"]):
            for i in range(step["count"]):
                if "%s.0.%d.%d" % (j.id, k, i) not in done:
                    self.report_violation(
                        "completed before all tasks were done: " + j.id)
                    return

    def check_runs(self, jobs):
        by_task = {}
        acknowledged_ms = {}
        for w in self.platform.workers:
            for task, ended in w.acknowledged_done_ms.items():
                acknowledged_ms[task] = min(
                    ended, acknowledged_ms.get(task, ended))
        for s in self.all_runs():
            by_task.setdefault(s[1], []).append(s)
        for task, runs in sorted(by_task.items()):
            j = jobs.get(task.split(".")[0])
            runs.sort(key=lambda s: s[3])
            for before, after in zip(runs, runs[1:]):
                if after[3] < before[4]:
                    self.report_violation("two runs at a time: " + task)
            if task in acknowledged_ms and runs[-1][3] > acknowledged_ms[task]:
                self.report_violation(
                    "run after an acknowledged end \"done\": " + task)
            if j is None:
                self.report_violation("run of an unknown job: " + task)
            elif not j.accepted_ms and not j.is_submit_unclear:
                self.report_violation("run of a refused job: " + task)
            elif j.cancelled_ms \
                    and runs[-1][3] > j.cancelled_ms + CANCEL_LIMIT_MS:
                self.report_violation(
                    "started too long after its cancellation: " + task)

    def run_test(self):
        clients = [Client(self, i) for i in range(CLIENTS)]
        pending_ends = []
        wait_for("ready", lambda: all(
            n.call("GET", "/-/ready", port=n.readiness_port)[0] == 200
            for n in self.nodes))
        for c in clients:
            c.start()
        deadline_s = time.monotonic() + self.seconds
        while time.monotonic() < deadline_s:
            end_fault = self.inject_fault()
            if end_fault:
                pending_ends.append((
                    time.monotonic() + self.rng.uniform(*FAULT_DURATION_S),
                    end_fault))
            time.sleep(self.rng.uniform(*FAULT_INTERVAL_S))
            for e in [e for e in pending_ends if e[0] <= time.monotonic()]:
                pending_ends.remove(e)
                e[1]()
        for e in pending_ends:
            e[1]()
        self.is_fault_free = True
        for c in clients:
            c.join()
        self.wait_for_jobs(clients)

    def wait_for_jobs(self, clients):
        jobs = {j.id: (c, j) for c in clients for j in c.jobs}
        open_jobs = [x for x in jobs.values() if x[1].accepted_ms]
        deadline_s = time.monotonic() + SETTLE_TIMEOUT_S
        while open_jobs and time.monotonic() < deadline_s:
            time.sleep(0.3)
            for c, j in open_jobs:
                c.check_state(j, self.rng.choice(self.nodes))
            open_jobs = [x for x in open_jobs if not x[1].final_state]
        for _, j in open_jobs:
            self.report_violation("accepted, but not ended after %d s: %s"
                                  % (SETTLE_TIMEOUT_S, j.id))
        for _, j in jobs.values():
            if j.final_state == "failed" or (j.final_state == "cancelled"
                                             and not j.is_cancel_requested):
                self.report_violation("unexpected state %s: %s"
                                      % (j.final_state, j.id))
        self.check_runs({k: j for k, (_, j) in jobs.items()})
        print("seed %d: %d jobs, %d accepted, %d faults, %d runs" % (
            self.seed, len(jobs),
            sum(1 for _, j in jobs.values() if j.accepted_ms),
            len(self.faults), self.platform.count_runs()), file=sys.stderr)


def run_test(binary, seed, seconds):
    soak = Soak(binary, seed, seconds)
    try:
        soak.run_test()
    finally:
        kill_nodes(soak.nodes)
    print("seed %d: %s" % (seed, "; ".join(soak.violations[:5]) or
                           "no violations"))
    if soak.violations:
        print("logs in", soak.directory, file=sys.stderr)
    return not soak.violations


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("binary")
    parser.add_argument("--seed", type=int, default=random.randrange(1 << 20))
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--again", metavar="FILE", help="run the seeds in "
                        "FILE, one at the beginning of each line")
    a = parser.parse_args()
    seeds = range(a.seed, a.seed + a.seeds)
    if a.again:
        with open(a.again) as f:
            seeds = [int(line.split()[0]) for line in f]
    passed = [run_test(a.binary, seed, a.seconds) for seed in seeds]
    sys.exit(0 if all(passed) else 1)


main()
