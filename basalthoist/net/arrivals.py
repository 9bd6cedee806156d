"""Arrival times of the bytes of a stream, of which some may be unread in the kernel's receive buffer."""

MERGE_WINDOW = 10  # tenths of a millisecond; bytes received within it share one arrival time
MAX_PIECES = 256


class Arrivals:
    """Arrival times of the bytes of a stream, so that a message's timeout starts at its own last byte.

    Times are in tenths of a millisecond.
    """

    __slots__ = ("received", "pieces", "window")

    def __init__(self) -> None:
        self.received: int = 0  # bytes that have been read
        # Of each read or observation: the total of bytes that had arrived by then, and its time.
        self.pieces: list[tuple[int, int]] = []
        self.window: int = MERGE_WINDOW  # grows with the time that is covered by MAX_PIECES

    def add(self, length: int, at: int) -> None:
        """Records that `length` bytes have been read, which arrived at `at` unless observed before."""
        self.received += length
        self.record(self.received, at)

    def observe_unread(self, length: int, at: int) -> None:
        """Records that `length` bytes lie unread, the last of which arrived at `at`."""
        # Guards against bytes that count from when later ones came, as reading was paused meanwhile.
        self.record(self.received + length, at)

    def record(self, total: int, at: int) -> None:
        """Records that `total` bytes of the stream had arrived by `at`."""
        if self.pieces and total <= self.pieces[-1][0]:
            return
        # Guards against a stream of single bytes, each of which would become a piece of its own.
        if self.pieces and at - self.pieces[-1][1] < self.window:
            at = self.pieces.pop()[1]
        self.pieces.append((total, at))
        if len(self.pieces) > MAX_PIECES:
            self.merge_pairs()

    def merge_pairs(self) -> None:
        """Halves the number of pieces: two neighbours become one, which arrived at the earlier time."""
        # Guards against bytes one by one behind an open request, which would take a piece each.
        pieces = self.pieces
        self.window = max(MERGE_WINDOW, 2 * (pieces[-1][1] - pieces[0][1]) // MAX_PIECES)
        last = pieces[-1:] if len(pieces) % 2 else []
        pairs = zip(pieces[::2], pieces[1::2], strict=False)
        self.pieces = [(later[0], earlier[1]) for earlier, later in pairs] + last

    def drop_received(self) -> None:
        """Drops the times of bytes that have been read."""
        while self.pieces and self.pieces[0][0] <= self.received:
            del self.pieces[0]
        if not self.pieces:
            self.window = MERGE_WINDOW

    def arrival_of_last_byte(self, unparsed: int) -> int:
        """Returns when the last byte before the final `unparsed` read ones arrived; drops earlier times."""
        end = self.received - unparsed
        while len(self.pieces) > 1 and self.pieces[0][0] < end:
            del self.pieces[0]
        if len(self.pieces) == 1:
            self.window = MERGE_WINDOW
        return self.pieces[0][1] if self.pieces else 0
