"""JSON-RPC calls as clients of their requests, and the batches that they are part of."""

from typing import TYPE_CHECKING

from basalthoist.net.runtime.timers import now

from .messages import FAILED, SHED, TIMED_OUT, encode_error_member
from .upstream import JsonProxiedRequest

if TYPE_CHECKING:
    from .client_connection import JsonRpcClientConnection

# Tenths of a millisecond. A call that waited longer checks that its client is connected before an attempt.
QUEUED_AFTER = 10


class Caller:
    """One call, which acts as the client of its request. The response to a notification is dropped."""

    __slots__ = ("connection", "call_id", "batch", "request", "arrived_at")

    def __init__(self, connection: "JsonRpcClientConnection", call_id: bytes, batch: "Batch | None") -> None:
        self.connection: JsonRpcClientConnection = connection
        self.call_id: bytes = call_id  # empty: a notification
        self.batch: Batch | None = batch
        self.request: JsonProxiedRequest | None = None
        self.arrived_at: int = connection.arrived_at  # when the last byte of the call's line arrived

    def has_disconnected(self) -> bool:
        """Whether the client has disconnected.

        A queued or attempted call checks that its client still waits. A client that sent a notification may
        close without having disconnected, since it waits for no response.
        """
        was_queued = self.request.calls or now() - self.request.arrived_at > QUEUED_AFTER
        return (
            self.connection.has_disconnected() if self.call_id and was_queued else self.connection.is_broken()
        )

    def abort(self) -> None:
        """Aborts the connection of a client that has disconnected."""
        self.connection.transport.abort()

    def answer(
        self, status: int, headers: list[tuple[bytes, bytes]] | tuple = (), body: bytes | memoryview = b""
    ) -> None:
        """Ends the call with the JSON-RPC response that corresponds to an HTTP response."""
        self.request = None
        if status == 200:
            member = bytes(body)
        elif status == 503:
            retry_after = dict(headers).get(b"retry-after")
            data = {"retry_after": float(retry_after)} if retry_after else None
            member = encode_error_member(SHED, data)
        else:
            member = encode_error_member(TIMED_OUT if status == 504 else FAILED)
        self.connection.end_call(self, member)


class Batch:
    """Collects the responses of a batch, which are written as one array when all its calls have ended."""

    __slots__ = ("calls_left", "responses")

    def __init__(self, count: int) -> None:
        self.calls_left: int = count
        self.responses: list[bytes] = []
