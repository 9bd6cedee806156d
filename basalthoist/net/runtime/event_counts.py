"""Log lines for events that may come many times a second."""

from collections.abc import Callable

from basalthoist.net.runtime.log import Log
from basalthoist.net.runtime.timers import SECOND, now


class EventCount:
    """Logs the first of many like events at once, and from then on how many there were, once a second.

    `line_of`: returns the log line for a number of events.
    """

    def __init__(self, log: Log, line_of: Callable[[int], str]) -> None:
        self.log: Log = log
        self.line_of: Callable[[int], str] = line_of
        self.count: int = 0  # since the last line
        self.next_line_at: int = 0

    def add(self) -> None:
        """Counts an event, and logs the events since the last line if that is a second ago."""
        # Guards against events that use up the log's lines per second, so that others are left out.
        self.count += 1
        if now() >= self.next_line_at:
            self.log(self.line_of(self.count))
            self.count = 0
            self.next_line_at = now() + SECOND
