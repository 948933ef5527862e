"""The owner of a service gets SIGTERM while the first occurrence of a
scheduled job runs on a worker that takes 100 ms to answer."""

import signal
import time

from world import TROUBLE, World, run

TASK_MS = 8000
JOB = "00000000000000a7"
ANSWER_DELAY_S = 0.1


def play(world):
    platform = world.platform
    time.sleep(2)
    path = "/desk/" + JOB
    world.submit(path, {
        "spec": str(TASK_MS), "repeat_count": 2, "interval_ms": 20000,
        "start_at_ms": int(time.time() * 1000) + 500,
        "steps": [{"count": 2, "cpu": 1000, "mem_mb": 500,
                   "estimate_ms": TASK_MS}]})
    world.wait_for("the occurrence runs",
                   lambda: len(platform.all_runs()) == 2, 10)
    for w in platform.workers:
        if w.runs:
            world.note("%s takes 100 ms to answer from now on", w.id)
            w.answer_delay_s = ANSWER_DELAY_S
    time.sleep(2)
    if TROUBLE:
        owner = world.owner_node("desk")
        world.note("SIGTERM to the owner, %s", owner.name)
        owner.signal(signal.SIGTERM)
    world.wait_until(lambda: world.state(path) == "completed", 45)
    world.note("the job is %s", world.state(path))
    return ["TWICE: " + v for v in platform.find_twice()]


run(lambda: World(__file__, ["desk"], 4), play)
