"""A worker and the machine of its cell's owner that are lost for good
together: lost_together.py BURDOCKSHED.  Guards against long-running tasks of
that worker that wait for the leases which a silent owner may have extended,
though the platform's list of machines shows that the worker's life has
ended."""

import signal
import sys
import tempfile
import time

import proxy
from network import Network
from nodes import Node, job_body, kill_nodes, submit, wait_for
from standin import Platform, now_ms

NODES = 3
WORKERS = 4
JOB = "%016x" % 1
# Requirement: a long-running task does not stand still for 3 s, from 6 s after
# its last run or 4 s after the last disturbance on.
STILL_MS = 3000
AFTER_RUN_MS = 6000
AFTER_DISTURBANCE_MS = 4000
# Time from the worker's end to that of its owner.
DELAYS_S = [0, 3.5]


def tasks_on(worker):
    with worker.lock:
        return list(worker.runs)


def first_start(platform, task, from_ms):
    """Return when TASK was first started after FROM_MS, or None."""
    starts = []
    for w in platform.workers:
        with w.lock:
            starts += [r[2] for t, r in w.runs.items() if t == task]
            starts += [r[2] for r in w.ended_runs if r[0] == task]
    return min((s for s in starts if s > from_ms), default=None)


def lose_machine(links, node, is_frozen):
    """Lose NODE's machine: nobody gets an answer from there any more."""
    for (_, to), p in links.peers.items():
        if to == node.number:
            p.add_fault(proxy.SILENT)
    node.process.send_signal(signal.SIGSTOP if is_frozen else signal.SIGKILL)


def play(binary, delay_s, is_frozen):
    platform = Platform(["search"], WORKERS)
    links = Network(platform, NODES)
    directory = tempfile.mkdtemp()
    nodes = []
    try:
        for i in range(NODES):
            nodes.append(Node(binary, directory, platform, i,
                              store=links.store_address(i)))
            links.add_node(nodes[i])
        return run_test(platform, links, nodes, delay_s, is_frozen)
    finally:
        for n in nodes:
            n.process.send_signal(signal.SIGCONT)
        kill_nodes(nodes)


def run_test(platform, links, nodes, delay_s, is_frozen):
    body = job_body(WORKERS, 1000)
    body["steps"][0].update(long_running=True, anti_affinity=2)
    platform.jobs[JOB] = body["steps"]
    submit(nodes, "/search/" + JOB, body)
    wait_for("all tasks at work", lambda: sum(
        len(tasks_on(w)) for w in platform.workers) == WORKERS)
    time.sleep(2)  # the runs that came before the loss are known to the owner
    worker = next(w for w in platform.workers if tasks_on(w))
    tasks = tasks_on(worker)
    owner = next(n for n in nodes
                 if n.address() == platform.owner("search"))
    worker.crash()
    worker.is_up = False
    died_ms = now_ms()
    time.sleep(delay_s)
    lose_machine(links, owner, is_frozen)
    bound_ms = max(died_ms + AFTER_RUN_MS,
                   now_ms() + AFTER_DISTURBANCE_MS) + STILL_MS
    wait_for("the tasks at work again", lambda: all(
        first_start(platform, t, died_ms) for t in tasks))
    starts = [first_start(platform, t, died_ms) for t in tasks]
    print("longest stand-still: %d ms" % (max(starts) - died_ms),
          file=sys.stderr)
    return max(starts) <= bound_ms, platform.find_violations()


def main():
    for is_frozen in (False, True):
        for delay_s in DELAYS_S:
            in_time, violations = play(sys.argv[1], delay_s, is_frozen)
            print("owner %s %.1f s later: in time: %s violations: %s" % (
                "frozen" if is_frozen else "killed", delay_s, in_time,
                violations))


main()
