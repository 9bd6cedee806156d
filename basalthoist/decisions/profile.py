"""A backend's latency profile: points measured in windows, and the line from rate to latency through them."""

from math import inf
from typing import NamedTuple

from .units import SECOND

WINDOW = 2 * SECOND
MAX_WINDOW = 8 * SECOND  # a window with too few samples is extended up to this
MIN_SAMPLES = 4
POINT_LIFETIME = 30 * SECOND
POINT_HALF_LIFE = 5 * SECOND  # of the weight of a point's samples
# Each measured mean is blended with the mean of the machine kind or of the subset. This is the weight of the
# latter, in samples.
PRIOR_SAMPLES = 3.0
MIN_RATE = 0.01  # requests per second


class Point(NamedTuple):
    """One closed window: requests per second, mean response time, number of samples, and when it closed."""

    rate: float
    time: float
    samples: float
    closed_at: int


def service_time(rate: float, time: float, cores: float) -> float:
    """Estimates the response time at rate 0 from `time`, the response time at `rate` requests per second.

    Both times are in tenths of a millisecond; the requests run on `cores` cores.
    """
    return time / (1 + rate * time / SECOND / cores)


class LatencyProfile:
    """The measured latency of one backend, as a non-decreasing line from rates to response times."""

    __slots__ = (
        "points",
        "line",
        "extrapolation_cores",
        "reported_rate",
        "window_started_at",
        "sent",
        "count",
        "total_time",
        "rates_total",
        "rate_reports",
    )

    def __init__(self, now: int) -> None:
        self.points: list[Point] = []
        self.line: list[tuple[float, float]] = [(0.0, inf)]
        self.extrapolation_cores: float = inf  # cores assumed beyond the end of the line
        self.reported_rate: float = 0.0  # reported by the backend over all nodes, smoothed; 0: none
        self.restart_window(now)

    def restart_window(self, now: int) -> None:
        """Starts a new, empty window."""
        self.window_started_at: int = now
        self.sent: int = 0
        self.count: int = 0
        self.total_time: float = 0.0
        self.rates_total: float = 0.0
        self.rate_reports: int = 0

    def add_sample(self, time: float) -> None:
        """Adds a response time, or the time that a failure counts as."""
        self.count += 1
        self.total_time += time

    def add_reported_rate(self, rate: float) -> None:
        """Adds the rate over all nodes that the backend reports with a response."""
        self.reported_rate += (rate - self.reported_rate) * (0.5 if self.reported_rate else 1.0)
        self.rates_total += rate
        self.rate_reports += 1

    def close_window(self, now: int, longest_time: float) -> bool:
        """Turns a window with enough samples into a point. Returns whether a new window was started.

        MIN_SAMPLES are enough, or one if the backend has reported a rate. After MAX_WINDOW the window is
        closed in any case; one without a sample leaves no point.
        """
        span = now - self.window_started_at
        enough = 1 if self.reported_rate else MIN_SAMPLES
        if span < WINDOW or (self.count < enough and span < MAX_WINDOW):
            return False
        if self.count:
            rate = self.window_rate(span)
            self.points.append(Point(rate, min(self.total_time / self.count, longest_time), self.count, now))
        self.points = sorted(point for point in self.points if now - point.closed_at < POINT_LIFETIME)
        self.restart_window(now)
        return True

    def window_rate(self, span: int) -> float:
        """Returns the mean rate reported in the window, in requests per second.

        If none was, returns the smoothed rate reported earlier; if there is none either, the rate that this
        node sent.
        """
        if self.rate_reports:
            return self.rates_total / self.rate_reports
        return self.reported_rate or self.sent / span * SECOND

    def fit(self, mean_rate: float, mean_time: float, cores: float, now: int) -> None:
        """Fits the line: blends each point with the wider mean, and merges points where times would fall."""
        blended: list[tuple[float, float, float]] = []
        for rate, time, samples, closed_at in self.points or [
            Point(mean_rate, mean_time, PRIOR_SAMPLES, now)
        ]:
            weight = samples * 0.5 ** ((now - closed_at) / POINT_HALF_LIFE) + PRIOR_SAMPLES
            blended_time = time + (mean_time - time) * PRIOR_SAMPLES / weight
            blended.append((max(rate, MIN_RATE), blended_time, weight))
            while len(blended) > 1 and blended[-2][1] > blended[-1][1]:
                (r0, t0, n0), (r1, t1, n1) = blended[-2:]
                blended[-2:] = [((r0 * n0 + r1 * n1) / (n0 + n1), (t0 * n0 + t1 * n1) / (n0 + n1), n0 + n1)]
        idle_time = service_time(*blended[0][:2], cores)
        self.line = [(0.0, idle_time)] + [(rate, time) for rate, time, _ in blended]

    @property
    def idle_time(self) -> float:
        """The response time at rate 0."""
        return self.line[0][1]

    def rate_at(self, time: float) -> float:
        """Returns the rate at which the line reaches `time`; beyond its end the line is extrapolated."""
        if time <= self.line[0][1]:
            return 0.0
        for (r0, t0), (r1, t1) in zip(self.line, self.line[1:], strict=False):
            if time <= t1:
                return r0 + (r1 - r0) * (time - t0) / (t1 - t0) if t1 > t0 else r1
        last_slope = (t1 - t0) / (r1 - r0) if r1 > r0 else 1e-6
        slope = max(t1 * t1 / SECOND / self.extrapolation_cores, (t1 - self.line[0][1]) / r1, last_slope)
        return r1 + (time - t1) / slope
