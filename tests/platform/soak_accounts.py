"""The client accounts of the soak test."""

import glob
import os

from soak_jobs import HOT, STEADY, URGENT

# Caps that a fault draws from; the largest serve all jobs in time.
CPU_CAPS = {HOT: [3000, 6000, 12000], "calm": [2000, 4000, 8000]}
# A task needs half as much memory in MB as it needs cpu, so either may bind.
MEMORY_PER_CPU = [0, 0.4, 1]
STRAGGLER_SHARE = 0.08


class Accounts:
    def __init__(self, soak):
        self.soak = soak
        self.platform = soak.platform
        self.caps = {name: (caps[1], 0) for name, caps in CPU_CAPS.items()}
        self.caps[STEADY] = (0, 0)
        self.keyless = set()  # accounts whose second key is taken away
        self.platform.straggler_share = STRAGGLER_SHARE
        for route in list(self.platform.routes):
            service = route["backend"]
            self.platform.routes.append(dict(
                route, name="u-" + service,
                path_prefix="/%s/" % (URGENT % service)))
            soak.queue_services[URGENT % service] = [service]
            route["priority"] = 1
        self.publish()

    def names(self):
        return sorted(self.caps)

    def kept_key(self, name):
        return "key-%s-kept" % name

    def second_key(self, name):
        return "key-%s-2nd" % name

    def keys(self, name):
        return [self.kept_key(name), self.second_key(name)]

    def publish(self):
        self.platform.accounts = [
            {"name": n, "weight": 40, "priority": 0,
             "api_keys": self.keys(n)[:1 if n in self.keyless else 2],
             "cap": {"cpu": cpu, "mem_mb": memory, "gpu": 0}}
            for n, (cpu, memory) in self.caps.items()]
        self.platform.publish_configuration()

    def change(self, rng):
        """Draw an account's cap anew, and take a key away or add it."""
        name = rng.choice(sorted(CPU_CAPS))
        cpu = rng.choice(CPU_CAPS[name])
        self.caps[name] = (cpu, int(cpu * rng.choice(MEMORY_PER_CPU)))
        keyed = rng.choice(self.names())
        self.keyless ^= {keyed}
        self.publish()
        return "cap of %s: %s, key %s of %s" % (
            name, self.caps[name],
            "taken away" if keyed in self.keyless else "added", keyed)

    def raise_caps(self):
        self.caps.update({n: (caps[-1], 0) for n, caps in CPU_CAPS.items()})
        self.publish()

    def check(self):
        """Report keys in logs, and nodes that serve keys of another version
        than the newest, when all faults are over."""
        for node in self.soak.nodes:
            for name in self.names():
                for key in self.keys(name):
                    is_valid = key == self.kept_key(name) \
                        or name not in self.keyless
                    status = node.call("GET", "/search/", key=key)[0]
                    if status != (200 if is_valid else 401):
                        self.soak.report_violation(
                            "%d from node-%d to %s, valid: %s" % (
                                status, node.number, key, is_valid))
        for path in glob.glob(os.path.join(self.soak.directory,
                                           "node-*.log")):
            with open(path, errors="replace") as f:
                text = f.read()
            for name in self.names():
                if any(k in text for k in self.keys(name)):
                    self.soak.report_violation("key in " + path)
