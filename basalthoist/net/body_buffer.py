"""The bytes of a body that arrives in several reads."""

MIN_PIECE_BYTES = 2048


class BodyBuffer:
    """Collects a body in pieces, so that it takes hardly more memory than its bytes while it grows."""

    __slots__ = ("pieces", "tail", "size")

    def __init__(self, first: bytes | memoryview) -> None:
        self.pieces: list[bytes] = []
        self.tail: bytearray = bytearray()  # the last bytes, as long as they are few
        self.size: int = 0
        self.append(first)

    def __len__(self) -> int:
        return self.size

    def append(self, data: bytes | memoryview) -> None:
        """Adds the next bytes."""
        self.size += len(data)
        # Guards against a body that arrives byte by byte and would take one buffer for each byte.
        if self.tail or len(data) < MIN_PIECE_BYTES:
            self.tail += data
            if len(self.tail) >= MIN_PIECE_BYTES:
                self.pieces.append(bytes(self.tail))
                self.tail = bytearray()
        else:
            self.pieces.append(bytes(data))

    def whole(self) -> bytes:
        """Returns all bytes that have been added."""
        return b"".join([*self.pieces, self.tail])
