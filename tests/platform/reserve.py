"""Ownership with nodes too small for a busy cell: reserve.py BURDOCKSHED.
Guards against a small node that owns a cell although a larger node is there,
and against cells without an owner when only small nodes are left.  Prints who
owns the cells."""

import sys
import tempfile

from nodes import Node, kill_nodes, job_body, job_state, submit, wait_for
from standin import Platform

SERVICES = ["search", "archive"]


def main():
    binary = sys.argv[1]
    directory = tempfile.mkdtemp()
    platform = Platform(SERVICES, 2)
    nodes = [Node(binary, directory, platform, i, processor_share=0.12)
             for i in range(2)]
    try:
        run_test(binary, directory, platform, nodes)
    finally:
        kill_nodes(nodes)


def owners(platform):
    return {platform.owner(s) for s in SERVICES}


def run_test(binary, directory, platform, nodes):
    small_addresses = {n.address() for n in nodes}
    wait_for("owners", lambda: owners(platform) <= small_addresses)
    print("small nodes alone: they own the cells")
    long_paths = ["/search/%016x" % (16 + i) for i in range(3)]
    for path in long_paths:
        submit(nodes, path, job_body(4, 2500, steps=2))

    large = Node(binary, directory, platform, 2, processor_share=0.5)
    nodes.append(large)
    wait_for("relief", lambda:
             owners(platform) == {large.address()})
    print("a larger node: it owns the cells")
    wait_for("jobs after that takeover", lambda: all(
        job_state(nodes, p) == "completed" for p in long_paths))
    print("states:", sorted({job_state(nodes, p) for p in long_paths}))

    large.process.kill()
    large.process.wait()
    wait_for("reserve", lambda:
             owners(platform) <= small_addresses)
    print("the larger one killed: small ones own the cells")
    last_path = "/archive/%016x" % 64
    print("submitted:", submit(nodes[:2], last_path, job_body(2, 100)))
    wait_for("last job", lambda:
             job_state(nodes[:2], last_path) == "completed")
    print("broken:", platform.find_violations())


main()
