"""A small deployment for the cases of the review: real nodes, started with the
command of the deploy file, on a stand-in of the platform.  The stand-in is the
project's own (tests/platform) with what the users' pages say and it leaves
out: at most 500 ended runs a report, room, and the notes that the rules need.
Bounds are those of the site that a case names.  Times are milliseconds of the
steady clock."""

import http.client
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "platform"))

import standin  # noqa: E402
from standin import now_ms  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENDS_A_REPORT = 500  # PROTOCOL: "500 at a time"


class CannotRun(Exception):
    """The case could not be played as far as its check."""


class Worker(standin.Worker):
    """A worker as PROTOCOL.md describes it."""

    def __init__(self, platform, number):
        super().__init__(platform, number)
        self.history = []       # one dictionary for each run
        self.is_up = True
        self.answer_delay_s = 0

    # Runs.

    def current(self, task):
        for r in reversed(self.history):
            if r["task"] == task and r["end_ms"] is None:
                return r
        return None

    def demand(self, task):
        return self.platform.demand_of(task)

    def has_room(self, task):
        used_cpu = used_mem = 0
        for t in self.runs:
            cpu, mem = self.demand(t)
            used_cpu += cpu
            used_mem += mem
        cpu, mem = self.demand(task)
        return (used_cpu + cpu <= self.platform.cpu_milli
                and used_mem + mem <= self.platform.mem_mb)

    def start(self, body):
        with self.lock:
            task = body["task"]
            new = body["fencing_token"] >= self.fencing_token \
                and task not in self.runs
            if new and not self.has_room(task):
                self.fencing_token = body["fencing_token"]
                return 409, {"clock_ms": now_ms(), "reason": "room"}
            status, answer = super().start(body)
            started = status == 200 and new and task in self.runs
            if started:
                self.history.append({
                    "task": task, "run": body["run"], "worker": self.id,
                    "start_ms": now_ms(), "end_ms": None, "how": "",
                    "number": 0, "noted_ms": None})
            return status, answer

    def end(self, task, result):
        r = self.current(task)
        super().end(task, result)
        if r is not None:
            r.update(end_ms=now_ms(), how=result, number=self.last_end_number)

    def acknowledge_ends(self, last_seen):
        """Forget the ends up to LAST_SEEN.  An end is taken note of then,
        unless the lease expired between the two."""
        for r in self.history:
            if r["end_ms"] is not None and r["noted_ms"] is None \
                    and 0 < r["number"] <= last_seen:
                r["noted_ms"] = -1 if r["end_ms"] <= self.lease_expired_ms \
                    else now_ms()
        self.ends = [e for e in self.ends if e[0] > last_seen]

    def crash(self):
        with self.lock:
            for r in self.history:
                if r["end_ms"] is None:
                    r.update(end_ms=now_ms(), how="gone")
                if r["noted_ms"] is None:
                    r["noted_ms"] = -1
        super().crash()

    def report(self):
        r = super().report()
        r["ended"] = r["ended"][:ENDS_A_REPORT]
        return r


standin.Worker = Worker


