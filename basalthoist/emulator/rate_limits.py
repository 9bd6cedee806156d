"""Limits shared by replicas in simulated time: traffic that moves among the nodes, and a judge of the sum.

What a node may use is asked of its buckets, at its own clock, whether or not it is frozen: the limit has to
hold for whatever any node could do at that moment.
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
from .replicas import TICK, UNITS_PER_SECOND, Broken, ReplicaNode, Replicas

SLACK = 0.01  # requests a second: what rounding may leave
USUAL_BOUNDS = Bounds(20_000, 2_000, 10_000, 40_000, 0.001, 60_000)
MAX_WAITING = 100.0  # requests that wait at a frozen node
WINDOWS = 0.1, 0.5, 1.0, 2.0, 5.0  # seconds


def allowed(rate: float, burst: float, nodes: int, drift: float, seconds: float) -> float:
    """The bound of docs/fleet.md on what a fleet admits within any so many seconds."""
    return rate * seconds * (1 + drift) + max(burst, nodes) + nodes


def max_in_window(times: Sequence[float], window: float) -> int:
    """The most of the times, which are in order, that lie in any one window."""
    return max((bisect_right(times, at + window) - number for number, at in enumerate(times)), default=0)


class WindowCount(NamedTuple):
    """The most that was admitted within one window, and what docs/fleet.md allows."""

    seconds: float
    admitted: int
    allowed: float


class LimitedReplicas(Replicas):
    """One limit. `loads`: requests a second that come to each node; those of one that is down are lost."""

    def __init__(
        self, count: int, voters: int, seed: int, bounds: Bounds, limit: Limit, **options: Any
    ) -> None:
        self.loads: dict[str, float] = {}
        self.waiting: dict[str, float] = {}  # requests that have come to each node
        self.admitted: list[int] = []  # when each was, in true time
        self.admitted_by: dict[str, int] = {}
        self.highest_rate: float = 0.0
        super().__init__(count, voters, seed, bounds, limits=[limit], **options)
        self.limit: Limit = limit

    def happen(self, what: tuple) -> None:
        """With each tick requests come."""
        super().happen(what)
        if what[0] != "tick":
            return
        node = self.replica_nodes[what[1]]
        coming = self.loads.get(node.name, 0.0) * TICK / UNITS_PER_SECOND
        self.waiting[node.name] = min(self.waiting.get(node.name, 0.0) + coming, MAX_WAITING)
        if node.replica is not None and not node.frozen:
            self.arrive(node)

    def wake(self, name: str) -> None:
        """What has waited at a frozen node is admitted before the node has looked at anything else."""
        node = self.replica_nodes[name]
        if node.frozen:
            node.frozen = False
            self.arrive(node)
            node.frozen = True
        super().wake(name)

    def arrive(self, node: ReplicaNode) -> None:
        """The node decides on what waits, spread over the time since it was last looked at."""
        bucket, now = node.holder.buckets[0], node.now()
        count = int(self.waiting.get(node.name, 0.0))
        self.waiting[node.name] = self.waiting.get(node.name, 0.0) - count
        for number in range(count):
            if bucket.take(max(bucket.filled_at, now - TICK + (number + 1) * TICK // count)):
                self.admitted.append(self.at)
                self.admitted_by[node.name] = self.admitted_by.get(node.name, 0) + 1

    def total_rate(self) -> float:
        """What all nodes together may admit a second at this moment."""
        running = [node for node in self.replica_nodes.values() if node.replica is not None]
        return sum(node.holder.buckets[0].rate(node.now()) for node in running)

    def judge(self) -> None:
        """Raises Broken where the sum is over the limit."""
        super().judge()
        total = self.total_rate()
        self.highest_rate = max(self.highest_rate, total)
        if total > self.limit.rate + SLACK:
            raise Broken(f"nodes may use {total:.2f}/s of {self.limit.rate:.2f}/s together")

    def windows(self, lengths: tuple[float, ...] = WINDOWS) -> list[WindowCount]:
        """For windows of these lengths in seconds the most that was admitted within one."""
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
        """Admitted a second."""
        return sum(since <= at < until for at in self.admitted) / (until - since) * UNITS_PER_SECOND


def fairness(shares: list[float]) -> float:
    """Jain's index: 1 where all have as much, 1 / n where one has all (Jain, Chiu and Hawe 1984)."""
    squares = sum(share * share for share in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 1.0


class ByteCountingReplicas(Replicas):
    """Counts what each node sends, in bytes with headers."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        self.bytes: Counter[str] = Counter()
        super().__init__(*arguments, **options)

    def sent(self, source: ReplicaNode, name: str, message: Message) -> None:
        """Counts a message."""
        envelope = Envelope(source.name, INCARNATION, name, INCARNATION, message)
        self.bytes[source.name] += len(ENCODE(envelope)) + OVERHEAD
        super().sent(source, name, message)


class LargeFleet(LimitedReplicas, ByteCountingReplicas):
    """Too large to judge at every message: the sum is looked at ten times a second."""

    judged_at = -1

    def judge(self) -> None:
        """Judges in the first tick of each tenth of a second."""
        if self.at % 1000 < TICK and self.at != self.judged_at:
            self.judged_at = self.at
            super().judge()


def measured(count: int, seed: int = 1, per_node: float = 10.0) -> dict[str, float | None]:
    """A fleet whose limit is half of what comes; then all of it comes to one node in nine.

    Seconds until 95% of the limit is used again and for a second; shares while all want as much; bytes.
    """
    limit = Limit("any", per_node * count / 2, 4.0 * count)
    fleet = LargeFleet(count, 5, seed, USUAL_BOUNDS, limit)
    fleet.loads = dict.fromkeys(fleet.names, per_node)
    fleet.run(8 * USUAL_BOUNDS.lease)
    before = dict(fleet.admitted_by)
    fleet.bytes.clear()
    began = time.process_time()
    fleet.run(fleet.at + 5 * UNITS_PER_SECOND)
    took = time.process_time() - began
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
        "simulated_cpu_s": took,
    }


def seconds_to_shift(fleet: LimitedReplicas, hot: list[str]) -> float | None:
    """All traffic comes to the hot nodes: when the limit is used again. None: not within five seconds."""
    since, rate = fleet.at, fleet.limit.rate
    fleet.loads = {name: 2 * rate / len(hot) for name in hot}
    fleet.run(fleet.at + 6 * UNITS_PER_SECOND)
    starts = range(since, fleet.at - UNITS_PER_SECOND, 1000)
    used = [at for at in starts if fleet.admitted_rate(at, at + UNITS_PER_SECOND) >= 0.95 * rate]
    return (used[0] - since) / UNITS_PER_SECOND if used else None


def leader_ms(count: int, limits: int = 1, times: int = 20) -> float:
    """Processor time of the leader's books for one round of heartbeats, in ms."""
    many = [Limit(f"c{number}", 1000.0, 10.0) for number in range(limits)]
    granter = QuotaLeaseGranter(many, count, USUAL_BOUNDS, 0)
    names = [f"n{number}" for number in range(count)]
    began = time.process_time()
    for number in range(times):
        now = granter.silent_until + number * USUAL_BOUNDS.heartbeat_interval
        for place, name in enumerate(names):
            demand = Demand([(i, 5.0 + place % 7) for i in range(limits)], False, True)
            granter.on_demand(now, name, demand, now - 500)
        granter.plan(now, [limit.rate for limit in many])
        for name in names:
            granter.grants(now, name)
    return (time.process_time() - began) / times * 1000
