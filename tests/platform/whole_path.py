"""The whole path with real processes: whole_path.py BURDOCKSHED.  Three nodes
serve jobs on a stand-in of the platform; an owner is killed, the store goes
away, a node is stopped.  Prints what a caller sees."""

import signal
import sys
import tempfile
import time

from nodes import Node, end, job, state, submit, wait_for
from standin import Platform


def main():
    binary = sys.argv[1]
    folder = tempfile.mkdtemp()
    platform = Platform(["search", "archive"], 4)
    nodes = [Node(binary, folder, platform, i) for i in range(3)]
    try:
        play(platform, nodes)
    finally:
        end(nodes)


def play(platform, nodes):
    wait_for("ready", lambda: all(
        n.call("GET", "/-/ready", port=n.readiness)[0] == 200 for n in nodes))
    wait_for("owners", lambda: platform.owner("search")
             and platform.owner("archive"))
    print("ready: 3 nodes")

    first = "/search/%016x" % 1
    print("submitted:", submit(nodes, first, job(6, 300, steps=2)))
    print("again:", nodes[1].call("POST", first, job(6, 300, steps=2))[0])
    wait_for("first job", lambda: state(nodes, first) == "completed")
    print("state:", state(nodes, first), "runs:", platform.runs())

    print("unknown queue:", nodes[0].call("GET", "/none/x")[0])
    print("no ID:", nodes[0].call("POST", "/search/xyz", job(1, 1))[0])
    print("no JSON:", nodes[0].call("POST", "/search/%016x" % 2, [])[0])
    print("unknown job:", nodes[2].call("GET", "/search/%016x" % 99)[0])
    print("waiting:", nodes[2].call("GET", "/search/")[1])

    long = ["/search/%016x" % (16 + i) for i in range(5)]
    for path in long:
        submit(nodes, path, job(4, 2500, steps=2))
    time.sleep(0.5)
    owner = platform.owner("search")
    victim = next(n for n in nodes if n.address() == owner)
    victim.process.send_signal(signal.SIGKILL)
    victim.process.wait()
    rest = [n for n in nodes if n is not victim]
    print("owner killed")
    wait_for("jobs after a kill", lambda: all(
        state(rest, p) == "completed" for p in long))
    print("states:", sorted({state(rest, p) for p in long}))

    cancelled = "/archive/%016x" % 40
    submit(rest, cancelled, job(4, 20000))
    print("cancelled:", rest[0].call("DELETE", cancelled)[0],
          state(rest, cancelled))

    platform.store_away = True
    time.sleep(1)
    status, _, after = rest[0].call("POST", "/archive/%016x" % 50,
                                    job(1, 100))
    print("store away:", status, "come back:", after is not None)
    platform.store_away = False
    refused = "/archive/%016x" % 50
    wait_for("store back", lambda: submit(rest, "/archive/%016x" % 51,
                                          job(1, 100)))
    wait_for("last job", lambda:
             state(rest, "/archive/%016x" % 51) == "completed")
    print("refused job:", state(rest, refused))

    victim.start()
    last = ["/search/%016x" % (64 + i) for i in range(4)]
    for path in last:
        submit(rest, path, job(4, 1500))
    rest[0].process.send_signal(signal.SIGTERM)
    print("stopped:", rest[0].process.wait(10))
    left = [victim, rest[1]]
    wait_for("jobs after a stop", lambda: all(
        state(left, p) == "completed" for p in last))
    print("states:", sorted({state(left, p) for p in last}))
    metrics = left[1].call("GET", "/metrics", port=left[1].metrics)[1]
    print("metrics:", "appends " in metrics, "accept_ms_count" in metrics)
    print("broken:", platform.judge())


main()
