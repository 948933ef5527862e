"""Jobs of very many tasks from clients that are not controlled: wide_jobs.py
BURDOCKSHED.  Guards against accepted jobs that take their owner, and each
successor, beyond its memory, and so all other jobs with it."""

import sys
import tempfile

from nodes import Node, job_body, job_state, kill_nodes, submit, wait_for
from standin import Platform

MEMORY_MB = 64
WIDE_JOBS = 24
WIDE_TASKS = 20000
ORDINARY_JOBS = 4


def path_of(number):
    return "/search/%016x" % number


def peak_mb(node):
    with open("/proc/%d/status" % node.process.pid) as f:
        for line in f:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    return None


def has_sanitizer(node):
    """Return whether NODE has a sanitizer, which needs memory of its own."""
    with open("/proc/%d/maps" % node.process.pid) as f:
        return "libasan" in f.read()


def main():
    platform = Platform(["search"], 4)
    nodes = [Node(sys.argv[1], tempfile.mkdtemp(), platform, 0,
                  more_settings={"memory_mb": MEMORY_MB})]
    try:
        run_test(platform, nodes)
    finally:
        kill_nodes(nodes)


def run_test(platform, nodes):
    node = nodes[0]

    def submit_ordinary(path):
        body = job_body(2, 500)
        platform.jobs[path[-16:]] = body["steps"]
        return submit(nodes, path, body)
    ordinary = [path_of(i) for i in range(1, ORDINARY_JOBS + 1)]
    for path in ordinary:
        submit_ordinary(path)
    wide = {}
    for i in range(WIDE_JOBS):
        path = path_of(100 + i)
        body = job_body(WIDE_TASKS, 60000)
        platform.jobs[path[-16:]] = body["steps"]
        wide[path] = node.call("POST", path, body)
    refused = [p for p in wide if wide[p][0] != 200]
    print("accepted some and refused some:", 0 < len(refused) < WIDE_JOBS)
    print("refusals:", sorted({(wide[p][0], wide[p][2] is not None)
                               for p in refused}))
    print("an ordinary job after them:", submit_ordinary(path_of(50)))
    wait_for("ordinary jobs", lambda: all(
        job_state(nodes, p) == "completed" for p in ordinary))
    print("refused jobs:", sorted({job_state(nodes, p) for p in refused}))
    print("lives:", node.process.poll() is None)
    print("within its memory:",
          has_sanitizer(node) or peak_mb(node) < MEMORY_MB)


main()
