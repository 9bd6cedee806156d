"""Arrival times of the bytes of a stream."""

from collections import deque

MERGE_WINDOW = 10  # tenths of a millisecond; bytes received within it share one arrival time


class Arrivals:
    """Arrival times of the bytes of a stream, so that a message's timeout starts at its own last byte."""

    __slots__ = ("received", "pieces")

    def __init__(self) -> None:
        self.received: int = 0  # bytes that have been read
        # For each read: the total of bytes received by then, and its time.
        self.pieces: deque[tuple[int, int]] = deque()

    def add(self, length: int, at: int) -> None:
        """Records that `length` bytes arrived at `at`."""
        self.received += length
        # Guards against a stream of single bytes, each of which would become a piece of its own.
        if self.pieces and at - self.pieces[-1][1] < MERGE_WINDOW:
            at = self.pieces.pop()[1]
        self.pieces.append((self.received, at))

    def arrival_of_last_byte(self, unread: int) -> int:
        """Returns when the last byte before the final `unread` bytes arrived; drops earlier pieces."""
        end = self.received - unread
        while len(self.pieces) > 1 and self.pieces[0][0] < end:
            self.pieces.popleft()
        return self.pieces[0][1] if self.pieces else 0
