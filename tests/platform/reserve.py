"""Nodes too small for a busy cell: reserve.py BURDOCKSHED.  They own cells only
while no larger node does.  Prints who owns the cells."""

import sys
import tempfile

from nodes import Node, end, job, state, submit, wait_for
from standin import Platform

SERVICES = ["search", "archive"]


def main():
    binary = sys.argv[1]
    folder = tempfile.mkdtemp()
    platform = Platform(SERVICES, 2)
    nodes = [Node(binary, folder, platform, i, share=0.12) for i in range(2)]
    try:
        play(binary, folder, platform, nodes)
    finally:
        end(nodes)


def owners(platform):
    return {platform.owner(s) for s in SERVICES}


def play(binary, folder, platform, nodes):
    small = {n.address() for n in nodes}
    wait_for("owners", lambda: owners(platform) <= small)
    print("small nodes alone: they own the cells")
    long = ["/search/%016x" % (16 + i) for i in range(3)]
    for path in long:
        submit(nodes, path, job(4, 2500, steps=2))

    large = Node(binary, folder, platform, 2, share=0.5)
    nodes.append(large)
    wait_for("relief", lambda: owners(platform) == {large.address()})
    print("a larger node: it owns the cells")
    wait_for("jobs after the relief", lambda: all(
        state(nodes, p) == "completed" for p in long))
    print("states:", sorted({state(nodes, p) for p in long}))

    large.process.kill()
    large.process.wait()
    wait_for("reserve", lambda: owners(platform) <= small)
    print("the larger one killed: small ones own the cells")
    last = "/archive/%016x" % 64
    print("submitted:", submit(nodes[:2], last, job(2, 100)))
    wait_for("last job", lambda: state(nodes[:2], last) == "completed")
    print("broken:", platform.judge())


main()
