"""Rate limits over the whole fleet: a guaranteed rate for each node, and temporary grants by the leader.

The node counts a grant's duration from when it sent the reply that the grant answers. The leader counts from
when it sends the grant, and adds the possible drift of the clocks. A node that receives grants lends its
guaranteed rate for longer than a grant lasts; if it has been out of touch with the leader for that long, it
uses its guaranteed rate again. The leader grants only rates that no node can still use. So guaranteed rates
in use and grants together are always within the limit: docs/fleet.md has the proof. Rates are per second,
times are whole tenths of a millisecond of this node's clock.
"""

from typing import NamedTuple

from .bounds import Bounds
from .verdicts import QUOTA, VerdictSet

SECOND = 10_000  # in tenths of a millisecond
DEMAND_WINDOW = 3_000  # period over which the demand is averaged
DEMAND_MARGIN = 1.25  # factor on the demand; without it, grants would lag behind a growing demand
RATE_STEPS_PER_REQUEST_PER_S = 1000  # granted rates are rounded down to 1/1000 request per second

Rates = list[tuple[int, float]]  # the limit's index and a rate


class Limit(NamedTuple):
    """A tenant's rate limit over the whole fleet: `rate` in requests per second, `burst` in requests."""

    tenant: str
    rate: float
    burst: float


class Demand(NamedTuple):
    """A node's report on its limits, in its reply to a heartbeat."""

    rates: Rates  # the rates that the node requests
    returns_grants: bool  # the node uses no grant until a later reply
    lends: bool  # the node does not use its guaranteed rate for `Bounds.loan_duration`


class OutstandingGrant(NamedTuple):
    """A rate that a node may use until `end` on the leader's clock at the latest."""

    rate: float
    end: int


def rates_of(limits: list[Limit], verdicts: VerdictSet) -> list[float]:
    """Returns the rates in force: a tenant's quota verdict overrides the rate from the file."""
    changed = [verdicts.verdicts.get((QUOTA, limit.tenant)) for limit in limits]
    return [
        limit.rate if verdict is None else verdict.figure
        for limit, verdict in zip(limits, changed, strict=True)
    ]


class Bucket:
    """One limit at one node: a token bucket, filled at the guaranteed rate plus the granted rate."""

    def __init__(self, capacity: float, now: int) -> None:
        # Guards against extra tokens from restarts: the bucket starts empty, whatever the last one contained.
        self.tokens: float = 0.0
        self.capacity: float = capacity
        self.filled_at: int = now
        self.guaranteed_rate: float = 0.0
        self.guaranteed_from: int = 0  # the guaranteed rate is lent until then
        self.granted_rate: float = 0.0
        self.granted_until: int = now
        self.requests: int = 0  # requests received since `averaged_at`
        self.average_rate: float = 0.0
        self.averaged_at: int = now

    def fill(self, now: int) -> None:
        """Adds the tokens for the time since the last call."""
        granted = max(min(now, self.granted_until) - self.filled_at, 0)
        guaranteed = max(now - max(self.filled_at, self.guaranteed_from), 0)
        added = (self.guaranteed_rate * guaranteed + self.granted_rate * granted) / SECOND
        self.tokens = min(self.tokens + added, self.capacity)
        self.filled_at = now

    def take(self, now: int) -> bool:
        """Counts a request and takes a token for it. Returns whether there was one."""
        self.requests += 1
        self.fill(now)
        fits = self.tokens >= 1.0
        self.tokens -= fits
        return fits

    def rate(self, now: int) -> float:
        """Returns the rate at which the bucket fills now."""
        guaranteed = self.guaranteed_rate * (now >= self.guaranteed_from)
        return guaranteed + self.granted_rate * (now < self.granted_until)

    def demand(self, now: int) -> float:
        """Returns the rate to request: the average rate of requests, with a margin."""
        span = now - self.averaged_at
        if span > 0:
            weight = min(span / DEMAND_WINDOW, 1.0)
            self.average_rate += (self.requests * SECOND / span - self.average_rate) * weight
            self.requests, self.averaged_at = 0, now
        return DEMAND_MARGIN * self.average_rate


