"""A start that was sent twice: relayed_start.py BURDOCKSHED.  A relay's call
gets no answer and is carried out late; the owner's own call for the same run
is refused for certain.  Guards against a task that then starts on another
worker, and runs twice once the relayed call arrives."""

import json
import signal
import sys
import tempfile
import threading
import time

from nodes import Node, job_body, kill_nodes, submit, wait_for
from standin import Platform

# Shares of a processor: only weak nodes are relays.
SHARES = [1.0, 0.12, 0.12]
WORKERS = 8
TASKS = 24
RUN_MS = 3000
LATE_S = 1.5
# A relay is used while its owner is busy: the owner stands still for this part
# of each tenth of a second.
PERIOD_S, STILL_S = 0.1, 0.05


class SplitPlatform(Platform):
    """While it is troubled, the first call for a run is carried out late and
    gets no answer, and all others for that run are refused as by a worker that
    is unhealthy."""

    def __init__(self):
        self.is_troubled = False
        self.first_runs = {}  # task to the run whose start is troubled
        self.refused = 0
        self.late_answers = []
        super().__init__(["search"], WORKERS)

    def serve_worker(self, worker, handler, path, body):
        if path != "/-/run-start" or not self.is_troubled:
            return super().serve_worker(worker, handler, path, body)
        order = json.loads(body)
        task, run = order["task"], order["run"]
        if task not in self.first_runs:
            self.first_runs[task] = run
            threading.Timer(LATE_S, self.start_late, [worker, order]).start()
            raise ConnectionError("the call is carried out late")
        if self.first_runs[task] != run:
            return super().serve_worker(worker, handler, path, body)
        self.refused += 1
        return 503, {}

    def start_late(self, worker, order):
        self.late_answers.append(worker.start(order)[0])


def stand_still(process, is_over):
    while not is_over.is_set():
        process.send_signal(signal.SIGSTOP)
        time.sleep(STILL_S)
        process.send_signal(signal.SIGCONT)
        time.sleep(PERIOD_S - STILL_S)


def relayed_orders(node):
    text = node.call("GET", "/metrics", port=node.metrics_port)[1]
    return sum(int(line.split()[1]) for line in text.splitlines()
               if line.startswith("orders_relayed "))


def main():
    platform = SplitPlatform()
    directory = tempfile.mkdtemp()
    nodes = [Node(sys.argv[1], directory, platform, i, share)
             for i, share in enumerate(SHARES)]
    is_over = threading.Event()
    try:
        run_test(platform, nodes, is_over)
    finally:
        is_over.set()
        kill_nodes(nodes)


def run_test(platform, nodes, is_over):
    numbers = iter(range(1, 1000))

    def submit_burst():
        for _ in range(4):
            job = "%016x" % next(numbers)
            body = job_body(TASKS, RUN_MS if platform.is_troubled else 100)
            platform.jobs[job] = body["steps"]
            submit(nodes, "/search/" + job, body)

    owner = nodes[0]
    wait_for("the owner",
             lambda: platform.owner("search") == owner.address())
    threading.Thread(target=stand_still,
                     args=[owner.process, is_over]).start()

    def uses_relays():
        submit_burst()
        return relayed_orders(owner) > 0
    wait_for("relays in use", uses_relays)
    time.sleep(1)
    before = relayed_orders(owner)
    platform.is_troubled = True
    submit_burst()
    wait_for("the late starts", lambda: platform.first_runs
             and len(platform.late_answers) == len(platform.first_runs))
    print("relayed:", relayed_orders(owner) > before)
    print("refused after a call without an answer:", platform.refused > 0)
    wait_for("the end of all tasks", lambda: all(
        not w.runs for w in platform.workers))
    violations = platform.find_violations()
    print("violations:", len(violations), violations[:3])


main()
