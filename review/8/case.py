"""A rolling restart: three nodes get SIGTERM in turn, and each is started
again when it has ended, while clients keep their connections open."""

import http.client
import json
import signal
import socket
import subprocess
import threading
import time

import harness

NODES = 3
GAP_S = 1.3            # as in the site's troubles
GRACE_S = 6
LOSS_SLACK_S = 0.2
TIMEOUT_S = 3
CLIENTS = 60
PERIOD_S = 4           # between two requests of a client
TRAFFIC_S = 24
ROLL_AFTER_S = 9
LASTING_JOBS = 20


class Entry(threading.Thread):
    """The platform's entry of PROTOCOL.md, "Ingress": asks each node once a
    second whether it is ready.  A node that has missed twice gets no new
    connections until it answers 200 again; all are used if fewer than half
    are in rotation."""

    def __init__(self, nodes):
        super().__init__(daemon=True)
        self.nodes = nodes
        self.misses = [0] * len(nodes)

    def run(self):
        while True:
            for n in self.nodes:
                is_ready = n.call("GET", "/-/ready",
                                  port=n.readiness_port)[0] == 200
                self.misses[n.number] = \
                    0 if is_ready else self.misses[n.number] + 1
            time.sleep(1)

    def usable(self):
        good = [n for n in self.nodes if self.misses[n.number] < 2]
        return good if 2 * len(good) >= len(self.nodes) else self.nodes


class Client(threading.Thread):
    """Sends a request each PERIOD_S over one connection, which stays with its
    node until the node closes it."""

    def __init__(self, record, platform, entry, number, until_s):
        super().__init__(daemon=True)
        self.record, self.platform = record, platform
        self.entry, self.number, self.until_s = entry, number, until_s
        self.node = self.connection = None
        self.cut = []  # (method, node, sent, cut)
        self.answers = 0

    def request_of(self, turn):
        if self.number % 3 != 0:
            return "GET", "/search/%016x" % (0xb000 + self.number
                                             % LASTING_JOBS), None
        job = "%016x" % (0xc0000 + turn * 100 + self.number)
        self.platform.jobs[job] = [{"count": 1, "cpu": 500, "mem_mb": 100,
                                    "estimate_ms": 500}]
        return "POST", "/search/" + job, json.dumps(
            {"spec": "500", "steps": self.platform.jobs[job]})

    def close(self):
        self.connection.close()
        self.connection = None

    def ask(self, turn):
        method, path, body = self.request_of(turn)
        if self.connection is None:
            usable = self.entry.usable()
            self.node = usable[(self.number + turn) % len(usable)]
            self.connection = http.client.HTTPConnection(
                "127.0.0.1", self.node.callers_port, timeout=TIMEOUT_S + 1)
        try:
            self.connection.request(method, path, body=body, headers={
                "Host": "desk.example", "Content-Type": "application/json",
                "X-Timeout-Ms": str(TIMEOUT_S * 1000)})
        except OSError:
            self.close()
            return  # nothing has been read
        sent_s = time.monotonic()
        will_close = True
        try:
            r = self.connection.getresponse()
            r.read()
            outcome, will_close = str(r.status), r.will_close
            self.answers += 1
        except socket.timeout:
            outcome = "no answer in time"
        except (OSError, http.client.HTTPException):
            outcome = "cut"
            self.cut.append((method, self.node, sent_s, time.monotonic()))
        self.record("%s %s at node-%d: %s after %d ms"
                    % (method, path, self.node.number, outcome,
                       1000 * (time.monotonic() - sent_s)))
        if will_close:
            self.close()

    def run(self):
        begun_s = time.monotonic() + PERIOD_S * self.number / CLIENTS
        turn = 0
        while begun_s + turn * PERIOD_S < self.until_s:
            time.sleep(max(begun_s + turn * PERIOD_S - time.monotonic(), 0))
            self.ask(turn)
            turn += 1


def restart(record, node, stopped_s):
    stopped_s[node.number] = time.monotonic()
    record("SIGTERM to node-%d" % node.number)
    node.process.send_signal(signal.SIGTERM)
    try:
        node.process.wait(GRACE_S)
    except subprocess.TimeoutExpired:
        node.process.kill()
        node.process.wait()
    record("node-%d has ended %.1f s after its SIGTERM"
           % (node.number, time.monotonic() - stopped_s[node.number]))
    node.start()


def roll(record, nodes, stopped_s):
    time.sleep(ROLL_AFTER_S)
    threads = []
    for node in nodes:
        threads.append(threading.Thread(target=restart,
                                        args=[record, node, stopped_s]))
        threads[-1].start()
        time.sleep(GAP_S)
    for t in threads:
        t.join()


def is_lost(cut, stopped_s):
    """Return whether the rule counts the request CUT."""
    _, node, sent_s, cut_s = cut
    stopped = stopped_s.get(node.number)
    return stopped is not None and stopped <= cut_s <= stopped + GRACE_S + 1 \
        and LOSS_SLACK_S < cut_s - sent_s < TIMEOUT_S


def main(record, directory, nodes):
    platform = harness.Platform(["search"], 3)
    nodes += harness.start_nodes(platform, NODES, directory)
    harness.wait_for_owners(platform, nodes, ["search", "fleet"])
    time.sleep(2)
    for i in range(LASTING_JOBS):
        job = "%016x" % (0xb000 + i)
        platform.jobs[job] = [{"count": 1, "cpu": 1000, "mem_mb": 500,
                               "estimate_ms": 1000}]
        nodes[0].call("POST", "/search/" + job,
                      {"spec": "60000", "steps": platform.jobs[job]})
    entry = Entry(nodes)
    entry.start()
    stopped_s = {}
    until_s = time.monotonic() + TRAFFIC_S
    clients = [Client(record, platform, entry, i, until_s)
               for i in range(CLIENTS)]
    for c in clients:
        c.start()
    if harness.has_trouble():
        roll(record, nodes, stopped_s)
    for c in clients:
        c.join()
    if sum(c.answers for c in clients) < CLIENTS:
        raise harness.NotRun("too few answers")
    lost = [cut for c in clients for cut in c.cut if is_lost(cut, stopped_s)]
    for method, node, sent_s, cut_s in lost:
        record("%s sent %.1f s after node-%d's SIGTERM was cut %d ms later"
               " without an answer" % (method, sent_s - stopped_s[node.number],
                                       node.number, 1000 * (cut_s - sent_s)))
    record("requests that were cut without an answer: %d" % len(lost))
    return harness.BROKEN if lost else harness.HELD


harness.run_case(main)
