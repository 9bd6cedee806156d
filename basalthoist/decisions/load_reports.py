"""Estimates requests in flight and response times of backends from load reports, gossip and own attempts."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from .interface import BalancerHost, Outcome
from .profile import PRIOR_SAMPLES
from .settings import BalancerSettings, RouteBounds
from .units import SECOND

if TYPE_CHECKING:
    from .backend import Backend

# Without load reports, a request whose end no peer announces counts as finished after so many service times.
DECAY_SERVICE_TIMES = 3
SUM_DECAY = 0.9  # decay of the service time sums with each response
SATURATED_AFTER_REJECTIONS = 3  # consecutive rejections
FULL_IN_FLIGHT = 4.0  # with more reported requests in flight, one rejection means that a backend is full
HEALTH_CHECK_TIME_SMOOTHING = 0.05
INITIAL_HEALTH_CHECK_TIME = 10.0  # 1 ms, in tenths of a millisecond


class LoadEstimator:
    """Estimates the load of all backends of a node; `service_time` is the mean over its subset."""

    def __init__(self, settings: BalancerSettings, route_bounds: RouteBounds) -> None:
        self.route_bounds = route_bounds
        self.without_load_reports: bool = settings.without_load_reports
        self.gets_load_updates: bool = bool(settings.health_checks or settings.gossips)
        self.service_time: float = route_bounds.objective / 4.0
        self.health_check_time: float = INITIAL_HEALTH_CHECK_TIME
        self.last_health_check_at: int = -SECOND  # when a health check last returned a load report

    def ahead(self, backend: "Backend", now: int) -> float:
        """Returns the estimated number of requests that a new request would find at the backend."""
        if not self.gets_load_updates:
            return max(len(backend.open_attempts), 0.0)
        # Guards against taking lost messages for lasting load, or a backend last reported as loaded for idle.
        finished = (now - backend.reported_at) / self.service_time
        finished = finished / (DECAY_SERVICE_TIMES if self.without_load_reports else 1)
        return max(len(backend.open_attempts), backend.reported_in_flight - finished)

    def expected_time(self, backend: "Backend", now: int) -> float:
        """Returns the expected response time of a request sent now.

        It is longer if the backend has answered nothing since its oldest open attempt was sent.
        """
        service_time = (
            backend.service_time_sum + PRIOR_SAMPLES * self.service_time * backend.kind_time_ratio
        ) / (backend.service_time_count + PRIOR_SAMPLES)
        time = service_time * (self.ahead(backend, now) + 1.0)
        if backend.open_attempts and backend.last_response_at < backend.open_attempts[0].sent_at:
            return max(time, service_time + now - backend.open_attempts[0].sent_at)
        return time

    def report(self, backend: "Backend", in_flight: float, now: int) -> None:
        """Stores the requests in flight at the backend, as just reported or estimated."""
        backend.reported_in_flight = in_flight
        backend.reported_at = now

    def add_response(self, backend: "Backend", elapsed: int, ahead: float) -> None:
        """Adds a response after `elapsed` to a request that found `ahead` others at the backend."""
        backend.service_time_sum = backend.service_time_sum * SUM_DECAY + elapsed
        backend.service_time_count = backend.service_time_count * SUM_DECAY + ahead + 1.0

    def add_rejection(self, backend: "Backend", now: int, elapsed: int, timeout: int) -> None:
        """Adds a rejection. A full backend rests for a service time, and its profile gets a slow sample."""
        backend.consecutive_rejections += 1
        if self.without_load_reports:
            self.report(backend, max(self.ahead(backend, now), 2 * FULL_IN_FLIGHT), now)
        # Guards against avoiding idle backends that reject a few requests, and against full backends that
        # keep a good profile.
        full = backend.consecutive_rejections >= SATURATED_AFTER_REJECTIONS or backend.reported_at < now
        full = full or backend.reported_in_flight > FULL_IN_FLIGHT
        backend.saturated_until = now + int(full * self.service_time)
        backend.profile.add_sample(timeout if full else elapsed)
        backend.service_time_sum = backend.service_time_sum * SUM_DECAY + (
            self.route_bounds.objective if full else elapsed
        )
        backend.service_time_count = backend.service_time_count * SUM_DECAY + 1.0

    def add_health_check(self, backend: "Backend", now: int, elapsed: int, in_flight: float) -> None:
        """Adds the requests in flight that a health check returned after `elapsed`."""
        self.report(backend, in_flight, now)
        self.last_health_check_at = now
        self.health_check_time += (elapsed - self.health_check_time) * HEALTH_CHECK_TIME_SMOOTHING

    def decay_sums(self, backends: Iterable["Backend"], demand: float) -> None:
        """Decays the service time sums once a second, the faster the more requests are sent."""
        backends = list(backends)
        # Guards against hundreds of nodes that each forget a slow backend in seconds and try it one by one.
        decay = min(0.97 ** (demand / max(len(backends), 1)), 0.85 if self.gets_load_updates else 0.95)
        for backend in backends:
            backend.service_time_sum, backend.service_time_count = (
                decay * backend.service_time_sum,
                decay * backend.service_time_count,
            )

    def update_means(self, ready: "list[Backend]") -> None:
        """Updates the mean service time of the subset, and each kind's ratio to it."""
        times = sum(b.service_time_sum for b in ready) + self.route_bounds.objective / 4
        self.service_time = times / (sum(b.service_time_count for b in ready) + 1)
        for kind in {backend.kind for backend in ready}:
            alike = [backend for backend in ready if backend.kind == kind]
            # Guards against taking random variation in a few samples of one backend for its speed.
            ratio = (sum(b.service_time_sum for b in alike) / self.service_time + PRIOR_SAMPLES) / (
                sum(b.service_time_count for b in alike) + PRIOR_SAMPLES
            )
            for backend in alike:
                backend.kind_time_ratio = ratio