class QuotaLeaseHolder:
    """A node's guaranteed and granted rates of all limits."""

    def __init__(self, limits: list[Limit], nodes: int, bounds: Bounds, now: int) -> None:
        self.limits: list[Limit] = limits
        self.nodes: int = nodes
        self.bounds: Bounds = bounds
        # Guards against a bucket with a capacity below one token, which would never admit a request.
        self.buckets: list[Bucket] = [Bucket(max(limit.burst / nodes, 1.0), now) for limit in limits]
        self.closed: bool = False
        self.open_from: int = now
        self.is_granted: bool = False  # whether the leader's last heartbeat had grants, even empty ones
        self.lend(now)
        self.set_rates(now, [limit.rate for limit in limits])

    def lend(self, now: int) -> None:
        """Lends the guaranteed rate for `Bounds.loan_duration`.

        Also called at the start of an incarnation, because the previous one may have lent the rate, and again
        when a previous process of this node that still ran has ended.
        """
        for bucket in self.buckets:
            bucket.fill(now)
            bucket.guaranteed_from = now + self.bounds.loan_duration()

    def set_rates(self, now: int, rates: list[float]) -> None:
        """Sets the limits' rates that are in force."""
        for bucket, rate in zip(self.buckets, rates, strict=True):
            bucket.fill(now)
            bucket.guaranteed_rate = self.bounds.guaranteed_fraction * rate / self.nodes

    def report(self, now: int) -> Demand:
        """Returns the report for a reply sent now, and renews the loan of the guaranteed rate."""
        if self.is_granted:  # Also without requests here: other nodes can use the rate.
            self.lend(now)
        return Demand(self.demand(now), self.closed, self.is_granted)

    def demand(self, now: int) -> Rates:
        """Returns the rates to request."""
        rates = [(index, bucket.demand(now)) for index, bucket in enumerate(self.buckets)]
        return [] if self.closed else [(index, round(rate, 3)) for index, rate in rates if rate > 0.0]

    def on_grants(self, now: int, grants: Rates | None, replied_at: int) -> None:
        """Applies the grants that answer the reply which this incarnation sent at `replied_at`.

        `grants` is None where the leader does not grant rates to this node yet.
        """
        until = replied_at + self.bounds.grant_duration
        self.is_granted = grants is not None
        if grants is None or self.closed or replied_at < self.open_from or until <= now:
            return
        rates = dict(grants)
        for limit_index, bucket in enumerate(self.buckets):
            # Guards against older grants that arrive after newer ones.
            if until >= bucket.granted_until or now >= bucket.granted_until:
                bucket.fill(now)
                bucket.granted_rate, bucket.granted_until = rates.get(limit_index, 0.0), until

    def close(self, now: int) -> None:
        """Stops using all grants at once; later replies tell the leader so. Called on standby or draining."""
        self.closed = True
        for bucket in self.buckets:
            bucket.fill(now)
            bucket.granted_rate, bucket.granted_until = 0.0, now

    def open(self, now: int) -> None:
        """Uses grants again, but only those that answer a reply sent from now on.

        Those that answer an earlier reply may have been returned in the meantime.
        """
        if self.closed:
            self.closed, self.open_from = False, now


def max_min(pool: float, demand: dict[str, float]) -> dict[str, float]:
    """Returns the max-min fair allocation of `pool`, by name (Bertsekas, Gallager 1992).

    No node gets more than its demand while another with unmet demand has less. The rest of the pool is
    divided equally, for nodes that receive requests next.
    """
    rates: dict[str, float] = {}
    left = pool
    for count, (name, rate) in enumerate(sorted(demand.items(), key=lambda pair: (pair[1], pair[0]))):
        rates[name] = min(rate, left / (len(demand) - count))
        left -= rates[name]
    return {name: allocated + left / len(demand) for name, allocated in rates.items()}


class NodeDemand(NamedTuple):
    """A node's demand by limit, and when the leader received it."""

    received_at: int
    rates: dict[int, float]


