"""Real nodes on the stand-in of the platform, and what their callers do."""

import http.client
import json
import os
import subprocess
import sys
import time

from standin import free_port

PATIENCE_S = 30


def exchange(connection, method, path, body=None):
    """Send a caller's request; return status, text and Retry-After."""
    connection.request(method, path,
                       body=json.dumps(body) if body else None,
                       headers={"Host": "desk.example",
                                "Content-Type": "application/json",
                                "X-Timeout-Ms": "3000"})
    r = connection.getresponse()
    return r.status, r.read().decode(), r.getheader("Retry-After")


class Node:
    def __init__(self, binary, folder, platform, number, share=1.0,
                 store=None):
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
                "store": store or platform.server.address,
                "machines": platform.server.address, "advice": "",
                "stream_parts": 16, "member_ttl_min_ms": 1000, "stop_s": 6,
                "worker_lease_max_ms": 6000, "stop_grace_ms": 900,
                "early_ms": 250, "keep_state_s": 120,
                "holder_lease_ms": 3000, "upkeep_s": 2,
                "processor_share": share}, f)
        self.log = open(os.path.join(folder, "node-%d.log" % number), "ab")
        self.start()

    def start(self):
        self.started = time.monotonic()
        self.process = subprocess.Popen(
            [self.binary, "node", "--settings", self.file],
            stdout=self.log, stderr=self.log)

    def address(self):
        return "127.0.0.1:%d" % self.peer

    def call(self, method, path, body=None, port=None):
        c = http.client.HTTPConnection("127.0.0.1", port or self.callers,
                                       timeout=5)
        try:
            return exchange(c, method, path, body)
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


def end(nodes):
    for node in nodes:
        if node.process.poll() is None:
            node.process.kill()
        node.process.wait()
