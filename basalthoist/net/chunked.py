"""Decoding of message bodies with `Transfer-Encoding: chunked` (RFC 9112, section 7.1)."""

import re

TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
QUOTED_STRING = rb'"(?:[^"\\\x00-\x08\x0a-\x1f\x7f]|\\[^\x00-\x08\x0a-\x1f\x7f])*"'
EXTENSION = rb";%b(?:=(?:%b|%b)?)?" % (TOKEN, TOKEN, QUOTED_STRING)
# The line end that closes the previous chunk belongs to the header of the next one.
CHUNK_HEADER = re.compile(rb"\r\n0*([0-9A-Fa-f]{1,16})(?:%b)*\r\n" % EXTENSION)
INCOMPLETE_CHUNK_HEADER = re.compile(rb"\r?|\r\n(?:[0-9A-Fa-f]+(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?\r?)?")
# RFC 9110, section 6.5.1: the fields that frame a message do not occur in its trailers.
TRAILER = re.compile(
    rb"(?!(?:content-length|transfer-encoding):)%b:[^\x00-\x08\x0a-\x1f\x7f]*\r\n" % TOKEN, re.IGNORECASE
)
INCOMPLETE_TRAILER = re.compile(rb"\r?|%b(?::[^\x00-\x08\x0a-\x1f\x7f]*\r?)?" % TOKEN)
LINE_END = b"\r\n"


class ChunkError(ValueError):
    """Raised for bytes that are no chunked body, or whose framing exceeds the limit."""


class ChunkedDecoder:
    """Decodes the body of one message as its bytes arrive.

    `max_framing_bytes`: the maximum size of a chunk's header, and of the trailers together.

    The time that `feed` takes is proportional to the bytes that it is given, whatever the chunks hold.
    """

    __slots__ = ("max_framing_bytes", "missing_bytes", "incomplete", "trailer_bytes", "in_trailers", "excess")

    def __init__(self, max_framing_bytes: int) -> None:
        self.max_framing_bytes: int = max_framing_bytes
        self.missing_bytes: int = 0  # of the data of the current chunk
        # Received part of a chunk's header or of a trailer; before the first chunk, as if one had just ended.
        self.incomplete: bytes = LINE_END
        self.trailer_bytes: int = 0
        self.in_trailers: bool = False
        self.excess: bytes | None = None  # the bytes after the body, once it is complete

    @property
    def complete(self) -> bool:
        """Whether the whole body, with its trailers, has arrived."""
        return self.excess is not None

    def feed(self, data: bytes) -> bytes:
        """Takes the next bytes; returns the decoded data in them, in one piece. Raises ChunkError."""
        if self.missing_bytes >= len(data):
            self.missing_bytes -= len(data)
            return data
        pieces = [data[: self.missing_bytes]] if self.missing_bytes else []
        position, self.missing_bytes = self.missing_bytes, 0
        if self.incomplete:
            data, self.incomplete = self.incomplete + data, b""
        if not self.in_trailers:
            position = self.read_chunks(data, position, pieces)
        if self.in_trailers:
            self.read_trailers(data, position)
        return pieces[0] if len(pieces) == 1 else b"".join(pieces)

    def read_chunks(self, data: bytes, position: int, pieces: list[bytes]) -> int:
        """Adds the data of the chunks from `position` on to `pieces`; returns where the framing goes on."""
        while (header := CHUNK_HEADER.match(data, position)) is not None:
            if header.end() - position > self.max_framing_bytes:
                raise ChunkError(f"chunk header over the limit of {self.max_framing_bytes} bytes")
            position = header.end()
            size = int(header[1], 16)
            if not size:
                self.in_trailers = True
                return position
            end = position + size
            pieces.append(data[position:end])
            if end >= len(data):
                self.missing_bytes = end - len(data)
                return len(data)
            position = end
        self.keep_incomplete(data[position:], INCOMPLETE_CHUNK_HEADER, self.max_framing_bytes)
        return position

    def read_trailers(self, data: bytes, position: int) -> None:
        """Skips the trailers from `position` on, up to the empty line that ends the body."""
        while (trailer := TRAILER.match(data, position)) is not None:
            self.trailer_bytes += trailer.end() - position
            position = trailer.end()
        if data.startswith(LINE_END, position):
            self.excess = data[position + len(LINE_END) :]
            position = len(data)
        self.keep_incomplete(data[position:], INCOMPLETE_TRAILER, self.max_framing_bytes - self.trailer_bytes)

    def keep_incomplete(self, framing: bytes, pattern: re.Pattern[bytes], max_bytes: int) -> None:
        """Keeps the received part of a line for the next feed. Raises ChunkError if it cannot be one."""
        if pattern.fullmatch(framing) is None:
            raise ChunkError("malformed chunk header or trailer")
        if len(framing) > max_bytes:
            raise ChunkError(f"chunk header or trailers over the limit of {self.max_framing_bytes} bytes")
        self.incomplete = framing
