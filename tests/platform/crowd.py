"""A node stays within its memory and descriptors whatever clients send, and
goes on serving ordinary callers: crowd.py BURDOCKSHED CROWD [--sanitized].
With --sanitized memory has no bound.  Each crowd reproduces one way in which
clients outside the operators' control exhausted a node: requests sent ahead
whose answers are never read, at each listener; heads and bodies that are never
finished; connections that never send anything.

The node's settings have low limits, so that a small crowd is enough.  The size
of the crowds and the bounds are fixed: change the product instead."""

import http.client
import os
import selectors
import socket
import sys
import tempfile
import time

from nodes import Node, job_body, kill_nodes, submit, wait_for
from standin import Platform

MEMORY_MB = 32
MAX_DESCRIPTORS = 256
# A crowd of pipelining clients, and what each sends; one request has about 60
# bytes.
PIPELINING_CLIENTS = 40
PIPELINED_BYTES = 2 * 1024 * 1024
# A crowd of clients with open connections and no complete request.
WAITING_CLIENTS = 300
# Body sizes within the limits of the callers' port and of the port for other
# nodes, and clients that send one without its last byte.
CALLER_BODY_BYTES = 262144
PEER_BODY_BYTES = 2 * 1024 * 1024
PEER_CLIENTS = 40
# Headers of an unfinished head, within the default of max_header_bytes.
SLOW_HEADERS = 3000
# The crowd ends when none of its connections has taken a byte for so long, or
# after the longest time altogether.
QUIET_S = 3
CROWD_MAX_S = 60
# Time for an answer of a node that works; no measure of its speed.
ANSWER_TIMEOUT_S = 60
REQUEST = "GET %s HTTP/1.1\r\nHost: desk.example\r\n\r\n"
JOB_PATH = "/search/%016x" % 1


class Crowd:
    """A number of connections to PORT that each send DATA and read nothing."""

    def __init__(self, node, port, clients, data):
        self.node = node
        self.selector = selectors.DefaultSelector()
        self.sockets = []
        self.max_descriptors = 0
        self.changed_s = time.monotonic()
        for _ in range(clients):
            self.connect(port, data)
            self.measure()

    def connect(self, port, data):
        s = socket.socket()
        self.sockets.append(s)
        s.settimeout(ANSWER_TIMEOUT_S)
        try:
            s.connect(("127.0.0.1", port))
        except OSError:
            return
        s.setblocking(False)
        if data:
            self.selector.register(s, selectors.EVENT_WRITE,
                                   [memoryview(data)])

    def measure(self):
        self.max_descriptors = max(self.max_descriptors,
                                   self.node.count_descriptors())

    def send_some(self, key):
        try:
            sent = key.fileobj.send(key.data[0][:65536])
        except BlockingIOError:
            return
        except OSError:  # the node may close the connection
            self.selector.unregister(key.fileobj)
            return
        self.changed_s = time.monotonic()
        key.data[0] = key.data[0][sent:]
        if not key.data[0]:
            self.selector.unregister(key.fileobj)

    def send_all(self):
        end_s = time.monotonic() + CROWD_MAX_S
        while self.node.is_alive():
            for key, _ in self.selector.select(0.1):
                self.send_some(key)
            self.measure()
            now_s = time.monotonic()
            if now_s > end_s or now_s > self.changed_s + QUIET_S:
                break

    def close(self):
        for s in self.sockets:
            s.close()
        self.selector.close()


class MeasuredNode(Node):
    def is_alive(self):
        return self.process.poll() is None

    def count_descriptors(self):
        try:
            return len(os.listdir("/proc/%d/fd" % self.process.pid))
        except OSError:
            return 0

    def peak_memory_kb(self):
        try:
            with open("/proc/%d/status" % self.process.pid) as f:
                return next(int(line.split()[1]) for line in f
                            if line.startswith("VmHWM:"))
        except (OSError, StopIteration):
            return 0


