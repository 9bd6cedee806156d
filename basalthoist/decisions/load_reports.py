"""How many requests a backend holds and how long a new one takes, by reports, gossip and own attempts."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from .interface import BalancerHost, Outcome
from .profile import PRIOR_SAMPLES
from .settings import BalancerSettings, RouteBounds
from .units import SECOND

if TYPE_CHECKING:
    from .backend import Backend

DECAY_SERVICE_TIMES = 3  # service times after which one that was sent counts as done, where no end is heard
SUM_FADE = 0.9  # of the sums of service times, with each response
SATURATED_REJECTIONS = 3  # in a row
REJECTED_IN_FLIGHT = 4.0  # reported requests over which a rejection means that a backend is full
PROBE_TRIP_SMOOTHING = 0.05
FIRST_PROBE_TRIP = 10.0  # one millisecond


class LoadEstimator:
    """Estimates for all backends of a node; `service_time` is the mean of its subset."""

    def __init__(self, settings: BalancerSettings, route_bounds: RouteBounds) -> None:
        self.route_bounds = route_bounds
        self.blind: bool = settings.blind
        self.hears: bool = bool(settings.health_checks or settings.gossips)
        self.service_time: float = route_bounds.objective / 4.0
        self.health_check_trip: float = FIRST_PROBE_TRIP
        self.heard_at: int = -SECOND  # when a health check last brought a report

    def ahead(self, backend: "Backend", now: int) -> float:
        """Requests that a new one would find there."""
        if not self.hears:
            return max(len(backend.open_attempts), 0.0)
        # Guards against taking one last heard of as crowded for empty, or lost messages for load.
        decayed = (now - backend.reported_at) / self.service_time
        decayed = decayed / (DECAY_SERVICE_TIMES if self.blind else 1)
        return max(len(backend.open_attempts), backend.reported_in_flight - decayed)

    def expected(self, backend: "Backend", now: int) -> float:
        """The response time of a request sent there now; longer where the oldest attempt met silence."""
        service_time = (backend.service_time_sum + PRIOR_SAMPLES * self.service_time * backend.kind_pace) / (
            backend.service_time_count + PRIOR_SAMPLES
        )
        time = service_time * (self.ahead(backend, now) + 1.0)
        if backend.open_attempts and backend.last_response_at < backend.open_attempts[0].sent_at:
            return max(time, service_time + now - backend.open_attempts[0].sent_at)
        return time

    def report(self, backend: "Backend", in_flight: float, now: int) -> None:
        """What it holds, as just heard or reckoned."""
        backend.reported_in_flight = in_flight
        backend.reported_at = now

    def add_response(self, backend: "Backend", elapsed: int, ahead: float) -> None:
        """A response after `elapsed`, to a request that found `ahead` others there."""
        backend.service_time_sum = backend.service_time_sum * SUM_FADE + elapsed
        backend.service_time_count = backend.service_time_count * SUM_FADE + ahead + 1.0

    def add_rejection(self, backend: "Backend", now: int, elapsed: int, timeout: int) -> None:
        """A rejection: one that is full rests for a service time, and its profile shows that it was."""
        backend.rejections += 1
        if self.blind:
            self.report(backend, max(self.ahead(backend, now), 2 * REJECTED_IN_FLIGHT), now)
        # Guards against passing by idle ones that reject some, and full ones that keep a good profile.
        full = backend.rejections >= SATURATED_REJECTIONS or backend.reported_at < now
        full = full or backend.reported_in_flight > REJECTED_IN_FLIGHT
        backend.saturated_until = now + int(full * self.service_time)
        backend.profile.add_sample(timeout if full else elapsed)
        backend.service_time_sum = backend.service_time_sum * SUM_FADE + (
            self.route_bounds.objective if full else elapsed
        )
        backend.service_time_count = backend.service_time_count * SUM_FADE + 1.0

    def add_health_check(self, backend: "Backend", now: int, elapsed: int, in_flight: float) -> None:
        """The reported requests in flight that a health check brought after `elapsed`."""
        self.report(backend, in_flight, now)
        self.heard_at = now
        self.health_check_trip += (elapsed - self.health_check_trip) * PROBE_TRIP_SMOOTHING

    def fade(self, backends: Iterable["Backend"], demand: float) -> None:
        """Once a second: what was measured long ago counts less, the faster the more is sent."""
        backends = list(backends)
        # Guards against hundreds of nodes that each forget a slow backend in seconds and try it in turn.
        fade = min(0.97 ** (demand / max(len(backends), 1)), 0.85 if self.hears else 0.95)
        for backend in backends:
            backend.service_time_sum, backend.service_time_count = (
                fade * backend.service_time_sum,
                fade * backend.service_time_count,
            )

    def update_means(self, ready: "list[Backend]") -> None:
        """The mean service time of the subset, and each kind's as a multiple of it."""
        times = sum(b.service_time_sum for b in ready) + self.route_bounds.objective / 4
        self.service_time = times / (sum(b.service_time_count for b in ready) + 1)
        for kind in {backend.kind for backend in ready}:
            alike = [backend for backend in ready if backend.kind == kind]
            # Guards against taking random variation in a few samples of one backend for its speed.
            ratio = (sum(b.service_time_sum for b in alike) / self.service_time + PRIOR_SAMPLES) / (
                sum(b.service_time_count for b in alike) + PRIOR_SAMPLES
            )
            for backend in alike:
                backend.kind_pace = pace


LOST_FROM = 0.8  # part of overtaken attempts without an answer, from which they are taken for lost
LOSS_SMOOTHING = 0.1
OVERTAKEN_OFTEN = 2


class OvertakenAttempts:
    """Attempts that others, sent later to the same backend, were answered before."""

    def __init__(self, host: BalancerHost, settings: BalancerSettings) -> None:
        self.host = host
        self.active: bool = bool(settings.health_checks)
        self.can_cancel: bool = settings.can_cancel
        self.loss_rate: float = 0.0

    def are_lost(self) -> bool:
        """Whether hardly any that was overtaken is answered at all."""
        return self.loss_rate > LOST_FROM

    def overtake(self, now: int, backend: "Backend", sent_before: float, in_flight: int) -> None:
        """Guards against attempts that are lost, or answered in part: it holds only so many sent before."""
        older = [a for a in backend.open_attempts if a.sent_at < sent_before] if self.active else []
        for late in older[: max(len(older) - in_flight, 0)]:
            late.overtaken += 1
            request = late.request
            if late.overtaken >= OVERTAKEN_OFTEN and self.are_lost():
                backend.open_attempts.remove(late)
                wanted = now < request.objective_at and not request.body_consumed
                if self.can_cancel and request.route.is_idempotent and wanted:
                    self.host.cancel(request.id, request.attempts.index(late))

    def record(self, overtaken: int, called_off: bool, outcome: Outcome) -> None:
        """The outcome of an attempt that was overtaken so often; one called off tells nothing."""
        if overtaken < OVERTAKEN_OFTEN or called_off:
            return
        were_lost = self.are_lost()
        unanswered = outcome != Outcome.COMPLETED
        self.loss_rate = (1 - LOSS_SMOOTHING) * self.loss_rate + LOSS_SMOOTHING * unanswered
        if were_lost != self.are_lost():
            self.host.log(
                f"overtaken attempts: {self.loss_rate:.0%} unanswered, taken for lost: {not were_lost}"
            )
