#!/usr/bin/env python3
"""Measure how the control traffic of real nodes grows.

Starts the platform stand-in and N idle nodes on loopback, waits until they are
steady, and reads each node's counters twice, 10 s apart.  Prints the control
traffic, processor time and memory of a node at several numbers of nodes, of
VMs or of configuration changes per second.  Kills every process that it
started.

usage: capacity_nodes.py BURDOCKSHED STANDIN [nodes|vms|changes]
"""

import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

TOKEN = "capacity-admin-token"
SETTLE_S = 6
MEASURE_S = 10
POOLS = ["search", "reconcile", "claims", "archive", "letters"]


def free_ports(count):
    """Return COUNT free ports below the range of outgoing connections."""
    ports = set()
    while len(ports) < count:
        port = random.randrange(10000, 32000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.add(port)
    return list(ports)


def call(port, path, body=None):
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}", data=body,
        headers={"Authorization": "Bearer " + TOKEN})
    with urllib.request.urlopen(request, timeout=30) as answer:
        return answer.read().decode()


class Deployment:
    """A running platform stand-in and its nodes."""

    def __init__(self, binary, standin, nodes, vms):
        self.directory = tempfile.TemporaryDirectory()
        self.children = []
        ready = os.path.join(self.directory.name, "ready")
        share = max(1, vms // len(POOLS))
        pools = ",".join(f"{p}:{share}" for p in POOLS)
        self.start([standin, "--ready", ready, "--pools", pools, "--silent"])
        while not os.path.exists(ready):
            time.sleep(0.05)
        with open(ready, encoding="ascii") as f:
            self.platform = int(f.read())
        ports = free_ports(3 * nodes)
        self.admin = ports[nodes:2 * nodes]
        peers = [{"node": f"n{i + 1}", "address": "127.0.0.1",
                  "port": ports[2 * nodes + i]} for i in range(nodes)]
        self.nodes = [self.start_node(binary, i, ports, peers)
                      for i in range(nodes)]

    def start(self, argv, log=None):
        child = subprocess.Popen(argv, stderr=log)
        self.children.append(child)
        return child

    def start_node(self, binary, i, ports, peers):
        n = len(peers)
        settings = {
            "node": peers[i]["node"], "zone": f"zone-{i % 4 + 1}",
            "callers": {"address": "127.0.0.1", "port": ports[i]},
            "admin": {"address": "127.0.0.1", "port": ports[n + i]},
            "peer": {"address": "127.0.0.1", "port": ports[2 * n + i]},
            "platform": {"address": "127.0.0.1", "port": self.platform},
            "admin_token": TOKEN, "peer_key": "capacity-peer-key-0123",
            "peers": [p for k, p in enumerate(peers) if k != i],
        }
        path = os.path.join(self.directory.name, f"n{i}.json")
        with open(path, "w", encoding="ascii") as f:
            json.dump(settings, f)
        with open(path + ".log", "wb") as log:
            return self.start([binary, "serve", "--settings", path], log)

    def publish(self):
        with open("examples/kandy/configuration.json", "rb") as f:
            text = f.read()
        for _ in range(50):
            try:
                call(self.admin[0], "/admin/v1/configuration", text)
                return
            except OSError:
                time.sleep(0.2)
        raise RuntimeError("no node accepted the configuration within 10 s")

    def counters(self, i):
        rows = {}
        for line in call(self.admin[i], "/metrics").splitlines():
            name, _, value = line.rpartition(" ")
            rows[name] = float(value)
        return rows

    def end(self):
        for child in self.children:
            child.kill()
        for child in self.children:
            child.wait()
        self.directory.cleanup()


def cpu_us(rows):
    return sum(v for k, v in rows.items() if k.startswith("task_cpu_us"))


def resident_kb(child):
    with open(f"/proc/{child.pid}/status", encoding="ascii") as f:
        for line in f:
            if line.startswith("VmRSS:"):
                return float(line.split()[1])
    return 0.0


def rate(before, after, name):
    return (after.get(name, 0) - before.get(name, 0)) / MEASURE_S


def measure(run):
    """Return the mean of each metric of up to about 8 nodes over MEASURE_S."""
    sampled = range(0, len(run.nodes), max(1, len(run.nodes) // 8))
    before = {i: run.counters(i) for i in sampled}
    time.sleep(MEASURE_S)
    after = {i: run.counters(i) for i in sampled}

    def mean(values):
        values = list(values)
        return sum(values) / len(values)

    def counter(name):
        return mean(rate(before[i], after[i], name) for i in sampled)

    return {
        "peer sent B/s": counter("peer_bytes_sent"),
        "peer received B/s": counter("peer_bytes_received"),
        "log read B/s": counter("log_bytes_read"),
        "VM list B/s": counter("vm_list_bytes_read"),
        "log appends/s": counter("log_appends") * len(run.nodes),
        "cpu % of a core": mean(
            (cpu_us(after[i]) - cpu_us(before[i])) / MEASURE_S / 1e4
            for i in sampled),
        "resident MB": mean(resident_kb(run.nodes[i]) / 1024
                            for i in sampled),
    }


def fit_line(xs, ys):
    n = len(xs)
    mean_x, mean_y = sum(xs) / n, sum(ys) / n
    sxx = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / sxx
    intercept = mean_y - slope * mean_x
    max_abs_y = max(abs(y) for y in ys) or 1.0
    residual = max(abs(y - intercept - slope * x) for x, y in zip(xs, ys))
    return slope, intercept, 100 * residual / max_abs_y


def report(what, rows):
    xs = [x for x, _ in rows]
    print(f"\nby {what}")
    for name in rows[0][1]:
        ys = [row[name] for _, row in rows]
        slope, intercept, residual = fit_line(xs, ys)
        points = "  ".join(f"{x}: {y:.4g}" for x, y in zip(xs, ys))
        print(f"  {name:18} slope {slope:.4g}, intercept {intercept:.4g}, "
              f"residual {residual:.0f}%   [{points}]", flush=True)


def measure_at(binary, standin, nodes, vms, changes=0.0):
    run = Deployment(binary, standin, nodes, vms)
    try:
        run.publish()
        time.sleep(SETTLE_S)
        if changes == 0:
            return measure(run)
        return measure_changes(run, changes)
    finally:
        run.end()


def measure_changes(run, changes):
    """Publish CHANGES configurations per second while measuring."""
    import threading
    stop = time.monotonic() + MEASURE_S + 1

    def publisher():
        due = time.monotonic()
        while time.monotonic() < stop:
            run.publish()
            due += 1 / changes
            time.sleep(max(0.0, due - time.monotonic()))

    thread = threading.Thread(target=publisher)
    thread.start()
    metrics = measure(run)
    thread.join()
    return metrics


def main():
    binary, standin = sys.argv[1], sys.argv[2]
    what = sys.argv[3] if len(sys.argv) > 3 else "nodes"
    if what == "nodes":
        sizes = [2, 4, 8, 16, 32, 64]
        report(what, [(n, measure_at(binary, standin, n, 50)) for n in sizes])
    elif what == "vms":
        sizes = [50, 500, 2000, 5500]
        report(what, [(n, measure_at(binary, standin, 2, n)) for n in sizes])
    else:
        sizes = [0.0, 0.1, 0.5, 2.0]
        report("changes a second",
               [(n, measure_at(binary, standin, 3, 50, n)) for n in sizes])


if __name__ == "__main__":
    main()
