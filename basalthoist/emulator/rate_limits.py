"""Simulates shared rate limits under traffic that moves between nodes, and verifies the total rate.

The rate that a node may use is read from its token bucket by its own clock, even while the node is frozen:
the limit has to hold for everything that any node could admit at that moment.
"""

import time
from bisect import bisect_right
from collections import Counter
from collections.abc import Sequence
from typing import Any, NamedTuple

from basalthoist.fleet.bounds import Bounds
from basalthoist.fleet.quota_leases import Demand, Limit, QuotaLeaseGranter
from basalthoist.fleet.wire import ENCODE, Envelope, Message

from .membership import INCARNATION, OVERHEAD
from .replicas import TICK, UNITS_PER_SECOND, GuaranteeViolated, ReplicaNode, Replicas

RATE_TOLERANCE = 0.01  # requests per second, for rounding
USUAL_BOUNDS = Bounds(20_000, 2_000, 10_000, 40_000, 0.001, 60_000)
MAX_WAITING = 100.0  # requests queued at a node
WINDOWS = 0.1, 0.5, 1.0, 2.0, 5.0  # seconds


def allowed(rate: float, burst: float, nodes: int, drift: float, seconds: float) -> float:
    """Returns the bound of docs/fleet.md on the requests admitted within any window of `seconds`."""
    return rate * seconds * (1 + drift) + max(burst, nodes) + nodes


def max_in_window(times: Sequence[float], window: float) -> int:
    """Returns the largest number of the sorted times that lie in one window."""
    return max((bisect_right(times, at + window) - number for number, at in enumerate(times)), default=0)


class WindowCount(NamedTuple):
    """The most requests admitted within one window, and the bound of docs/fleet.md."""

    seconds: float
    admitted: int
    allowed: float


