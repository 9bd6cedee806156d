"""Which backend a request goes to: smooth weighted rotation over those that are fit for it just now."""

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

REPORT_LIFETIME = 20  # a report older than 2 ms is asked for anew
MOST_STRAIN = 4.0  # idle times at which a backend is passed over
MOST_STRAIN_REPORTED = 2.5  # where it reports its whole rate
NEAR_SERVICE_TIMES = 1.5  # a response expected within so many service times is near enough
SURPLUS_BOUND, LEAST_BOUND, VALUE_BOUND = 0.35, 0.5, 0.25  # parts of the time left that may be expected
GOSSIP_BOUND = 0.2  # more, where peers are heard of
LATE_BOUND = 0.3  # of the latency objective, once that is over


class Rotation:
    """Every backend's credit grows by its target rate with each pick; whoever is picked pays the sum."""

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
        """Those that it may go to, whose turn is next first."""
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
        """The backend for one attempt, or None where it is better to wait."""
        fit = self.candidates(now, request)
        best = self.best_of(fit, now, request)
        if best is not None:
            for backend in fit:
                backend.credit += backend.target_rate
                best.credit -= backend.target_rate
        return best

    def best_of(self, fit: list[Backend], now: int, request: Request) -> Backend | None:
        """The first that answers near enough, or else the one that answers first within the bound."""
        hears, health_checks = self.loads.hears, self.settings.health_checks
        gossips = self.gossip.probability > 0.0
        objective = self.route_bounds.objective
        service_time, equal_time = self.loads.service_time, self.solver.equal_time
        checking = not request.checks_settled if health_checks else False
        bound = self.time_bound(now, request, gossips)
        most_open = max(2.0, 2.0 * sum(len(b.open_attempts) for b in fit) / len(fit)) if fit else 0.0
        oldest_report = self.oldest_report(now, checking)
        lull = gossips or (health_checks and fit and now - max(b.last_response_at for b in fit) > objective)
        best, best_time = None, inf
        for backend in fit:
            stale = now - backend.reported_at > oldest_report
            if len(backend.open_attempts) > most_open:
                continue
            if stale and backend.zone < self.settings.first_remote_zone:
                continue
            time, cost = self.loads.expected(backend, now), backend.zone_cost
            loaded = backend.open_attempts or backend.profile.reported_rate
            if not hears and loaded and time > self.strain_bound(backend, objective):
                continue
            near = NEAR_SERVICE_TIMES * service_time
            if not hears:
                near = max(equal_time - cost, near)
            # Guards against shedding while some are heard of as idle: slow first answers would be the last.
            untested = lull or health_checks and backend.service_time_count < 1.5
            fits = untested and self.loads.ahead(backend, now) < 0.1 or not gossips and time <= bound
            if fits and time + cost * hears <= near:
                return backend
            if not checking and time <= bound and time + cost < best_time:
                best, best_time = backend, time + cost
        return best

    def time_bound(self, now: int, request: Request, gossips: bool) -> float:
        """The longest response time that may be expected; more for routes of a high priority weight."""
        left = request.objective_at - now
        if left <= 0:
            return LATE_BOUND * request.route.objective
        part = SURPLUS_BOUND
        if not request.surplus:
            part = LEAST_BOUND + VALUE_BOUND * request.route.value / self.route_bounds.highest_value
        return (part + GOSSIP_BOUND * gossips) * left

    def oldest_report(self, now: int, checking: bool) -> float:
        """The age from which a backend is passed over for its old report; infinite where none is used."""
        if checking:
            return REPORT_LIFETIME
        if self.settings.health_checks and now - self.loads.heard_at < SECOND:
            return self.loads.service_time / 2
        return inf

    @staticmethod
    def strain_bound(backend: Backend, objective: int) -> float:
        """Guards against crowding a backend until it turns slower: a few times its idle time is enough."""
        most = MOST_STRAIN_REPORTED if backend.profile.reported_rate else MOST_STRAIN
        return max(most * backend.profile.idle_time, 0.2 * objective)
