"""Means with their confidence intervals, and paired differences on common random numbers."""

from math import sqrt
from typing import NamedTuple

from scipy.stats import t


class Mean(NamedTuple):
    mean: float
    half: float  # of the interval; nan where there is one sample only
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


def paired(ones: dict, others: dict, confidence: float = 0.95) -> Mean:
    """Of the differences one minus other, on the keys (seed and value) that both have."""
    common = sorted(ones.keys() & others.keys(), key=str)
    if not common:
        raise ValueError("no run in common")
    return mean_of([ones[key] - others[key] for key in common], confidence)
