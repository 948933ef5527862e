"""End-to-end test with real processes: whole_path.py BURDOCKSHED.  Three nodes
serve jobs on a stand-in of the platform; then the owner of a cell is killed,
the store is unreachable for a while, and a node is stopped.  Prints what a
caller sees."""

import signal
import sys
import tempfile
import time

from nodes import Node, kill_nodes, job_body, job_state, submit, wait_for
from standin import Platform


def main():
    binary = sys.argv[1]
    directory = tempfile.mkdtemp()
    platform = Platform(["search", "archive"], 4)
    nodes = [Node(binary, directory, platform, i) for i in range(3)]
    try:
        run_test(platform, nodes)
    finally:
        kill_nodes(nodes)


def run_test(platform, nodes):
    wait_for("ready", lambda: all(
        n.call("GET", "/-/ready", port=n.readiness_port)[0] == 200
        for n in nodes))
    wait_for("owners", lambda: platform.owner("search")
             and platform.owner("archive"))
    print("ready: 3 nodes")

    first_path = "/search/%016x" % 1
    print("submitted:", submit(nodes, first_path, job_body(6, 300, steps=2)))
    print("again:", nodes[1].call("POST", first_path,
                                  job_body(6, 300, steps=2))[0])
    wait_for("first job", lambda: job_state(nodes, first_path) == "completed")
    print("state:", job_state(nodes, first_path),
          "runs:", platform.count_runs())

    print("unknown queue:", nodes[0].call("GET", "/none/x")[0])
    print("no ID:", nodes[0].call("POST", "/search/xyz", job_body(1, 1))[0])
    print("no JSON:", nodes[0].call("POST", "/search/%016x" % 2, [])[0])
    print("unknown job:", nodes[2].call("GET", "/search/%016x" % 99)[0])
    print("waiting:", nodes[2].call("GET", "/search/")[1])

    long_paths = ["/search/%016x" % (16 + i) for i in range(5)]
    for path in long_paths:
        submit(nodes, path, job_body(4, 2500, steps=2))
    time.sleep(0.5)
    owner = platform.owner("search")
    killed_node = next(n for n in nodes if n.address() == owner)
    killed_node.process.send_signal(signal.SIGKILL)
    killed_node.process.wait()
    other_nodes = [n for n in nodes if n is not killed_node]
    print("owner killed")
    wait_for("jobs after a kill", lambda: all(
        job_state(other_nodes, p) == "completed" for p in long_paths))
    print("states:", sorted({job_state(other_nodes, p) for p in long_paths}))

    cancelled_path = "/archive/%016x" % 40
    submit(other_nodes, cancelled_path, job_body(4, 20000))
    print("cancelled:", other_nodes[0].call("DELETE", cancelled_path)[0],
          job_state(other_nodes, cancelled_path))

    platform.store_away = True
    time.sleep(1)
    status, _, retry_after = other_nodes[0].call(
        "POST", "/archive/%016x" % 50, job_body(1, 100))
    print("store away:", status, "come back:", retry_after is not None)
    platform.store_away = False
    refused_path = "/archive/%016x" % 50
    wait_for("accepted job with the store reachable", lambda:
             submit(other_nodes, "/archive/%016x" % 51, job_body(1, 100)))
    wait_for("last job", lambda:
             job_state(other_nodes, "/archive/%016x" % 51) == "completed")
    print("refused job:", job_state(other_nodes, refused_path))

    killed_node.start()
    last_paths = ["/search/%016x" % (64 + i) for i in range(4)]
    for path in last_paths:
        submit(other_nodes, path, job_body(4, 1500))
    other_nodes[0].process.send_signal(signal.SIGTERM)
    print("stopped:", other_nodes[0].process.wait(10))
    remaining_nodes = [killed_node, other_nodes[1]]
    wait_for("jobs after a stop", lambda: all(
        job_state(remaining_nodes, p) == "completed" for p in last_paths))
    print("states:", sorted({job_state(remaining_nodes, p)
                             for p in last_paths}))
    metrics_text = remaining_nodes[1].call(
        "GET", "/metrics", port=remaining_nodes[1].metrics_port)[1]
    print("metrics:", "appends " in metrics_text,
          "accept_ms_count" in metrics_text)
    print("broken:", platform.find_violations())


main()
