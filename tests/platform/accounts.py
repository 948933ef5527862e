"""Client accounts with real nodes: accounts.py BURDOCKSHED.  Guards against
requests that are served without a valid key, also on open connections once a
configuration has taken the key away; against an account that has more running
than its cap, over all workers of all services and while owners are replaced;
and against keys in the logs.  Prints what callers see."""

import glob
import http.client
import os
import socket
import sys
import tempfile

from nodes import Node, job_body, job_state, kill_nodes, submit, wait_for
from standin import Platform

KEYS = {"narrow": "key-narrow-8c41", "wide": "key-wide-77d0"}
REMOVED_KEY = "key-removed-19ab"
ADDED_KEY = "key-added-e5f2"
UNKNOWN_KEY = "key-unknown-4d63"
NARROW_CPU = 3000
WIDE_MEMORY_MB = 2000
JOBS_PER_QUEUE = 3


def accounts(more_key):
    return [{"name": "narrow", "api_keys": [KEYS["narrow"]], "priority": 0,
             "weight": 50, "cap": {"cpu": NARROW_CPU, "mem_mb": 0, "gpu": 0}},
            {"name": "wide", "api_keys": [KEYS["wide"], more_key],
             "priority": 0, "weight": 50,
             "cap": {"cpu": 0, "mem_mb": WIDE_MEMORY_MB, "gpu": 0}}]


class Connection:
    """An open connection that may carry several requests ahead."""

    def __init__(self, node):
        self.socket = socket.create_connection(
            ("127.0.0.1", node.callers_port), 10)

    def statuses(self, keys):
        """Send a request with each of KEYS at once; return the statuses."""
        self.socket.sendall(b"".join(
            b"GET /search/ HTTP/1.1\r\nHost: desk.example\r\n"
            b"Authorization: Token %s\r\n\r\n" % k.encode() for k in keys))
        answers = []
        for _ in keys:
            r = http.client.HTTPResponse(self.socket)
            r.fp.close()
            # Unbuffered, so that it reads nothing of the next response.
            r.fp = self.socket.makefile("rb", 0)
            r.begin()
            r.read()
            answers.append(r.status)
        return answers


def settled(ask):
    """Return what ASK returns once it holds no refusal of a node that cannot
    confirm its configuration or reach an owner at the moment."""
    answers = []

    def is_settled():
        answers[:] = ask()
        return not {0, 503, 504}.intersection(answers)
    wait_for("answers", is_settled)
    return answers


def statuses(nodes, key=None, path="/search/"):
    return settled(lambda: [n.call("GET", path, key=key)[0] for n in nodes])


def check_keys(platform, nodes):
    print("with a key:", statuses(nodes, KEYS["wide"]))
    print("without a key:", statuses(nodes))
    print("with an unknown key:", statuses(nodes, UNKNOWN_KEY))
    print("a public queue without a key:", statuses(nodes, path="/open/"))
    print("a public queue with an unknown key:",
          statuses(nodes, UNKNOWN_KEY, "/open/"))
    print("a submission without a key:",
          nodes[0].call("POST", "/search/%016x" % 1, job_body(1, 100))[0],
          "state:", job_state(nodes, "/search/%016x" % 1, KEYS["wide"]))

    connections = [Connection(n) for n in nodes]
    print("before it is taken away:",
          [settled(lambda c=c: c.statuses([REMOVED_KEY] * 2))
           for c in connections])
    print("before it is added:", statuses(nodes, ADDED_KEY))
    platform.accounts = accounts(ADDED_KEY)
    platform.publish_configuration()
    wait_for("refusals on open connections", lambda: all(
        c.statuses([REMOVED_KEY]) == [401] for c in connections))
    print("taken away, sent ahead on an open connection:",
          [settled(lambda c=c: c.statuses([REMOVED_KEY, KEYS["wide"],
                                           REMOVED_KEY]))
           for c in connections])
    print("taken away, on a new connection:", statuses(nodes, REMOVED_KEY))
    print("added:", statuses(nodes, ADDED_KEY))


