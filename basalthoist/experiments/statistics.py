"""Means with their confidence intervals, and paired differences on common random numbers."""

from math import sqrt
from typing import NamedTuple

from scipy.stats import t


class Mean(NamedTuple):
    mean: float
    half: float  # half the width of the confidence interval; nan for a single sample
    samples: int

    def text(self, digits: int = 3) -> str:
        if self.half != self.half:
            return f"{self.mean:.{digits}f}"
        return f"{self.mean:.{digits}f} ± {self.half:.{digits}f}"


def mean_of(samples: list[float], confidence: float = 0.95) -> Mean:
    count = len(samples)
    mean = sum(samples) / count
    if count < 2:
        return Mean(mean, float("nan"), count)
    variance = sum((x - mean) ** 2 for x in samples) / (count - 1)
    return Mean(mean, float(t.ppf((1 + confidence) / 2, count - 1)) * sqrt(variance / count), count)


def paired(first: dict, second: dict, confidence: float = 0.95) -> Mean:
    """Returns the mean of `first - second` over the common keys (seeds). Raises ValueError without any."""
    common = sorted(first.keys() & second.keys(), key=str)
    if not common:
        raise ValueError("no run in common")
    return mean_of([first[key] - second[key] for key in common], confidence)
