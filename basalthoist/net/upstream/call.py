"""A call to a backend: one attempt of a request, or one health check."""

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from basalthoist.decisions.interface import Outcome
from basalthoist.net.framing import Message
from basalthoist.net.runtime.timers import Timer, now
from basalthoist.net.uploads import Upload

if TYPE_CHECKING:
    from basalthoist.net.upstream.connection import Connection
    from basalthoist.net.upstream.pool import ConnectionPool

OutcomeCallback = Callable[[Outcome, Message | None], None]
BodySink = Callable[[bytes], None]
# Called with the head of a response and the length of its body, if known; returns what takes the body.
ResponseStartCallback = Callable[[Message, int | None], BodySink | None]
RequestChunks = Callable[[], list[bytes]]  # called in the turn of the event loop that writes the request


class Call:
    """One attempt of a request, or one health check. A call is never sent twice.

    `on_outcome` is called exactly once, and never from within `ConnectionPool.submit`.
    """

    __slots__ = (
        "pool",
        "request_chunks",
        "on_outcome",
        "on_response_start",
        "is_streaming",
        "is_health_check",
        "upload",
        "is_still_needed",
        "connection",
        "timer",
        "finished",
        "started_at",
        "first_byte_at",
    )

    def __init__(
        self,
        pool: "ConnectionPool",
        request_chunks: RequestChunks,
        on_outcome: OutcomeCallback,
        on_response_start: ResponseStartCallback | None = None,
        is_health_check: bool = False,
        is_streaming: bool = False,
        upload: Upload | None = None,
        is_still_needed: Callable[[], bool] = lambda: True,
    ) -> None:
        self.pool: ConnectionPool = pool
        self.request_chunks: RequestChunks = request_chunks
        self.on_outcome: OutcomeCallback = on_outcome
        # Whether the response is still needed; called in the turn of the event loop that writes the request.
        self.is_still_needed: Callable[[], bool] = is_still_needed
        self.is_health_check: bool = is_health_check  # no client waits for it, and it may be lost
        self.on_response_start: ResponseStartCallback | None = on_response_start  # for a streamed response
        self.is_streaming: bool = is_streaming  # stream the response whatever its length
        self.upload: Upload | None = upload  # the streamed body of the request
        self.connection: Connection | None = None
        self.timer: Timer | None = None
        self.finished: bool = False
        self.started_at: int = now()
        self.first_byte_at: int = 0  # when writing of the request began, in tenths of a millisecond

    def drop_callbacks(self) -> None:
        """Drops all references to the request, whose last attempt has ended."""
        self.request_chunks = self.is_still_needed = self.on_outcome = self.on_response_start = None

    def end_within(self, timeout: int) -> None:
        """Has the call time out after `timeout` tenths of a millisecond, in place of an earlier timeout."""
        if self.timer is not None:
            self.timer.stop()
        self.timer = self.pool.upstream.timers.after(timeout, partial(self.abandon, Outcome.TIMED_OUT))

    def finish(self, outcome: Outcome) -> None:
        """Ends the call without a response."""
        if not self.finished:
            self.release()
            self.on_outcome(outcome, None)

    def finish_soon(self, outcome: Outcome) -> None:
        """As `finish`, with the callback in the event loop's next turn."""
        if not self.finished:
            self.release()
            self.pool.upstream.loop.call_soon(self.on_outcome, outcome, None)

    def release(self) -> None:
        """Stops the timer and detaches the connection and the upload."""
        self.finished = True
        if self.timer is not None:
            self.timer.stop()
        if self.connection is not None:
            self.connection.call = None
        if self.upload is not None:
            self.upload.detach()

    def abandon(self, outcome: Outcome) -> None:
        """Ends the call and closes its connection at once, so that no later attempt runs beside this one."""
        if self.finished:
            return
        is_queued = self.connection is None
        # Guards against an attempt reported as possibly run though its last byte was never written.
        if not self.is_health_check and (is_queued or self.connection.has_unwritten_bytes()):
            outcome = Outcome.CONNECT_FAILED if outcome == Outcome.TIMED_OUT else Outcome.NOT_SENT
        if not is_queued:
            self.connection.abort()
            self.pool.discard_idle_if_silent(self.started_at)
        elif self in self.pool.waiting:
            self.pool.waiting.remove(self)
        self.finish_soon(outcome)

    def withdraw(self) -> bool:
        """Abandons the call if no byte of it is written; returns whether it did: then the call never runs."""
        is_queued = not self.finished and self in self.pool.waiting
        if is_queued:
            self.abandon(Outcome.NOT_SENT)
        return is_queued
