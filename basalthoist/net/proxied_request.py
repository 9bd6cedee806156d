"""A request in progress: its client, its forwarded head and body, and its attempts."""

from typing import Protocol

from basalthoist.net.framing import Message, head_of
from basalthoist.net.runtime.timers import SECOND, Timer, now
from basalthoist.net.uploads import Upload
from basalthoist.net.upstream.call import BodySink, Call

REWRITTEN_HEADERS = frozenset((b"request-timeout-ms", b"host", b"site-hops", b"site-from"))
# A backend is sent the time left less a margin: at most MAX_TIMEOUT_MARGIN, in tenths of a millisecond, and
# at most the time left divided by TIMEOUT_MARGIN_DIVISOR.
MAX_TIMEOUT_MARGIN = SECOND // 50
TIMEOUT_MARGIN_DIVISOR = 5


class RequestClient(Protocol):
    """The receiver of a response, over any protocol."""

    request: "ProxiedRequest | None"

    def has_disconnected(self) -> bool:
        """Returns whether the client has closed its connection, even if the end of file is still unread."""
        ...

    def abort(self) -> None:
        """Aborts the connection of a client that has disconnected, and cancels its request."""
        ...

    def answer(self, status: int, headers: list[tuple[bytes, bytes]] = ..., body: bytes = ...) -> None:
        """Writes a complete response."""
        ...

    def start_stream(self, headers: list[tuple[bytes, bytes]], length: int | None) -> BodySink:
        """Writes the head of a streamed response. Returns the callback for the parts of its body."""
        ...

    def end_stream(self, complete: bool) -> None:
        """Ends a streamed response; aborts the connection unless it is `complete`."""
        ...


def forwarded_head(message: Message, upload: Upload | None) -> bytes:
    """Returns the head that all attempts of a request share: without its timeout and the final blank line."""
    headers = [(b"Host", message.get(b"host") or b""), *message.end_to_end(REWRITTEN_HEADERS)]
    if upload is not None and upload.length is None:
        headers.append((b"Transfer-Encoding", b"chunked"))
    elif upload is not None:
        headers.append((b"Content-Length", b"%d" % upload.length))
    elif len(message.body) or message.method not in (b"GET", b"DELETE"):
        headers.append((b"Content-Length", b"%d" % len(message.body)))
    return head_of(b"%b %b HTTP/1.1" % (message.method, message.target), headers)


class ProxiedRequest:
    """A request that a client waits for. Times are in tenths of a millisecond."""

    __slots__ = (
        "id",
        "request_id",
        "client",
        "head",
        "body",
        "deadline",
        "calls",
        "attempts_in_progress",
        "open",
        "timer",
        "is_streaming",
        "stream",
        "spilled",
        "may_have_run",
        "client_left",
        "is_idempotent",
        "upload",
        "arrived_at",
    )

    def __init__(
        self,
        number: int,
        request_id: bytes,
        client: RequestClient,
        head: bytes,
        body: bytes | memoryview | bytearray,
        deadline: int,
    ) -> None:
        self.id: int = number
        self.request_id: bytes = request_id  # the value of its Request-Id header
        self.client: RequestClient = client
        self.head: bytes = head
        self.body: bytes | memoryview | bytearray = body
        self.deadline: int = deadline
        self.calls: list[Call | None] = []  # by attempt number; None: the attempt was not started
        self.attempts_in_progress: int = 0
        self.open: bool = True  # not answered yet
        self.timer: Timer | None = None
        self.is_streaming: bool = False  # the responses of its route are streamed
        self.stream: Call | None = None  # the attempt whose response is streamed to the client
        self.spilled: bool = False  # received from another site
        self.client_left: bool = False  # before it was answered
        self.is_idempotent: bool = True  # running it twice does no harm
        self.may_have_run: bool = False  # after an attempt with an outcome that is not in NEVER_RAN
        self.arrived_at: int = now()
        self.upload: Upload | None = None  # the body, if it is too long to buffer

    def buffered_bytes(self) -> int:
        """Returns how many bytes are kept for further attempts. A body keeps the whole read that it is of."""
        body = self.body.obj if isinstance(self.body, memoryview) else self.body
        return len(self.head) + len(body)

    def release_buffers(self) -> None:
        """Discards head and body, as no attempt begins any more."""
        self.head = self.body = b""
        if self.upload is not None and not self.upload.consumed:
            self.upload.abandon()

    def request_chunks(self, attempt_number: int, until: int, extra_headers: bytes = b"") -> list[bytes]:
        """Returns the buffers of the request as an attempt writes them now.

        `until`: by when the backend has to respond; the time left until then is sent in Request-Timeout-Ms.
        """
        left = until - now()
        # Guards against a delay between this moment and the write, up to the margin.
        left -= min(MAX_TIMEOUT_MARGIN, left // TIMEOUT_MARGIN_DIVISOR)
        if self.upload is not None:
            # The backend, too, counts the timeout from the last byte of the body.
            left = min(left, self.upload.timeout_for_backend())
        head = self.head + extra_headers + b"Request-Timeout-Ms: %d\r\n\r\n" % max(left // 10, 1)
        return [head, self.body] if len(self.body) else [head]
