"""The record of all runs, and the users' rules on the runs of one task (TWICE
and BUDGET), for the stand-in's scripts and the soak test.  Times are those of
standin.now_ms."""

import time
from collections import namedtuple

# With no disruption near, an end counts as taken note of this long after a
# worker has listed it.
NOTED_MS = 100
# Without disruption for this long a node is in touch; the largest value of the
# users' sites.
STABLE_WINDOW_MS = 4000
# A node in touch starts no task later than this after its job was shown as
# completed.
AFTER_COMPLETED_MS = 1000

# noted_ms is when the end counts as taken note of, or None; was_read tells
# whether a report had the end.
Run = namedtuple("Run", "task number worker start_ms end_ms result sender "
                 "is_late noted_ms was_read", defaults=[False, None, False])


class EndedRun(tuple):
    """(task, number, start_ms, end_ms, result, sender)."""
    is_late = False   # its start was carried out late
    was_read = False  # a report had its end
    listed_ms = None  # when one had it first, on a live lease
    noted_ms = None   # when its end was acknowledged, on that lease


class Disruptions:
    """When a test disrupted what."""

    def __init__(self):
        self.spans = {}  # number to [start_ms, end_ms, names]

    def begin(self, number, at_ms, names=None):
        """Begin one of the machines NAMES, or of everything."""
        self.spans[number] = [at_ms, at_ms, names]

    def hold(self, number):
        self.spans[number][1] = float("inf")

    def end(self, number, at_ms):
        self.spans[number][1] = at_ms

    def is_calm(self, from_ms, until_ms, is_near):
        """Return whether nothing is disrupted from FROM_MS to UNTIL_MS of
        which IS_NEAR tells by its names that it matters."""
        return not any(s[0] <= until_ms and s[1] >= from_ms
                       and (s[2] is None or is_near(s[2]))
                       for s in list(self.spans.values()))

    def is_in_touch(self, name, at_ms):
        return name is not None and self.is_calm(
            at_ms - STABLE_WINDOW_MS, at_ms, lambda names: name in names)

    def count_as_noted(self, worker, listed_ms):
        """Return whether an end of WORKER, listed then, counts as taken note
        of NOTED_MS later: only other workers are disrupted."""
        return self.is_calm(
            listed_ms - STABLE_WINDOW_MS, listed_ms + NOTED_MS,
            lambda names: worker in names
            or any(n.startswith("node-") for n in names))


def noted_ms(platform, worker, run):
    """Return when the end of the EndedRun RUN counts as taken note of."""
    times = [] if run.noted_ms is None else [run.noted_ms]
    if platform.disruptions and run.listed_ms is not None \
            and platform.disruptions.count_as_noted(worker.id, run.listed_ms):
        times.append(run.listed_ms + NOTED_MS)
    return min(times, default=None)


def all_runs(platform):
    runs = []
    for w in platform.workers:
        with w.lock:
            runs += [Run(s[0], s[1], w, *s[2:], s.is_late,
                         noted_ms(platform, w, s), s.was_read)
                     for s in w.ended_runs]
            runs += [Run(t, r[0], w, r[2], int(time.monotonic() * 1000),
                         "runs", r.sender, r.is_late)
                     for t, r in w.runs.items()]
    return sorted(runs, key=lambda r: r.start_ms)


def runs_by_task(platform):
    by_task = {}
    for r in all_runs(platform):
        by_task.setdefault(r.task, []).append(r)
    return by_task


# Each check gets the runs of a task, sorted by their start.  LIMIT is the
# maximum number of runs at a time.

def check_at_once(runs, limit):
    """Yield texts of more than LIMIT runs at the same time."""
    open_runs = []
    for r in runs:
        open_runs = [o for o in open_runs if o.end_ms > r.start_ms] + [r]
        if len(open_runs) > limit:
            yield "%s runs at a time: %s on %s" % (
                "two" if limit == 1 else len(open_runs), r.task,
                " and ".join(o.worker.id for o in open_runs))


def starts_after(runs, ended, limit):
    """Return the runs that began after ENDED ended.  One that began in the
    same millisecond ran beside it if it did not begin later."""
    i = runs.index(ended)
    return [r for r in runs[i + 1:] if r.start_ms > ended.end_ms
            or (limit == 1 and r.start_ms == ended.end_ms)]


def first_end(runs, result, counts_unnoted, number=1):
    """Return the run with the first end RESULT that counts as taken note of,
    whenever that was, or with the one of that NUMBER."""
    ends = sorted((r for r in runs if r.result == result
                   and (counts_unnoted or r.noted_ms is not None)),
                  key=lambda r: r.end_ms)
    return ends[number - 1] if len(ends) >= number else None


def check_after_done(runs, limit, counts_unnoted):
    """Yield texts of starts after an end "done"."""
    done = first_end(runs, "done", counts_unnoted)
    for r in starts_after(runs, done, limit) if done else []:
        yield "run after an %s \"done\"%s: %s on %s" % (
            "end" if counts_unnoted else "acknowledged end",
            "" if done.was_read else " that no report had", r.task,
            r.worker.id)


def check_attempts(runs, max_attempts, counts_unnoted):
    """Yield texts of starts after MAX_ATTEMPTS (None: no limit) ends
    "failed"."""
    last = max_attempts and first_end(runs, "failed", counts_unnoted,
                                      max_attempts)
    for r in starts_after(runs, last, 1) if last else []:
        yield "run after %d ends \"failed\": %s on %s" % (
            max_attempts, r.task, r.worker.id)


def check_after_completed(runs, completed_ms, disruptions):
    """Yield texts of starts by nodes in touch, not carried out late, too long
    after the job was shown as completed."""
    for r in runs:
        if r.start_ms > completed_ms + AFTER_COMPLETED_MS and not r.is_late \
                and disruptions.is_in_touch(r.sender, r.start_ms):
            yield "run %d ms after its job was completed: %s on %s" % (
                r.start_ms - completed_ms, r.task, r.worker.id)
