"""A platform whose workers run gangs, as PROTOCOL.md describes them.

The members of a run work from the moment when all of them are present, with
the same run number and the same checkpoint.  They end as done together.  If
one of them ends otherwise, the others end as broken.  One that has waited
GANG_TIMEOUT_MS for the others ends as alone.  The checkpoint of a gang names
the work that is saved; each member reports the same one for the same work."""

import threading

import standin
from standin import FOREVER_MS, now_ms

GANG_TIMEOUT_MS = 3000
CHECKPOINT_MS = 2000
RESTORE_MS = 250


class Gang:
    """One run of a gang."""

    def __init__(self, count):
        self.count = count
        self.members = {}   # task to Worker
        self.begun_ms = None
        self.saved_ms = 0   # work that its checkpoint holds
        self.is_over = False

    def work_ms(self, at_ms):
        if self.begun_ms is None:
            return self.saved_ms
        return self.saved_ms + max(at_ms - self.begun_ms, 0)


def step_of_task(task):
    return task.rsplit(".", 1)[0]


class GangPlatform(standin.Platform):
    def __init__(self, *arguments, **options):
        self.gang_lock = threading.RLock()  # taken after a worker's lock
        self.gangs = {}        # (step, run, checkpoint) to Gang
        self.carried = {}      # (step, run) to the checkpoints of its starts
        self.ends = []         # (time, task, run, how)
        self.fails_after_ms = {}  # worker's ID: its runs fail after this
        super().__init__(*arguments, **options)

    def is_gang(self, task):
        return bool(self.step_of(task).get("gang_scheduled"))

    def join(self, worker, task, run, checkpoint, work_ms):
        """Add a member; begin the run if it is the last one."""
        step = step_of_task(task)
        with self.gang_lock:
            self.carried.setdefault((step, run), {})[task] = checkpoint
            gang = self.gangs.setdefault(
                (step, run, checkpoint), Gang(self.step_of(task)["count"]))
            if checkpoint:
                gang.saved_ms = int(checkpoint[:8], 16)
            gang.members[task] = worker
            if len(gang.members) < gang.count or gang.begun_ms is not None:
                return gang
            restore_ms = RESTORE_MS if checkpoint else 0
            gang.begun_ms = now_ms() + restore_ms
            end_ms = gang.begun_ms + work_ms - gang.saved_ms
            for name, w in gang.members.items():
                r = w.runs[name]
                r[1] = end_ms
                r.how = "done"
                fails_ms = self.fails_after_ms.get(w.id)
                if fails_ms is not None:
                    r[1], r.how = min(end_ms, gang.begun_ms + fails_ms), \
                        "failed"
        return gang

    def end_together(self, gang, how, at_ms):
        """A member has ended as HOW: end the others.  Those whose own time
        has come end by themselves."""
        with self.gang_lock:
            if gang.is_over:
                return
            gang.is_over = True
            for task, w in gang.members.items():
                r = w.runs.get(task)
                if r is None or r.gang is not gang:
                    continue
                if how != "done" and r[1] > at_ms:
                    r[1], r.how = at_ms, "broken"


class GangWorker(standin.Worker):
    def new_run(self, task, body):
        if not self.platform.is_gang(task):
            run = super().new_run(task, body)
            run.gang = None
            return run
        run = super().new_run(task, {**body, "checkpoint": ""})
        run.gang = None
        run.saved_ms = None
        run[1], run.how = now_ms() + GANG_TIMEOUT_MS, "alone"
        run.carried = body.get("checkpoint", "")
        run.spec_ms = int(body["spec"])
        return run

    def start(self, body):
        with self.lock:
            task, number = body["task"], body["run"]
            known = self.runs.get(task)
            answer = super().start(body)
            run = self.runs.get(task)
            if answer[0] == 200 and run is not None and run is not known \
                    and self.platform.is_gang(task):
                run.gang = self.platform.join(self, task, number, run.carried,
                                              run.spec_ms)
            return answer

    def checkpoint(self, task, at_ms, is_stop=False):
        run = self.runs[task]
        if run.gang is None or not \
                self.platform.step_of(task).get("checkpointing"):
            return super().checkpoint(task, at_ms, is_stop)
        work_ms = run.gang.work_ms(at_ms)
        if not is_stop:
            work_ms = max(run.gang.saved_ms,
                          work_ms - work_ms % CHECKPOINT_MS)
        return "%08x%s" % (work_ms, task[4:12]) if work_ms > 0 else ""

    def end(self, task, result):
        run = self.runs[task]
        at_ms = run.over_ms or now_ms()
        super().end(task, result)
        self.platform.ends.append((now_ms(), task, run[0], result))
        if run.gang is not None:
            self.platform.end_together(run.gang, result, at_ms)

    def crash(self):
        with self.lock:
            gangs = [r.gang for r in self.runs.values()
                     if getattr(r, "gang", None)]
            super().crash()
            for gang in gangs:
                self.platform.end_together(gang, "gone", now_ms())

    def report(self):
        report = super().report()
        for row in report["running"]:
            run = self.runs[row[0]]
            if run.gang is not None:
                work_ms = run.gang.work_ms(now_ms())
                row[3] = int(min(99, work_ms * 100 / max(run.spec_ms, 1)))
        return report
