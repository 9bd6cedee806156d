"""The graceful shutdown of a front end: it still accepts connections for a while, and answers all in time.

SIGKILL may come the longest timeout and `kill_after_s` after SIGTERM. Nothing is unanswered by then, with
`kill_margin_s` to spare for a node that reads the signal late and for the exit of the process.
"""

import asyncio
from collections.abc import Collection
from typing import NamedTuple, Protocol

from basalthoist.configuration import Limits
from basalthoist.net.dispatcher import RequestDispatcher
from basalthoist.net.listener import Listener
from basalthoist.net.runtime.timers import SECOND, Timers, now

CHECK_INTERVAL = SECOND // 100  # between two looks at what is left once the time is up
CLOSE_GRACE = SECOND // 10  # how long a client then has to close after its last response


class DrainedConnection(Protocol):
    """A client's connection, at the end of the process."""

    def close_for_shutdown(self, last: bool) -> None:
        """What is unanswered is answered now. `last`: a client with its response had the time to close."""


class DrainedFrontEnd(Protocol):
    """What accepts clients' connections, by whichever protocol."""

    loop: asyncio.AbstractEventLoop
    timers: Timers
    dispatcher: RequestDispatcher
    longest_timeout: int  # of any route, in tenths of a millisecond
    listener: Listener | None

    @property
    def limits(self) -> Limits:
        """The configured limits."""

    @property
    def connections(self) -> Collection[DrainedConnection]:
        """The open connections."""

    def close_idle_connections(self) -> None:
        """Closes those on which nothing is in progress, read in part, or has come unread."""

    def listener_shared(self) -> bool:
        """Whether another process may accept connections from the same listening socket."""


class ShutdownSpans(NamedTuple):
    """Spans from SIGTERM, in tenths of a millisecond."""

    drain_grace: int  # until no new connection is accepted
    answer_time: int  # until everything is answered


def shutdown_spans(limits: Limits, longest_timeout: int) -> ShutdownSpans:
    """The spans of a shutdown. `longest_timeout`: of any route, in tenths of a millisecond."""
    drain_grace = int(limits.linger_s * SECOND)
    before_kill = int((limits.kill_after_s - limits.kill_margin_s) * SECOND)
    answer_time = max(longest_timeout + before_kill, drain_grace + CHECK_INTERVAL)
    return ShutdownSpans(drain_grace, answer_time)


class Shutdown:
    """The shutdown of one front end. `drained` is done once nothing is unanswered there."""

    def __init__(self, front_end: DrainedFrontEnd) -> None:
        self.front_end: DrainedFrontEnd = front_end
        self.timers: Timers = front_end.timers
        self.drain_grace_over: bool = False
        self.time_is_up: bool = False
        self.time_was_up_at: int = 0
        self.drained: asyncio.Future = front_end.loop.create_future()

    def begin(self) -> None:
        """SIGTERM has come."""
        spans = shutdown_spans(self.front_end.limits, self.front_end.longest_timeout)
        self.front_end.dispatcher.ends_at = now() + spans.answer_time
        self.timers.after(spans.drain_grace, self.stop_listening)
        # Guards against clients that never complete a request or read a response: none is open by then.
        self.timers.after(spans.answer_time, self.answer_all)

    def stop_listening(self) -> None:
        """From here on whoever connects is refused at once and goes to another node."""
        self.drain_grace_over = True
        self.front_end.close_idle_connections()
        if self.front_end.listener is not None:
            self.front_end.listener.close_when_empty(self.check_drained, self.front_end.listener_shared())
        self.check_drained()

    def check_drained(self) -> None:
        """Completes `drained` once neither a connection nor the listener is open."""
        if not self.drain_grace_over or self.front_end.connections or self.drained.done():
            return
        listener = self.front_end.listener
        if listener is None or not (listener.listening or listener.tasks):
            self.drained.set_result(None)

    def answer_all(self) -> None:
        """The time is up: each connection gets the response that it waits for, and ends."""
        if not self.time_is_up:
            self.time_is_up = True
            self.time_was_up_at = now()
        last = now() >= self.time_was_up_at + CLOSE_GRACE
        for connection in list(self.front_end.connections):
            connection.close_for_shutdown(last)
        self.check_drained()
        if not self.drained.done():
            self.timers.after(CHECK_INTERVAL, self.answer_all)