class Platform(standin.Platform):
    """The project's stand-in, with the sizes of one case."""

    def __init__(self, services, workers_per_service, cpu_milli=16000,
                 mem_mb=32768, proxies=None):
        self.cpu_milli = cpu_milli
        self.mem_mb = mem_mb
        self.jobs = {}     # ID to the steps that a client sent
        super().__init__(services, workers_per_service, proxies)

    def list_worker(self, worker):
        self.store.put("keyed.servers", worker.id, {
            "backend": worker.service, "address": worker.address,
            "zone": "a", "state": "ready", "born": worker.incarnation_start_ms,
            "slots": 8, "version": "1", "seq": 1, "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu_milli, "mem_mb": self.mem_mb,
                         "gpu": 0},
            "labels": ["a", worker.rack]})

    def demand_of(self, task):
        job, _, step, _ = task.split(".")
        steps = self.jobs.get(job)
        if steps is None:
            return 0, 0
        s = steps[int(step)]
        return s.get("cpu", 0), s.get("mem_mb", 0)

    def serve_worker(self, worker, handler, path, body):
        if not worker.is_up:
            raise ConnectionError("the worker is down")
        if worker.answer_delay_s:
            time.sleep(worker.answer_delay_s)
        return super().serve_worker(worker, handler, path, body)

    def serve_store(self, handler, path, query, body):
        if path == "/-/machines":
            return 200, {"machines": [
                {"machine": w.machine, "pool": w.service, "state": "up",
                 "zone": "a", "labels": ["a", w.rack], "id": w.id,
                 "capacity": {"cpu": self.cpu_milli, "mem_mb": self.mem_mb,
                              "gpu": 0}}
                for w in self.workers if w.is_up], "next_token": ""}
        return super().serve_store(handler, path, query, body)

    # What the rules ask for.

    def all_runs(self):
        runs = []
        for w in self.workers:
            with w.lock:
                runs += [dict(r) for r in w.history]
        return sorted(runs, key=lambda r: r["start_ms"])

    def find_twice(self):
        """Return texts of what breaks TWICE: two runs of a task at the same
        time, or a start after an end "done" that was taken note of."""
        found = []
        by_task = {}
        for r in self.all_runs():
            by_task.setdefault(r["task"], []).append(r)
        for task, runs in sorted(by_task.items()):
            for i, a in enumerate(runs):
                for b in runs[i + 1:]:
                    if a["end_ms"] is None or b["start_ms"] < a["end_ms"]:
                        found.append(
                            "two runs at a time: %s run %d on %s (from %d to "
                            "%s) and run %d on %s (from %d)" % (
                                task, a["run"], a["worker"], a["start_ms"],
                                a["end_ms"], b["run"], b["worker"],
                                b["start_ms"]))
                    elif a["how"] == "done" and (a["noted_ms"] or 0) > 0:
                        found.append(
                            "start after done: %s run %d on %s done at %d, "
                            "taken note of at %d; run %d on %s started at %d"
                            % (task, a["run"], a["worker"], a["end_ms"],
                               a["noted_ms"], b["run"], b["worker"],
                               b["start_ms"]))
        return found


class Node:
    """A node, started as deploy/system.toml says, with the settings that
    deploy/settings.template renders."""

    def __init__(self, world, number, processor_share=0.25, **settings):
        self.name = "edge-a-%d" % number
        self.callers_port = standin.free_port()
        self.readiness_port = standin.free_port()
        self.peer_port = standin.free_port()
        store = world.platform.server.address
        self.settings = {
            "node": self.name, "zone": "a",
            "callers": "127.0.0.1:%d" % self.callers_port,
            "readiness": "127.0.0.1:%d" % self.readiness_port,
            "ip": "127.0.0.1", "peer_port": self.peer_port,
            "metrics_port": standin.free_port(),
            "store": store, "machines": store,
            "advice": "",
            "stream_parts": 16, "member_ttl_min_ms": 1000, "stop_s": 6,
            "worker_lease_max_ms": standin.LEASE_MAX_MS, "stop_grace_ms": 400,
            "early_ms": 250, "keep_state_s": 120, "holder_lease_ms": 3000,
            "upkeep_s": 2, "machine_orders_per_s": 64,
            "processor_share": processor_share}
        self.settings.update(settings)
        self.file = os.path.join(world.directory, self.name + ".json")
        with open(self.file, "w") as f:
            json.dump(self.settings, f)
        self.log = os.path.join(world.directory, self.name + ".log")
        self.process = None

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                ["target/burdockshed", "node"], cwd=ROOT, stdout=log,
                stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "LANG": "C.UTF-8",
                     "HOME": os.environ.get("HOME", "/"),
                     "BURDOCKSHED_NODE_FILE": self.file})

    def address(self):
        return "127.0.0.1:%d" % self.peer_port

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.is_running():
            self.process.kill()
        self.process.wait()

    def is_ready(self):
        c = http.client.HTTPConnection("127.0.0.1", self.readiness_port,
                                       timeout=2)
        try:
            c.request("GET", "/-/ready")
            return c.getresponse().status == 200
        except OSError:
            return False
        finally:
            c.close()


