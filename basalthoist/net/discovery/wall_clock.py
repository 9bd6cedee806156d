"""Converts backends' start times from Unix time to the monotonic clock. The wall clock may be stepped.

A start time that is too late costs some traffic to a backend that is already warm. One that is too early
overloads a backend that is still warming up. Of the possible start times, the latest is therefore used.
"""

import time

from basalthoist.net.runtime.timers import NANOSECONDS_PER_TENTH, SECOND, now

TENTHS_PER_MS = 10
MAX_CHANGE_DELAY = 30 * SECOND  # a change is reported at most this long after a list without it


def current_offset() -> int:
    """Returns the wall clock minus the monotonic clock, in tenths of a millisecond."""
    return (time.time_ns() - time.monotonic_ns()) // NANOSECONDS_PER_TENTH


class WallClock:
    """Converts Unix times. `offset` is the smallest that was ever measured or derived from a start time."""

    def __init__(self) -> None:
        self.offset: int = current_offset()

    def to_monotonic(self, unix_ms: int, earliest: int | None) -> int:
        """Returns the time on the monotonic clock: not in the future, and not before `earliest`.

        `earliest`: when discovery last confirmed a list without this start; None if there was no list yet.
        """
        present = now()
        # Guards against a wall clock that is stepped forward while the node is running.
        self.offset = min(self.offset, current_offset())
        converted = min(unix_ms * TENTHS_PER_MS - self.offset, present)
        if earliest is None or converted >= earliest:
            return converted
        if converted < earliest - MAX_CHANGE_DELAY:
            # Guards against a wall clock that was already ahead when the node started.
            self.offset = unix_ms * TENTHS_PER_MS - present
            return present
        return earliest
