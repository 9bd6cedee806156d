"""Slow start: what a warming backend may be sent, so that the nodes together do not push it over."""

from typing import TYPE_CHECKING

from .load_reports import LoadEstimator
from .random_numbers import Lcg
from .settings import BalancerSettings
from .units import SECOND

if TYPE_CHECKING:
    from .backend import Backend

MOST_TOKENS = 1.0
RATE_MARGIN = 0.5  # of the rate that the settings allow before a backend counts as pushed over
IDLE_BELOW = 0.1  # requests ahead at which a backend counts as idle


class SlowStart:
    """One backend's: a bucket of at most one token that fills at `rate` per tenth of a millisecond."""

    __slots__ = (
        "warm_at",
        "rate",
        "tokens",
        "tokens_at",
    )

    def __init__(self, now: int, rng: Lcg) -> None:
        self.warm_at: int = 0
        self.rate: float = 0.0
        # Guards against hundreds of nodes that each send a new backend a request at the same time.
        self.tokens: float = rng.uniform()
        self.tokens_at: int = now

    def refill(self, now: int) -> None:
        """Adds what has come since the last look."""
        self.tokens = min(self.tokens + (now - self.tokens_at) * self.rate, MOST_TOKENS)
        self.tokens_at = now


class SlowStartPolicy:
    """The rule for all backends of a node."""

    def __init__(self, settings: BalancerSettings, loads: LoadEstimator) -> None:
        self.settings = settings
        self.loads = loads

    def capacity(self, backend: "Backend", now: int) -> float:
        """Its present capacity as a part of its full one."""
        to_go = max(backend.slow_start.warm_at - now, 0)
        return 1 - (1 - self.settings.cold_capacity) * to_go / max(self.settings.warm_within, 1)

    def rate_allowed(self) -> float:
        """Sends per tenth of a millisecond, for each request a second that a warm backend gets."""
        return RATE_MARGIN * self.settings.fall_multiple / SECOND

    def set_rate(self, backend: "Backend", now: int, rate_allowed: float, usual_rate: float) -> None:
        """`usual_rate`: requests a second that a warm backend gets from this node."""
        backend.slow_start.rate = rate_allowed * self.capacity(backend, now) * usual_rate

    def allows(self, backend: "Backend", now: int) -> bool:
        """Whether a warming backend may be sent one more: by its rate, or one at a time while it is idle."""
        backend.slow_start.refill(now)
        return backend.slow_start.tokens >= MOST_TOKENS or self.is_idle(backend, now)

    def is_idle(self, backend: "Backend", now: int) -> bool:
        """Whether it has answered lately, without fault or rejection, and holds nothing."""
        # Guards against one more from each of many nodes: it can have answered only so many within that time.
        fresh = now - backend.last_response_at < self.settings.overload_window
        calm = self.settings.health_checks and fresh and backend.service_time_count
        calm = calm and not backend.rejections and not backend.outlier.suspicion
        return bool(calm) and self.loads.ahead(backend, now) < IDLE_BELOW

    def waited_too_long(self, backend: "Backend", sent_at: int, now: int) -> bool:
        """Whether a send decided on at `sent_at` would reach a warming backend beside newer ones.

        Guards against sends that wait for connections which come up late, and then go out together.
        """
        window = self.settings.overload_window
        return backend.is_warming(now) and now - sent_at > window // 2 > 0
