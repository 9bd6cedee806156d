"""A listening socket from which a front end or the admin interface accepts its connections."""

import asyncio
import socket
import struct
from collections.abc import Callable
from contextlib import suppress

from basalthoist.addresses import family_of
from basalthoist.net.runtime.log import Log
from basalthoist.net.runtime.timers import SECOND, Timers

MAX_ACCEPTS_PER_TURN = 64  # connections accepted in one turn of the event loop
SO_ATTACH_FILTER = 26  # of Linux, asm-generic/socket.h
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)  # classic BPF: return 0, so that every packet is dropped
RETRY_DELAY = SECOND // 100  # before accept is tried again where it failed, in tenths of a millisecond


def listening_socket(address: tuple[str, int], backlog: int, shared: bool = False) -> socket.socket:
    """Listens at the address; `shared`: by SO_REUSEPORT. Raises OSError, as where it is in use."""
    family = family_of(address)
    return socket.create_server(address, family=family, backlog=backlog, reuse_port=shared)


class Listener:
    """Accepts connections itself, so that where accept fails they wait in the backlog and no core is spent.

    `make_protocol` is called for each connection; `on_dropped` after the protocol of one was made that could
    not be set up. While `is_full` returns true, nothing is accepted.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        timers: Timers,
        log: Log,
        sock: socket.socket,
        make_protocol: Callable[[], asyncio.Protocol],
        on_dropped: Callable[[], None] = lambda: None,
        is_full: Callable[[], bool] = lambda: False,
    ) -> None:
        self.loop: asyncio.AbstractEventLoop = loop
        self.timers: Timers = timers
        self.log: Log = log
        self.sock: socket.socket = sock
        self.make_protocol: Callable[[], asyncio.Protocol] = make_protocol
        self.on_dropped: Callable[[], None] = on_dropped
        self.is_full: Callable[[], bool] = is_full
        self.listening: bool = True
        self.paused: bool = False
        self.tasks: set[asyncio.Task] = set()  # connections that are being set up
        self.on_connection_set_up: Callable[[], None] = (
            lambda: None
        )  # after each connection, also one that failed
        self.sock.setblocking(False)
        self.loop.add_reader(self.sock, self.accept)

    def accept(self) -> bool:
        """Accepts what waits, up to a limit; true where nothing waits any more."""
        accepted = 0
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self.is_full():
                break
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return True
            except (InterruptedError, ConnectionAbortedError):
                continue  # this one has gone; others may wait behind it
            except OSError as error:
                # Guards against all that accept may raise for a moment, such as EMFILE, ENFILE, ENOBUFS and
                # the network errors of a connection that has gone: who waits is accepted later.
                self.log(f"no connection taken: {error}")
                break
            self.begin(sock)
            accepted += 1
        if not accepted:
            self.retry_later()
        return False

    def begin(self, sock: socket.socket) -> None:
        """Sets up an accepted connection."""
        sock.setblocking(False)
        # A task for a connection, not for a request: the loop has no other form of this.
        task = self.loop.create_task(self.take_over(sock, self.make_protocol()))
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)

    def on_task_done(self, task: asyncio.Task) -> None:
        """A connection is set up, or has failed."""
        self.tasks.discard(task)
        self.on_connection_set_up()

    async def take_over(self, sock: socket.socket, protocol: asyncio.Protocol) -> None:
        """Hands the socket to the event loop."""
        try:
            await self.loop.connect_accepted_socket(lambda: protocol, sock)
        except OSError as error:
            self.log(f"connection not taken over: {error}")
            self.on_dropped()
            sock.close()

    def retry_later(self) -> None:
        """Guards against a loop that is woken again and again for what cannot be accepted."""
        if self.listening:
            self.loop.remove_reader(self.sock)
            self.timers.after(RETRY_DELAY, self.watch)

    def watch(self) -> None:
        """Has the event loop call `accept` again."""
        if self.listening and not self.paused:
            self.loop.add_reader(self.sock, self.accept)

    def pause(self) -> None:
        """Leaves new connections to another process."""
        self.paused = True
        if self.listening:
            self.loop.remove_reader(self.sock)

    def resume(self) -> None:
        """Accepts again, as that process has ended."""
        if self.paused:
            self.paused = False
            self.watch()

    def close(self) -> None:
        """Closes the socket at once; what waits in its backlog is reset."""
        if self.listening:
            self.listening = False
            self.loop.remove_reader(self.sock)
            self.sock.close()

    def close_when_empty(self, on_closed: Callable[[], None], shared: bool = False) -> None:
        """Accepts what waits, closes, and calls `on_closed`.

        `shared`: another process accepts from the same socket, and what waits is left to it.
        """
        if self.listening and not self.paused:
            if not self.accept():
                self.timers.after(RETRY_DELAY, lambda: self.close_when_empty(on_closed, shared))
                return
            if not shared:
                self.drop_new_connections()
                self.accept()  # what has come since the last look
        self.close()
        on_closed()

    def drop_new_connections(self) -> None:
        """Guards against a connection that comes between the last accept and the close, to be reset.

        Packets to the listening socket are dropped; accepted connections have sockets of their own. A client
        that connects now is refused once the socket is closed, as its machine tries again.
        """
        from array import array

        code = array("B", DROP_ALL)
        program = struct.pack("HP", 1, code.buffer_info()[0])
        with suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
