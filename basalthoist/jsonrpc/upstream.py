"""Calls to backends over JSON-RPC, one at a time on each connection."""

import socket
from typing import TYPE_CHECKING

from basalthoist.net.framing import BadMessage, Message
from basalthoist.net.line_buffer import LineBuffer
from basalthoist.net.proxied_request import ProxiedRequest, RequestClient
from basalthoist.net.upstream.call import Call
from basalthoist.net.upstream.connection import Connection

from .messages import encode_call, parse_response

if TYPE_CHECKING:
    from basalthoist.net.upstream.pool import ConnectionPool


class CallLine(list):
    """A call as a list of chunks to write, which is one line, with the id expected in the response."""

    def __init__(self, call_id: str, method: str, params: bytes) -> None:
        super().__init__([encode_call(call_id, method, params)])
        self.call_id: str = call_id


class LineReader:
    """Reads response lines. Has the methods of `Reader`, and returns the corresponding HTTP messages."""

    def __init__(self, max_line_bytes: int) -> None:
        self.pending: LineBuffer = LineBuffer(max_line_bytes)
        self.expected_id: str = ""  # id of the call in progress
        self.on_head = None
        self.arrived_at: int = 0

    def idle(self) -> bool:
        """Whether no part of a line has been received."""
        return not self.pending

    def feed(self, data: bytes, now: int) -> None:
        """Adds data that the connection has read at `now`."""
        self.pending.append(data)
        self.arrived_at = now

    def next(self) -> Message | None:
        """Returns the next response, or None until its line is complete. Raises BadMessage."""
        try:
            line = self.pending.next_line()
            if line is None:
                return None
            response = parse_response(line, self.expected_id)
        except ValueError as error:
            raise BadMessage(502, str(error)) from None
        message = Message()
        message.status = response.status
        message.body = response.member
        message.arrived_at = self.arrived_at
        if response.never_started:
            message.headers.append((b"not-started", b"1"))
        if response.in_flight is not None:
            message.headers.append((b"server-load", b"inflight=%g" % response.in_flight))
        return message

    def buffered_bytes(self) -> int:
        """Returns the size of the received part of a line."""
        return len(self.pending)

    def clear(self) -> None:
        """Discards all that is buffered."""
        self.pending.clear()

    def close(self) -> None:
        """Discards all that is buffered, as the connection is closed."""
        self.clear()

    def may_start_streaming(self) -> bool:
        """Returns False: responses are never streamed."""
        return False

    def has_body_of_unknown_length(self) -> bool:
        """Returns False: a response ends at its newline."""
        return False

    def end(self) -> None:
        """Returns None: the end of a connection completes no response."""
        return None


class JsonConnection(Connection):
    """A connection to a backend that speaks JSON-RPC."""

    def __init__(self, pool: "ConnectionPool", sock: socket.socket) -> None:
        super().__init__(pool, sock)
        self.reader: LineReader = LineReader(pool.upstream.limits.body_bytes)

    def chunks_to_write(self, call: Call) -> CallLine:
        """Returns the call's line, and expects its id in the response."""
        line = call.request_chunks()
        self.reader.expected_id = line.call_id
        return line


class JsonProxiedRequest(ProxiedRequest):
    """The request of a JSON-RPC call. Each attempt has its own id, so that a late response is recognized."""

    __slots__ = ("method", "params")

    def __init__(self, number: int, client: RequestClient, method: str, params: bytes, deadline: int) -> None:
        super().__init__(number, b"jsonrpc:%d" % number, client, b"", b"", deadline)
        self.method: str = method
        self.params: bytes = params

    def request_chunks(self, attempt_number: int, until: int, extra_headers: bytes = b"") -> CallLine:
        """Returns the line of an attempt's call."""
        return CallLine(f"{self.id}.{attempt_number}", self.method, self.params)