def send_job(platform, nodes, account, path, body):
    platform.jobs[path[-16:]] = body["steps"]
    platform.job_accounts[path[-16:]] = account
    return submit(nodes, path, body, KEYS[account])


def check_alone(platform, nodes):
    """An account that is alone reaches its cap in either service."""
    for path in ("/search/%016x" % 2, "/archive/%016x" % 3):
        send_job(platform, nodes, "narrow", path, job_body(6, 60000))
        wait_for("the whole cap", lambda: platform.account_use("narrow")["cpu"]
                 == NARROW_CPU)
        print("alone at %s, it uses its cap" % path.split("/")[1])
        wait_for("cancellation", lambda p=path: nodes[0].call(
            "DELETE", p, key=KEYS["narrow"])[0] == 200)
        wait_for("the end of its runs", lambda: platform.account_use("narrow")[
            "cpu"] == 0)


def kill_owner(platform, nodes, cell):
    """Kill CELL's owner; return the nodes that are left."""
    wait_for("an owner", lambda: platform.owner(cell) in
             [n.address() for n in nodes])
    owner = next(n for n in nodes if n.address() == platform.owner(cell))
    kill_nodes([owner])
    return [n for n in nodes if n is not owner]


def check_caps(platform, nodes):
    """Kill the ledger's node and then a cell's owner while the caps bind."""
    jobs = [(account, "/%s/%016x" % (queue, 256 * (i + 1) + k))
            for i, (queue, account) in enumerate(
                (q, a) for q in platform.services for a in KEYS)
            for k in range(JOBS_PER_QUEUE)]
    print("accepted:", {send_job(platform, nodes, account, path,
                                 job_body(6, 400, steps=2))
                        for account, path in jobs})
    ran = platform.count_runs()
    nodes = kill_owner(platform, nodes, "fleet")
    wait_for("ended runs without the ledger's node",
             lambda: platform.count_runs() > ran)
    nodes = kill_owner(platform, nodes, "archive")
    print("the ledger's node and an owner are killed; left:", len(nodes))
    # Each wait has a time limit of its own, as two owners are replaced.
    for account, path in jobs:
        wait_for("job " + path, lambda a=account, p=path: job_state(
            nodes, p, KEYS[a]) == "completed")
    print("completed:", len(jobs))

    large = job_body(1, 100)
    large["steps"][0]["cpu"] = NARROW_CPU + 1
    path = "/search/%016x" % 4
    print("beyond its account's cap, accepted:",
          send_job(platform, nodes, "narrow", path, large))
    wait_for("its failure", lambda: job_state(nodes, path, KEYS["narrow"])
             == "failed")
    print("state:", job_state(nodes, path, KEYS["narrow"]))


def keys_in_logs(directory):
    keys = list(KEYS.values()) + [REMOVED_KEY, ADDED_KEY, UNKNOWN_KEY]
    found = []
    for name in glob.glob(os.path.join(directory, "node-*.log")):
        with open(name, errors="replace") as f:
            text = f.read()
        found += [k for k in keys if k in text]
    return found


def main():
    directory = tempfile.mkdtemp()
    platform = Platform(["search", "archive"], 3)
    platform.routes.append({**platform.routes[0], "name": "q-open",
                            "path_prefix": "/open/", "public": True})
    platform.accounts = accounts(REMOVED_KEY)
    platform.publish_configuration()
    nodes = [Node(sys.argv[1], directory, platform, i) for i in range(4)]
    try:
        wait_for("the configuration and owners", lambda: set(
            statuses(nodes, KEYS["wide"]) + statuses(nodes, KEYS["wide"],
                                                     "/archive/")) == {200})
        check_keys(platform, nodes)
        check_alone(platform, nodes)
        check_caps(platform, nodes)
    finally:
        kill_nodes(nodes)
    print("keys in logs:", keys_in_logs(directory))
    print("violations:", platform.find_violations())


main()
