"""A platform with a queue whose policy only the advice service knows, as
PROTOCOL.md describes it: one call at a time for each calling machine, in turn;
429 when 32 calls wait; a start without a valid ticket is refused."""

import json
import select
import socket
import threading
import time
from collections import deque

import standin

WAITING_MAX = 32


class AdviceService:
    """All nodes call from one loopback address; HANDLERS tells them apart by
    the address of the advice service that each one is given."""

    def __init__(self, platform, decision_ms, each_ms, valid_ms):
        self.platform = platform
        self.decision_ms, self.each_ms = decision_ms, each_ms
        self.valid_ms = valid_ms
        self.tickets = {}  # (step, worker) to the end of its validity
        self.lock = threading.Lock()
        self.counts = {"good": 0, "429": 0, "left": 0}

    def add_machine(self):
        """Return the address at which one machine calls the service."""
        turns = deque()
        changed = threading.Condition(self.lock)
        server = standin.Server(
            lambda h, path, query, body: self.serve(h, body, turns, changed))
        return server.address

    @staticmethod
    def has_left(handler):
        """Tell whether the caller has closed its connection."""
        readable, _, _ = select.select([handler.connection], [], [], 0)
        if not readable:
            return False
        try:
            return handler.connection.recv(1, socket.MSG_PEEK) == b""
        except OSError:
            return True

    def serve(self, handler, body, turns, changed):
        with changed:
            if len(turns) > WAITING_MAX:
                self.counts["429"] += 1
                return 429, {}
            turns.append(handler)
            while turns[0] is not handler:
                changed.wait()
        try:
            # A caller that has left costs no time.
            if self.has_left(handler):
                self.counts["left"] += 1
                raise ConnectionError("the caller has left")
            fields = json.loads(body)
            time.sleep((self.decision_ms
                        + self.each_ms * len(fields["workers"])) / 1000)
            until_s = time.monotonic() + self.valid_ms / 1000
            good = []
            for worker in fields["workers"]:
                self.tickets[fields["step"], worker] = until_s
                good.append([worker, "ticket-" + worker])
            self.counts["left" if self.has_left(handler) else "good"] += 1
            return 200, {"good": good, "valid_ms": self.valid_ms}
        finally:
            with changed:
                turns.popleft()
                changed.notify_all()

    def is_valid(self, step, worker, ticket):
        return ticket == "ticket-" + worker \
            and time.monotonic() < self.tickets.get((step, worker), 0)


class AdvicePlatform(standin.Platform):
    def __init__(self, service, workers, decision_ms, each_ms, valid_ms):
        self.advice = AdviceService(self, decision_ms, each_ms, valid_ms)
        super().__init__([service], workers)
        for route in self.routes:
            route["advice"] = {"decision_ms": decision_ms, "each_ms": each_ms,
                               "valid_ms": valid_ms}
        self.publish_configuration()

    def is_running(self, job):
        return any(t.startswith(job) for w in self.workers
                   for t in list(w.runs))


class AdviceWorker(standin.Worker):
    def start(self, body):
        step = body["task"].rsplit(".", 1)[0]
        with self.lock:
            if body["task"] not in self.runs and not \
                    self.platform.advice.is_valid(step, self.id,
                                                  body.get("ticket", "")):
                return 409, {"clock_ms": self.clock_ms(), "reason": "ticket"}
            return super().start(body)
