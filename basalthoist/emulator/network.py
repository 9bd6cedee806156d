"""Network paths between locations: delay, jitter, and cuts that drop packets silently."""

from random import Random

from .scenario import Network


class Paths:
    def __init__(self, network: Network, rng: Random) -> None:
        self.network, self.rng = network, rng
        self.cut_counts: dict[int, int] = {}  # the number of faults that currently cut off each location

    def cut(self, location: int) -> None:
        self.cut_counts[location] = self.cut_counts.get(location, 0) + 1

    def restore(self, location: int) -> None:
        self.cut_counts[location] = self.cut_counts[location] - 1

    def is_open(self, source: int, target: int) -> bool:
        """Returns whether packets pass. A cut affects paths to other locations, not within one."""
        return source == target or not (self.cut_counts.get(source) or self.cut_counts.get(target))

    def delay(self, source: int, target: int) -> float:
        """Returns a random one-way delay in tenths of a millisecond."""
        mean = self.network.delay_ms if source == target else self.network.cross_ms
        return 10 * mean * (1 + self.network.jitter * (2 * self.rng.random() - 1))
