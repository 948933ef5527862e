"""A node that does not hear from the store while a configuration sends a queue
elsewhere: stale_view.py BURDOCKSHED.  Guards against accepted jobs that such a
node denies, as it asks only the cells that it knows of.  Prints what it
answers."""

import sys
import tempfile
import time

import network
import proxy
from nodes import Node, job_body, job_state, kill_nodes, submit, wait_for
from standin import Platform

# With an owner for each service and for the fleet one node owns nothing.
NODES = 4
SERVICES = ["desk", "annex"]
APPLY_S = 2.5
VISIBLE_S = 3.2
PATH = "/desk/%016x" % 1


def find_bystander(platform, nodes):
    """Return a node that owns nothing, or None if there is none yet."""
    owners = [platform.owner(s) for s in SERVICES + ["fleet"]]
    if None in owners:
        return None
    return next((n for n in nodes if n.address() not in owners), None)


def run_test(platform, links, nodes):
    wait_for("owners", lambda: find_bystander(platform, nodes))
    cut = find_bystander(platform, nodes)
    others = [n for n in nodes if n != cut]
    heal = links.stores[cut.number].add_fault(proxy.SILENT)
    platform.routes[0] = dict(platform.routes[0], name="q-moved",
                              backend="annex")
    platform.publish_configuration()
    time.sleep(APPLY_S)
    print("submitted:", submit(others, PATH, job_body(1, 20000)))
    time.sleep(VISIBLE_S)
    print("at the other nodes:", job_state(others, PATH))
    print("at the cut node: GET %d, DELETE %d" % (
        cut.call("GET", PATH)[0], cut.call("DELETE", PATH)[0]))
    heal()
    wait_for("the node's view", lambda: job_state([cut], PATH) == "running")
    print("unknown job: GET %d" % cut.call("GET", "/desk/%016x" % 2)[0])
    print("at the cut node: DELETE", cut.call("DELETE", PATH)[0])
    print("broken:", platform.find_violations())


def main():
    directory = tempfile.mkdtemp()
    platform = Platform(SERVICES, 2)
    links = network.Network(platform, NODES)
    nodes = []
    try:
        for i in range(NODES):
            nodes.append(Node(sys.argv[1], directory, platform, i,
                              store=links.store_address(i)))
            links.add_node(nodes[i])
        run_test(platform, links, nodes)
    finally:
        kill_nodes(nodes)


main()
