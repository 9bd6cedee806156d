"""Rate limits over the whole fleet: a guaranteed share for each node, and grants that the leader leases out.

A grant ends at the node counted from its own send of the reply that the grant answers; at the leader counted
from when it grants, longer by what clocks may drift apart. A node that is granted rates lends its guaranteed
share, for longer than a grant lasts; out of touch for so long it has that back. The leader grants only what
nobody can still use, so at every moment shares and grants together are within the limit: docs/fleet.md has
the proof. Rates are per second, times whole tenths of a millisecond of this node's clock.
"""

from typing import NamedTuple

from .bounds import Bounds
from .verdicts import QUOTA, VerdictSet

UNITS_PER_SECOND = 10_000
DEMAND_WINDOW = 3_000  # over which the demand is averaged
DEMAND_MARGIN = 1.25  # asked for beyond the demand, or a grant would always be a step behind
GRANT_STEPS_PER_UNIT = 1000  # a grant's rate is rounded down to one of so many steps

Rates = list[tuple[int, float]]  # by the limit's number


class Limit(NamedTuple):
    """`rate` requests a second of a tenant over the whole fleet, and `burst` more at once."""

    tenant: str
    rate: float
    burst: float


class Demand(NamedTuple):
    """What a node says of its limits in a heartbeat's reply."""

    rates: Rates
    returns_grants: bool
    lends: bool


class OutstandingGrant(NamedTuple):
    """A rate that a node may still use, at the longest until `end` of the leader's clock."""

    rate: float
    end: int


def rates_of(limits: list[Limit], verdicts: VerdictSet) -> list[float]:
    """The rates in force: a quota verdict comes before the file's rate."""
    changed = [verdicts.verdicts.get((QUOTA, limit.tenant)) for limit in limits]
    return [
        limit.rate if verdict is None else verdict.figure
        for limit, verdict in zip(limits, changed, strict=True)
    ]


class Bucket:
    """One limit at one node: a token bucket, filled at the guaranteed rate and at what is granted."""

    def __init__(self, capacity: float, now: int) -> None:
        # Guards against tokens made by restarts: what the incarnation before had left is gone with it.
        self.tokens: float = 0.0
        self.capacity: float = capacity
        self.filled_at: int = now
        self.guaranteed_rate: float = 0.0
        self.guaranteed_from: int = 0  # before that the guaranteed share is lent
        self.granted_rate: float = 0.0
        self.granted_until: int = now
        self.requests: int = 0  # since the demand was averaged last
        self.average_rate: float = 0.0
        self.averaged_at: int = now

    def fill(self, now: int) -> None:
        """Adds the tokens of the time that has passed."""
        granted = max(min(now, self.granted_until) - self.filled_at, 0)
        guaranteed = max(now - max(self.filled_at, self.guaranteed_from), 0)
        added = (self.guaranteed_rate * guaranteed + self.granted_rate * granted) / UNITS_PER_SECOND
        self.tokens = min(self.tokens + added, self.capacity)
        self.filled_at = now

    def take(self, now: int) -> bool:
        """Whether one more request is within this node's rate. Asked once for each."""
        self.requests += 1
        self.fill(now)
        fits = self.tokens >= 1.0
        self.tokens -= fits
        return fits

    def rate(self, now: int) -> float:
        """At which it fills now."""
        guaranteed = self.guaranteed_rate * (now >= self.guaranteed_from)
        return guaranteed + self.granted_rate * (now < self.granted_until)

    def demand(self, now: int) -> float:
        """The rate to ask for, by the average of the requests that came."""
        span = now - self.averaged_at
        if span > 0:
            part = min(span / DEMAND_WINDOW, 1.0)
            self.average_rate += (self.requests * UNITS_PER_SECOND / span - self.average_rate) * part
            self.requests, self.averaged_at = 0, now
        return DEMAND_MARGIN * self.average_rate


class QuotaLeaseHolder:
    """A node's shares and grants of all limits."""

    def __init__(self, limits: list[Limit], nodes: int, bounds: Bounds, now: int) -> None:
        self.limits: list[Limit] = limits
        self.nodes: int = nodes
        self.bounds: Bounds = bounds
        # Guards against a share of a burst below one, which would never admit anything.
        self.buckets: list[Bucket] = [Bucket(max(limit.burst / nodes, 1.0), now) for limit in limits]
        self.closed: bool = False
        self.open_from: int = now
        self.is_granted: bool = False  # the leader grants rates to this node
        self.lend(now)
        self.set_rates(now, [limit.rate for limit in limits])

    def lend(self, now: int) -> None:
        """Lends the guaranteed share: also as an incarnation begins, for the one before may have lent it.

        To be called again where another process of this node has ended only now.
        """
        for bucket in self.buckets:
            bucket.fill(now)
            bucket.guaranteed_from = now + self.bounds.loan_duration()

    def set_rates(self, now: int, rates: list[float]) -> None:
        """Takes the limits' rates that are in force."""
        for bucket, rate in zip(self.buckets, rates, strict=True):
            bucket.fill(now)
            bucket.guaranteed_rate = self.bounds.guaranteed_fraction * rate / self.nodes

    def report(self, now: int) -> Demand:
        """What a reply sent now says; it renews the loan of the guaranteed share."""
        if self.is_granted:  # also while nobody comes: what it does not use others can
            self.lend(now)
        return Demand(self.demand(now), self.closed, self.is_granted)

    def demand(self, now: int) -> Rates:
        """The rates to ask for."""
        rates = [(number, bucket.demand(now)) for number, bucket in enumerate(self.buckets)]
        return [] if self.closed else [(number, round(rate, 3)) for number, rate in rates if rate > 0.0]

    def on_grants(self, now: int, grants: Rates | None, replied_at: int) -> None:
        """Takes the grants that answer the reply which this incarnation sent at `replied_at`."""
        until = replied_at + self.bounds.grant_duration
        self.is_granted = grants is not None
        if grants is None or self.closed or replied_at < self.open_from or until <= now:
            return
        rates = dict(grants)
        for number, bucket in enumerate(self.buckets):
            # Guards against an older answer that comes late.
            if until >= bucket.granted_until or now >= bucket.granted_until:
                bucket.fill(now)
                bucket.granted_rate, bucket.granted_until = rates.get(number, 0.0), until

    def close(self, now: int) -> None:
        """The node stands by or drains: grants are returned at once, and its replies say so."""
        self.closed = True
        for bucket in self.buckets:
            bucket.fill(now)
            bucket.granted_rate, bucket.granted_until = 0.0, now

    def open(self, now: int) -> None:
        """The node serves again. Answers to replies from before may be grants that were returned since."""
        if self.closed:
            self.closed, self.open_from = False, now


