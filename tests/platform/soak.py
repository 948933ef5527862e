"""A randomized soak: soak.py BURDOCKSHED [--seed N] [--seeds N] [--seconds S]
[--again FILE].
Real nodes as processes on a stand-in of the platform; faults come from outside
them, in series and overlapping, drawn from the seed.  Checks what callers and
workers see against what the users were promised.  Ends with status 1, and says
where the logs are, if a promise was broken."""

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
from nodes import Node, end, exchange, job, wait_for
from standin import Platform, now_ms

SERVICES = ["search", "archive"]
NODES = 4
WORKERS_EACH = 4
CLIENTS = 4
SUBMIT_GAP_S = (0.05, 0.5)
FAULT_GAP_S = (0.1, 1.2)
FAULT_FOR_S = (0.3, 4.0)
# The longest lease and the doubt about an owner, twice: by then the last
# handover is over.
CALM_S = 40
# What the users ask: no task of a cancelled job starts later than this.
CANCEL_MS = 3000
STOP_S = 7  # a stopped node ends within its 6 s
# A process that is not in main yet is ended by the signal itself.
LOADING_S = 0.1


class Job:
    def __init__(self, path, body):
        self.path = path
        self.id = path[-16:]
        self.body = body
        self.accepted_ms = None
        self.unclear = False
        self.cancelled_ms = None
        self.asked_cancel = False
        self.final = None


class Client(threading.Thread):
    """Submits, asks and cancels; keeps a connection until it breaks."""

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
            c = http.client.HTTPConnection("127.0.0.1", node.callers,
                                           timeout=4)
        try:
            status, text, _ = exchange(c, method, path, body)
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
        j = Job(path, job(self.rng.randint(1, 5), self.rng.choice(
            [100, 400, 1500]), steps=self.rng.randint(1, 2)))
        self.jobs.append(j)
        for _ in range(4):
            status, _ = self.call(self.rng.choice(self.soak.nodes), "POST",
                                  path, j.body)
            if status == 200:
                j.accepted_ms = now_ms()
                return
            if status not in (429, 503):
                j.unclear = True
            time.sleep(0.2)

    def ask(self, j, node):
        status, text = self.call(node, "GET", j.path)
        if status == 410 and j.accepted_ms and self.soak.is_calm:
            self.soak.broke("accepted job is gone: " + j.id)
        if status != 200:
            return None
        state = json.loads(text)["state"]
        if j.final and state != j.final:
            self.soak.broke("%s after %s: %s" % (state, j.final, j.id))
        if state in ("completed", "failed", "cancelled"):
            if state == "completed" and not j.final:
                self.soak.check_completed(j)
            j.final = state
        return state

    def cancel(self, j):
        j.asked_cancel = True
        status, _ = self.call(self.rng.choice(self.soak.nodes), "DELETE",
                              j.path)
        if status == 200 and j.final != "completed":
            j.cancelled_ms = now_ms()

    def run(self):
        while not self.soak.is_calm:
            self.submit()
            j = self.rng.choice(self.jobs)
            if j.accepted_ms and self.rng.random() < 0.1:
                self.cancel(j)
            elif j.accepted_ms:
                self.ask(j, self.rng.choice(self.soak.nodes))
            time.sleep(self.rng.uniform(*SUBMIT_GAP_S))


