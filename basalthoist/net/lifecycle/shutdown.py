"""The graceful shutdown of a front end: it accepts connections for a while and answers every request.

SIGKILL may follow SIGTERM after the longest timeout of any route plus `kill_after_s`. Every request is
answered `kill_margin_s` before that: the margin covers a late read of SIGTERM and the exit of the process.
"""

import asyncio
from collections.abc import Collection
from typing import NamedTuple, Protocol

from basalthoist.configuration import Limits
from basalthoist.net.dispatcher import RequestDispatcher
from basalthoist.net.listener import Listener
from basalthoist.net.runtime.timers import SECOND, Timers, now

CHECK_INTERVAL = SECOND // 100
CLOSE_GRACE = SECOND // 10  # Clients have this long to close their connections after the last response.


class DrainedConnection(Protocol):
    """A client's connection during the shutdown."""

    def close_for_shutdown(self, close_grace_over: bool) -> None:
        """Answers every unanswered request now, and closes the connection once that is possible.

        `close_grace_over`: the time for the client to close it after its last response has passed as well.
        """


class DrainedFrontEnd(Protocol):
    """A front end of any protocol. `longest_timeout` is that of any route, in tenths of a millisecond."""

    loop: asyncio.AbstractEventLoop
    timers: Timers
    dispatcher: RequestDispatcher
    longest_timeout: int
    listener: Listener | None

    @property
    def limits(self) -> Limits:
        """Returns the configured limits."""

    @property
    def connections(self) -> Collection[DrainedConnection]:
        """Returns the open connections."""

    def close_idle_connections(self) -> None:
        """Closes connections without a request in progress, a partly read request or unread input."""

    def listener_shared(self) -> bool:
        """Returns whether another process may accept connections from the same listening socket."""


class ShutdownSpans(NamedTuple):
    """Times since SIGTERM, in tenths of a millisecond.

    No new connection is accepted after `drain_grace`, and every request is answered after `answer_time`.
    """

    drain_grace: int
    answer_time: int


def shutdown_spans(limits: Limits, longest_timeout: int) -> ShutdownSpans:
    """Returns the spans of a shutdown. `longest_timeout` is in tenths of a millisecond, as are the spans."""
    drain_grace = int(limits.linger_s * SECOND)
    before_kill = int((limits.kill_after_s - limits.kill_margin_s) * SECOND)
    answer_time = max(longest_timeout + before_kill, drain_grace + CHECK_INTERVAL)
    return ShutdownSpans(drain_grace, answer_time)


class Shutdown:
    """The shutdown of one front end. `drained` is done once all its connections are closed."""

    def __init__(self, front_end: DrainedFrontEnd) -> None:
        self.front_end: DrainedFrontEnd = front_end
        self.timers: Timers = front_end.timers
        self.drain_grace_over: bool = False
        self.answer_time_over: bool = False
        self.answer_time_over_at: int = 0
        self.drained: asyncio.Future = front_end.loop.create_future()

    def begin(self) -> None:
        """Starts the shutdown, after SIGTERM."""
        spans = shutdown_spans(self.front_end.limits, self.front_end.longest_timeout)
        self.front_end.dispatcher.shutdown_deadline = now() + spans.answer_time
        self.timers.after(spans.drain_grace, self.stop_listening)
        # Also ends the connections of clients that never complete a request or never read a response.
        self.timers.after(spans.answer_time, self.answer_all)

    def stop_listening(self) -> None:
        """Stops listening, so that new connections are refused at once and clients go to another node."""
        self.drain_grace_over = True
        self.front_end.close_idle_connections()
        if self.front_end.listener is not None:
            self.front_end.listener.close_when_empty(self.check_drained, self.front_end.listener_shared())
        self.check_drained()

    def check_drained(self) -> None:
        """Completes `drained` if no connection and no listener is open."""
        if not self.drain_grace_over or self.front_end.connections or self.drained.done():
            return
        listener = self.front_end.listener
        if listener is None or not (listener.listening or listener.tasks):
            self.drained.set_result(None)

    def answer_all(self) -> None:
        """Ends all connections with the responses that they wait for, again and again until none is open."""
        if not self.answer_time_over:
            self.answer_time_over = True
            self.answer_time_over_at = now()
        close_grace_over = now() >= self.answer_time_over_at + CLOSE_GRACE
        for connection in list(self.front_end.connections):
            connection.close_for_shutdown(close_grace_over)
        self.check_drained()
        if not self.drained.done():
            self.timers.after(CHECK_INTERVAL, self.answer_all)
