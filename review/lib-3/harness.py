"""Runs nodes with the deploy file's program on a stand-in of the platform, and
records what clients and workers see.

The stand-in is the project's own, tests/platform/standin.py."""

import json
import os
import shutil
import signal
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "tests", "platform"))

import nodes  # noqa: E402
import standin  # noqa: E402

BINARY = os.path.join(ROOT, "target", "burdockshed")
BROKEN, HELD, NOT_RUN = 1, 0, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Limit of a script's time, with a margin for ending its processes.
TIME_LIMIT_S = 110
# As deploy/settings.template takes them from the sites' settings.
SETTINGS = {"memory_mb": 260, "max_descriptors": 4100,
            "machine_orders_per_s": 64}


class Record:
    """The file record.txt: what was sent, answered and run."""

    def __init__(self, directory):
        self.file = open(os.path.join(directory, "record.txt"), "w",
                         encoding="utf-8")
        self.lock = threading.Lock()
        self.begin_s = time.monotonic()

    def write(self, source, text):
        with self.lock:
            self.file.write("%8.3f %-8s %s\n" % (
                time.monotonic() - self.begin_s, source, text))
            self.file.flush()


def recorded(worker_class):
    """Return a WORKER_CLASS that records the runs that begin and end."""

    class Recorded(worker_class):
        def start(self, body):
            status, answer = super().start(body)
            self.platform.record.write(
                self.id, "run-start %s run %d checkpoint %r -> %d %s" % (
                    body["task"], body["run"], body.get("checkpoint", ""),
                    status, answer.get("reason", "")))
            return status, answer

        def stop(self, body):
            status, answer = super().stop(body)
            self.platform.record.write(self.id, "run-stop %s run %d -> %d" % (
                body["task"], body["run"], status))
            return status, answer

        def record_run(self, task, run, at_ms, result):
            self.platform.record.write(self.id, "run %d of %s ended: %s" % (
                run[0], task, result))
            return super().record_run(task, run, at_ms, result)

    return Recorded


class Script:
    """One run of a case: a platform, its nodes and a client."""

    def __init__(self, case_file, platform_class, worker_class=None,
                 n_nodes=3, settings=None, **platform_options):
        self.record = Record(os.path.dirname(os.path.abspath(case_file)))
        standin.Worker = recorded(worker_class or standin.Worker)
        platform_class.record = self.record
        self.platform = platform_class(**platform_options)
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.nodes = []
        for i in range(n_nodes):
            self.nodes.append(nodes.Node(
                BINARY, self.directory, self.platform, i, 0.25,
                more_settings={**SETTINGS, **(settings or {}),
                               **self.settings_of_node()}))
        self.record.write("script", "trouble: %s" % TROUBLE)

    def settings_of_node(self):
        advice = getattr(self.platform, "advice", None)
        return {"advice": advice.add_machine()} if advice else {}

    def elapsed_s(self):
        return time.monotonic() - self.record.begin_s

    def wait_until_ready(self):
        self.wait("ready", lambda: all(
            n.call("GET", "/-/ready", port=n.readiness_port)[0] == 200
            for n in self.nodes), 30)
        self.wait("owner", lambda: self.platform.owner(
            self.platform.services[0]), 30)

    def wait(self, name, condition, timeout_s):
        """Wait for CONDITION; without it, the case can't run."""
        end_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end_s:
                raise TimeoutError(name)
            time.sleep(0.05)

    def call(self, method, path, body=None, key=None):
        """Send a client's request, and again at the next node while it has
        no answer or 429, 502, 503 or 504."""
        for attempt in range(60):
            node = self.nodes[attempt % len(self.nodes)]
            status, text, _ = node.call(method, path, body, key=key)
            self.record.write("client", "%s %s at node-%d -> %d %s" % (
                method, path, node.number, status, text))
            if status not in (0, 429, 502, 503, 504):
                return status, text
            time.sleep(0.3)
        raise TimeoutError("%s %s" % (method, path))

    def submit(self, service, job, body, key=None):
        self.platform.jobs[job] = body["steps"]
        self.record.write("client", "job %s: %s" % (job, json.dumps(body)))
        status, _ = self.call("POST", "/%s/%s" % (service, job), body, key)
        if status != 200:
            raise RuntimeError("job %s was answered %d" % (job, status))

    def state(self, service, job, key=None):
        status, text = self.call("GET", "/%s/%s" % (service, job), key=key)
        return json.loads(text)["state"] if status == 200 else str(status)

    def note(self, text):
        self.record.write("script", text)

    def close(self):
        nodes.kill_nodes(self.nodes)
        shutil.rmtree(self.directory, ignore_errors=True)


def play(make_script, run):
    """Run RUN on the script that MAKE_SCRIPT returns; exit with its result."""
    script = None

    def stop(number, frame):
        raise TimeoutError("signal %d" % number)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, stop)
    signal.alarm(TIME_LIMIT_S)
    result = NOT_RUN
    try:
        if not os.access(BINARY, os.X_OK):
            raise RuntimeError("build the deploy file's program first")
        script = make_script()
        result = run(script)
    except (TimeoutError, RuntimeError, OSError) as e:
        print("the case could not run:", repr(e))
        if script is not None:
            script.note("could not run: %r" % e)
    finally:
        signal.alarm(0)
        if script is not None:
            script.note("result: %d" % result)
            script.close()
    sys.stdout.flush()
    os._exit(result)