class LimitedReplicas(Replicas):
    """A fleet with one limit. `loads`: requests per second to each node; a node that is down loses them."""

    def __init__(
        self, count: int, voters: int, seed: int, bounds: Bounds, limit: Limit, **options: Any
    ) -> None:
        self.loads: dict[str, float] = {}
        self.waiting: dict[str, float] = {}  # requests queued at each node
        self.admitted: list[int] = []  # true time of each admitted request
        self.admitted_by: dict[str, int] = {}
        self.highest_rate: float = 0.0
        super().__init__(count, voters, seed, bounds, limits=[limit], **options)
        self.limit: Limit = limit

    def process_event(self, event: tuple) -> None:
        """Processes an event; with each tick of a node, new requests arrive at it."""
        super().process_event(event)
        if event[0] != "tick":
            return
        node = self.replica_nodes[event[1]]
        arriving = self.loads.get(node.name, 0.0) * TICK / UNITS_PER_SECOND
        self.waiting[node.name] = min(self.waiting.get(node.name, 0.0) + arriving, MAX_WAITING)
        if node.replica is not None and not node.frozen:
            self.arrive(node)

    def wake(self, name: str) -> None:
        """Ends a freeze. The node admits or rejects queued requests before it handles timers or messages."""
        node = self.replica_nodes[name]
        if node.frozen:
            node.frozen = False
            self.arrive(node)
            node.frozen = True
        super().wake(name)

    def arrive(self, node: ReplicaNode) -> None:
        """Admits or rejects the queued requests, as if they had arrived evenly over the last tick."""
        bucket, now = node.holder.buckets[0], node.now()
        count = int(self.waiting.get(node.name, 0.0))
        self.waiting[node.name] = self.waiting.get(node.name, 0.0) - count
        for number in range(count):
            if bucket.take(max(bucket.filled_at, now - TICK + (number + 1) * TICK // count)):
                self.admitted.append(self.at)
                self.admitted_by[node.name] = self.admitted_by.get(node.name, 0) + 1

    def total_rate(self) -> float:
        """Returns the requests per second that all nodes together may admit now."""
        running = [node for node in self.replica_nodes.values() if node.replica is not None]
        return sum(node.holder.buckets[0].rate(node.now()) for node in running)

    def verify(self) -> None:
        """Raises GuaranteeViolated if the total rate is over the limit."""
        super().verify()
        total = self.total_rate()
        self.highest_rate = max(self.highest_rate, total)
        if total > self.limit.rate + RATE_TOLERANCE:
            raise GuaranteeViolated(f"nodes may use {total:.2f}/s of {self.limit.rate:.2f}/s together")

    def windows(self, lengths: tuple[float, ...] = WINDOWS) -> list[WindowCount]:
        """Returns the most requests admitted within one window, for each length in seconds."""
        limit = self.limit.rate, self.limit.burst, len(self.names), self.bounds.drift
        return [
            WindowCount(
                seconds,
                max_in_window(self.admitted, int(seconds * UNITS_PER_SECOND)),
                allowed(*limit, seconds),
            )
            for seconds in lengths
        ]

    def admitted_rate(self, since: int, until: int) -> float:
        """Returns the mean number of requests admitted per second between two true times."""
        return sum(since <= at < until for at in self.admitted) / (until - since) * UNITS_PER_SECOND


def fairness(shares: list[float]) -> float:
    """Returns Jain's index (Jain, Chiu and Hawe 1984): 1 for n equal shares, 1 / n if one has all."""
    squares = sum(share * share for share in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 1.0


class ByteCountingReplicas(Replicas):
    """Counts the bytes that each node sends, with headers."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        self.bytes: Counter[str] = Counter()
        super().__init__(*arguments, **options)

    def transmit(self, source: ReplicaNode, name: str, message: Message) -> None:
        """Counts a message and transmits it."""
        envelope = Envelope(source.name, INCARNATION, name, INCARNATION, message)
        self.bytes[source.name] += len(ENCODE(envelope)) + OVERHEAD
        super().transmit(source, name, message)


class LargeFleet(LimitedReplicas, ByteCountingReplicas):
    """A fleet too large to verify after every message: the total rate is verified ten times per second."""

    verified_at = -1

    def verify(self) -> None:
        """Verifies in the first tick of each tenth of a second."""
        if self.at % 1000 < TICK and self.at != self.verified_at:
            self.verified_at = self.at
            super().verify()


def measure(count: int, seed: int = 1, per_node: float = 10.0) -> dict[str, float | None]:
    """Runs a fleet with twice the load of its limit, then moves all load to one node in nine.

    Returns the figures by name: fairness and the smallest share under equal load, bytes sent per second, the
    seconds until 95% of the limit is used again, and the highest total rate as a fraction of the limit.
    """
    limit = Limit("any", per_node * count / 2, 4.0 * count)
    fleet = LargeFleet(count, 5, seed, USUAL_BOUNDS, limit)
    fleet.loads = dict.fromkeys(fleet.names, per_node)
    fleet.run(8 * USUAL_BOUNDS.lease)
    before = dict(fleet.admitted_by)
    fleet.bytes.clear()
    began = time.process_time()
    fleet.run(fleet.at + 5 * UNITS_PER_SECOND)
    cpu_s = time.process_time() - began
    leader_bytes = fleet.bytes.pop(fleet.leader())
    shares = [fleet.admitted_by[name] - before.get(name, 0) for name in fleet.names]
    shift = seconds_to_shift(fleet, fleet.names[::9])
    return {
        "nodes": count,
        "jain": fairness(shares),
        "least": min(shares) / (sum(shares) / count),
        "shift_s": shift,
        "worst": fleet.highest_rate / limit.rate,
        "author_bytes_s": leader_bytes / 5,
        "other_bytes_s": sum(fleet.bytes.values()) / (count - 1) / 5,
        "simulated_cpu_s": cpu_s,
    }


def seconds_to_shift(fleet: LimitedReplicas, hot: list[str]) -> float | None:
    """Moves all load to the hot nodes; returns the seconds until 95% of the limit is used for one second.

    Returns None if that takes more than five seconds.
    """
    since, rate = fleet.at, fleet.limit.rate
    fleet.loads = {name: 2 * rate / len(hot) for name in hot}
    fleet.run(fleet.at + 6 * UNITS_PER_SECOND)
    starts = range(since, fleet.at - UNITS_PER_SECOND, 1000)
    recovered = [at for at in starts if fleet.admitted_rate(at, at + UNITS_PER_SECOND) >= 0.95 * rate]
    return (recovered[0] - since) / UNITS_PER_SECOND if recovered else None


def leader_ms(count: int, limits: int = 1, times: int = 20) -> float:
    """Returns the processor time that the leader's granter takes per round of heartbeats, in ms."""
    many = [Limit(f"c{number}", 1000.0, 10.0) for number in range(limits)]
    granter = QuotaLeaseGranter(many, count, USUAL_BOUNDS, 0)
    names = [f"n{number}" for number in range(count)]
    began = time.process_time()
    for number in range(times):
        now = granter.silent_until + number * USUAL_BOUNDS.heartbeat_interval
        for position, name in enumerate(names):
            demand = Demand([(i, 5.0 + position % 7) for i in range(limits)], False, True)
            granter.on_demand(now, name, demand, now - 500)
        granter.plan(now, [limit.rate for limit in many])
        for name in names:
            granter.grants(now, name)
    return (time.process_time() - began) / times * 1000
