"""A worker that restarts under its ID in another service: moved_worker.py
BURDOCKSHED.  Guards against two cells that both call the worker: each raises
its fencing token, so that the other one loses its owner, again and again.
Prints how often the cells change hands once the list has shown the restart."""

import sys
import tempfile
import time

from nodes import Node, kill_nodes, submit, wait_for
from standin import Platform

SERVICES = ["search", "archive"]
WORKERS = 3
TASKS = 6
# Time for changes that are due to calls from before the list showed the
# restart.
SETTLE_S = 5
CALM_S = 13


def main():
    binary = sys.argv[1]
    directory = tempfile.mkdtemp()
    platform = Platform(SERVICES, WORKERS)
    nodes = [Node(binary, directory, platform, i) for i in range(3)]
    try:
        run_test(platform, nodes)
    finally:
        kill_nodes(nodes)


def running(platform):
    return sum(len(w.runs) for w in platform.workers)


def changes(platform):
    return len(platform.store.streams["keyed.cells", 0])


def run_test(platform, nodes):
    wait_for("owners", lambda: all(platform.owner(s) for s in SERVICES))
    for i, service in enumerate(SERVICES):
        job = "%016x" % (i + 1)
        body = {"spec": "1000", "steps": [
            {"count": TASKS, "cpu": 1000, "mem_mb": 500, "estimate_ms": 1000,
             "long_running": True}]}
        platform.jobs[job] = body["steps"]
        platform.job_services[job] = [service]
        print("submitted:", submit(nodes, "/%s/%s" % (service, job), body))
    wait_for("tasks", lambda: running(platform) == 2 * TASKS)
    moved = platform.workers[0]
    moved.service = SERVICES[1]
    moved.crash()
    platform.list_worker(moved)
    time.sleep(SETTLE_S)
    before = changes(platform)
    time.sleep(CALM_S)
    print("changes of the cells:", changes(platform) - before)
    print("%d of %d tasks run" % (running(platform), 2 * TASKS))
    print("broken:", platform.find_violations())


main()
