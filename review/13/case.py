"""The two workers of a kind fail what they start for five seconds.  Jobs that
need that kind have failed there, but fewer than max_attempts times.  Once the
workers are sound again, the jobs must be run."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib-3"))

import harness  # noqa: E402
import failing  # noqa: E402

WORKERS, SPECIAL, KIND = 24, 2, "b"
FAILING_S, FAILS_AFTER_MS = 5, 400
MAX_ATTEMPTS = 4
WORK_MS = 1000
# Requirement (LOST): from finish_s after the end of the traffic, no job has
# nothing running for 3 s while a task's turn has come and there is capacity.
# The trouble has to be over for stable_window_ms, too.
FINISH_S, STABLE_WINDOW_S, NOTHING_RUNNING_S = 14, 3, 3
WATCHED_S = 30
SERVICE = "search"
JOBS = ["5c0e7a21d94b36f%x" % i for i in range(4)]


def run(script):
    platform = script.platform
    script.wait_until_ready()
    time.sleep(5)
    special = platform.workers[:SPECIAL]
    if harness.TROUBLE:
        for w in special:
            platform.fails_after_ms[w.id] = FAILS_AFTER_MS
            script.note("%s fails what it starts" % w.id)
    begin_s = time.monotonic()
    for name in JOBS:
        script.submit(SERVICE, name, {
            "spec": str(WORK_MS),
            "steps": [{"count": 1, "cpu": 2000, "mem_mb": 500,
                       "estimate_ms": WORK_MS, "requirements": KIND}]})
    end_s = time.monotonic()
    if harness.TROUBLE:
        time.sleep(max(0, begin_s + FAILING_S - time.monotonic()))
        platform.fails_after_ms.clear()
        script.note("no worker fails any more")
        time.sleep(STABLE_WINDOW_S)
    time.sleep(max(0, end_s + FINISH_S - time.monotonic()))
    script.note("finish_s has passed")
    calm_s = time.monotonic()
    idle_since_s = {name: calm_s for name in JOBS}
    longest_s = {name: 0 for name in JOBS}
    states = {}
    next_look_s = 0
    while time.monotonic() < calm_s + WATCHED_S:
        now_s = time.monotonic()
        if now_s >= next_look_s:
            states = {name: script.state(SERVICE, name) for name in JOBS}
            next_look_s = now_s + 1
        if all(s not in ("pending", "running") for s in states.values()):
            break
        for name in JOBS:
            if platform.is_running(name) \
                    or states[name] not in ("pending", "running"):
                idle_since_s[name] = now_s
            longest_s[name] = max(longest_s[name],
                                  now_s - idle_since_s[name])
        time.sleep(0.02)
    broken = False
    for name in JOBS:
        failures = platform.failed_ends(name)
        print("job %s: %s, %d runs ended as failed, nothing running for %.1f "
              "s" % (name, states[name], failures, longest_s[name]))
        is_lost = longest_s[name] > NOTHING_RUNNING_S \
            or (states[name] == "failed" and failures < MAX_ATTEMPTS)
        broken = broken or is_lost
    print("runs on the %d workers of kind %s now: %d; their capacity is for "
          "%d such tasks" % (SPECIAL, KIND, sum(len(w.runs) for w in special),
                             8 * SPECIAL))
    if broken:
        return harness.BROKEN
    return harness.HELD


harness.play(lambda: harness.Script(
    __file__, failing.FailingPlatform, failing.FailingWorker,
    service=SERVICE, workers=WORKERS, special=SPECIAL, kind=KIND,
    max_attempts=MAX_ATTEMPTS), run)
