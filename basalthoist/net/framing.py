"""HTTP/1.1 messages as a connection reads them. Heads are parsed by httptools; bodies stay slices."""

from collections import deque
from collections.abc import Callable, Iterable

import httptools

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
ARRIVAL_MERGE_WINDOW = 10  # tenths of a millisecond; bytes that come within it count as come together

Parser = httptools.HttpRequestParser | httptools.HttpResponseParser


class BadMessage(Exception):  # noqa: N818 - named in every module that reads requests
    """A message that cannot be accepted; `status` is the response to a client."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status: int = status


class Message:
    """One request or response, complete at `came_at` (tenths of a millisecond).

    `headers` has names in lower case; `body` may be a slice of what was read.
    """

    __slots__ = ("method", "target", "version", "status", "headers", "body", "keep_alive", "came_at")

    def __init__(self) -> None:
        self.method: bytes = b""
        self.target: bytes = b""
        self.version: str = "1.1"
        self.status: int = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: bytes | memoryview | bytearray = b""
        self.keep_alive: bool = True
        self.came_at: int = 0

    def get(self, name: bytes) -> bytes | None:
        """The value of the first header of this name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def end_to_end(self, excluded: frozenset[bytes]) -> list[tuple[bytes, bytes]]:
        """The headers that a proxy forwards: none of this connection alone, and none of `excluded`."""
        named = {n.strip() for k, v in self.headers if k == b"connection" for n in v.lower().split(b",")}
        return [
            (k, v) for k, v in self.headers if k not in HOP_BY_HOP and k not in excluded and k not in named
        ]


