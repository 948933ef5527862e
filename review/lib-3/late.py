"""A platform whose workers leave some orders unanswered and carry them out 2 to
12 s later, in the life that they have by then."""

import json
import random
import threading
import time

import standin
from standin import now_ms

LATE_MIN_S, LATE_MAX_S = 2, 6
FIRST_LIFE_MS = 3600000


class LatePlatform(standin.Platform):
    def __init__(self, service, workers):
        super().__init__([service], workers)
        for w in self.workers:
            # Ends up to last_seen are forgotten; later ones are reported.
            w.hides_later_ends = False
            # The clock starts anew in each life; the first has been up long.
            w.has_own_clock = True
            w.crash()
            w.clock_zero_ms -= FIRST_LIFE_MS

    def serve_worker(self, worker, handler, path, body):
        call = standin.WorkerCall(worker, path, handler.headers)
        if not worker.is_up:
            raise ConnectionError("the worker is down")
        if call.target != worker.id:
            return 421, {}
        if path not in standin.WorkerCall.METHODS:
            return 404, {}
        call.fields = json.loads(body)
        if random.random() < self.calls_late:
            timer = threading.Timer(random.uniform(LATE_MIN_S, LATE_MAX_S),
                                    self.call_late, [call])
            timer.daemon = True
            timer.start()
            raise ConnectionError("the call is carried out late")
        return self.carry_out(call)

    def call_late(self, call):
        call.is_late = True
        call.fields.pop("wait_ms", None)
        call.fields["is_late"] = True
        while not call.worker.is_up \
                and now_ms() < call.sent_ms + 1000 * LATE_MAX_S:
            time.sleep(0.01)
        if now_ms() > call.sent_ms + 1000 * LATE_MAX_S:
            return
        try:
            answer = self.carry_out(call)
        except ConnectionError:
            return
        if call.life == call.worker.incarnation_start_ms:
            return
        if call.path == "/-/run-start":
            self.record.write(
                call.worker.id, "that start was sent %d ms before, to the "
                "former life -> %d" % (now_ms() - call.sent_ms, answer[0]))
        elif call.path == "/-/hold" and call.fields["last_seen"]:
            self.record.write(
                call.worker.id, "a hold with last_seen %d, sent %d ms before, "
                "to the former life -> %d" % (
                    call.fields["last_seen"], now_ms() - call.sent_ms,
                    answer[0]))
