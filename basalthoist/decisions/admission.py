"""Admission control: tenants' quotas, the fraction of surplus requests that is admitted, and the shed log."""

from typing import Protocol

from .interface import BalancerHost
from .random_numbers import Lcg
from .settings import BalancerSettings
from .units import SECOND

MAX_IDLE_SECONDS = 900  # a tenant idle for longer no longer counts for this node's fraction of the quotas
MAX_BURST_SECONDS = 3.0  # a bucket holds at most the quota of this many seconds
MIN_BURST_REQUESTS = 6.0  # smaller buckets would take random clustering of requests for surplus
ARRIVAL_RATE_SMOOTHING = 0.05
# No surplus is admitted once RECOVERY_PER_REQUEST / MISS_PENALTY of the requests miss.
MISS_PENALTY, RECOVERY_PER_REQUEST = 0.1, 0.015
INITIAL_FILLED_AT = -8 * SECOND  # a new bucket starts with the tokens of at least 8 s
SHED_COUNT_DECAY = 0.9


class RateLimit(Protocol):
    """A rate limit that all nodes of a fleet enforce together."""

    def take(self, now: int) -> bool:
        """Counts one request against the limit. Returns whether the request is within the limit."""
        ...


class TenantQuota:
    """One tenant's quota at this node: a token bucket that fills at this node's fraction of the quota."""

    __slots__ = (
        "quota",
        "arrival_rate",
        "arrivals",
        "tokens",
        "filled_at",
        "active",
        "ended_seconds",
        "idle_seconds",
        "rate_limit",
    )

    def __init__(self, quota: float, fraction: float, active: dict, ended_seconds: int) -> None:
        self.quota: float = quota  # requests per second over the whole fleet
        self.arrival_rate: float = quota * fraction  # requests per second at this node, smoothed
        self.arrivals: int = 0
        self.tokens: float = 0.0
        self.filled_at: int = INITIAL_FILLED_AT
        self.active: dict[TenantQuota, None] = active  # shared: the tenants with recent requests
        self.ended_seconds: int = ended_seconds
        self.idle_seconds: int = 0
        self.rate_limit: RateLimit | None = None  # the fleet's rate limit on this tenant

    def take(self, now: int, is_retry: bool, fraction: float) -> bool:
        """Counts one request against the quota. Returns whether the request is within the quota.

        `fraction`: this node's fraction of every quota.
        """
        filled = self.tokens + (now - self.filled_at) * self.quota * fraction / SECOND
        self.tokens = min(filled, max(MAX_BURST_SECONDS * self.quota * fraction, MIN_BURST_REQUESTS))
        self.filled_at = now
        is_within = self.tokens >= 1.0
        self.arrivals += not is_retry
        self.active[self] = None
        # A retry takes no token, so that the retry of a request shed as surplus is not counted as in quota.
        self.tokens -= is_within and not is_retry
        return is_within

    def end_second(self, ended_seconds: int) -> float:
        """Updates the arrival rate once a second. Returns the fraction of the quota that arrives here.

        `ended_seconds`: seconds ended at this node; those missed since the last call count as idle.
        """
        for arrivals in [0] * min(ended_seconds - self.ended_seconds - 1, MAX_IDLE_SECONDS) + [self.arrivals]:
            self.arrival_rate += (arrivals - self.arrival_rate) * ARRIVAL_RATE_SMOOTHING
        self.idle_seconds = 0 if self.arrivals else self.idle_seconds + 1
        self.ended_seconds = ended_seconds
        self.arrivals = 0
        if self.idle_seconds > MAX_IDLE_SECONDS:
            self.active.pop(self, None)
        return self.arrival_rate / max(self.quota, 1e-6)


