"""The connections to one backend, and the calls that wait for a connection."""

import asyncio
import errno
import socket
from collections import deque
from typing import TYPE_CHECKING

from basalthoist.addresses import family_of
from basalthoist.decisions.interface import Outcome
from basalthoist.net.runtime.timers import SECOND, now
from basalthoist.net.upstream.call import Call
from basalthoist.net.upstream.connection import Connection

if TYPE_CHECKING:
    from basalthoist.net.upstream.upstream import Upstream

# Errors of `socket` and `connect` that are caused by this machine, whatever the state of the backend.
LOCAL_ERRORS = frozenset(
    (
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.ENETUNREACH,
        errno.ENETDOWN,
        errno.EACCES,
        errno.EPERM,
    )
)


class ConnectionPool:
    """All connections to one backend. A new or idle connection takes the oldest waiting call.

    A call is sent only if `is_still_needed` was true in the same turn of the event loop.
    """

    def __init__(
        self, upstream: "Upstream", name: str, address: tuple[str, int], started_at: int | None
    ) -> None:
        self.upstream: Upstream = upstream
        self.name: str = name
        self.address: tuple[str, int] = address
        self.started_at: int | None = started_at  # identifies the backend's incarnation
        self.idle: list[Connection] = []  # in the order in which they became idle
        self.waiting: deque[Call] = deque()
        self.opening: set[asyncio.Task] = set()
        self.closed: bool = False
        self.last_received_at: int = now()

    def submit(self, call: Call) -> None:
        """Sends a call on an idle connection, or queues it for a new one."""
        if not call.is_still_needed():
            return call.finish_soon(Outcome.NOT_SENT)
        connection = self.take_idle(self.upstream.settle_time)
        if connection is None and call.is_health_check:
            connection = self.take_idle(0)
        if connection is not None:
            return connection.send(call)
        self.waiting.append(call)
        self.open_connection()

    def open_connection(self) -> None:
        """Opens a connection for the newest waiting call, or fails that call if no descriptor is left."""
        if not self.upstream.descriptors.acquire(self.upstream.close_longest_idle):
            self.upstream.without_descriptor.add()
            return self.waiting.pop().finish_soon(Outcome.NOT_SENT)
        # One task per connection, not per call: the event loop offers no callback for opening a connection.
        task = self.upstream.loop.create_task(self.connect())
        self.opening.add(task)
        task.add_done_callback(self.on_connect_done)

    def take_idle(self, settle_time: int) -> Connection | None:
        """Removes and returns the connection idle for the shortest time that is at least `settle_time`.

        Returns None if there is none.
        """
        # Guards against taking data sent after a response, such as a duplicate of it, for the next response,
        # and against writing to a connection that the backend closes right after its response.
        at = now()
        for connection in reversed(self.idle[:]):
            if connection.idle_since > at - settle_time:
                continue
            self.idle.remove(connection)
            if connection.idle_since > at - self.upstream.idle_timeout and connection.is_healthy():
                return connection
            connection.abort()
        return None

    async def connect(self) -> Connection:
        """Opens a connection. Raises OSError, or TimeoutError after the connect timeout."""
        sock = socket.socket(family_of(self.address), socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            loop = self.upstream.loop
            await asyncio.wait_for(loop.sock_connect(sock, self.address), self.upstream.connect_timeout_s)
            connection_type = self.upstream.connection_type
            _, connection = await loop.create_connection(lambda: connection_type(self, sock), sock=sock)
            return connection
        except BaseException:
            sock.close()
            raise

    def on_connect_done(self, task: asyncio.Task) -> None:
        """Uses a new connection, or fails the calls that have no connection to wait for."""
        self.opening.discard(task)
        error = None if task.cancelled() else task.exception()
        if not task.cancelled() and error is None:
            connection = task.result()
            if not connection.transport.is_closing():  # else the connection was lost while it opened
                self.last_received_at = now()
                if (call := self.next_call()) is not None:
                    return connection.send(call)
                return self.release(connection)
        else:
            self.upstream.descriptors.release()
        is_local = isinstance(error, OSError) and error.errno in LOCAL_ERRORS
        if is_local:
            self.upstream.log(f"no connection to {self.name}: {error}")
        self.schedule_serve()
        outcome = Outcome.NOT_SENT if is_local else Outcome.CONNECT_FAILED
        while len(self.waiting) > len(self.opening) + len(self.idle):
            self.waiting.popleft().finish(outcome)

    def release(self, connection: Connection) -> None:
        """Takes back a connection whose call has ended."""
        self.upstream.streaming.discard(connection)
        connection.idle_since = now()
        if self.closed and not self.waiting:
            return connection.abort()
        self.idle.append(connection)
        self.schedule_serve()

    def schedule_serve(self) -> None:
        """Schedules `serve` for when the idle connections have settled."""
        if self.waiting and self.idle:
            self.upstream.timers.after(self.upstream.settle_time, self.serve)

    def next_call(self) -> Call | None:
        """Removes the oldest waiting call that is still needed."""
        while self.waiting:
            call = self.waiting.popleft()
            if call.is_still_needed():
                return call
            call.finish_soon(Outcome.NOT_SENT)
        return None

    def withdraw_all(self) -> None:
        """Withdraws the waiting calls, as nothing more may be sent to this incarnation of the backend."""
        for call in list(self.waiting):
            call.withdraw()

    def serve(self) -> None:
        """Sends waiting calls on settled connections, and opens new ones if some have closed."""
        while self.waiting and (connection := self.take_idle(self.upstream.settle_time)) is not None:
            if (call := self.next_call()) is None:
                self.release(connection)
                break
            connection.send(call)
        for _ in range(len(self.waiting) - len(self.opening) - len(self.idle)):
            self.open_connection()
        self.schedule_serve()
        if self.closed and not self.waiting:
            self.discard_idle(now())

    def forget(self, connection: Connection) -> None:
        """Removes a closing connection from the pool."""
        self.upstream.streaming.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def on_connection_lost(self, connection: Connection) -> None:
        """Removes a closed connection and returns its descriptor."""
        connection.aborted = True
        self.forget(connection)
        self.upstream.descriptors.release()

    def discard_idle_if_silent(self, since: int) -> None:
        """Closes the connections idle since `since` if the backend has sent nothing after that."""
        # Guards against idle connections to a machine that was cut off: an attempt on each would end without
        # it being known whether it ran, whereas a new connection fails before anything is sent.
        if self.last_received_at < since and now() - since >= self.upstream.connect_timeout_s * SECOND:
            self.discard_idle(since)

    def discard_idle(self, until: int) -> None:
        """Closes the connections that became idle at or before `until`."""
        for connection in [c for c in self.idle if c.idle_since <= until]:
            connection.abort()
