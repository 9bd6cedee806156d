"""A schedule of timed actions that uses one wake of the host at a time."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

from .interface import BalancerHost

DUE = "due"  # tag of the wake


class Schedule:
    """Calls each action with the time and its subject; at equal times in the order of scheduling."""

    def __init__(self, host: BalancerHost) -> None:
        self.host = host
        self.entries: list[tuple[int, int, Callable, object]] = []
        self.numbers = count()
        self.requested_wake_at: int = 0  # 0: no wake is requested

    def at(self, when: int, act: Callable, subject: object) -> None:
        """Schedules `act(now, subject)` for `when`; `request_wake` has to be called afterwards."""
        heappush(self.entries, (when, next(self.numbers), act, subject))

    def run_due(self, now: int) -> None:
        """Calls the actions that are due, and requests a wake for the next one."""
        self.requested_wake_at = self.requested_wake_at if now < self.requested_wake_at else 0
        while self.entries and self.entries[0][0] <= now:
            _, _, act, subject = heappop(self.entries)
            act(now, subject)
        self.request_wake(now)

    def request_wake(self, now: int) -> None:
        """Requests a wake if the next action is due before the wake already requested."""
        if self.entries and (not self.requested_wake_at or self.entries[0][0] < self.requested_wake_at):
            self.requested_wake_at = max(self.entries[0][0], now + 1)
            self.host.wake(self.requested_wake_at - now, DUE)
