"""The process's log on standard error, with a limit on lines per second."""

import select
import sys
import time
from contextlib import suppress

from basalthoist.net.runtime.descriptors import is_ready

MAX_LINE_CHARACTERS = 1000


class Log:
    """Prints at most `per_second` lines per second, and reports how many lines were left out."""

    def __init__(self, name: str, per_second: int) -> None:
        self.name: str = name
        self.per_second: int = per_second
        self.second: int = 0  # the current second of the monotonic clock
        self.printed: int = 0  # lines in the current second
        self.left_out: int = 0  # lines left out since the last report

    def __call__(self, line: str) -> None:
        """Prints a line, or counts it as left out."""
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.printed = second, 0
            if self.left_out and self.is_writable():
                self.write(f"{self.left_out} lines left out")
                self.left_out = 0
        if self.printed >= self.per_second or not self.is_writable():
            self.left_out += 1
            return
        self.printed += 1
        self.write(line[:MAX_LINE_CHARACTERS])

    def is_writable(self) -> bool:
        """Returns whether a line can be written. Guards against blocking on a full pipe that nobody reads."""
        try:
            return is_ready(sys.stderr.fileno(), select.POLLOUT)
        except (OSError, ValueError, AttributeError):
            return True  # Standard error has no descriptor, so it is no pipe that could block.

    def write(self, line: str) -> None:
        """Prints a line after the node's name."""
        # Guards against a closed pipe: an error here must not end a request.
        with suppress(OSError, ValueError):
            print(f"{self.name}: {line}", file=sys.stderr, flush=True)
