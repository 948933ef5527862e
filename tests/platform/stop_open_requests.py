"""What callers see whose requests are open when a node's grace period ends:
stop_open_requests.py BURDOCKSHED.  Guards against a node that ends with such
requests unanswered, and against one that says of a request which may have
reached the owner that it was not carried out."""

import http.client
import json
import signal
import sys
import tempfile
import threading
import time

from nodes import Node, job_body, job_state, kill_nodes, submit, wait_for
from standin import Platform

# Longer than the grace period that is left, so that the node has to decide.
TIMEOUT_MS = 6000
SEND_AFTER_S = 2
GRACE_S = 6


class Caller:
    """A caller with a connection that is open before the node is stopped."""

    def __init__(self, node):
        self.connection = http.client.HTTPConnection(
            "127.0.0.1", node.callers_port, timeout=GRACE_S + 2)
        self.ask("GET", "/search/%016x" % 1)

    def ask(self, method, path, body=None):
        self.connection.request(
            method, path, body=json.dumps(body) if body else None,
            headers={"Host": "desk.example",
                     "Content-Type": "application/json",
                     "X-Timeout-Ms": str(TIMEOUT_MS)})
        r = self.connection.getresponse()
        r.read()
        return r.status, r.getheader("Retry-After") is not None


def send_all(callers, requests):
    """Send the requests, each on a connection of its own, at the same time;
    return their answers, "cut" where there is none."""
    answers = [None] * len(requests)

    def send(i):
        try:
            answers[i] = callers[i].ask(*requests[i])
        except (OSError, http.client.HTTPException):
            answers[i] = "cut"
    threads = [threading.Thread(target=send, args=[i])
               for i in range(len(requests))]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    return answers


def wait_for_end(nodes, stopped_s):
    for n in nodes:
        n.process.wait(GRACE_S + 2)
    print("ended in time:", time.monotonic() - stopped_s < GRACE_S)


def job_path(number):
    return "/search/%016x" % number


def stop_all_nodes(nodes):
    """Stop every node at once, so that no owner is left."""
    paths = [job_path(16 + i) for i in range(4)]
    requests = [("POST", p, job_body(1, 100)) for p in paths] \
        + [("GET", job_path(1)), ("DELETE", job_path(1)), ("GET", "/search/")]
    callers = [Caller(nodes[i % 2]) for i in range(len(requests))]
    stopped_s = time.monotonic()
    for n in nodes:
        n.process.send_signal(signal.SIGTERM)
    time.sleep(SEND_AFTER_S)
    print("without an owner:", sorted(set(send_all(callers, requests))))
    wait_for_end(nodes, stopped_s)
    for n in nodes:
        n.start()
    wait_for("jobs after the restart", lambda:
             submit(nodes, job_path(2), job_body(1, 100)))
    print("refused jobs:", sorted({job_state(nodes, p) for p in paths}))


def stop_beside_frozen_owner(platform, nodes):
    """Stop a node that has passed requests on to an owner that stands
    still."""
    owner = next(n for n in nodes
                 if n.address() == platform.owner("search"))
    node = next(n for n in nodes if n is not owner)
    callers = [Caller(node) for _ in range(3)]
    owner.process.send_signal(signal.SIGSTOP)
    stopped_s = time.monotonic()
    node.process.send_signal(signal.SIGTERM)
    time.sleep(SEND_AFTER_S)
    print("passed on to a frozen owner:", send_all(callers, [
        ("POST", job_path(32), job_body(1, 100)), ("DELETE", job_path(1)),
        ("GET", job_path(1))]))
    wait_for_end([node], stopped_s)


def main():
    platform = Platform(["search"], 2)
    directory = tempfile.mkdtemp()
    nodes = [Node(sys.argv[1], directory, platform, i) for i in range(2)]
    try:
        wait_for("first job", lambda:
                 submit(nodes, job_path(1), job_body(1, 60000)))
        stop_all_nodes(nodes)
        wait_for("an owner", lambda: platform.owner("search")
                 in [n.address() for n in nodes])
        time.sleep(2)
        stop_beside_frozen_owner(platform, nodes)
    finally:
        for n in nodes:
            n.process.send_signal(signal.SIGCONT)
        kill_nodes(nodes)


main()
