"""Paths between locations: delay and jitter, and cuts that say nothing."""

from random import Random

from .scenario import Network


class Paths:
    def __init__(self, network: Network, rng: Random) -> None:
        self.network, self.rng = network, rng
        self.cut_off: dict[int, int] = {}  # locations by how many faults cut them off

    def cut(self, location: int) -> None:
        self.cut_off[location] = self.cut_off.get(location, 0) + 1

    def mend(self, location: int) -> None:
        self.cut_off[location] = self.cut_off[location] - 1

    def open(self, one: int, other: int) -> bool:
        """Within a location nothing is cut; a location that is cut off reaches no other."""
        return one == other or not (self.cut_off.get(one) or self.cut_off.get(other))

    def delay(self, one: int, other: int) -> float:
        """One way, in tenths of a millisecond."""
        mean = self.network.delay_ms if one == other else self.network.cross_ms
        return 10 * mean * (1 + self.network.jitter * (2 * self.rng.random() - 1))
