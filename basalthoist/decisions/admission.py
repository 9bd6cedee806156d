"""Admission control: tenants' quotas, how much surplus is admitted, and the log of what is shed."""

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
    """A limit that all nodes of a fleet keep together."""

    def take(self, now: int) -> bool:
        """Takes one request; whether it is within the limit."""
        ...


class TenantQuota:
    """One tenant's quota at this node: a bucket that fills at this node's part of it."""

    __slots__ = (
        "quota",
        "usual",
        "came",
        "tokens",
        "filled_at",
        "active",
        "rounds",
        "idle_rounds",
        "rate_limit",
    )

    def __init__(self, quota: float, part: float, active: dict, rounds: int) -> None:
        self.quota: float = quota  # requests a second over the fleet
        self.usual: float = quota * part  # requests a second that come here
        self.came: int = 0
        self.tokens: float = 0.0
        self.filled_at: int = DISTANT_PAST
        self.active: dict[TenantQuota, None] = active  # those that have come lately, this one among them
        self.rounds: int = rounds
        self.idle_rounds: int = 0
        self.rate_limit: RateLimit | None = None  # the fleet's on this tenant

    def within(self, now: int, is_retry: bool, part: float) -> bool:
        """Takes one request; whether it is within the quota. `part`: this node's of every quota."""
        filled = self.tokens + (now - self.filled_at) * self.quota * part / SECOND
        self.tokens = min(filled, max(BURST_SECONDS * self.quota * part, LEAST_BURST))
        self.filled_at = now
        fits = self.tokens >= 1.0
        self.came += not is_retry
        self.active[self] = None
        # Guards against surplus that was shed, comes back as a retry and passes for in quota.
        self.tokens -= fits and not is_retry
        return fits

    def close_round(self, rounds: int) -> float:
        """Once a second; the part of its quota that usually comes here. Rounds without it are made up for."""
        for came in [0] * min(rounds - self.rounds - 1, IDLE_ROUNDS) + [self.came]:
            self.usual += (came - self.usual) * USUAL_SMOOTHING
        self.idle_rounds = 0 if self.came else self.idle_rounds + 1
        self.rounds = rounds
        self.came = 0
        if self.idle_rounds > IDLE_ROUNDS:
            self.active.pop(self, None)
        return self.usual / max(self.quota, 1e-6)


class Quotas:
    """All tenants' quotas at this node; one that is not known has none and is always within it."""

    def __init__(self, settings: BalancerSettings) -> None:
        self.even_part: float = 1 / settings.nodes
        self.part: float = self.even_part  # this node's, of every quota
        self.active: dict[TenantQuota, None] = {}
        self.rounds: int = 0
        self.tenants: dict[int, TenantQuota] = {
            number: TenantQuota(quota, self.part, self.active, 0)
            for number, quota in enumerate(settings.quotas)
        }

    def within(self, now: int, tenant_number: int, is_retry: bool) -> bool:
        """Takes one request; whether it is within its tenant's quota."""
        tenant = self.tenants.get(tenant_number)
        return tenant is None or tenant.within(now, is_retry, self.part)

    def over_rate_limit(self, now: int, tenant_number: int) -> bool:
        """Takes one request; whether it is over the fleet's rate limit on its tenant."""
        tenant = self.tenants.get(tenant_number)
        if tenant is None or tenant.rate_limit is None:
            return False
        return not tenant.rate_limit.take(now)

    def set_quota(self, tenant_number: int, quota: float | None) -> None:
        """Requests a second over the fleet; None: the tenant is gone."""
        tenant = self.tenants.pop(tenant_number, None)
        if tenant is not None:
            self.active.pop(tenant, None)
        if quota is not None:
            tenant = tenant or TenantQuota(quota, self.part, self.active, self.rounds)
            self.tenants[tenant_number] = tenant
            tenant.quota = quota
            self.active[tenant] = None

    def close_round(self) -> None:
        """Once a second: this node's part of every quota, by what usually comes here."""
        # Guards against shedding at busy nodes what is in quota, and bursts that raise their part.
        self.rounds += 1
        parts = sorted((tenant.close_round(self.rounds) for tenant in [*self.active]), reverse=True)
        # Tenants that have not come are at most at the even part.
        self.part = max([self.even_part, *parts[(3 * len(self.tenants) - 1) // 4 :][:1]])


class SurplusAdmission:
    """Integral control of the part of surplus requests that is admitted, by misses of what is in quota."""

    The controlled variable is how many requests in quota miss their latency objective.
    """

    def __init__(self, rng: Lcg) -> None:
        self.rng = rng
        self.admitted_fraction: float = 1.0

    def recover(self) -> None:
        """With each request that comes."""
        self.admitted = min(max(self.admitted, 0.0) + RECOVERY, 1.0)

    def add_miss(self) -> None:
        """A request in quota was given up, or answered after its latency objective."""
        self.admitted -= MISS_PENALTY

    def sheds(self) -> bool:
        """Draws a random number. Returns whether to shed one surplus request."""
        return self.rng.uniform() > self.admitted_fraction


class ShedLog:
    """Logs when shedding begins and ends; failed attempts and time-outs may be shed too."""

    def __init__(self, host: BalancerHost) -> None:
        self.host = host
        self.recent: float = 0  # fading, of about ten seconds
        self.in_quota: int = 0  # since the start
        self.shedding: bool = False

    def add(self, surplus: bool) -> None:
        """One request was shed."""
        self.recent += 1
        self.in_quota += not surplus

    def close_round(self, demand: float, equal_time: float) -> None:
        """Once a second."""
        threshold = (0.2 if self.shedding else 1.0) * max(demand, 3.0)
        if self.shedding != (self.recent > threshold):
            self.shedding = not self.shedding
            mode = f"{'on' if self.shedding else 'off'}: {self.recent:.0f} shed in 10 s of {demand:.1f}/s"
            self.host.log(f"shedding {mode}, equal time {equal_time / 10:.0f} ms")
        self.recent *= SHED_FADE
