#!/usr/bin/env python3
"""Slopes of control with real processes: nodes, VMs and changes.

Starts the stand-in and N idle nodes on loopback, lets them settle, and reads
each node's own counters twice.  Prints control bytes, processor time and
memory of a node, at several sizes.  Every process started is ended.

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
    """Free ports below those of outgoing connections."""
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


class Run:
    """A stand-in and some nodes."""

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
        raise RuntimeError("no node took the configuration")

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
    """Return the mean figures of a node over MEASURE_S."""
    picked = range(0, len(run.nodes), max(1, len(run.nodes) // 8))
    before = {i: run.counters(i) for i in picked}
    time.sleep(MEASURE_S)
    after = {i: run.counters(i) for i in picked}

    def mean(values):
        values = list(values)
        return sum(values) / len(values)

    def counter(name):
        return mean(rate(before[i], after[i], name) for i in picked)

    return {
        "peer sent B/s": counter("peer_bytes_sent"),
        "peer received B/s": counter("peer_bytes_received"),
        "log read B/s": counter("log_bytes_read"),
        "VM list B/s": counter("vm_list_bytes_read"),
        "log appends/s": counter("log_appends") * len(run.nodes),
        "cpu % of a core": mean(
            (cpu_us(after[i]) - cpu_us(before[i])) / MEASURE_S / 1e4
            for i in picked),
        "resident MB": mean(resident_kb(run.nodes[i]) / 1024
                            for i in picked),
    }


def fit(xs, ys):
    n = len(xs)
    mx, my = sum(xs) / n, sum(ys) / n
    sxx = sum((x - mx) ** 2 for x in xs)
    slope = sum((x - mx) * (y - my) for x, y in zip(xs, ys)) / sxx
    intercept = my - slope * mx
    top = max(abs(y) for y in ys) or 1.0
    off = max(abs(y - intercept - slope * x) for x, y in zip(xs, ys))
    return slope, intercept, 100 * off / top


def report(what, rows):
    xs = [x for x, _ in rows]
    print(f"\nby {what}")
    for name in rows[0][1]:
        ys = [row[name] for _, row in rows]
        slope, intercept, off = fit(xs, ys)
        points = "  ".join(f"{x}: {y:.4g}" for x, y in zip(xs, ys))
        print(f"  {name:18} slope {slope:.4g}, intercept {intercept:.4g}, "
              f"residual {off:.0f}%   [{points}]", flush=True)


def one(binary, standin, nodes, vms, changes=0.0):
    run = Run(binary, standin, nodes, vms)
    try:
        run.publish()
        time.sleep(SETTLE_S)
        if changes == 0:
            return measure(run)
        return measure_changes(run, changes)
    finally:
        run.end()


def measure_changes(run, changes):
    """Publish CHANGES a second while measuring."""
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
    figures = measure(run)
    thread.join()
    return figures


def main():
    binary, standin = sys.argv[1], sys.argv[2]
    what = sys.argv[3] if len(sys.argv) > 3 else "nodes"
    if what == "nodes":
        sizes = [2, 4, 8, 16, 32, 64]
        report(what, [(n, one(binary, standin, n, 50)) for n in sizes])
    elif what == "vms":
        sizes = [50, 500, 2000, 5500]
        report(what, [(n, one(binary, standin, 2, n)) for n in sizes])
    else:
        sizes = [0.0, 0.1, 0.5, 2.0]
        report("changes a second",
               [(n, one(binary, standin, 3, 50, n)) for n in sizes])


if __name__ == "__main__":
    main()
