"""A wave while the owner of the fleet changes: wave_handover.py BURDOCKSHED
[SEED].  Orders' answers are lost, some orders are carried out late, and the
owner is killed or stopped again and again.  Guards against upkeeps beyond the
wave's limit, holders that order one machine within the holder lease, machines
that are ordered again by each owner, and a wave that is completed too early.
Prints what was broken."""

import signal
import sys
import tempfile
import threading
import time

from nodes import Node, kill_nodes, wait_for
from wave_platform import WavePlatform

MACHINES = 8
MAX_DOWN = 2
LATE_S = 1.2
CHANGES = 4


class FaultyPlatform(WavePlatform):
    """Loses answers to orders, and carries some orders out late."""

    def take_order(self, order):
        fault = self.rng.choice(["none", "none", "lost", "late"])
        if fault == "late":
            timer = threading.Timer(LATE_S, self.order_upkeep, order)
            timer.daemon = True
            timer.start()
            raise ConnectionError("carried out late")
        answer = self.order_upkeep(*order)
        if fault == "lost":
            raise ConnectionError("the answer is lost")
        if answer[0] == 200:
            self.answered.add(order[0])
        return answer


def change_owner(platform, nodes):
    """Kill or stop the owner of the fleet, and start its node again."""
    address = platform.owner("fleet")
    owner = next((n for n in nodes if n.address() == address), None)
    if owner is None:
        return
    if platform.rng.random() < 0.5:
        owner.process.kill()
    else:
        owner.process.send_signal(signal.SIGTERM)
    owner.process.wait()
    owner.start()


def run_test(platform, nodes):
    wait_for("an owner of the fleet", lambda: platform.owner("fleet"))
    wait_for("an owner of the cell", lambda: platform.owner("search"))
    platform.request_wave([w.machine for w in platform.workers])
    for _ in range(CHANGES):
        time.sleep(platform.rng.uniform(0.5, 4))
        if platform.check_completed():
            break
        change_owner(platform, nodes)
    wait_for("the wave", platform.check_completed)
    print("wave:", platform.wave_state())
    # An owner that ends may not have written what its last round ordered.
    print("ordered again though known:",
          platform.repeated > CHANGES * MAX_DOWN)
    print("orders: %d, again: %d" % (
        sum(len(o) for o in platform.orders.values()), platform.repeated),
        file=sys.stderr)
    print("broken:", sorted(platform.broken))


def main():
    directory = tempfile.mkdtemp()
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    platform = FaultyPlatform(seed, MACHINES, MAX_DOWN)
    nodes = [Node(sys.argv[1], directory, platform, i) for i in range(3)]
    try:
        run_test(platform, nodes)
    finally:
        kill_nodes(nodes)


main()
