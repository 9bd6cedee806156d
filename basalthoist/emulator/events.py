"""Simulated time: one ordered structure of everything due, in whole tenths of a millisecond."""

from collections.abc import Callable
from heapq import heappop, heappush

SECOND = 10_000


class Due:
    """Something due; `stop` takes it back."""

    __slots__ = ("act",)

    def __init__(self, act: Callable[[], None]) -> None:
        self.act: Callable[[], None] | None = act

    def stop(self) -> None:
        self.act = None


class Events:
    """What is due at the same time happens in the order in which it was asked for, so a seed fixes a run."""

    def __init__(self) -> None:
        self.now, self.seq, self.happened = 0, 0, 0
        self.due: list[tuple[int, int, Due]] = []

    def after(self, delay: float, act: Callable[[], None]) -> Due:
        self.seq += 1
        due = Due(act)
        # Rounded, not cut: gaps of a few tenths that all lose half of one would be unasked load.
        heappush(self.due, (self.now + max(round(delay), 0), self.seq, due))
        return due

    def run(self, until: int) -> None:
        while self.due and self.due[0][0] <= until:
            self.now, _, due = heappop(self.due)
            if due.act is not None:
                self.happened += 1
                due.act()
        self.now = until
