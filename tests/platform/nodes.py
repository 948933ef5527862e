"""Runs real nodes on the stand-in of the platform and sends them callers'
requests."""

import http.client
import json
import os
import subprocess
import sys
import time

from standin import free_port

WAIT_TIMEOUT_S = 30


def send_request(connection, method, path, body=None, key=None):
    """Send a caller's request; return its status, body and Retry-After."""
    headers = {"Host": "desk.example", "Content-Type": "application/json",
               "X-Timeout-Ms": "3000"}
    if key is not None:
        headers["Authorization"] = "Token " + key
    connection.request(method, path,
                       body=json.dumps(body) if body else None,
                       headers=headers)
    r = connection.getresponse()
    return r.status, r.read().decode(), r.getheader("Retry-After")


class Node:
    """A node process; its settings and its log are in DIRECTORY."""

    def __init__(self, binary, directory, platform, number,
                 processor_share=1.0, store=None, more_settings=None):
        self.number = number
        self.is_stopping = False  # after SIGTERM, until it is started again
        self.callers_port = free_port()
        self.readiness_port = free_port()
        self.peer_port = free_port()
        self.metrics_port = free_port()
        self.binary = binary
        self.settings_file = os.path.join(directory, "node-%d.json" % number)
        with open(self.settings_file, "w") as f:
            json.dump({
                "node": "node-%d" % number, "zone": "a",
                "callers": "127.0.0.1:%d" % self.callers_port,
                "readiness": "127.0.0.1:%d" % self.readiness_port,
                "ip": "127.0.0.1", "peer_port": self.peer_port,
                "metrics_port": self.metrics_port,
                "store": store or platform.server.address,
                "machines": platform.server.address, "advice": "",
                "stream_parts": 16, "member_ttl_min_ms": 1000, "stop_s": 6,
                "worker_lease_max_ms": 6000, "stop_grace_ms": 900,
                "early_ms": 250, "keep_state_s": 120,
                "holder_lease_ms": 3000, "upkeep_s": 2,
                "processor_share": processor_share,
                **(more_settings or {})}, f)
        self.log_file = open(
            os.path.join(directory, "node-%d.log" % number), "ab")
        self.start()

    def start(self):
        self.started_s = time.monotonic()
        self.process = subprocess.Popen(
            [self.binary, "node", "--settings", self.settings_file],
            stdout=self.log_file, stderr=self.log_file)

    def address(self):
        return "127.0.0.1:%d" % self.peer_port

    def call(self, method, path, body=None, port=None, key=None):
        c = http.client.HTTPConnection("127.0.0.1", port or self.callers_port,
                                       timeout=5)
        try:
            return send_request(c, method, path, body, key)
        except OSError:
            return 0, "", None
        finally:
            c.close()


def wait_for(description, condition):
    deadline_s = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            print("timed out waiting for:", description)
            sys.exit(1)
        time.sleep(0.05)


def job_body(tasks, run_ms, steps=1):
    """Return a submission whose steps depend each on the one before."""
    return {"spec": str(run_ms),
            "steps": [{"count": tasks, "cpu": 1000, "mem_mb": 500,
                       "estimate_ms": run_ms,
                       **({"after": [i - 1]} if i else {})}
                      for i in range(steps)]}


def submit(nodes, path, body, key=None):
    """Submit a job, with retries at the other nodes until one accepts it."""
    for i in range(40):
        status, _, _ = nodes[i % len(nodes)].call("POST", path, body, key=key)
        if status == 200:
            return True
        time.sleep(0.3)
    return False


def job_state(nodes, path, key=None):
    """Return a job's state from the first node that can tell it: "gone" if
    there is no such job.  Return "unknown" if no node can tell."""
    for node in nodes:
        status, text, _ = node.call("GET", path, key=key)
        if status == 200:
            return json.loads(text)["state"]
        if status == 410:
            return "gone"
    return "unknown"


def kill_nodes(nodes):
    for node in nodes:
        if node.process.poll() is None:
            node.process.kill()
        node.process.wait()
