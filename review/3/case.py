"""While a job runs, the operator publishes a configuration that removes the
job's route and adds another one with the same host and path, which sends the
queue to another service."""

import time

from world import TROUBLE, World, now_ms, run

TASK_MS = 15000
VISIBLE_MS = 3000


def play(world):
    platform = world.platform
    body = {"spec": str(TASK_MS),
            "steps": [{"count": 4, "cpu": 1000, "mem_mb": 500,
                       "estimate_ms": TASK_MS}]}
    path = "/desk/00000000000000a1"
    violations = []
    world.submit(path, body)
    accepted_ms = now_ms()
    time.sleep(2)
    old = platform.routes[0]
    platform.routes[0] = dict(old, name="q-desk-2",
                              backend="annex" if TROUBLE else "desk")
    platform.publish_configuration()
    world.note("a configuration is acknowledged: route %s, to %s, is removed; "
               "%s, to %s, is added", old["name"], old["backend"],
               platform.routes[0]["name"], platform.routes[0]["backend"])
    time.sleep(4)
    for node in world.nodes:
        status, text = world.call(node, "GET", path)
        if status == 410 and now_ms() > accepted_ms + VISIBLE_MS:
            violations.append("LOST: a GET for an accepted job at %s is "
                              "answered 410" % node.name)
    # The request that was acknowledged arrives once more.
    world.call(world.nodes[1], "POST", path, body)
    world.wait_until(lambda: world.state(path) == "completed", 40)
    time.sleep(1)
    return violations + ["TWICE: " + v for v in platform.find_twice()]


run(lambda: World(__file__, ["desk", "annex"], 2), play)
