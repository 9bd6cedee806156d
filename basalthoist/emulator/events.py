"""The event queue of the simulation. Times are whole tenths of a millisecond."""

from collections.abc import Callable
from heapq import heappop, heappush

SECOND = 10_000


class Timer:
    """A scheduled callback. `stop` cancels it."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def stop(self) -> None:
        self.callback = None


class Events:
    """Runs callbacks by time, then in the order of scheduling, so that a seed determines a run."""

    def __init__(self) -> None:
        self.now, self.seq, self.processed = 0, 0, 0
        self.due: list[tuple[int, int, Timer]] = []

    def after(self, delay: float, callback: Callable[[], None]) -> Timer:
        self.seq += 1
        timer = Timer(callback)
        # Rounded, not truncated: losing half a tick of each gap would add load where gaps are a few ticks.
        heappush(self.due, (self.now + max(round(delay), 0), self.seq, timer))
        return timer

    def run(self, until: int) -> None:
        while self.due and self.due[0][0] <= until:
            self.now, _, timer = heappop(self.due)
            if timer.callback is not None:
                self.processed += 1
                timer.callback()
        self.now = until
