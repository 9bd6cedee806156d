"""HTTP/1.1 framing: splits the bytes of a connection into messages.

Heads are parsed by httptools. A body that arrives in one read is not copied.
"""

from collections.abc import Callable, Iterable

import httptools

from basalthoist.net.arrivals import Arrivals
from basalthoist.net.body_buffer import BodyBuffer
from basalthoist.net.chunked import ChunkedDecoder, ChunkError

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
LAST_CHUNK = b"0\r\n\r\n"

Parser = httptools.HttpRequestParser | httptools.HttpResponseParser


class BadMessage(Exception):  # noqa: N818 - every module that reads requests names it
    """Raised for a message that is invalid or too large. `status`: the HTTP status for a client."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status: int = status


class Message:
    """One request or response. `arrived_at`: when its last byte arrived, in tenths of a millisecond.

    `headers` has names in lower case; `body` may be a slice of the buffer that was read.
    """

    __slots__ = ("method", "target", "version", "status", "headers", "body", "keep_alive", "arrived_at")

    def __init__(self) -> None:
        self.method: bytes = b""
        self.target: bytes = b""
        self.version: str = "1.1"
        self.status: int = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: bytes | memoryview = b""
        self.keep_alive: bool = True
        self.arrived_at: int = 0

    def get(self, name: bytes) -> bytes | None:
        """Returns the value of the first header of this name, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def end_to_end(self, excluded: frozenset[bytes]) -> list[tuple[bytes, bytes]]:
        """Returns the headers that a proxy forwards: neither hop-by-hop headers nor those in `excluded`."""
        by_connection_header = {
            n.strip() for k, v in self.headers if k == b"connection" for n in v.lower().split(b",")
        }
        return [
            (k, v)
            for k, v in self.headers
            if k not in HOP_BY_HOP and k not in excluded and k not in by_connection_header
        ]


