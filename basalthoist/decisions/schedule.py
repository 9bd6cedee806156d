"""A schedule of timed actions that uses one wake of the host at a time."""

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from itertools import count

from .interface import BalancerHost

DUE = "due"  # tag of the wake
MIN_ENTRIES_TO_DISCARD = 512


class Schedule:
    """Calls each action with the time and its subject; at equal times in the order of scheduling.

    `is_over`: returns whether no action has an effect on a subject any more.
    """

    def __init__(self, host: BalancerHost, is_over: Callable[[object], bool]) -> None:
        self.host = host
        self.is_over = is_over
        self.entries: list[tuple[int, int, Callable, object]] = []
        self.discard_at: int = MIN_ENTRIES_TO_DISCARD  # how many entries there are when some are discarded
        self.numbers = count()
        self.requested_wake_at: int = 0  # 0: no wake is requested

    def at(self, when: int, act: Callable, subject: object) -> None:
        """Schedules `act(now, subject)` for `when`; `request_wake` has to be called afterwards."""
        heappush(self.entries, (when, next(self.numbers), act, subject))
        if len(self.entries) >= self.discard_at:
            self.discard()

    def discard(self) -> None:
        """Discards the actions that would have no effect."""
        # Guards against answered requests that are kept until their deadlines, which may be days away.
        self.entries = [entry for entry in self.entries if not self.is_over(entry[3])]
        heapify(self.entries)
        self.discard_at = max(2 * len(self.entries), MIN_ENTRIES_TO_DISCARD)

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
