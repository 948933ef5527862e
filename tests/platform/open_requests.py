"""A node has a bounded number of callers' requests open, and refuses others
truthfully: open_requests.py BURDOCKSHED.  While the store is away submissions
stay open; of twelve at a time a node that may have four open refuses some
before it passes them on, and these jobs never exist."""

import sys
import tempfile
import threading

from nodes import Node, job_body, job_state, kill_nodes, submit, wait_for
from standin import Platform

REQUESTS = 12


def main():
    platform = Platform(["search"], 2)
    node = Node(sys.argv[1], tempfile.mkdtemp(), platform, 0,
                more_settings={"max_open_requests": 4})
    try:
        run_test(platform, node)
    finally:
        kill_nodes([node])


def run_test(platform, node):
    wait_for("first job", lambda:
             submit([node], "/search/%016x" % 1, job_body(1, 100)))
    paths = ["/search/%016x" % (16 + i) for i in range(REQUESTS)]
    answers = {}

    def send(path):
        answers[path] = node.call("POST", path, job_body(1, 100))
    platform.store_away = True
    threads = [threading.Thread(target=send, args=[p]) for p in paths]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    platform.store_away = False
    full = [p for p in paths if "too many requests" in answers[p][1]]
    print("refused at once:", 0 < len(full) < REQUESTS)
    print("statuses:", sorted({answers[p][0] for p in full}))
    print("come back:", all(answers[p][2] is not None for p in full))
    wait_for("job with the store reachable", lambda:
             submit([node], "/search/%016x" % 2, job_body(1, 100)))
    wait_for("its end", lambda:
             job_state([node], "/search/%016x" % 2) == "completed")
    print("refused jobs:", sorted({job_state([node], p) for p in full}))


main()
