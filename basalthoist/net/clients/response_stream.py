"""Responses that are streamed to a client as they arrive from a backend."""

import socket
import struct
from collections.abc import Iterable
from typing import TYPE_CHECKING

from basalthoist.net.clients.responses import Header
from basalthoist.net.framing import LAST_CHUNK, chunk_of

if TYPE_CHECKING:
    from basalthoist.net.clients.http_connection import HttpClientConnection

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # struct linger: on, 0 s


class ResponseStream:
    """Writes the body of one response: with a length, in chunks, or (HTTP/1.0) ended by the close."""

    __slots__ = ("client", "length", "chunked", "framed")

    def __init__(self, client: "HttpClientConnection", length: int | None, http_version: str) -> None:
        self.client: HttpClientConnection = client
        self.length: int | None = length
        self.chunked: bool = length is None and http_version != "1.0"
        self.framed: bool = self.chunked or length is not None

    def with_framing(self, headers: Iterable[Header]) -> Iterable[Header]:
        """Returns the headers, preceded by the header that frames the body, if any."""
        if self.chunked:
            return [(b"Transfer-Encoding", b"chunked"), *headers]
        if self.framed:
            return [(b"Content-Length", b"%d" % self.length), *headers]
        return headers

    def write(self, data: bytes | memoryview) -> None:
        """Writes the next bytes of the body."""
        client = self.client
        if client.finished or client.transport.is_closing():
            return
        if self.chunked:
            client.transport.writelines(chunk_of(data))
        else:
            client.transport.write(data)
        client.count_buffers()

    def end(self) -> None:
        """Writes the last chunk, if the body is chunked."""
        if self.chunked:
            self.client.transport.write(LAST_CHUNK)

    def abort(self) -> None:
        """Aborts the connection before the body is complete, so that the client can detect it."""
        transport = self.client.transport
        if not self.framed:
            # Without framing, only a reset tells the client that the body is incomplete.
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        transport.abort()