class QuotaLeaseGranter:
    """The leader's record of the rates that each node requests and of the grants that it may still use."""

    def __init__(self, limits: list[Limit], nodes: int, bounds: Bounds, now: int) -> None:
        self.bounds: Bounds = bounds
        self.nodes: int = nodes
        self.demand: dict[str, NodeDemand] = {}
        self.lent_until: dict[str, int] = {}  # by node: the earliest possible end of its loan
        # Guards against unknown grants that an earlier leader may have made up to the end of its lease.
        self.silent_until: int = now + bounds.max_remote_grant_duration()
        # These lists have one item for each limit; the dictionaries in them are by node.
        self.outstanding: list[dict[str, list[OutstandingGrant]]] = [{} for _ in limits]
        self.targets: list[dict[str, float]] = [{} for _ in limits]
        self.outstanding_rates: list[dict[str, float]] = [{} for _ in limits]  # at the last call of `plan`
        self.free: list[float] = [0.0] * len(limits)  # rate that may still be granted

    def on_demand(self, now: int, node: str, demand: Demand, heartbeat_sent_at: int) -> None:
        """Records a node's demand from its reply to the heartbeat sent at `heartbeat_sent_at`."""
        if demand.lends:
            until = heartbeat_sent_at + self.bounds.min_remote_loan_duration()
            self.lent_until[node] = max(self.lent_until.get(node, 0), until)
        self.demand[node] = NodeDemand(
            now, {limit_index: rate for limit_index, rate in demand.rates if rate >= 0.0}
        )
        if demand.returns_grants:
            for outstanding in self.outstanding:
                outstanding.pop(node, None)

    def outstanding_rate(self, now: int, limit_index: int, node: str) -> float:
        """Returns the highest rate that the node's grants still allow, and drops expired grants."""
        live = [grant for grant in self.outstanding[limit_index].get(node, ()) if grant.end > now]
        self.outstanding[limit_index][node] = live
        return max((grant.rate for grant in live), default=0.0)

    def plan(self, now: int, rates: list[float]) -> None:
        """Computes the nodes' target rates and the free rate of each limit, before a round of heartbeats."""
        end = now + self.bounds.max_remote_grant_duration()
        lending = sum(until >= end for until in self.lent_until.values())
        not_lent = self.bounds.guaranteed_fraction * (1 - lending / self.nodes)
        grantable = 1 - not_lent
        recent = {
            name: demand.rates
            for name, demand in self.demand.items()
            if now - demand.received_at <= self.bounds.fresh
        }
        for limit_index, rate in enumerate(rates):
            pool = grantable * rate
            demand = {name: demanded.get(limit_index, 0.0) for name, demanded in recent.items()}
            self.targets[limit_index] = max_min(pool, demand) if demand else {}
            nodes = list(self.outstanding[limit_index])
            self.outstanding_rates[limit_index] = {
                name: self.outstanding_rate(now, limit_index, name) for name in nodes
            }
            self.free[limit_index] = pool - sum(self.outstanding_rates[limit_index].values())

    def grants(self, now: int, node: str) -> Rates | None:
        """Returns the grants for a node in a heartbeat sent now.

        None while an earlier leader's grants may be in use, or before the node's first reply.
        """
        if now < self.silent_until or node not in self.demand:
            return None
        found: Rates = []
        end = now + self.bounds.max_remote_grant_duration()
        for limit_index in range(len(self.targets)):
            rate = self.grant(limit_index, node, end)
            if rate > 0.0:
                found.append((limit_index, rate))
        return found

    def grant(self, limit_index: int, node: str, end: int) -> float:
        """Grants and records the node's target rate of one limit, as far as there is a free rate."""
        already_granted = self.outstanding_rates[limit_index].get(node, 0.0)
        outstanding = self.outstanding[limit_index]
        target = self.targets[limit_index].get(node, 0.0)
        rate = max(min(target, already_granted + max(self.free[limit_index], 0.0)), 0.0)
        rate = int(rate * RATE_STEPS_PER_REQUEST_PER_S) / RATE_STEPS_PER_REQUEST_PER_S
        self.free[limit_index] -= max(rate - already_granted, 0.0)
        # Earlier grants of the same or a lower rate need no record: this grant ends later.
        larger = [grant for grant in outstanding.get(node, ()) if grant.rate > rate]
        outstanding[node] = [*larger, OutstandingGrant(rate, end)]
        return rate