class Quotas:
    """The quotas of all tenants at this node. An unknown tenant has no quota and is never over it."""

    def __init__(self, settings: BalancerSettings) -> None:
        self.even_fraction: float = 1 / settings.nodes
        self.node_fraction: float = self.even_fraction  # this node's fraction of every quota
        self.active: dict[TenantQuota, None] = {}
        self.ended_seconds: int = 0
        self.tenants: dict[int, TenantQuota] = {
            number: TenantQuota(quota, self.node_fraction, self.active, 0)
            for number, quota in enumerate(settings.quotas)
        }

    def take(self, now: int, tenant_number: int, is_retry: bool) -> bool:
        """Counts one request against its tenant's quota. Returns whether the request is within the quota."""
        tenant = self.tenants.get(tenant_number)
        return tenant is None or tenant.take(now, is_retry, self.node_fraction)

    def over_rate_limit(self, now: int, tenant_number: int) -> bool:
        """Counts one request against the fleet's rate limit on its tenant. Returns whether it is over."""
        tenant = self.tenants.get(tenant_number)
        if tenant is None or tenant.rate_limit is None:
            return False
        return not tenant.rate_limit.take(now)

    def set_quota(self, tenant_number: int, quota: float | None) -> None:
        """Sets a tenant's quota in requests per second over the fleet; None removes the tenant."""
        tenant = self.tenants.pop(tenant_number, None)
        if tenant is not None:
            self.active.pop(tenant, None)
        if quota is not None:
            tenant = tenant or TenantQuota(quota, self.node_fraction, self.active, self.ended_seconds)
            self.tenants[tenant_number] = tenant
            tenant.quota = quota
            self.active[tenant] = None

    def end_second(self) -> None:
        """Updates this node's fraction of every quota once a second, from the tenants' arrival rates."""
        # Uses the lower quartile over all tenants: a busy node does not shed requests in quota, and a burst
        # of a few tenants does not raise the node's fraction.
        self.ended_seconds += 1
        fractions = sorted((tenant.end_second(self.ended_seconds) for tenant in [*self.active]), reverse=True)
        # Tenants without recent requests are left out: their fraction is at most the even one.
        self.node_fraction = max([self.even_fraction, *fractions[(3 * len(self.tenants) - 1) // 4 :][:1]])


class SurplusAdmission:
    """Integral controller of the fraction of surplus requests that is admitted.

    The controlled variable is how many requests in quota miss their latency objective.
    """

    def __init__(self, rng: Lcg) -> None:
        self.rng = rng
        self.admitted_fraction: float = 1.0

    def recover(self) -> None:
        """Raises the admitted fraction; called with each incoming request."""
        self.admitted_fraction = min(max(self.admitted_fraction, 0.0) + RECOVERY_PER_REQUEST, 1.0)

    def add_miss(self) -> None:
        """Counts a request in quota that was shed, failed, or answered after its latency objective."""
        self.admitted_fraction -= MISS_PENALTY

    def sheds(self) -> bool:
        """Draws a random number. Returns whether to shed one surplus request."""
        return self.rng.uniform() > self.admitted_fraction


class ShedLog:
    """Logs when shedding begins and ends. Requests shed after failed attempts or timeouts count too."""

    def __init__(self, host: BalancerHost) -> None:
        self.host = host
        self.recent: float = 0  # shed requests of about the last ten seconds, decaying
        self.in_quota: int = 0  # requests in quota that were shed since the start
        self.shedding: bool = False

    def add(self, surplus: bool) -> None:
        """Counts a shed request."""
        self.recent += 1
        self.in_quota += not surplus

    def end_second(self, demand: float, equal_time: float) -> None:
        """Logs a change of state once a second. `demand`: requests per second; `equal_time`: 0.1 ms."""
        threshold = (0.2 if self.shedding else 1.0) * max(demand, 3.0)
        if self.shedding != (self.recent > threshold):
            self.shedding = not self.shedding
            mode = f"{'on' if self.shedding else 'off'}: {self.recent:.0f} shed in 10 s of {demand:.1f}/s"
            self.host.log(f"shedding {mode}, equal time {equal_time / 10:.0f} ms")
        self.recent *= SHED_COUNT_DECAY
