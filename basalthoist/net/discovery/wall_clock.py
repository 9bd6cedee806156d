"""Starts of backends, told in Unix time, placed on the monotonic clock: the wall clock may be stepped.

A start that is placed too late costs some traffic to a backend that is warm already; one that is placed too
early overloads a backend that is still warming up. So of what can be true, the latest start counts.
"""

import time

from basalthoist.net.runtime.timers import NANOSECONDS_PER_TENTH, SECOND, now

TENTHS_PER_MS = 10
MAX_CHANGE_DELAY = 30 * SECOND  # no change is told later than this after the last word without it


def current_offset() -> int:
    """The wall clock ahead of the monotonic one, in tenths of a millisecond."""
    return (time.time_ns() - time.monotonic_ns()) // NANOSECONDS_PER_TENTH


class WallClock:
    """Converts Unix times. `offset` is the least that was ever read, or that a start has shown."""

    def __init__(self) -> None:
        self.offset: int = current_offset()

    def to_monotonic(self, unix_ms: int, earliest: int | None) -> int:
        """When it was on the monotonic clock: not in the future, and not ahead of `earliest`.

        `earliest`: when what discovery told was last confirmed without it; None where nothing was told yet.
        """
        at = now()
        # Guards against a clock that is stepped ahead while the node serves.
        self.offset = min(self.offset, current_offset())
        placed = min(unix_ms * TENTHS_PER_MS - self.offset, at)
        if earliest is None or placed >= earliest:
            return placed
        if placed < earliest - MAX_CHANGE_DELAY:
            # Guards against a clock that has been ahead since before the node began.
            self.offset = unix_ms * TENTHS_PER_MS - at
            return at
        return earliest
