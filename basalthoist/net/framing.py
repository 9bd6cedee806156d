"""HTTP/1.1 messages cut out of what a connection reads. Heads go through httptools; bodies stay slices."""

from collections import deque
from collections.abc import Iterable

import httptools

HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization", b"proxy-connection", b"te",
     b"trailer", b"transfer-encoding", b"upgrade", b"content-length", b"expect")
)  # fmt: skip


class BadMessage(Exception):
    """What came is no message that can be taken; `status` is what a client is told."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Message:
    """One request or answer, whole at `came_at`. `headers` has names in lower case; `body` is a slice."""

    __slots__ = ("method", "target", "version", "status", "headers", "body", "keep_alive", "came_at")

    def __init__(self) -> None:
        self.method, self.target, self.version, self.status = b"", b"", "1.1", 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: bytes | memoryview | bytearray = b""
        self.keep_alive, self.came_at = True, 0

    def get(self, name: bytes) -> bytes | None:
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def end_to_end(self, but: frozenset[bytes]) -> list[tuple[bytes, bytes]]:
        """The headers that a proxy passes on: none that belongs to this connection alone, none of `but`."""
        named = {n.strip() for k, v in self.headers if k == b"connection" for n in v.lower().split(b",")}
        return [(k, v) for k, v in self.headers if k not in HOP_BY_HOP and k not in but and k not in named]


def head_of(first: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """First line and headers as they are written; the blank line that ends a head is left to the caller."""
    return b"".join([first, b"\r\n", *(b"%b: %b\r\n" % header for header in headers)])


class Arrivals:
    """When the bytes of a stream came, so that each message counts from its own last byte."""

    __slots__ = ("received", "pieces")

    MERGED = 10  # tenths of a millisecond: what comes within them counts as come with the first

    def __init__(self) -> None:
        self.received = 0
        self.pieces: deque[tuple[int, int]] = deque()  # how much had come by then, and when

    def add(self, length: int, now: int) -> None:
        self.received += length
        # Guards against a stream of single bytes, each of which would be kept as a piece of its own.
        if self.pieces and now - self.pieces[-1][1] < self.MERGED:
            now = self.pieces.pop()[1]
        self.pieces.append((self.received, now))

    def of_last(self, behind: int) -> int:
        """When the last byte came that lies ahead of `behind` bytes which are yet to be taken."""
        end = self.received - behind
        while len(self.pieces) > 1 and self.pieces[0][0] < end:
            self.pieces.popleft()
        return self.pieces[0][1] if self.pieces else 0


LAST_CHUNK = b"0\r\n\r\n"


def chunk_of(data) -> list:
    return [b"%x\r\n" % len(data), data, b"\r\n"]


class Reader:
    """Fed with what a connection reads, `next()` gives message after message, or None until more has come.

    Bodies over `body_bytes` are not kept: `on_long` is told of the message and of its length, where it
    is known, and what it returns gets the body's parts. `next()` gives the message at its end, with no body.
    """

    def __init__(self, answers: bool, head_bytes: int, body_bytes: int, long_bytes: int = 0) -> None:
        self.answers, self.head_bytes, self.body_bytes = answers, head_bytes, body_bytes
        self.long_bytes = max(long_bytes, body_bytes)  # over which a body is refused
        self.pending, self.arrivals = b"", Arrivals()
        # As `on_long`, but told of every answer, as soon as its head has come.
        self.on_head = None
        self.on_long = None
        self.restart()

    def restart(self) -> None:
        self.message: Message | None = None
        self.searched, self.need, self.have = 0, 0, 0
        self.body: memoryview | bytearray | None = None  # a slice while it came in one read, then a copy
        self.head, self.parser, self.whole, self.in_body, self.tail = None, None, False, False, b""
        self.until_end, self.wants_continue, self.sink = False, False, None

    # Called by httptools.

    def on_url(self, url: bytes) -> None:
        self.message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.in_body:
            self.message.headers.append((name.lower(), value.strip(b" \t")))  # the parser leaves space behind

    def on_headers_complete(self) -> None:
        # Asked later, where no body follows, the parser says what is usual instead of what the head says.
        if not self.in_body:
            self.message.keep_alive = self.head.should_keep_alive()

    def on_body(self, data: bytes) -> None:
        self.gather(data)

    def on_message_complete(self) -> None:
        self.whole = True

    # Called by connections.

    def came_at(self) -> int:
        """When the last byte of what has been taken so far came."""
        return self.arrivals.of_last(len(self.pending))

    def idle(self) -> bool:
        return self.message is None and not self.pending

    def held(self) -> int:
        """Bytes of what is not yet a whole message, or lies behind one."""
        return len(self.pending) + (len(self.body) if self.body is not None else 0)

    def feed(self, data: bytes, now: int) -> None:
        if self.message is not None and not self.pending:
            self.arrivals.pieces.clear()  # all that has come is of this message, which goes on
        self.arrivals.add(len(data), now)
        if self.message is not None:
            self.add(data)
        else:
            self.pending = self.pending + data if self.pending else data

    def next(self) -> Message | None:
        while self.message is None:
            if not self.read_head():
                return None
            if self.answers and 100 <= self.message.status < 200:
                self.restart()
        if self.parser is not None:
            return self.finish() if self.whole else None
        return None if self.until_end or self.have < self.need else self.finish()

    def end(self) -> Message | None:
        """The connection has ended in good order: the rest of an answer that is as long as what came."""
        return self.finish() if self.message is not None and self.until_end else None

    def finish(self) -> Message:
        message, message.came_at = self.message, self.came_at()
        if self.body is not None:
            message.body = self.body
        self.restart()
        return message

    def read_head(self) -> bool:
        if self.pending.startswith(b"\r\n"):
            self.pending = self.pending.lstrip(b"\r\n")
        end = self.pending.find(b"\r\n\r\n", max(self.searched - 3, 0))
        if end > self.head_bytes or (end < 0 and len(self.pending) > self.head_bytes):
            raise BadMessage(431, "head too large")
        if end < 0:
            self.searched = len(self.pending)
            return False
        head, rest = memoryview(self.pending)[: end + 4], memoryview(self.pending)[end + 4 :]
        self.pending, self.message = b"", Message()
        parser = (httptools.HttpResponseParser if self.answers else httptools.HttpRequestParser)(self)
        self.head = parser
        try:
            parser.feed_data(head)
        except httptools.HttpParserUpgrade:
            pass  # an offer to switch protocols need not be taken up
        except httptools.HttpParserError as wrong:
            raise BadMessage(400, f"bad head: {wrong}") from None
        self.message.version = parser.get_http_version()
        if self.answers:
            self.message.status = parser.get_status_code()
        else:
            self.message.method = parser.get_method()
        self.whole, self.in_body = False, True
        self.set_framing(parser)
        if self.need > self.long_bytes:
            raise BadMessage(413, "body too large")
        if self.on_head is not None and self.message.status >= 200:
            self.sink = self.on_head(self.message, self.length())
        # The first bytes of a long answer are waited for; a long request is held until it is in earnest.
        if self.need > self.body_bytes and self.answers and self.sink is None:
            self.pass_on()
        if rest:
            self.add(rest)
        return True

    def length(self) -> int | None:
        return None if self.until_end or self.parser is not None else self.need

    def endless(self) -> bool:
        """Whether part of a body has come that does not say how long it will be."""
        return self.have > 0 and self.sink is None and self.length() is None

    def pass_on(self, must: bool = True) -> None:
        self.message.came_at = self.came_at()
        self.sink = self.on_long and self.on_long(self.message, self.length())
        if self.sink is None and must:
            raise BadMessage(413, "body too large")
        if self.sink is not None and self.body is not None:
            held, self.body = self.body, None
            self.sink(held)

    def set_framing(self, parser) -> None:
        lengths = [v for k, v in self.message.headers if k == b"content-length"]
        codings = b",".join(v for k, v in self.message.headers if k == b"transfer-encoding").lower()
        if codings:
            # Guards against smuggling: two framings in one head, or a coding that hides the end.
            if lengths or codings.strip() != b"chunked":
                raise BadMessage(400, "unclear framing")
            self.parser = parser
        elif lengths:
            if len(lengths) > 1 or not lengths[0].isdigit():
                raise BadMessage(400, "bad Content-Length")
            self.need = int(lengths[0])
        elif self.answers and self.message.status not in (204, 304) and self.message.status >= 200:
            # Guards against a head that lost its length: the answer would be waited for until its deadline.
            closes = b"close" in (self.message.get(b"connection") or b"").lower()
            if not closes and self.message.version != "1.0":
                raise BadMessage(400, "neither a length nor an end")
            self.until_end, self.message.keep_alive = True, False
        expect = self.message.get(b"expect")
        self.wants_continue = expect is not None and expect.lower() == b"100-continue" and not self.answers

    def add(self, data: bytes | memoryview) -> None:
        if self.parser is not None:
            self.add_chunked(bytes(data))
        elif self.until_end:
            self.gather(data)
        else:
            wanted = self.need - self.have
            if wanted:
                self.gather(memoryview(data)[:wanted])
            if len(data) > wanted:
                self.pending += bytes(memoryview(data)[wanted:])
        if self.have > self.long_bytes:
            raise BadMessage(413, "body too large")
        if self.have > self.body_bytes and self.sink is None:
            self.pass_on()

    def add_chunked(self, data: bytes) -> None:
        # The parser does not say where in what it was fed a message ends, but each ends with an empty line.
        while data and not self.whole:
            end = (self.tail + data).find(b"\r\n\r\n")
            cut = len(data) if end < 0 else end + 4 - len(self.tail)
            part, data = data[:cut], data[cut:]
            self.tail = b"" if end >= 0 else (self.tail + part)[-3:]
            try:
                self.parser.feed_data(part)
            except httptools.HttpParserUpgrade:
                pass
            except httptools.HttpParserError as wrong:
                raise BadMessage(400, f"bad chunk: {wrong}") from None
        self.pending += data

    def gather(self, data: bytes | memoryview) -> None:
        self.have += len(data)
        if self.sink is not None:
            return self.sink(data)
        if self.body is None:
            self.body = memoryview(data)
            return
        # Guards against a body that comes byte by byte, each a buffer of its own that is kept.
        if not isinstance(self.body, bytearray):
            self.body = bytearray(self.body)
        self.body += data
