"""Listening sockets: a `Listener` accepts connections for a front end or the admin interface."""

import asyncio
import socket
import struct
from collections.abc import Callable
from contextlib import suppress

from basalthoist.addresses import family_of
from basalthoist.net.runtime.log import Log
from basalthoist.net.runtime.timers import SECOND, Timers

MAX_ACCEPTS_PER_TURN = 64  # connections accepted in one turn of the event loop
SO_ATTACH_FILTER = 26  # Linux, asm-generic/socket.h
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)  # classic BPF: return 0, so that every packet is dropped
ACCEPT_RETRY_DELAY = SECOND // 100  # tenths of a millisecond from a failed accept to the next


def listening_socket(address: tuple[str, int], backlog: int, shared: bool = False) -> socket.socket:
    """Returns a socket that listens at the address, with SO_REUSEPORT if `shared`.

    Raises OSError, for example where the address is in use.
    """
    family = family_of(address)
    return socket.create_server(address, family=family, backlog=backlog, reuse_port=shared)


class Listener:
    """Accepts connections itself instead of through the loop's server.

    Where accept fails, connections thus wait in the backlog and no CPU time is spent on constant retries.
    `make_protocol` is called for each connection; `on_dropped` is called after `make_protocol` if the
    connection could not be set up. While `is_full` returns True, nothing is accepted.
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
        self.tasks: set[asyncio.Task] = set()  # one for each connection that is being set up
        # Called after each connection is set up or has failed.
        self.on_connection_set_up: Callable[[], None] = lambda: None
        self.sock.setblocking(False)
        self.loop.add_reader(self.sock, self.accept)

    def accept(self) -> bool:
        """Accepts waiting connections, up to a limit. Returns True if none is waiting any more."""
        accepted = 0
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self.is_full():
                break
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return True
            except (InterruptedError, ConnectionAbortedError):
                continue  # a signal came, or this client has disconnected; others may wait behind it
            except OSError as error:
                # accept raises many transient errors, such as EMFILE, ENFILE, ENOBUFS and the network errors
                # of a broken connection. The connections that wait are accepted later.
                self.log(f"no connection taken: accept failed: {error}")
                break
            self.begin(sock)
            accepted += 1
        if not accepted:
            self.retry_later()
        return False

    def begin(self, sock: socket.socket) -> None:
        """Sets up an accepted connection."""
        sock.setblocking(False)
        # One task per connection, not per request: the event loop offers this only as a coroutine.
        task = self.loop.create_task(self.take_over(sock, self.make_protocol()))
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)

    def on_task_done(self, task: asyncio.Task) -> None:
        """Records that a connection is set up, or could not be."""
        self.tasks.discard(task)
        self.on_connection_set_up()

    async def take_over(self, sock: socket.socket, protocol: asyncio.Protocol) -> None:
        """Connects the accepted socket with its protocol in the event loop."""
        try:
            await self.loop.connect_accepted_socket(lambda: protocol, sock)
        except OSError as error:
            self.log(f"connection not taken over: accepted, but not set up: {error}")
            self.on_dropped()
            sock.close()

    def retry_later(self) -> None:
        """Stops accepting for ACCEPT_RETRY_DELAY.

        Guards against an event loop that is woken without pause by connections that cannot be accepted.
        """
        if self.listening:
            self.loop.remove_reader(self.sock)
            self.timers.after(ACCEPT_RETRY_DELAY, self.wait_for_connections)

    def wait_for_connections(self) -> None:
        """Has the event loop call `accept` when a connection waits."""
        if self.listening and not self.paused:
            self.loop.add_reader(self.sock, self.accept)

    def pause(self) -> None:
        """Stops accepting and leaves new connections to another process."""
        self.paused = True
        if self.listening:
            self.loop.remove_reader(self.sock)

    def resume(self) -> None:
        """Accepts again after `pause`, as the other process has ended."""
        if self.paused:
            self.paused = False
            self.wait_for_connections()

    def close(self) -> None:
        """Closes the socket at once; connections in its backlog are reset."""
        if self.listening:
            self.listening = False
            self.loop.remove_reader(self.sock)
            self.sock.close()

    def close_when_empty(self, on_closed: Callable[[], None], shared: bool = False) -> None:
        """Accepts all waiting connections, closes the socket, and calls `on_closed`.

        `shared`: another process accepts from the same socket; connections that come last are left to it.
        """
        if self.listening and not self.paused:
            if not self.accept():
                self.timers.after(ACCEPT_RETRY_DELAY, lambda: self.close_when_empty(on_closed, shared))
                return
            if not shared:
                self.drop_new_connections()
                self.accept()  # connections that came after the accept above
        self.close()
        on_closed()

    def drop_new_connections(self) -> None:
        """Drops all packets to the listening socket; accepted connections have sockets of their own.

        Guards against a connection that comes between the last accept and the close, and would be reset. A
        client that connects now is refused instead, when its kernel repeats the SYN after the close.
        """
        from array import array

        code = array("B", DROP_ALL)
        program = struct.pack("HP", 1, code.buffer_info()[0])
        with suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
