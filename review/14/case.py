"""Many jobs of a queue with advice come at once.  The advice service can give
advice on all of them within eleven seconds.  All of them must be run."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib-3"))

import harness  # noqa: E402
import advice  # noqa: E402

WORKERS = 24
JOBS, BURST_S, SPACED_S = 30, 4, 24
DECISION_MS, EACH_MS, VALID_MS = 100, 10, 3000
WORK_MS = 1000
# Requirements (LOST): from finish_s after the end of the traffic, no job has
# nothing running for 3 s.
FINISH_S, NOTHING_RUNNING_S = 14, 3
WATCHED_S = 20
SERVICE = "search"


def run(script):
    platform = script.platform
    script.wait_until_ready()
    time.sleep(5)
    jobs = ["5c0e7a21d94b3%03x" % i for i in range(JOBS)]
    begin_s = time.monotonic()
    for i, name in enumerate(jobs):
        length_s = BURST_S if harness.TROUBLE else SPACED_S
        time.sleep(max(0, begin_s + length_s * i / JOBS - time.monotonic()))
        script.submit(SERVICE, name, {
            "spec": str(WORK_MS),
            "steps": [{"count": 1, "cpu": 1000, "mem_mb": 500,
                       "estimate_ms": WORK_MS}]})
    script.note("the traffic has ended")
    time.sleep(FINISH_S)
    begin_s = time.monotonic()
    script.note("finish_s has passed; advice calls: %s"
                % platform.advice.counts)
    idle_since_s = {name: begin_s for name in jobs}
    open_jobs = list(jobs)
    while open_jobs and time.monotonic() < begin_s + WATCHED_S:
        for name in list(open_jobs):
            if platform.is_running(name):
                idle_since_s[name] = time.monotonic()
            elif script.state(SERVICE, name) == "completed":
                open_jobs.remove(name)
        time.sleep(0.2)
    lost = [n for n in open_jobs
            if time.monotonic() - idle_since_s[n] > NOTHING_RUNNING_S]
    script.note("advice calls: %s" % platform.advice.counts)
    print("jobs: %d, completed: %d, with nothing running for over %d s: %d; "
          "advice calls: %s" % (JOBS, JOBS - len(open_jobs),
                                NOTHING_RUNNING_S, len(lost),
                                platform.advice.counts))
    return harness.BROKEN if lost else harness.HELD


harness.play(lambda: harness.Script(
    __file__, advice.AdvicePlatform, advice.AdviceWorker, service=SERVICE,
    workers=WORKERS, decision_ms=DECISION_MS, each_ms=EACH_MS,
    valid_ms=VALID_MS), run)
