"""Actions that are due at a time, behind one wake of the host."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

from .interface import BalancerHost

DUE = "due"  # the tag of the wake


class Schedule:
    """Calls each action with the time and its subject; of those due together the first set goes first."""

    def __init__(self, host: BalancerHost) -> None:
        self.host = host
        self.entries: list[tuple[int, int, Callable, object]] = []
        self.numbers = count()
        self.requested_wake_at: int = 0  # 0: no wake is asked for

    def at(self, when: int, act: Callable, subject: object) -> None:
        """`act(now, subject)` is called at `when`, once a wake has been asked for by `arm`."""
        heappush(self.entries, (when, next(self.numbers), act, subject))

    def run_due(self, now: int) -> None:
        """Calls what is due; afterwards a wake for the rest has been asked for."""
        self.requested_wake_at = self.requested_wake_at if now < self.requested_wake_at else 0
        while self.entries and self.entries[0][0] <= now:
            _, _, act, subject = heappop(self.entries)
            act(now, subject)
        self.arm(now)

    def arm(self, now: int) -> None:
        """Asks for a wake where the next action is due before the one asked for."""
        if self.entries and (not self.requested_wake_at or self.entries[0][0] < self.requested_wake_at):
            self.requested_wake_at = max(self.entries[0][0], now + 1)
            self.host.wake(self.requested_wake_at - now, DUE)
