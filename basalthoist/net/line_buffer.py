"""Lines from the bytes of a connection."""


class LineTooLongError(ValueError):
    """Raised for a line over the limit, as soon as so much of it has been received."""


class LineBuffer:
    """Received bytes, taken out line by line.

    `max_line_bytes`: the maximum length of a line, without its newline.

    A line is searched and copied once, however many lines or parts of a line a read has.
    """

    __slots__ = ("max_line_bytes", "buffer", "searched_bytes")

    def __init__(self, max_line_bytes: int) -> None:
        self.max_line_bytes: int = max_line_bytes
        self.buffer: bytearray = bytearray()
        self.searched_bytes: int = 0  # known not to contain a newline

    def __len__(self) -> int:
        return len(self.buffer)

    def append(self, data: bytes) -> None:
        """Adds received bytes."""
        self.buffer += data

    def has_line(self) -> bool:
        """Returns whether a complete line is left."""
        return self.buffer.find(b"\n", self.searched_bytes) >= 0

    def next_line(self) -> bytes | None:
        """Takes out the next line without its newline, or returns None. Raises LineTooLongError."""
        end = self.buffer.find(b"\n", self.searched_bytes)
        length = end if end >= 0 else len(self.buffer)
        if length > self.max_line_bytes:
            raise LineTooLongError(f"line over the limit of {self.max_line_bytes} bytes")
        if end < 0:
            self.searched_bytes = length
            return None
        line = bytes(self.buffer[:end])
        del self.buffer[: end + 1]
        self.searched_bytes = 0
        return line

    def clear(self) -> None:
        """Drops all bytes."""
        self.buffer.clear()
        self.searched_bytes = 0