def max_min(pool: float, demand: dict[str, float]) -> dict[str, float]:
    """The max-min fair shares of `pool`, by name (Bertsekas, Gallager 1992).

    Nobody gets more than its demand while another that wants more has less.

    What nobody wants is spread evenly, for whoever gets requests next.
    """
    shares: dict[str, float] = {}
    left = pool
    for count, (name, rate) in enumerate(sorted(demand.items(), key=lambda pair: (pair[1], pair[0]))):
        shares[name] = min(rate, left / (len(demand) - count))
        left -= shares[name]
    return {name: share + left / len(demand) for name, share in shares.items()}


class NodeDemand(NamedTuple):
    """A node's demand by limit, and when it came."""

    at: int
    rates: dict[int, float]


class QuotaLeaseGranter:
    """The leader's books: what each node may still use, until when, and what it asks for."""

    def __init__(self, limits: list[Limit], nodes: int, bounds: Bounds, now: int) -> None:
        self.bounds: Bounds = bounds
        self.nodes: int = nodes
        self.demand: dict[str, NodeDemand] = {}
        self.lent_until: dict[str, int] = {}  # by node, at the least
        # Guards against what a leader before may have granted up to the end of its lease: nobody knows it.
        self.silent_until: int = now + bounds.max_remote_grant_duration()
        # One item for each limit, by node.
        self.outstanding: list[dict[str, list[OutstandingGrant]]] = [{} for _ in limits]
        self.targets: list[dict[str, float]] = [{} for _ in limits]
        self.outstanding_rates: list[dict[str, float]] = [{} for _ in limits]  # as of the last plan
        self.free: list[float] = [0.0] * len(limits)

    def on_demand(self, now: int, node: str, demand: Demand, heartbeat_sent_at: int) -> None:
        """Takes a node's demand from its reply to the heartbeat sent at `heartbeat_sent_at`."""
        if demand.lends:
            until = heartbeat_sent_at + self.bounds.min_remote_loan_duration()
            self.lent_until[node] = max(self.lent_until.get(node, 0), until)
        self.demand[node] = NodeDemand(now, {number: rate for number, rate in demand.rates if rate >= 0.0})
        if demand.returns_grants:
            for outstanding in self.outstanding:
                outstanding.pop(node, None)

    def outstanding_rate(self, now: int, number: int, node: str) -> float:
        """The most that this node may use of this limit, now or later."""
        live = [grant for grant in self.outstanding[number].get(node, ()) if grant.end > now]
        self.outstanding[number][node] = live
        return max((grant.rate for grant in live), default=0.0)

    def plan(self, now: int, rates: list[float]) -> None:
        """Before heartbeats that go out together: who should have what, and what is free to be granted."""
        end = now + self.bounds.max_remote_grant_duration()
        lending = sum(until >= end for until in self.lent_until.values())
        not_lent = self.bounds.guaranteed_fraction * (1 - lending / self.nodes)  # the nodes' own
        grantable = 1 - not_lent
        recent = {
            name: demand.rates for name, demand in self.demand.items() if now - demand.at <= self.bounds.fresh
        }
        for number, rate in enumerate(rates):
            pool = grantable * rate
            demand = {name: demanded.get(number, 0.0) for name, demanded in recent.items()}
            self.targets[number] = max_min(pool, demand) if demand else {}
            nodes = list(self.outstanding[number])
            self.outstanding_rates[number] = {
                name: self.outstanding_rate(now, number, name) for name in nodes
            }
            self.free[number] = pool - sum(self.outstanding_rates[number].values())

    def grants(self, now: int, node: str) -> Rates | None:
        """What this node is granted with the heartbeat that goes out now; None: nothing is said about it."""
        if now < self.silent_until or node not in self.demand:
            return None
        found: Rates = []
        end = now + self.bounds.max_remote_grant_duration()
        for number in range(len(self.targets)):
            rate = self.grant(number, node, end)
            if rate > 0.0:
                found.append((number, rate))
        return found

    def grant(self, number: int, node: str, end: int) -> float:
        """Grants the node its target of one limit as far as that is free, and notes it."""
        already_granted = self.outstanding_rates[number].get(node, 0.0)
        outstanding = self.outstanding[number]
        target = self.targets[number].get(node, 0.0)
        rate = max(min(target, already_granted + max(self.free[number], 0.0)), 0.0)
        rate = int(rate * GRANT_STEPS_PER_UNIT) / GRANT_STEPS_PER_UNIT  # never rounded up
        self.free[number] -= max(rate - already_granted, 0.0)
        # The later end covers the earlier one of the same rate or a lower one.
        larger = [grant for grant in outstanding.get(node, ()) if grant.rate > rate]
        outstanding[node] = [*larger, OutstandingGrant(rate, end)]
        return rate