class World:
    """The platform, the nodes and the record of one case."""

    def __init__(self, case_file, services, workers, nodes=3,
                 processor_share=0.25, hold_max_ms=6000, platform=Platform,
                 **options):
        standin.LEASE_MAX_MS = hold_max_ms
        self.folder = os.path.dirname(os.path.abspath(case_file))
        self.directory = tempfile.mkdtemp(prefix="burdockshed-case-")
        self.begun_ms = now_ms()
        self.lines = []
        self.lock = threading.Lock()
        self.platform = platform(services, workers, **options)
        self.nodes = []
        self.n_nodes = nodes
        self.processor_share = processor_share

    def note(self, text, *args):
        with self.lock:
            self.lines.append((now_ms(), text % args if args else text))

    def start(self):
        if not os.access(os.path.join(ROOT, "target", "burdockshed"), os.X_OK):
            raise CannotRun("target/burdockshed is missing: build it first")
        self.nodes = [Node(self, i + 1, self.processor_share)
                      for i in range(self.n_nodes)]
        for n in self.nodes:
            n.start()
            self.note("start %s", n.name)
        self.wait_for("all nodes are ready", lambda: all(
            n.is_ready() for n in self.nodes), 20)
        for s in self.platform.services:
            self.wait_for("%s has an owner" % s,
                          lambda s=s: self.owner_node(s) is not None, 20)

    def owner_node(self, service):
        address = self.platform.owner(service)
        for n in self.nodes:
            if n.address() == address and n.is_running():
                return n
        return None

    def wait_for(self, what, condition, seconds):
        until = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > until:
                raise CannotRun("timed out waiting until " + what)
            time.sleep(0.02)

    def wait_until(self, condition, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if condition():
                return True
            time.sleep(0.05)
        return condition()

    def call(self, node, method, path, body=None, timeout_ms=3000,
             quiet=False):
        """Send a client's request; return its status (0: no answer) and
        body."""
        c = http.client.HTTPConnection("127.0.0.1", node.callers_port,
                                       timeout=timeout_ms / 1000 + 1)
        begun = now_ms()
        status, text = 0, ""
        try:
            c.request(method, path, body=json.dumps(body) if body else None,
                      headers={"Host": "desk.example",
                               "Content-Type": "application/json",
                               "X-Timeout-Ms": str(timeout_ms)})
            r = c.getresponse()
            status, text = r.status, r.read().decode()
        except (OSError, http.client.HTTPException) as e:
            text = type(e).__name__
        finally:
            c.close()
        if not quiet:
            self.note("%s %s at %s -> %s %s after %d ms", method, path,
                      node.name, status or "no answer", text[:60],
                      now_ms() - begun)
        return status, text

    def submit(self, path, body, nodes=None):
        """Submit a job, with retries at the other nodes until one accepts
        it."""
        nodes = nodes or self.nodes
        self.platform.jobs[path.rsplit("/", 1)[1]] = body["steps"]
        for i in range(40):
            node = nodes[i % len(nodes)]
            if node.is_running():
                status, _ = self.call(node, "POST", path, body)
                if status == 200:
                    return
            time.sleep(0.3)
        raise CannotRun("no node accepted " + path)

    def state(self, path, nodes=None, quiet=True):
        for node in nodes or self.nodes:
            if not node.is_running():
                continue
            status, text = self.call(node, "GET", path, quiet=quiet)
            if status == 200:
                return json.loads(text)["state"]
            if status == 410:
                return "gone"
        return "unknown"

    def finish(self, violations, with_runs=True):
        for r in self.platform.all_runs() if with_runs else []:
            self.lines.append((r["start_ms"], "run %s %d on %s: %s at %s%s" % (
                r["task"], r["run"], r["worker"], r["how"] or "runs",
                r["end_ms"] - self.begun_ms if r["end_ms"] else "-",
                ", taken note of at %d" % (r["noted_ms"] - self.begun_ms)
                if (r["noted_ms"] or 0) > 0 else "")))
        for v in violations[:20]:
            self.note("BROKEN: %s", v)
        self.note("%d violations" % len(violations))

    def close(self):
        for n in self.nodes:
            if n.process is not None:
                try:
                    n.signal(signal.SIGCONT)
                except OSError:
                    pass
                n.kill()
        with self.lock:
            lines = sorted(self.lines, key=lambda x: x[0])
        with open(os.path.join(self.folder, "record.txt"), "w") as f:
            f.write("times in ms since the case's start; TROUBLE=%d\n"
                    % TROUBLE)
            for at, text in lines:
                f.write("%7d %s\n" % (at - self.begun_ms, text))
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.directory, file=sys.stderr)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def run(make_world, play):
    """Play a case: PLAY (world) returns the violations.  Exit with the status
    that the issue asks for."""
    world = make_world()
    status = NOT_RUN

    def give_up():
        print("not run: over 115 s")
        world.note("not run: over 115 s")
        world.close()
        os._exit(NOT_RUN)

    timer = threading.Timer(115, give_up)
    timer.daemon = True
    timer.start()
    try:
        world.start()
        violations = play(world)
        world.finish(violations)
        status = BROKEN if violations else HELD
        print("%s: %d violations%s" % (
            "broken" if violations else "held", len(violations),
            "; first: " + violations[0] if violations else ""))
    except CannotRun as e:
        world.note("not run: %s", e)
        print("not run:", e)
    finally:
        world.close()
    sys.stdout.flush()
    os._exit(status)
