"""An owner that cannot read the workers' list: unlisted_workers.py BURDOCKSHED.
Guards against accepted jobs that fail as impossible because the new owner of a
cell knows its workers from the journal only, without their sizes.  Prints what
becomes of a job."""

import sys
import tempfile

from network import Network
from nodes import Node, job_body, job_state, kill_nodes, submit, wait_for
from standin import Platform


def run_test(binary, directory, platform, network, nodes):
    def add_node(i):
        nodes.append(Node(binary, directory, platform, i,
                          store=network.store_address(i)))
        network.add_node(nodes[-1])
        wait_for("a ready node", lambda: nodes[-1].call(
            "GET", "/-/ready", port=nodes[-1].readiness_port)[0] == 200)

    add_node(0)
    first_path = "/search/%016x" % 1
    submit(nodes, first_path, job_body(8, 100))
    wait_for("the first job",
             lambda: job_state(nodes, first_path) == "completed")
    network.views[1].is_list_away = True
    add_node(1)
    kill_nodes(nodes[:1])
    path = "/search/%016x" % 2
    print("accepted:", submit(nodes[1:], path, job_body(1, 100)))
    network.views[1].is_list_away = False
    wait_for("its end", lambda: job_state(nodes[1:], path)
             not in ("pending", "running", "unknown"))
    print("state:", job_state(nodes[1:], path))


def main():
    directory = tempfile.mkdtemp()
    platform = Platform(["search"], 4)
    network = Network(platform, 2)
    nodes = []
    try:
        run_test(sys.argv[1], directory, platform, network, nodes)
    finally:
        kill_nodes(nodes)
    print("violations:", platform.find_violations())


main()