def head_of(first_line: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """First line and headers as they are written, without the blank line that ends a head."""
    return b"".join([first_line, b"\r\n", *(b"%b: %b\r\n" % header for header in headers)])


def chunk_of(data: bytes | memoryview | bytearray) -> list:
    """A part of a body as a chunk."""
    return [b"%x\r\n" % len(data), data, b"\r\n"]


class Arrivals:
    """When the bytes of a stream came, so that each message counts from its own last byte."""

    __slots__ = ("received", "pieces")

    def __init__(self) -> None:
        self.received: int = 0
        self.pieces: deque[tuple[int, int]] = deque()  # bytes received so far, and when

    def add(self, length: int, now: int) -> None:
        """Records that so many bytes have come."""
        self.received += length
        # Guards against a stream of single bytes, each of which would be kept as a piece of its own.
        if self.pieces and now - self.pieces[-1][1] < ARRIVAL_MERGE_WINDOW:
            now = self.pieces.pop()[1]
        self.pieces.append((self.received, now))

    def arrival_of_last_byte(self, unread: int) -> int:
        """When the last byte ahead of the `unread` ones came; earlier pieces are forgotten."""
        end = self.received - unread
        while len(self.pieces) > 1 and self.pieces[0][0] < end:
            self.pieces.popleft()
        return self.pieces[0][1] if self.pieces else 0


class Reader:
    """Splits what a connection reads into messages. `next` returns them one by one, None until more has come.

    Bodies over `body_bytes` are not buffered: `on_long_body` is called with the message and its length, if
    known, and returns what is called with the body's parts. `next` then gives the message at its end, with no
    body. Bodies over `max_body_bytes` are refused.
    """

    def __init__(
        self, reads_responses: bool, head_bytes: int, body_bytes: int, max_body_bytes: int = 0
    ) -> None:
        self.reads_responses: bool = reads_responses
        self.head_bytes: int = head_bytes
        self.body_bytes: int = body_bytes
        self.max_body_bytes: int = max(max_body_bytes, body_bytes)
        self.pending: bytes = b""  # read, and not yet part of a message
        self.arrivals: Arrivals = Arrivals()
        # As `on_long_body`, but called with every response as soon as its head has come.
        self.on_head: Callable[[Message, int | None], Callable[[bytes], None] | None] | None = None
        self.on_long_body: Callable[[Message, int | None], Callable[[bytes], None] | None] | None = None
        self.restart()

    def restart(self) -> None:
        """Forgets the message that is being read."""
        self.message: Message | None = None
        self.searched_bytes: int = 0  # of `pending`, in which no end of a head was found
        self.expected_bytes: int = 0  # of the body
        self.received_bytes: int = 0
        self.body: memoryview | bytearray | None = None  # a slice while it came in one read, then a copy
        self.head_parser: Parser | None = None
        self.chunk_parser: Parser | None = None
        self.complete: bool = False  # by the chunk parser
        self.in_body: bool = False
        self.chunk_tail: bytes = b""  # the last bytes that the chunk parser was fed
        self.ends_with_connection: bool = False
        self.expects_continue: bool = False
        self.body_sink: Callable[[bytes], None] | None = None

    # Called by httptools.

    def on_url(self, url: bytes) -> None:
        """Adds a part of the request target."""
        self.message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; trailers are dropped."""
        if not self.in_body:
            self.message.headers.append((name.lower(), value.strip(b" \t")))  # the parser leaves space behind

    def on_headers_complete(self) -> None:
        """Notes whether the head keeps the connection open."""
        # Guards against the parser's answer at the end of the message: where no body follows, it is what is
        # usual instead of what the head says.
        if not self.in_body:
            self.message.keep_alive = self.head_parser.should_keep_alive()

    def on_body(self, data: bytes) -> None:
        """Takes the content of a chunk."""
        self.take_body(data)

    def on_message_complete(self) -> None:
        """The last chunk has come."""
        self.complete = True

    # Called by connections.

    def came_at(self) -> int:
        """When the last byte of what has been taken so far came."""
        return self.arrivals.arrival_of_last_byte(len(self.pending))

    def idle(self) -> bool:
        """Whether nothing of a message has come."""
        return self.message is None and not self.pending

    def buffered_bytes(self) -> int:
        """Bytes of incomplete messages, and of those behind the message that is read."""
        return len(self.pending) + (len(self.body) if self.body is not None else 0)

    def feed(self, data: bytes, now: int) -> None:
        """Takes what the connection has read. Raises BadMessage."""
        if self.message is not None and not self.pending:
            self.arrivals.pieces.clear()  # all that has come is of this message, which goes on
        self.arrivals.add(len(data), now)
        if self.message is not None:
            self.add(data)
        else:
            self.pending = self.pending + data if self.pending else data

    def next(self) -> Message | None:
        """The next complete message. Raises BadMessage."""
        while self.message is None:
            if not self.read_head():
                return None
            if self.reads_responses and 100 <= self.message.status < 200:
                self.restart()
        if self.chunk_parser is not None:
            return self.finish() if self.complete else None
        is_incomplete = self.ends_with_connection or self.received_bytes < self.expected_bytes
        return None if is_incomplete else self.finish()

    def end(self) -> Message | None:
        """The response that the orderly end of its connection completes, if there is one."""
        return self.finish() if self.message is not None and self.ends_with_connection else None

    def finish(self) -> Message:
        """Returns the message and restarts."""
        message = self.message
        message.came_at = self.came_at()
        if self.body is not None:
            message.body = self.body
        self.restart()
        return message

    def read_head(self) -> bool:
        """Parses a head, if one has come, and takes what follows it as the body."""
        if self.pending.startswith(b"\r\n"):
            self.pending = self.pending.lstrip(b"\r\n")
        end = self.pending.find(b"\r\n\r\n", max(self.searched_bytes - 3, 0))
        if end > self.head_bytes or (end < 0 and len(self.pending) > self.head_bytes):
            raise BadMessage(431, "head too large")
        if end < 0:
            self.searched_bytes = len(self.pending)
            return False
        head, rest = memoryview(self.pending)[: end + 4], memoryview(self.pending)[end + 4 :]
        self.pending = b""
        self.message = Message()
        self.parse_head(head)
        if self.expected_bytes > self.max_body_bytes:
            raise BadMessage(413, "body too large")
        if self.on_head is not None and self.message.status >= 200:
            self.body_sink = self.on_head(self.message, self.length())
        # A long response is streamed from its head on, a long request once it exceeds the buffer.
        if self.expected_bytes > self.body_bytes and self.reads_responses and self.body_sink is None:
            self.start_streaming()
        if rest:
            self.add(rest)
        return True

    def parse_head(self, head: memoryview) -> None:
        """Fills in the message and its framing."""
        parser_type = httptools.HttpResponseParser if self.reads_responses else httptools.HttpRequestParser
        parser = self.head_parser = parser_type(self)
        try:
            parser.feed_data(head)
        except httptools.HttpParserUpgrade:
            pass  # an offer to switch protocols need not be taken up
        except httptools.HttpParserError as error:
            raise BadMessage(400, f"bad head: {error}") from None
        self.message.version = parser.get_http_version()
        if self.reads_responses:
            self.message.status = parser.get_status_code()
        else:
            self.message.method = parser.get_method()
        self.complete = False
        self.in_body = True
        self.set_framing(parser)

    def length(self) -> int | None:
        """The length of the body, where the head gives one."""
        if self.ends_with_connection or self.chunk_parser is not None:
            return None
        return self.expected_bytes

    def has_body_of_unknown_length(self) -> bool:
        """Whether part of a body of unknown length has come and is being buffered."""
        return self.received_bytes > 0 and self.body_sink is None and self.length() is None

    def start_streaming(self, required: bool = True) -> None:
        """Stops buffering the body. Raises BadMessage where nobody takes it, if `required`."""
        self.message.came_at = self.came_at()
        self.body_sink = self.on_long_body and self.on_long_body(self.message, self.length())
        if self.body_sink is None and required:
            raise BadMessage(413, "body too large")
        if self.body_sink is not None and self.body is not None:
            buffered, self.body = self.body, None
            self.body_sink(buffered)

    def set_framing(self, parser: Parser) -> None:
        """How the end of the body is found. Raises BadMessage where the head is not clear about it."""
        lengths = [v for k, v in self.message.headers if k == b"content-length"]
        codings = b",".join(v for k, v in self.message.headers if k == b"transfer-encoding").lower()
        if codings:
            # Guards against smuggling: two framings in one head, or a coding that hides the end.
            if lengths or codings.strip() != b"chunked":
                raise BadMessage(400, "unclear framing")
            self.chunk_parser = parser
        elif lengths:
            if len(lengths) > 1 or not lengths[0].isdigit():
                raise BadMessage(400, "bad Content-Length")
            self.expected_bytes = int(lengths[0])
        elif self.reads_responses and self.message.status not in (204, 304) and self.message.status >= 200:
            self.set_framing_by_connection()
        expect = self.message.get(b"expect")
        continues = expect is not None and expect.lower() == b"100-continue"
        self.expects_continue = continues and not self.reads_responses

    def set_framing_by_connection(self) -> None:
        """The end of the connection ends the body, where the head says that it will be closed."""
        # Guards against a head that lost its length: the response would be awaited until its deadline.
        closes = b"close" in (self.message.get(b"connection") or b"").lower()
        if not closes and self.message.version != "1.0":
            raise BadMessage(400, "neither a length nor an end")
        self.ends_with_connection = True
        self.message.keep_alive = False

    def add(self, data: bytes | memoryview) -> None:
        """Takes bytes behind the head: body, and what follows the message."""
        if self.chunk_parser is not None:
            self.add_chunked(bytes(data))
        elif self.ends_with_connection:
            self.take_body(data)
        else:
            missing = self.expected_bytes - self.received_bytes
            if missing:
                self.take_body(memoryview(data)[:missing])
            if len(data) > missing:
                self.pending += bytes(memoryview(data)[missing:])
        if self.received_bytes > self.max_body_bytes:
            raise BadMessage(413, "body too large")
        if self.received_bytes > self.body_bytes and self.body_sink is None:
            self.start_streaming()

    def add_chunked(self, data: bytes) -> None:
        """Feeds the chunk parser up to the end of the message."""
        # The parser does not say where in what it was fed a message ends, but each ends with an empty line.
        while data and not self.complete:
            end = (self.chunk_tail + data).find(b"\r\n\r\n")
            cut = len(data) if end < 0 else end + 4 - len(self.chunk_tail)
            part, data = data[:cut], data[cut:]
            self.chunk_tail = b"" if end >= 0 else (self.chunk_tail + part)[-3:]
            try:
                self.chunk_parser.feed_data(part)
            except httptools.HttpParserUpgrade:
                pass
            except httptools.HttpParserError as error:
                raise BadMessage(400, f"bad chunk: {error}") from None
        self.pending += data

    def take_body(self, data: bytes | memoryview) -> None:
        """Streams or buffers a part of the body."""
        self.received_bytes += len(data)
        if self.body_sink is not None:
            return self.body_sink(data)
        if self.body is None:
            self.body = memoryview(data)
            return
        # Guards against a body that comes byte by byte, each a buffer of its own that is kept.
        if not isinstance(self.body, bytearray):
            self.body = bytearray(self.body)
        self.body += data
