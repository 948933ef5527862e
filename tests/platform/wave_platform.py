"""A platform with machines that are due for upkeep: what an upkeep does, and
which rules its orders break."""

import json
import random
import threading

from standin import Platform, now_ms

UPKEEP_MS = 2000       # as in the settings of the nodes
HOLDER_LEASE_MS = 3000
LIST_LAG_MS = 250


class WavePlatform(Platform):
    def __init__(self, seed, machines, max_down):
        self.rng = random.Random(seed)
        self.max_down = max_down
        self.machines_lock = threading.Lock()
        self.tokens = {}   # machine to its highest fencing token
        self.orders = {}   # machine to list of (time, holder)
        self.begun_ms = {}  # machine to the begin of its upkeep
        self.answered = set()  # machines whose upkeep an owner knows of
        self.repeated = 0      # orders for these
        self.broken = set()
        super().__init__(["search"], machines)

    def is_down(self, machine, at_ms):
        begun = self.begun_ms.get(machine)
        return begun is not None and begun <= at_ms < begun + UPKEEP_MS

    def list_machines(self):
        at = now_ms() - LIST_LAG_MS
        return {"machines": [
            {"machine": w.machine, "pool": w.service, "id": w.id,
             "state": "upkeep" if self.is_down(w.machine, at) else "up"}
            for w in self.workers], "next_token": None}

    def record_order(self, machine, holder):
        orders = self.orders.setdefault(machine, [])
        if orders and orders[-1][1] != holder \
                and now_ms() < orders[-1][0] + HOLDER_LEASE_MS:
            self.broken.add("two holders order one machine")
        orders.append((now_ms(), holder))
        self.repeated += machine in self.answered

    def order_upkeep(self, machine, holder, token):
        with self.machines_lock:
            if token < self.tokens.get(machine, 0):
                return 409, {"reason": "fence"}
            self.tokens[machine] = token
            self.record_order(machine, holder)
            if machine in self.begun_ms:
                return 200, {}
            if sum(self.is_down(m, now_ms()) for m in self.begun_ms) \
                    >= self.max_down:
                self.broken.add("more machines down than the wave may take")
            self.begun_ms[machine] = now_ms()
        worker = next(w for w in self.workers if w.machine == machine)
        worker.crash()
        timer = threading.Timer(UPKEEP_MS / 1000, self.bring_up, [worker])
        timer.daemon = True
        timer.start()
        return 200, {}

    def bring_up(self, worker):
        worker.crash()
        self.list_worker(worker)

    def take_order(self, order):
        """Take an upkeep order: its machine, holder and token."""
        return self.order_upkeep(*order)

    def serve_store(self, handler, path, query, body):
        if path == "/-/machines":
            return 200, self.list_machines()
        if path != "/-/machine-upkeep":
            return super().serve_store(handler, path, query, body)
        return self.take_order([json.loads(body)["machine"],
                                handler.headers["X-Lease-Holder"],
                                int(handler.headers["X-Fencing-Token"])])

    def serve_worker(self, worker, handler, path, body):
        if self.is_down(worker.machine, now_ms()):
            raise ConnectionError("the machine is down")
        return super().serve_worker(worker, handler, path, body)

    def wave_state(self):
        value = self.store.newest("keyed.status", "wave/1")
        return json.loads(value)["state"] if value else None

    def request_wave(self, machines):
        self.store.put("keyed.op", "wave/1", {
            "wave": 1, "machines": machines, "finish_by_s": 60,
            "cap": self.max_down})

    def check_completed(self):
        if self.wave_state() != "completed":
            return False
        if len(self.begun_ms) < len(self.workers):
            self.broken.add("completed too early")
        return True
