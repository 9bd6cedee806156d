"""Selects the backend of an attempt: smooth weighted rotation over the backends that are currently fit."""

from math import inf

from .backend import Backend
from .equal_time import EqualTimeSolver
from .gossip import Gossip
from .load_reports import LoadEstimator
from .request import Request
from .retry import RetryPolicy
from .settings import BalancerSettings, RouteBounds
from .slow_start import SlowStartPolicy
from .subset import Subset
from .units import SECOND

REPORT_LIFETIME = 20  # a load report older than 2 ms is stale
MAX_IDLE_TIME_RATIO = 4.0  # a backend is skipped above this ratio of expected time to idle time
MAX_IDLE_TIME_RATIO_REPORTED = 2.5  # the same for a backend that reports its rate over all nodes
NEAR_SERVICE_TIMES = 1.5  # a response expected within so many service times is fast enough
# The longest acceptable expected time, as fractions of the time left of the latency objective.
SURPLUS_TIME_FRACTION, MIN_TIME_FRACTION, VALUE_TIME_FRACTION = 0.35, 0.5, 0.25
GOSSIP_TIME_FRACTION = 0.2  # added where the node gossips
LATE_TIME_FRACTION = 0.3  # fraction of the latency objective, once that is over


class Rotation:
    """Smooth weighted rotation.

    With each pick, every fit backend's credit grows by its target rate, and the picked one pays the sum.
    """

    def __init__(
        self,
        settings: BalancerSettings,
        route_bounds: RouteBounds,
        subset: Subset,
        solver: EqualTimeSolver,
        loads: LoadEstimator,
        slow_start: SlowStartPolicy,
        retry: RetryPolicy,
        gossip: Gossip,
    ) -> None:
        self.settings = settings
        self.route_bounds = route_bounds
        self.subset = subset
        self.solver = solver
        self.loads = loads
        self.slow_start = slow_start
        self.retry = retry
        self.gossip = gossip

    def candidates(self, now: int, request: Request) -> list[Backend]:
        """Returns the backends that may get an attempt of the request, the next in the rotation first."""
        fit = [b for b in self.subset.ready(now) if not (b.outlier.is_suspect() and b.open_attempts)]
        fit = [b for b in fit if now >= b.saturated_until]
        fit = [b for b in fit if not b.is_warming(now) or self.slow_start.allows(b, now)]
        if request.attempts or request.spilled:
            fit = [b for b in fit if self.retry.may_attempt(request, b, now)]
            tried = [attempt.backend for attempt in request.attempts]
            fit = [b for b in fit if b not in tried] or fit
        if request.surplus and self.settings.crossing_price > self.settings.surplus_value:
            fit = [b for b in fit if b.zone == self.settings.zone]
        return sorted(fit, key=lambda b: -(b.credit + b.target_rate))

    def pick(self, now: int, request: Request) -> Backend | None:
        """Returns the backend for an attempt, or None if it is better to wait."""
        fit = self.candidates(now, request)
        best = self.best_candidate(fit, now, request)
        if best is not None:
            for backend in fit:
                backend.credit += backend.target_rate
                best.credit -= backend.target_rate
        return best

    def best_candidate(self, fit: list[Backend], now: int, request: Request) -> Backend | None:
        """Returns the first backend in the rotation that is fast enough, else the fastest within the bound.

        An untested backend with hardly any request ahead is fast enough if it is near the service time, even
        if its expected time exceeds the time bound.
        """
        gets_load_updates, health_checks = self.loads.gets_load_updates, self.settings.health_checks
        is_gossiping = self.gossip.probability > 0.0
        objective = self.route_bounds.objective
        service_time, equal_time = self.loads.service_time, self.solver.equal_time
        checking = not request.checks_settled if health_checks else False
        bound = self.time_bound(now, request, is_gossiping)
        max_open = max(2.0, 2.0 * sum(len(b.open_attempts) for b in fit) / len(fit)) if fit else 0.0
        max_report_age = self.max_report_age(now, checking)
        may_try_untested = is_gossiping or (
            health_checks and fit and now - max(b.last_response_at for b in fit) > objective
        )
        best, best_time = None, inf
        for backend in fit:
            stale = now - backend.reported_at > max_report_age
            if len(backend.open_attempts) > max_open:
                continue
            if stale and not backend.is_link:
                continue
            time, cost = self.loads.expected_time(backend, now), backend.zone_cost
            loaded = backend.open_attempts or backend.profile.reported_rate
            if not gets_load_updates and loaded and time > self.overload_bound(backend, objective):
                continue
            near_time = NEAR_SERVICE_TIMES * service_time
            if not gets_load_updates:
                near_time = max(equal_time - cost, near_time)
            # Guards against shedding while some backends are idle: one whose first responses were slow would
            # get no further request.
            untested = may_try_untested or health_checks and backend.service_time_count < 1.5
            is_acceptable = (
                untested and self.loads.ahead(backend, now) < 0.1 or not is_gossiping and time <= bound
            )
            if is_acceptable and time + cost * gets_load_updates <= near_time:
                return backend
            if not checking and time <= bound and time + cost < best_time:
                best, best_time = backend, time + cost
        return best

    def time_bound(self, now: int, request: Request, is_gossiping: bool) -> float:
        """Returns the longest acceptable expected response time; longer for a higher priority weight."""
        time_left = request.objective_at - now
        if time_left <= 0:
            return LATE_TIME_FRACTION * request.route.objective
        fraction = SURPLUS_TIME_FRACTION
        if not request.surplus:
            fraction = (
                MIN_TIME_FRACTION
                + VALUE_TIME_FRACTION * request.route.value / self.route_bounds.highest_value
            )
        return (fraction + GOSSIP_TIME_FRACTION * is_gossiping) * time_left

    def max_report_age(self, now: int, checking: bool) -> float:
        """Returns the report age above which a backend is skipped.

        Without `checking` it is infinite if there are no health checks, or if none returned a load report in
        the last second.
        """
        if checking:
            return REPORT_LIFETIME
        if self.settings.health_checks and now - self.loads.last_health_check_at < SECOND:
            return self.loads.service_time / 2
        return inf

    @staticmethod
    def overload_bound(backend: Backend, objective: int) -> float:
        """Returns the expected response time above which a backend is skipped, a few times its idle time.

        Without this bound, a backend would get requests until queueing slows it down.
        """
        max_ratio = MAX_IDLE_TIME_RATIO_REPORTED if backend.profile.reported_rate else MAX_IDLE_TIME_RATIO
        return max(max_ratio * backend.profile.idle_time, 0.2 * objective)
