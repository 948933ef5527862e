"""An upkeep order that is carried out after its sender was killed:
late_upkeep.py BURDOCKSHED.  Guards against a successor that begins the upkeep
of other machines while the order may still take effect, so that more machines
are down than the wave may take.  Prints what was broken."""

import sys
import tempfile
import threading
import time

from nodes import Node, job_body, kill_nodes, submit, wait_for
from standin import now_ms
from wave_platform import WavePlatform

MACHINES = 4
# An order without an answer is carried out within this time.
LATE_MS = (2000, 12000)
RUN_MS = 2500


class LatePlatform(WavePlatform):
    """Gives the first order no answer, and carries it out once another machine
    is down, or at the end of the time that it may take."""

    def __init__(self):
        self.first = None
        self.first_ms = None
        super().__init__(1, MACHINES, 1)

    def take_order(self, order):
        if self.first is None:
            self.first, self.first_ms = order, now_ms()
            threading.Thread(target=self.carry_out_late, daemon=True).start()
            raise ConnectionError("carried out late")
        return self.order_upkeep(*order)

    def carry_out_late(self):
        time.sleep(LATE_MS[0] / 1000)
        while now_ms() < self.first_ms + LATE_MS[1] and not any(
                self.is_down(m, now_ms()) for m in list(self.begun_ms)
                if m != self.first[0]):
            time.sleep(0.01)
        self.order_upkeep(*self.first)


def run_test(platform, nodes):
    wait_for("owners", lambda: all(
        platform.owner(s) in [n.address() for n in nodes]
        for s in ("fleet", "search")))
    # One machine is idle, so that its upkeep is ordered first.
    job = "%016x" % 1
    body = job_body(MACHINES - 1, RUN_MS)
    body["steps"][0]["anti_affinity"] = 1
    platform.jobs[job] = body["steps"]
    submit(nodes, "/search/" + job, body)
    wait_for("runs", lambda: sum(
        bool(w.runs) for w in platform.workers) == MACHINES - 1)
    idle = next(w.machine for w in platform.workers if not w.runs)
    platform.request_wave([w.machine for w in platform.workers
                           if w.machine != idle] + [idle])
    wait_for("the first order", lambda: platform.first is not None)
    owner = next(n for n in nodes if n.address() == platform.owner("fleet"))
    owner.process.kill()
    owner.process.wait()
    owner.start()
    print("the idle machine first:", platform.first[0] == idle)
    wait_for("the wave", platform.check_completed)
    print("wave:", platform.wave_state())
    print("broken:", sorted(platform.broken))


def main():
    directory = tempfile.mkdtemp()
    platform = LatePlatform()
    nodes = [Node(sys.argv[1], directory, platform, i) for i in range(3)]
    try:
        run_test(platform, nodes)
    finally:
        kill_nodes(nodes)


main()
