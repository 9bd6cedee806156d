"""A host that records what a node asks of it, and short ways to make nodes and backends."""

from basalthoist.decisions.host import Listed
from basalthoist.decisions.policy import Node

SECOND = 10_000
NOW = 100 * SECOND


class RecordingHost:
    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        return lambda *args: self.calls.append((name, *args))

    def take(self, *names):
        """The calls of these names so far; all calls are dropped."""
        found = [c for c in self.calls if c[0] in names]
        self.calls.clear()
        return found


def settings(semantics="retriable", **more):
    """One route; `more` uses __ for the dot."""
    base = {
        "nodes": 2, "location": 0, "tick": 10, "routes.count": 1, "routes.0.semantics": semantics,
        "routes.0.group": "pod", "routes.0.dedup_window": 5 * SECOND, "routes.0.latency_objective": 3000,
        "routes.0.overall_timeout": 8000, "routes.0.value": 1.0, "policy_limits.max_upstream_tries": 3,
        "policy_limits.cancel": True, "rules.warm_within": 5 * SECOND, "rules.cold_from": 0.25,
        "rules.fall_multiple": 2.0, "rules.overload_for": SECOND, "rules.drain_grace": SECOND,
    }  # fmt: skip
    return base | {k.replace("__", "."): v for k, v in more.items()}


def listed(name, location=0, kind=0, pod=0, state="healthy", weight=1.0, started=None):
    return Listed(name, location, kind, pod, state, weight, started)


def node(entries, now=NOW, seed=7, **kw):
    host = RecordingHost()
    made = Node(host, seed, settings(**kw), now)
    made.on_list(now, entries, True)
    return made, host