def ordinary_status(port, path):
    """Return the status of one request on a connection of its own."""
    c = http.client.HTTPConnection("127.0.0.1", port, timeout=ANSWER_TIMEOUT_S)
    try:
        c.request("GET", path, headers={"Host": "desk.example"})
        return c.getresponse().status
    except (OSError, http.client.HTTPException) as e:
        return repr(e)
    finally:
        c.close()


def pipelined(path):
    request = (REQUEST % path).encode()
    return request * (PIPELINED_BYTES // len(request))


def crowds(node):
    """Return what each crowd is: its listener's port, number of clients, what
    each sends, and the path and status of an ordinary request there."""
    half_head = (REQUEST % "/search/")[:-2].encode() \
        + b"a:\r\n" * SLOW_HEADERS
    probe_path = "/v1/cells/search?service=search"

    def half_body(path, size):
        head = "POST %s HTTP/1.1\r\nHost: desk.example\r\n" \
            "Content-Length: %d\r\n\r\n" % (path, size)
        return head.encode() + b" " * (size - 1)

    def flood(port, path, status):
        return port, PIPELINING_CLIENTS, pipelined(path), path, status
    return {
        "no_route": flood(node.callers_port, "/none/such", 404),
        "queue": flood(node.callers_port, "/search/", 200),
        "job": flood(node.callers_port, JOB_PATH, 200),
        "readiness": flood(node.readiness_port, "/-/ready", 200),
        "peers": flood(node.peer_port, probe_path, 200),
        "metrics": flood(node.metrics_port, "/metrics", 200),
        "slow_heads": (node.callers_port, WAITING_CLIENTS, half_head,
                       "/search/", 200),
        "slow_bodies": (node.callers_port, WAITING_CLIENTS,
                        half_body("/search/%016x" % 3, CALLER_BODY_BYTES),
                        "/search/", 200),
        "peer_bodies": (node.peer_port, PEER_CLIENTS,
                        half_body("/v1/jobs/%016x?service=search" % 3,
                                  PEER_BODY_BYTES), probe_path, 200),
        "idle": (node.callers_port, WAITING_CLIENTS, b"", "/search/", 200),
    }


def run_test(node, platform, name, is_sanitized):
    """Return a list of what does not hold."""
    wait_for("ready", lambda:
             node.call("GET", "/-/ready", port=node.readiness_port)[0] == 200)
    wait_for("owner", lambda: platform.owner("search"))
    if not submit([node], JOB_PATH, job_body(1, 100)):
        return ["no job accepted before the crowd"]
    port, clients, data, path, status = crowds(node)[name]
    before_mb = node.peak_memory_kb() / 1024
    crowd = Crowd(node, port, clients, data)
    crowd.send_all()
    # The crowd's connections are still open.
    answered = ordinary_status(port, path)
    accepted = submit([node], "/search/%016x" % 2, job_body(1, 100))
    alive = node.is_alive()
    peak_mb = node.peak_memory_kb() / 1024
    crowd.measure()
    crowd.close()
    print("crowd %s: alive %s, peak %.1f MB (before the crowd %.1f, bound %d),"
          " descriptors %d (bound %d), ordinary request %s, job accepted %s"
          % (name, alive, peak_mb, before_mb, MEMORY_MB, crowd.max_descriptors,
             MAX_DESCRIPTORS, answered, accepted))
    checks = {"the process ended": alive,
              "memory": 0 < peak_mb and (is_sanitized
                                         or peak_mb <= MEMORY_MB),
              "descriptors": crowd.max_descriptors <= MAX_DESCRIPTORS,
              "ordinary request": answered == status,
              "ordinary job": accepted}
    return [what for what, holds in checks.items() if not holds]


def main():
    binary, name = sys.argv[1:3]
    platform = Platform(["search"], 2)
    node = MeasuredNode(binary, tempfile.mkdtemp(), platform, 0,
                        more_settings={"memory_mb": MEMORY_MB,
                                       "max_descriptors": MAX_DESCRIPTORS})
    try:
        failures = run_test(node, platform, name, "--sanitized" in sys.argv[3:])
    finally:
        kill_nodes([node])
    for what in failures:
        print("failed:", what)
    return 1 if failures else 0


sys.exit(main())