LOST_ABOVE = 0.8  # overtaken attempts count as lost if more than this fraction stays unanswered
LOSS_SMOOTHING = 0.1
MIN_TIMES_OVERTAKEN = 2


class OvertakenAttempts:
    """Tracks overtaken attempts: attempts at a backend that has answered later ones first."""

    def __init__(self, host: BalancerHost, settings: BalancerSettings) -> None:
        self.host = host
        self.active: bool = bool(settings.health_checks)
        self.can_cancel: bool = settings.can_cancel
        self.loss_rate: float = 0.0

    def count_as_lost(self) -> bool:
        """Returns whether overtaken attempts count as lost, as hardly any of them is answered."""
        return self.loss_rate > LOST_ABOVE

    def overtake(self, now: int, backend: "Backend", sent_before: float, in_flight: int) -> None:
        """Marks the oldest attempts beyond `in_flight` as overtaken, and drops those that count as lost.

        Guards against attempts that were lost on the way, or answered only in part. `in_flight`: how many of
        the attempts sent before `sent_before` the backend can still be working on.
        """
        older = [a for a in backend.open_attempts if a.sent_at < sent_before] if self.active else []
        for attempt in older[: max(len(older) - in_flight, 0)]:
            attempt.overtaken += 1
            request = attempt.request
            if attempt.overtaken >= MIN_TIMES_OVERTAKEN and self.count_as_lost():
                backend.open_attempts.remove(attempt)
                is_useful = now < request.objective_at and not request.body_consumed
                if self.can_cancel and request.route.is_idempotent and is_useful:
                    self.host.cancel(request.id, request.attempts.index(attempt))

    def record(self, times_overtaken: int, cancelled_early: bool, outcome: Outcome) -> None:
        """Updates the loss rate with the outcome of an attempt, unless it was cancelled early."""
        if times_overtaken < MIN_TIMES_OVERTAKEN or cancelled_early:
            return
        counted_as_lost = self.count_as_lost()
        unanswered = outcome != Outcome.COMPLETED
        self.loss_rate = (1 - LOSS_SMOOTHING) * self.loss_rate + LOSS_SMOOTHING * unanswered
        if counted_as_lost != self.count_as_lost():
            self.host.log(
                f"overtaken attempts: {self.loss_rate:.0%} unanswered, taken for lost: {not counted_as_lost}"
            )
