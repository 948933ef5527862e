"""A platform of which some workers are of a kind of their own, and fail what
they start while they are told to."""

import standin
from standin import now_ms


class FailingPlatform(standin.Platform):
    def __init__(self, service, workers, special, kind, max_attempts):
        self.special = special  # number of workers of KIND
        self.kind = kind
        self.fails_after_ms = {}  # worker's ID: its runs fail after this
        super().__init__([service], workers)
        for route in self.routes:
            route["max_attempts"] = max_attempts
        self.publish_configuration()

    def kind_of(self, worker):
        return self.kind if int(worker.id[2:]) < self.special else "a"

    def list_worker(self, worker):
        worker.sequence_number += 1
        self.store.put("keyed.servers", worker.id, {
            "backend": worker.service, "address": worker.address,
            "zone": "a", "state": "ready", "born": worker.incarnation_start_ms,
            "seq": worker.sequence_number,
            "capacity": {"cpu": standin.CPU_MILLI,
                         "mem_mb": standin.MEMORY_MB, "gpu": 0},
            "labels": [self.kind_of(worker), worker.rack]})

    def check_start(self, worker, task):
        label = self.step_of(task).get("requirements")
        if label and label not in [self.kind_of(worker), worker.rack]:
            self.report("without its label on %s: %s" % (worker.id, task))

    def failed_ends(self, job):
        """Return how many runs of JOB's tasks have ended as failed."""
        return sum(e[0].startswith(job) and e[4] == "failed"
                   for w in self.workers for e in list(w.ended_runs))

    def is_running(self, job):
        return any(t.startswith(job) for w in self.workers
                   for t in list(w.runs))


class FailingWorker(standin.Worker):
    def new_run(self, task, body):
        run = super().new_run(task, body)
        fails_ms = self.platform.fails_after_ms.get(self.id)
        if fails_ms is not None:
            run[1], run.how = now_ms() + fails_ms, "failed"
        return run
