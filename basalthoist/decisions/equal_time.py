"""Solves by bisection, each second, for the rates at which all backends of the subset answer equally fast."""

from .backend import Backend
from .load_reports import LoadEstimator
from .profile import Point
from .settings import RouteBounds
from .subset import Subset

FLOOR_FRACTION = 0.2  # each backend gets at least this fraction of an even rate, whatever its profile
PROFILING_SPREAD = 4.0  # a new backend starts at the highest target rate divided by this
MIN_SOLVED_FRACTION = 0.2  # fraction of the demand that stepwise profiling leaves to the other backends
MIN_DEMAND = 0.1  # requests per second
RATE_SMOOTHING = 0.5
BISECTION_STEPS = 16
MAX_TIME_IN_OBJECTIVES = 100.0  # upper bound of the bisection, in latency objectives
ZONE_COST_WEIGHT = 4  # how fast the rate of an unmeasured backend falls with its zone cost


class EqualTimeSolver:
    """Sets `target_rate` of the backends of the subset. Times are in tenths of a millisecond."""

    def __init__(self, subset: Subset, loads: LoadEstimator, route_bounds: RouteBounds) -> None:
        self.subset = subset
        self.route_bounds = route_bounds
        self.loads = loads
        # The mean response time over all points of the subset.
        self.mean_time: float = route_bounds.objective / 3.0
        self.equal_time: float = float(route_bounds.objective)
        self.total_rate: float = 1.0
        self.floor_fraction: float = FLOOR_FRACTION

    def solve(self, now: int, demand: float) -> None:
        """Sets the target rates for `demand` requests per second."""
        ready = self.subset.ready(now)
        demand = max(demand, MIN_DEMAND)
        self.update_mean_time(ready, now)
        self.loads.update_means(ready)
        solved = [backend for backend in ready if not backend.profiling_stage]
        profiling_rate = self.set_profiling_rates(ready, solved, demand)
        remaining = max(demand - profiling_rate, MIN_SOLVED_FRACTION * demand)
        if sum(1 for backend in solved if backend.profile.points) < 2:
            self.set_unmeasured_rates(solved, remaining)
            return
        scale = self.fit_profiles(now, ready, solved, demand)
        self.bisect(solved, remaining * scale, MAX_TIME_IN_OBJECTIVES * self.route_bounds.objective)
        self.approach_rates(solved, remaining, scale)
        self.total_rate = sum(backend.target_rate for backend in ready)

    def update_mean_time(self, ready: list[Backend], now: int) -> None:
        """Updates the mean response time over all points, weighted by their samples."""
        measured = [point for backend in ready for point in backend.profile.points]
        measured = measured or [Point(0.0, self.mean_time, 1.0, now)]
        self.mean_time = sum(p.time * p.samples for p in measured) / sum(p.samples for p in measured)

    @staticmethod
    def set_profiling_rates(ready: list[Backend], solved: list[Backend], demand: float) -> float:
        """Sets the rates of the backends in stepwise profiling. Returns the sum of these rates."""
        fastest = max((b.target_rate for b in solved), default=0.0) or demand / max(len(ready), 1)
        for backend in ready:
            if backend.profiling_stage:
                backend.target_rate = backend.profiling_rate or fastest / PROFILING_SPREAD
        return sum(backend.target_rate for backend in ready if backend.profiling_stage)

    def set_unmeasured_rates(self, solved: list[Backend], remaining: float) -> None:
        """Sets rates by listed weight and zone cost, while fewer than two backends have a profile."""
        total_weight = sum(b.weight / (1 + ZONE_COST_WEIGHT * b.zone_cost / self.mean_time) for b in solved)
        for backend in solved:
            weight = remaining * backend.weight / (1 + ZONE_COST_WEIGHT * backend.zone_cost / self.mean_time)
            backend.target_rate = weight / total_weight

    def fit_profiles(self, now: int, ready: list[Backend], solved: list[Backend], demand: float) -> float:
        """Fits all profiles. Returns the ratio of the profiles' rates to the rates of this node."""
        reported_rates = [b.profile.reported_rate for b in ready if b.profile.reported_rate]
        # The rates that backends report are totals over all nodes, not this node's rates.
        scale = sum(reported_rates) / len(reported_rates) * len(ready) / demand if reported_rates else 1.0
        cores = 1.0 / self.subset.nodes_per_backend
        for backend in solved:
            if reported_rates:
                cores = backend.profile.extrapolation_cores = max(backend.weight, 1.0)
            rate = backend.profile.reported_rate or scale * demand / len(ready)
            backend.profile.fit(rate, self.mean_time * backend.kind_time_ratio, cores, now)
        return scale

    def bisect(self, solved: list[Backend], demand: float, longest: float) -> None:
        """Finds the shortest response time at which the rates of the profiles sum to `demand`."""
        low, high = 0.0, longest
        for _ in range(BISECTION_STEPS):
            middle = (low + high) / 2
            total = sum(b.profile.rate_at(middle - b.zone_cost) for b in solved)
            low, high = (low, middle) if total >= demand else (middle, high)
        self.equal_time = high

    def approach_rates(self, solved: list[Backend], remaining: float, scale: float) -> None:
        """Moves each rate half-way to the solved rate, or to the floor rate if that is higher."""
        for backend in solved:
            even_floor = self.floor_fraction * remaining / len(solved)
            floor = even_floor / (1 + ZONE_COST_WEIGHT * backend.zone_cost / self.mean_time)
            rate = max(backend.profile.rate_at(self.equal_time - backend.zone_cost) / scale, floor)
            smoothing = RATE_SMOOTHING if backend.target_rate else 1.0
            backend.target_rate += (rate - backend.target_rate) * smoothing