def head_of(first_line: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Returns the first line and the headers as they are written, without the blank line that ends a head."""
    return b"".join([first_line, b"\r\n", *(b"%b: %b\r\n" % header for header in headers)])


def chunk_of(data: bytes | memoryview | bytearray) -> list:
    """Returns the buffers of one chunk of a chunked body."""
    return [b"%x\r\n" % len(data), data, b"\r\n"]


class Reader:
    """Splits the bytes of a connection into messages; `next` returns them one by one, or None.

    A body over `body_bytes` is not buffered: `on_long_body` is called with the message and the body's length,
    or None where the length is unknown, and returns the callback for the parts of the body. At the end of the
    body `next` returns the message with an empty body. A body over `max_body_bytes`, or a head with more than
    `max_fields` header fields, raises BadMessage.
    """

    def __init__(
        self,
        reads_responses: bool,
        head_bytes: int,
        body_bytes: int,
        max_body_bytes: int = 0,
        max_fields: int | None = None,
    ) -> None:
        self.reads_responses: bool = reads_responses
        self.head_bytes: int = head_bytes
        self.body_bytes: int = body_bytes
        self.max_body_bytes: int = max(max_body_bytes, body_bytes)
        self.max_fields: int | None = max_fields  # None: as many as fit into the head
        self.pending: bytes = b""  # received but not yet assigned to a message
        self.arrivals: Arrivals = Arrivals()
        # Like `on_long_body`, but called for every final response as soon as its head is complete.
        self.on_head: Callable[[Message, int | None], Callable[[bytes], None] | None] | None = None
        self.on_long_body: Callable[[Message, int | None], Callable[[bytes], None] | None] | None = None
        self.restart()

    def restart(self) -> None:
        """Discards the state of the message that is being read."""
        self.message: Message | None = None
        # The number of bytes of `pending` that are known not to contain the end of a head.
        self.searched_bytes: int = 0
        self.expected_body_bytes: int = 0
        self.received_bytes: int = 0  # of the body
        # A slice of the buffer that was read, as long as the body has arrived in one read.
        self.body: memoryview | BodyBuffer | None = None
        self.head: bytes | memoryview = b""  # of the message that is being read, unparsed
        self.head_parser: Parser | None = None  # while a head is parsed
        self.chunked_decoder: ChunkedDecoder | None = None
        self.ends_with_connection: bool = False
        self.expects_continue: bool = False
        self.body_sink: Callable[[bytes], None] | None = None

    # Called by httptools.

    def on_url(self, url: bytes) -> None:
        """Adds a part of the request target."""
        self.message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        # The parser leaves trailing white space in values.
        self.message.headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Records whether the head allows the connection to stay open."""
        self.message.keep_alive = self.head_parser.should_keep_alive()

    # Called by connections.

    def last_arrival(self) -> int:
        """Returns when the last byte of the message that is being read arrived, as far as it has."""
        return self.arrivals.arrival_of_last_byte(len(self.pending))

    def idle(self) -> bool:
        """Returns whether no byte of a next message has arrived."""
        return self.message is None and not self.pending

    def buffered_bytes(self) -> int:
        """Returns the size of the incomplete message's head and body, and of the bytes received after it."""
        total = len(self.pending) + len(self.head) + (len(self.body) if self.body is not None else 0)
        return total + (len(self.chunked_decoder.incomplete) if self.chunked_decoder is not None else 0)

    def clear(self) -> None:
        """Discards all that is buffered."""
        self.restart()
        self.pending = b""

    def close(self) -> None:
        """Discards all that is buffered, and the callbacks, as the connection is closed."""
        self.clear()
        self.on_head = self.on_long_body = None

    def feed(self, data: bytes, now: int) -> None:
        """Takes bytes that the connection has received at `now`. Raises BadMessage."""
        if self.message is not None and not self.pending:
            # All earlier bytes are part of the message that continues.
            self.arrivals.drop_received()
        self.arrivals.add(len(data), now)
        if self.message is not None:
            self.add(data)
        else:
            self.pending = self.pending + data if self.pending else data

    def next(self) -> Message | None:
        """Returns the next complete message, or None if there is none yet. Raises BadMessage."""
        while self.message is None:
            if not self.read_head():
                return None
            if self.reads_responses and 100 <= self.message.status < 200:
                self.restart()
        if self.is_complete():
            return self.finish()
        self.release_headers()
        return None

    def is_complete(self) -> bool:
        """Returns whether the whole body of the message has arrived, as far as its framing tells."""
        if self.chunked_decoder is not None:
            return self.chunked_decoder.complete
        return not self.ends_with_connection and self.received_bytes >= self.expected_body_bytes

    def release_headers(self) -> None:
        """Keeps the head of an incomplete message unparsed until its body is complete."""
        # Guards against heads of many short fields, which parsed take some 30 times their bytes.
        if self.message.headers:
            self.head = bytes(self.head)
            self.message.headers = []

    def restore_headers(self) -> None:
        """Parses the head again after `release_headers`."""
        if not self.message.headers:
            self.message.target = b""
            self.parse_fields(self.head)

    def end(self) -> Message | None:
        """Returns the response that the orderly end of the connection completes, or None."""
        return self.finish() if self.message is not None and self.ends_with_connection else None

    def finish(self) -> Message:
        """Returns the message that is complete and resets the state for the next one."""
        message = self.message
        message.arrived_at = self.last_arrival()
        self.restore_headers()
        if self.body is not None:
            message.body = self.buffered_body()
        self.restart()
        return message

    def read_head(self) -> bool:
        """Parses a head and adds the bytes after it to the body; returns False if the head is incomplete."""
        if self.pending.startswith(b"\r\n"):
            self.pending = self.pending.lstrip(b"\r\n")
        end = self.pending.find(b"\r\n\r\n", max(self.searched_bytes - 3, 0))
        if end > self.head_bytes or (end < 0 and len(self.pending) > self.head_bytes):
            raise BadMessage(431, f"head over the limit of {self.head_bytes} bytes")
        if end < 0:
            self.searched_bytes = len(self.pending)
            # Guards against a head that arrives byte by byte and would have an arrival time for each.
            self.arrivals.drop_received()
            return False
        # Guards against heads of many short fields, each of which takes milliseconds to parse.
        if self.max_fields is not None and self.pending.count(b"\n", 0, end) > self.max_fields:
            raise BadMessage(431, f"more than {self.max_fields} header fields")
        self.head, rest = memoryview(self.pending)[: end + 4], memoryview(self.pending)[end + 4 :]
        self.pending = b""
        self.message = Message()
        self.parse_head(self.head)
        if self.expected_body_bytes > self.max_body_bytes:
            raise BadMessage(413, f"Content-Length over the limit of {self.max_body_bytes} bytes")
        if self.on_head is not None and self.message.status >= 200:
            self.body_sink = self.on_head(self.message, self.length())
        # A long response is streamed from its head on, a long request once `body_bytes` are exceeded.
        if self.expected_body_bytes > self.body_bytes and self.reads_responses and self.body_sink is None:
            self.start_streaming()
        if rest:
            self.add(rest)
        return True

    def parse_head(self, head: memoryview) -> None:
        """Parses the head into `message` and sets the framing of the body. Raises BadMessage."""
        self.parse_fields(head)
        self.set_framing()

    def parse_fields(self, head: bytes | memoryview) -> None:
        """Parses the first line and the headers into `message`. Raises BadMessage."""
        parser_type = httptools.HttpResponseParser if self.reads_responses else httptools.HttpRequestParser
        parser = self.head_parser = parser_type(self)
        try:
            parser.feed_data(head)
        except httptools.HttpParserUpgrade:
            pass  # a server may ignore an Upgrade header (RFC 9110, 7.8)
        except httptools.HttpParserError as error:
            raise BadMessage(400, f"invalid head: {error}") from None
        self.message.version = parser.get_http_version()
        if self.reads_responses:
            self.message.status = parser.get_status_code()
        else:
            self.message.method = parser.get_method()
        self.head_parser = None

    def length(self) -> int | None:
        """Returns the length of the body in bytes, or None where the head does not give it."""
        if self.ends_with_connection or self.chunked_decoder is not None:
            return None
        return self.expected_body_bytes

    def missing_bytes(self) -> int | None:
        """Returns how many bytes of the body have not been fed yet, or None where its length is unknown."""
        length = self.length()
        return None if length is None else length - self.received_bytes

    def has_body_of_unknown_length(self) -> bool:
        """Returns whether part of a body of unknown length has arrived and is being buffered."""
        return self.received_bytes > 0 and self.body_sink is None and self.length() is None

    def may_start_streaming(self) -> bool:
        """Returns whether the body of the message that is being read is buffered so far."""
        return self.message is not None and self.body_sink is None

    def start_streaming(self, required: bool = True) -> None:
        """Passes the body to a callback from here on.

        Where there is no callback, raises BadMessage if `required`, else goes on buffering.
        """
        self.message.arrived_at = self.last_arrival()
        self.restore_headers()
        self.body_sink = self.on_long_body and self.on_long_body(self.message, self.length())
        if self.body_sink is None and required:
            raise BadMessage(413, f"body over {self.body_bytes} bytes cannot be streamed")
        if self.body_sink is not None and self.body is not None:
            buffered, self.body = self.buffered_body(), None
            self.body_sink(buffered)

    def set_framing(self) -> None:
        """Sets how the end of the body is found. Raises BadMessage where the head is ambiguous."""
        lengths = [v for k, v in self.message.headers if k == b"content-length"]
        codings = b",".join(v for k, v in self.message.headers if k == b"transfer-encoding").lower()
        if codings:
            # Guards against request smuggling: two framings in one head, or a coding other than chunked.
            if lengths or codings.strip() != b"chunked":
                raise BadMessage(400, "expected Transfer-Encoding: chunked alone, without Content-Length")
            self.chunked_decoder = ChunkedDecoder(self.head_bytes)
        elif lengths:
            if len(lengths) > 1 or not lengths[0].isdigit():
                raise BadMessage(400, "expected one Content-Length of digits only")
            self.expected_body_bytes = int(lengths[0])
        elif self.reads_responses and self.message.status not in (204, 304) and self.message.status >= 200:
            self.set_framing_by_connection()
        expect = self.message.get(b"expect")
        has_expect_continue = expect is not None and expect.lower() == b"100-continue"
        self.expects_continue = has_expect_continue and not self.reads_responses

    def set_framing_by_connection(self) -> None:
        """Has the end of the connection end the body. Raises BadMessage where no close is announced."""
        # Without an announced close a response that lost its length would be awaited until its deadline.
        closes = b"close" in (self.message.get(b"connection") or b"").lower()
        if not closes and self.message.version != "1.0":
            raise BadMessage(400, "response has neither Content-Length, chunks nor Connection: close")
        self.ends_with_connection = True
        self.message.keep_alive = False

    def add(self, data: bytes | memoryview) -> None:
        """Takes bytes after the head: the rest of the body, then bytes of the next message."""
        if self.chunked_decoder is not None:
            self.add_chunked(bytes(data))
        elif self.ends_with_connection:
            self.take_body(data)
        else:
            missing = self.expected_body_bytes - self.received_bytes
            if missing:
                self.take_body(memoryview(data)[:missing])
            if len(data) > missing:
                self.pending += bytes(memoryview(data)[missing:])
        if self.received_bytes > self.max_body_bytes:
            raise BadMessage(413, f"body over the limit of {self.max_body_bytes} bytes")
        if self.received_bytes > self.body_bytes and self.body_sink is None:
            self.start_streaming()

    def add_chunked(self, data: bytes) -> None:
        """Decodes chunks; the bytes after the last one belong to the next message."""
        decoder = self.chunked_decoder
        if decoder.complete:
            self.pending += data
            return
        try:
            body = decoder.feed(data)
        except ChunkError as error:
            raise BadMessage(400, f"invalid chunk: {error}") from None
        # Guards against work for each chunk: however small they are, their data is passed on in one piece.
        if body:
            self.take_body(body)
        if decoder.complete:
            self.pending += decoder.excess

    def take_body(self, data: bytes | memoryview) -> None:
        """Streams or buffers the next bytes of the body."""
        self.received_bytes += len(data)
        if self.body_sink is not None:
            return self.body_sink(data)
        if self.body is None:
            self.body = memoryview(data)
            return
        if isinstance(self.body, memoryview):
            self.body = BodyBuffer(self.body)
        self.body.append(data)

    def buffered_body(self) -> bytes | memoryview:
        """Returns the buffered part of the body."""
        return self.body if isinstance(self.body, memoryview) else self.body.whole()