class Soak:
    def __init__(self, binary, seed, seconds):
        self.seed = seed
        self.seconds = seconds
        self.rng = random.Random(seed)
        self.folder = tempfile.mkdtemp(prefix="soak-%d-" % seed)
        self.lock = threading.Lock()
        self.broken = []
        self.faults = []
        self.is_calm = False
        proxies = proxy.Proxies()
        self.platform = Platform(SERVICES, WORKERS_EACH, proxies)
        self.stores = [proxies.add(self.platform.server.address)
                       for _ in range(NODES)]
        self.nodes = [Node(binary, self.folder, self.platform, i,
                           share=1.0 if i else 0.12,
                           store=self.stores[i].address)
                      for i in range(NODES)]
        self.busy = set()  # nodes that a fault has already

    def broke(self, what):
        with self.lock:
            self.broken.append(what)

    def note(self, what):
        with open(os.path.join(self.folder, "faults.log"), "a") as f:
            f.write("%d %s\n" % (int(time.time() * 1000), what))
        self.faults.append(what)

    # Faults.  Each returns what ends it.

    def kill_node(self):
        node = self.rng.choice(self.nodes)
        if node in self.busy:
            return None
        self.busy.add(node)
        self.note("kill node-%d" % node.number)
        node.process.kill()
        node.process.wait()

        def again():
            node.start()
            self.busy.discard(node)
        return again

    def stop_node(self):
        node = self.rng.choice(self.nodes)
        if node in self.busy:
            return None
        self.busy.add(node)
        self.note("stop node-%d" % node.number)
        is_loading = time.monotonic() < node.started + LOADING_S
        node.process.send_signal(signal.SIGTERM)

        def again():
            status = node.process.wait(STOP_S)
            if status != 0 and not (is_loading and status == -signal.SIGTERM):
                self.broke("node-%d ended with %d after SIGTERM"
                           % (node.number, node.process.returncode))
            node.start()
            self.busy.discard(node)
        return again

    def pause_node(self):
        node = self.rng.choice(self.nodes)
        if node in self.busy:
            return None
        self.busy.add(node)
        self.note("pause node-%d" % node.number)
        node.process.send_signal(signal.SIGSTOP)

        def again():
            node.process.send_signal(signal.SIGCONT)
            self.busy.discard(node)
        return again

    def reload_node(self):
        node = self.rng.choice(self.nodes)
        if node not in self.busy:
            self.note("reload node-%d" % node.number)
            node.process.send_signal(signal.SIGHUP)

    def disturb_proxy(self, p, name):
        mode = self.rng.randint(proxy.DELAY, proxy.REFUSE)
        self.note("%s %s" % (proxy.NAMES[mode], name))
        p.set_mode(mode)
        return lambda: p.set_mode(proxy.PASS)

    def disturb_store_link(self):
        i = self.rng.randrange(NODES)
        return self.disturb_proxy(self.stores[i], "store of node-%d" % i)

    def disturb_worker_link(self):
        w = self.rng.choice(self.platform.workers)
        return self.disturb_proxy(w.proxy, w.id)

    def reset_links(self):
        self.note("reset")
        for p in self.stores + [w.proxy for w in self.platform.workers]:
            if self.rng.random() < 0.5:
                p.reset()

    def crash_worker(self):
        w = self.rng.choice(self.platform.workers)
        self.note("crash " + w.id)
        w.crash()
        self.platform.list_worker(w)

    def set_store(self, field, value):
        self.note("%s %s" % (field, value))
        before = getattr(Platform([], 0), field)
        setattr(self.platform, field, value)
        return lambda: setattr(self.platform, field, before)

    def publish(self):
        self.note("configuration")
        self.platform.publish()

    def disturb(self):
        return self.rng.choice([
            self.kill_node, self.stop_node, self.pause_node, self.reload_node,
            self.disturb_store_link, self.disturb_store_link,
            self.disturb_worker_link, self.disturb_worker_link,
            self.reset_links, self.crash_worker, self.publish,
            lambda: self.set_store("store_away", True),
            lambda: self.set_store("store_slow_s", 0.15),
            lambda: self.set_store("store_lost", 0.2)])()

    # Promises.

    def starts(self):
        for w in self.platform.workers:
            with w.lock:
                yield from [(w,) + s for s in w.starts]
                yield from [(w, t, r[0], r[2], now_ms(), "runs")
                            for t, r in w.runs.items()]

    def check_completed(self, j):
        done = {s[1] for s in self.starts() if s[5] == "done"}
        for k, step in enumerate(j.body["steps"]):
            for i in range(step["count"]):
                if "%s.0.%d.%d" % (j.id, k, i) not in done:
                    self.broke("completed too early: " + j.id)
                    return

    def check_starts(self, jobs):
        by_task = {}
        noted = {}
        for w in self.platform.workers:
            for task, ended in w.done_noted.items():
                noted[task] = min(ended, noted.get(task, ended))
        for s in self.starts():
            by_task.setdefault(s[1], []).append(s)
        for task, runs in sorted(by_task.items()):
            j = jobs.get(task.split(".")[0])
            runs.sort(key=lambda s: s[3])
            for before, after in zip(runs, runs[1:]):
                if after[3] < before[4]:
                    self.broke("two runs at a time: " + task)
            if task in noted and runs[-1][3] > noted[task]:
                self.broke("run after done: " + task)
            if j is None:
                self.broke("run of no job: " + task)
            elif not j.accepted_ms and not j.unclear:
                self.broke("refused, and ran: " + task)
            elif j.cancelled_ms \
                    and runs[-1][3] > j.cancelled_ms + CANCEL_MS:
                self.broke("started after its cancelling: " + task)

    def play(self):
        clients = [Client(self, i) for i in range(CLIENTS)]
        ends = []
        wait_for("ready", lambda: all(
            n.call("GET", "/-/ready", port=n.readiness)[0] == 200
            for n in self.nodes))
        for c in clients:
            c.start()
        until = time.monotonic() + self.seconds
        while time.monotonic() < until:
            undo = self.disturb()
            if undo:
                ends.append((time.monotonic()
                             + self.rng.uniform(*FAULT_FOR_S), undo))
            time.sleep(self.rng.uniform(*FAULT_GAP_S))
            for e in [e for e in ends if e[0] <= time.monotonic()]:
                ends.remove(e)
                e[1]()
        for e in ends:
            e[1]()
        self.is_calm = True
        for c in clients:
            c.join()
        self.settle(clients)

    def settle(self, clients):
        jobs = {j.id: (c, j) for c in clients for j in c.jobs}
        left = [x for x in jobs.values() if x[1].accepted_ms]
        until = time.monotonic() + CALM_S
        while left and time.monotonic() < until:
            time.sleep(0.3)
            for c, j in left:
                c.ask(j, self.rng.choice(self.nodes))
            left = [x for x in left if not x[1].final]
        for _, j in left:
            self.broke("accepted, and not ended after %d s: %s"
                       % (CALM_S, j.id))
        for _, j in jobs.values():
            if j.final == "failed" or (j.final == "cancelled"
                                       and not j.asked_cancel):
                self.broke("%s without cause: %s" % (j.final, j.id))
        self.check_starts({k: j for k, (_, j) in jobs.items()})
        print("seed %d: %d jobs, %d accepted, %d faults, %d runs" % (
            self.seed, len(jobs),
            sum(1 for _, j in jobs.values() if j.accepted_ms),
            len(self.faults), self.platform.runs()), file=sys.stderr)


def play(binary, seed, seconds):
    soak = Soak(binary, seed, seconds)
    try:
        soak.play()
    finally:
        end(soak.nodes)
    print("seed %d: %s" % (seed, "; ".join(soak.broken[:5]) or
                           "nothing broken"))
    if soak.broken:
        print("logs in", soak.folder, file=sys.stderr)
    return not soak.broken


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("binary")
    parser.add_argument("--seed", type=int, default=random.randrange(1 << 20))
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--again", metavar="FILE", help="play the seeds that "
                        "FILE names, one at the beginning of each line")
    a = parser.parse_args()
    seeds = range(a.seed, a.seed + a.seeds)
    if a.again:
        with open(a.again) as f:
            seeds = [int(line.split()[0]) for line in f]
    good = [play(a.binary, seed, a.seconds) for seed in seeds]
    sys.exit(0 if all(good) else 1)


main()
