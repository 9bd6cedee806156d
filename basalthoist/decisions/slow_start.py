"""Slow start: limits the rate to a warming backend, so that all nodes together do not overload it."""

from typing import TYPE_CHECKING

from .load_reports import LoadEstimator
from .random_numbers import Lcg
from .settings import BalancerSettings
from .units import SECOND

if TYPE_CHECKING:
    from .backend import Backend

MAX_TOKENS = 1.0
RATE_FRACTION = 0.5  # fraction used of the rate above which, by the settings, a warming backend is overloaded
IDLE_BELOW = 0.1  # a backend with fewer estimated requests counts as idle


class SlowStart:
    """The token bucket of one backend: at most one token, filled at `rate` per tenth of a millisecond."""

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
        """Adds the tokens since the last refill."""
        self.tokens = min(self.tokens + (now - self.tokens_at) * self.rate, MAX_TOKENS)
        self.tokens_at = now


class SlowStartPolicy:
    """The slow start rule of a node."""

    def __init__(self, settings: BalancerSettings, loads: LoadEstimator) -> None:
        self.settings = settings
        self.loads = loads

    def capacity(self, backend: "Backend", now: int) -> float:
        """Returns the backend's current capacity as a fraction of its full capacity."""
        to_go = max(backend.slow_start.warm_at - now, 0)
        return 1 - (1 - self.settings.cold_capacity) * to_go / max(self.settings.warm_within, 1)

    def rate_allowed(self) -> float:
        """Returns attempts per tenth of a millisecond, for each request per second at a warm backend."""
        return RATE_FRACTION * self.settings.fall_multiple / SECOND

    def set_rate(self, backend: "Backend", now: int, rate_allowed: float, warm_backend_rate: float) -> None:
        """Sets the token rate. `warm_backend_rate`: requests per second from this node to a warm backend."""
        backend.slow_start.rate = rate_allowed * self.capacity(backend, now) * warm_backend_rate

    def allows(self, backend: "Backend", now: int) -> bool:
        """Returns whether a warming backend may get a request: by its rate, or one at a time while idle."""
        backend.slow_start.refill(now)
        return backend.slow_start.tokens >= MAX_TOKENS or self.is_idle(backend, now)

    def is_idle(self, backend: "Backend", now: int) -> bool:
        """Returns whether the backend has answered recently without failures or rejections, and is idle."""
        # Guards against one more request from each of many nodes: within the window the backend can have
        # answered only a few of them.
        answered_recently = now - backend.last_response_at < self.settings.overload_window
        is_healthy = self.settings.health_checks and answered_recently and backend.service_time_count
        is_healthy = is_healthy and not backend.consecutive_rejections and not backend.outlier.suspicion
        return bool(is_healthy) and self.loads.ahead(backend, now) < IDLE_BELOW

    def waited_too_long(self, backend: "Backend", sent_at: int, now: int) -> bool:
        """Returns whether an attempt from `sent_at` is too old to be written to a warming backend.

        Guards against attempts that wait for slow connections and are then all written at once, together with
        newer ones.
        """
        window = self.settings.overload_window
        return backend.is_warming(now) and now - sent_at > window // 2 > 0
