"""The guarantees of the product that the soak test checks, on the record of
all runs."""

import time

import run_rules
from run_rules import all_runs, runs_by_task
from standin import now_ms

# Requirement: no task of a job starts later than this after its cancellation.
CANCEL_LIMIT_MS = 3000
# Requirement: no task of a job runs on later than this after its cancellation,
# without faults: the limit above and the setting stop_grace_ms.
CANCELLED_END_MS = CANCEL_LIMIT_MS + 900
# Requirement: CALM_MS after the last fault, and RESTART_MS after its last run,
# a long-running task is not without a run for GAP_MS while there is room.
CALM_MS = 4000
RESTART_MS = 6000
GAP_MS = 3000
# Time without faults after which every gap of that kind has been seen.
LASTING_WATCH_MS = RESTART_MS + GAP_MS + 500
EARLY_MS = 250  # the setting early_ms
# Reports of ended runs are cut at the end of the test, so clocks are compared
# with this tolerance.
CLOCK_TOLERANCE_MS = 20

def count_copies(platform):
    """Return how many runs began beside another one of their task."""
    return sum(a.start_ms < b.start_ms < a.end_ms
               for runs in runs_by_task(platform).values()
               for a, b in zip(runs, runs[1:]))


def done_times(job, by_task, occurrence, step):
    """Return for each task of a step when it ended "done" first, or None."""
    return [min((r.end_ms for r in by_task.get(t, []) if r.result == "done"),
                default=None)
            for t in job.tasks_of_step(occurrence, step)]


def check_order(job, by_task):
    """Yield texts of runs before their time, or before the steps that their
    step depends on."""
    unix_ms = int(time.time() * 1000) - now_ms()
    for k in job.occurrences():
        due_ms = (job.body.get("start_at_ms", 0)
                  + k * job.body.get("interval_ms", 0)) - unix_ms
        for i, step in enumerate(job.body["steps"]):
            starts = [r.start_ms for t in job.tasks_of_step(k, i)
                      for r in by_task.get(t, [])]
            if not starts:
                continue
            if min(starts) < due_ms - EARLY_MS - CLOCK_TOLERANCE_MS:
                yield "started too early: %s.%d" % (job.id, k)
            for before in step.get("after", []):
                times = done_times(job, by_task, k, before)
                if None in times or min(starts) < max(times):
                    yield "started before the steps that it depends on: " \
                        "%s.%d.%d" % (job.id, k, i)


def check_twice(platform, task, runs):
    """Yield texts of runs beside others, or after an end that was taken note
    of.  Stricter than the rule, a copy must not start after such an end
    either."""
    limit = 2 if platform.step_of(task).get("allow_duplicates") else 1
    yield from run_rules.check_at_once(runs, limit)
    yield from run_rules.check_after_done(runs, limit, counts_unnoted=False)
    yield from run_rules.check_attempts(runs, platform.max_attempts(task),
                                        counts_unnoted=False)
    completed_ms = platform.completed_ms.get(task.split(".")[0])
    if completed_ms is not None and platform.disruptions:
        yield from run_rules.check_after_completed(runs, completed_ms,
                                                   platform.disruptions)


def check_job_of_task(task, runs, job):
    if job is None:
        yield "run of an unknown job: " + task
        return
    if not job.accepted_ms and not job.is_submit_unclear:
        yield "run of a refused job: " + task
    if job.cancelled_ms \
            and runs[-1].start_ms > job.cancelled_ms + CANCEL_LIMIT_MS:
        yield "started too long after its cancellation: " + task


def check_runs(platform, jobs):
    """Yield texts of what violates a guarantee; JOBS by ID."""
    by_task = runs_by_task(platform)
    for task, runs in sorted(by_task.items()):
        yield from check_twice(platform, task, runs)
        yield from check_job_of_task(task, runs, jobs.get(task.split(".")[0]))
    for job in jobs.values():
        yield from check_order(job, by_task)
    yield from platform.violations


def check_lasting(platform, jobs, calm_since_ms):
    """Yield the long-running tasks of JOBS that are without a run for too long
    after the last fault; there is room for all of them."""
    by_task = runs_by_task(platform)
    for job in jobs:
        for task in job.tasks():
            runs = by_task.get(task, [])
            free_ms = job.accepted_ms
            for r in runs + [None]:
                start_ms = r.start_ms if r else now_ms()
                due_ms = max(free_ms + (RESTART_MS if free_ms
                                        != job.accepted_ms else 0),
                             calm_since_ms + CALM_MS)
                if start_ms > due_ms + GAP_MS:
                    yield "no run for %d ms: %s" % (start_ms - free_ms, task)
                free_ms = max(free_ms, r.end_ms if r else 0)


def check_cancelled(platform, jobs):
    """Yield the runs of JOBS, which are cancelled, that go on."""
    ids = {j.id for j in jobs}
    for r in all_runs(platform):
        if r.result == "runs" and r.task.split(".")[0] in ids:
            yield "runs on after its cancellation: %s on %s" % (r.task,
                                                                r.worker.id)
