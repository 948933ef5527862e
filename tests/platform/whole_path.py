"""The whole path with real processes: whole_path.py BURDOCKSHED.  Three nodes
serve jobs on a stand-in of the platform; an owner is killed, the store goes
away, a node is stopped.  Prints what a caller sees."""

import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time

from standin import Platform, free_port

PATIENCE_S = 30


class Node:
    def __init__(self, binary, folder, platform, number):
        self.number = number
        self.callers = free_port()
        self.readiness = free_port()
        self.peer = free_port()
        self.metrics = free_port()
        self.binary = binary
        self.file = os.path.join(folder, "node-%d.json" % number)
        with open(self.file, "w") as f:
            json.dump({
                "node": "node-%d" % number, "zone": "a",
                "callers": "127.0.0.1:%d" % self.callers,
                "readiness": "127.0.0.1:%d" % self.readiness,
                "ip": "127.0.0.1", "peer_port": self.peer,
                "metrics_port": self.metrics,
                "store": platform.server.address,
                "machines": platform.server.address, "advice": "",
                "stream_parts": 16, "member_ttl_min_ms": 1000, "stop_s": 6,
                "worker_lease_max_ms": 6000, "stop_grace_ms": 900,
                "early_ms": 250, "keep_state_s": 120,
                "holder_lease_ms": 3000, "upkeep_s": 2}, f)
        self.log = open(os.path.join(folder, "node-%d.log" % number), "ab")
        self.start()

    def start(self):
        self.process = subprocess.Popen(
            [self.binary, "node", "--settings", self.file],
            stdout=self.log, stderr=self.log)

    def address(self):
        return "127.0.0.1:%d" % self.peer

    def call(self, method, path, body=None, port=None):
        c = http.client.HTTPConnection("127.0.0.1", port or self.callers,
                                       timeout=5)
        try:
            c.request(method, path, body=json.dumps(body) if body else None,
                      headers={"Host": "desk.example",
                               "Content-Type": "application/json",
                               "X-Timeout-Ms": "3000"})
            r = c.getresponse()
            text = r.read().decode()
            return r.status, text, r.getheader("Retry-After")
        except OSError:
            return 0, "", None
        finally:
            c.close()


def wait_for(what, condition):
    until = time.monotonic() + PATIENCE_S
    while not condition():
        if time.monotonic() > until:
            print("gave up:", what)
            sys.exit(1)
        time.sleep(0.05)


def job(tasks, run_ms, steps=1):
    return {"spec": str(run_ms),
            "steps": [{"count": tasks, "cpu": 1000, "mem_mb": 500,
                       "estimate_ms": run_ms,
                       **({"after": [i - 1]} if i else {})}
                      for i in range(steps)]}


def submit(nodes, path, body):
    """Submit as a caller does: again, elsewhere, until it is accepted."""
    for i in range(40):
        status, _, _ = nodes[i % len(nodes)].call("POST", path, body)
        if status == 200:
            return True
        time.sleep(0.3)
    return False


def state(nodes, path):
    for node in nodes:
        status, text, _ = node.call("GET", path)
        if status == 200:
            return json.loads(text)["state"]
        if status == 410:
            return "gone"
    return "unknown"


def main():
    binary = sys.argv[1]
    folder = tempfile.mkdtemp()
    platform = Platform(["search", "archive"], 4)
    nodes = [Node(binary, folder, platform, i) for i in range(3)]
    try:
        play(platform, nodes)
    finally:
        for node in nodes:
            if node.process.poll() is None:
                node.process.kill()
            node.process.wait()


def play(platform, nodes):
    wait_for("ready", lambda: all(
        n.call("GET", "/-/ready", port=n.readiness)[0] == 200 for n in nodes))
    wait_for("owners", lambda: platform.owner("search")
             and platform.owner("archive"))
    print("ready: 3 nodes")

    first = "/search/%016x" % 1
    print("submitted:", submit(nodes, first, job(6, 300, steps=2)))
    print("again:", nodes[1].call("POST", first, job(6, 300, steps=2))[0])
    wait_for("first job", lambda: state(nodes, first) == "completed")
    print("state:", state(nodes, first), "runs:", platform.runs())

    print("unknown queue:", nodes[0].call("GET", "/none/x")[0])
    print("no ID:", nodes[0].call("POST", "/search/xyz", job(1, 1))[0])
    print("no JSON:", nodes[0].call("POST", "/search/%016x" % 2, [])[0])
    print("unknown job:", nodes[2].call("GET", "/search/%016x" % 99)[0])
    print("waiting:", nodes[2].call("GET", "/search/")[1])

    long = ["/search/%016x" % (16 + i) for i in range(5)]
    for path in long:
        submit(nodes, path, job(4, 2500, steps=2))
    time.sleep(0.5)
    owner = platform.owner("search")
    victim = next(n for n in nodes if n.address() == owner)
    victim.process.send_signal(signal.SIGKILL)
    victim.process.wait()
    rest = [n for n in nodes if n is not victim]
    print("owner killed")
    wait_for("jobs after a kill", lambda: all(
        state(rest, p) == "completed" for p in long))
    print("states:", sorted({state(rest, p) for p in long}))

    cancelled = "/archive/%016x" % 40
    submit(rest, cancelled, job(4, 20000))
    print("cancelled:", rest[0].call("DELETE", cancelled)[0],
          state(rest, cancelled))

    platform.store_away = True
    time.sleep(1)
    status, _, after = rest[0].call("POST", "/archive/%016x" % 50,
                                    job(1, 100))
    print("store away:", status, "come back:", after is not None)
    platform.store_away = False
    refused = "/archive/%016x" % 50
    wait_for("store back", lambda: submit(rest, "/archive/%016x" % 51,
                                          job(1, 100)))
    wait_for("last job", lambda:
             state(rest, "/archive/%016x" % 51) == "completed")
    print("refused job:", state(rest, refused))

    victim.start()
    last = ["/search/%016x" % (64 + i) for i in range(4)]
    for path in last:
        submit(rest, path, job(4, 1500))
    rest[0].process.send_signal(signal.SIGTERM)
    print("stopped:", rest[0].process.wait(10))
    left = [victim, rest[1]]
    wait_for("jobs after a stop", lambda: all(
        state(left, p) == "completed" for p in last))
    print("states:", sorted({state(left, p) for p in last}))
    metrics = left[1].call("GET", "/metrics", port=left[1].metrics)[1]
    print("metrics:", "appends " in metrics, "accept_ms_count" in metrics)
    print("broken:", platform.judge())


main()
