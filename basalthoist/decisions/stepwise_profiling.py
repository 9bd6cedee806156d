"""Stepwise profiling of a new backend: one window at a low rate, then one near the latency objective."""

from .backend import Backend
from .interface import BalancerHost
from .profile import service_time
from .settings import RouteBounds
from .subset import Subset
from .units import SECOND

LOW_RATE, NEAR_OBJECTIVE = 1, 2  # stages
TARGET_FRACTION = 0.8  # response time aimed at in the second stage, as a fraction of the latency objective


class StepwiseProfiling:
    """Advances each new backend through the stages as its windows close."""

    def __init__(self, host: BalancerHost, subset: Subset, route_bounds: RouteBounds) -> None:
        self.host = host
        self.subset = subset
        self.route_bounds = route_bounds

    @staticmethod
    def begin(backend: Backend) -> None:
        """Starts stepwise profiling of a warming backend, if it was never measured."""
        if not backend.profiling_stage and not backend.profile.points:
            backend.profiling_stage = LOW_RATE
            backend.profiling_rate = 0.0

    def advance(self, now: int, backend: Backend) -> None:
        """Advances the backend to its next stage after a closed window."""
        if not backend.profile.points and not backend.is_warming(now):
            # Guards against a stage that never ends for lack of samples: the mean of its kind is used.
            backend.profiling_stage = 0
        if not backend.profiling_stage or not backend.profile.points:
            return
        newest = max(backend.profile.points, key=lambda point: point.closed_at)
        cores = 1.0 / self.subset.nodes_per_backend
        service = service_time(newest.rate, newest.time, cores)
        target = TARGET_FRACTION * self.route_bounds.objective
        if backend.profiling_stage == NEAR_OBJECTIVE:
            backend.profiling_stage = 0
            self.host.log(f"profiled {backend.name}: {newest.rate:.1f}/s at {newest.time / 10:.0f} ms")
        elif service < target:
            rate = cores * (target - service) / (target * service) * SECOND
            others = (b.target_rate for b in self.subset.backends if not b.profiling_stage)
            backend.profiling_stage = NEAR_OBJECTIVE
            backend.profiling_rate = min(rate, max(others, default=rate))
