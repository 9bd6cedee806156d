"""Heads of the responses to clients."""

from collections.abc import Iterable

from basalthoist.net.framing import head_of

Header = tuple[bytes, bytes]

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    403: b"Forbidden",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
RETRY_AFTER: Header = (b"retry-after", b"1")  # seconds
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def response_head(status: int, headers: Iterable[Header], keep_alive: bool) -> bytes:
    """Returns a complete head, with `Connection: close` unless `keep_alive`."""
    connection = b"" if keep_alive else b"Connection: close\r\n"
    return head_of(b"HTTP/1.1 %d %b" % (status, REASONS[status]), headers) + connection + b"\r\n"
