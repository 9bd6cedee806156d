"""Handover from one process of a node to the next, which starts while the first still serves.

The predecessor listens on a Unix socket in `$TMPDIR`. The successor connects to it and receives the listening
socket for clients and the operators' bans. The connection stays open: until one of them ends, both processes
act as one node and exchange changes of bans.
"""

import asyncio
import os
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

from basalthoist.net.control.maintenance import Maintenance
from basalthoist.net.lifecycle.handover_connection import HandoverConnection, HandoverMessage
from basalthoist.net.runtime.log import Log

SOCKET_NAME = "succession.sock"
TEMPORARY_NAME = "succession.{pid}"
UNIX_PATH_LIMIT_BYTES = 104  # A path of this length may be too long for the address of a Unix socket.
BACKLOG = 4


class HandoverResult(NamedTuple):
    """The result of a request to hand over; `listening` is None if no listening socket was handed over."""

    has_predecessor: bool
    listening: socket.socket | None


class Handover:
    """Both sides of the handover: this process as successor and as predecessor.

    `on_change` is called when another process of this node has connected, has become ready or has ended.
    """

    def __init__(
        self,
        folder: str,
        name: str,
        listen: tuple[str, int],
        maintenance: Maintenance,
        loop: asyncio.AbstractEventLoop,
        log: Log,
        timeout_s: float,
    ) -> None:
        self.folder: str = folder
        self.name: str = name
        self.address: tuple[str, int] = listen
        self.listen: str = "{}:{}".format(*listen)
        self.maintenance: Maintenance = maintenance
        self.loop: asyncio.AbstractEventLoop = loop
        self.log: Callable[[str], None] = log
        self.timeout_s: float = timeout_s
        self.predecessor: HandoverConnection | None = None
        self.successors: list[HandoverConnection] = []
        self.listening_socket: socket.socket | None = None  # handed to a successor
        self.shares_socket: bool = False  # Whether this process uses its predecessor's listening socket.
        self.server: socket.socket | None = None  # The Unix socket to which successors connect.
        self.predecessor_answer: asyncio.Future[socket.socket | None] | None = None
        self.on_change: Callable[[], None] = lambda: None
        # Called with each message of another process, once it is known to be one of this node.
        self.on_message: Callable[[HandoverConnection, HandoverMessage], None] = lambda source, message: None
        maintenance.publish = self.publish

    def other_processes(self) -> int:
        """Returns how many other processes of this node are connected."""
        return len(self.successors) + (self.predecessor is not None)

    def has_ready_successor(self) -> bool:
        """Returns whether a ready successor accepts connections from this process's listening socket."""
        # A successor with a listening socket of its own does not count: this process alone can accept the
        # connections that wait in the queue of its own socket.
        return any(successor.ready and successor.shares_socket for successor in self.successors)

    def path_of(self, name: str) -> str:
        """Returns a path in the folder that is short enough for the address of a Unix socket."""
        path = os.path.join(self.folder, name)
        if len(path.encode()) < UNIX_PATH_LIMIT_BYTES:
            return path
        # The descriptor stays open until the process ends, because the shorter path refers to it.
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        self.folder = f"/proc/self/fd/{folder}"
        return os.path.join(self.folder, name)

    # As successor.

    async def request(self) -> HandoverResult:
        """Requests the handover from the predecessor, if there is one.

        Waits for at most `timeout_s` to connect, and again for the answer.
        """
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            connecting = self.loop.sock_connect(sock, self.path_of(SOCKET_NAME))
            await asyncio.wait_for(connecting, self.timeout_s)
        except (OSError, TimeoutError):
            sock.close()
            return HandoverResult(False, None)  # There is no socket, or its process has ended.
        self.predecessor_answer = self.loop.create_future()
        predecessor = HandoverConnection(self.loop, sock, self.on_predecessor_message, self.on_closed)
        self.predecessor = predecessor
        predecessor.send(HandoverMessage(self.name, self.listen))
        self.on_change()
        try:
            listening = await asyncio.wait_for(self.predecessor_answer, self.timeout_s)
        except TimeoutError:
            listening = None
        if listening is None:
            # A predecessor that hangs must not prevent the start. This process then listens on a socket of
            # its own, and the kernel distributes new connections between both sockets.
            self.log(f"process {predecessor.pid} (predecessor) handed over no listening socket")
        else:
            self.shares_socket = True
            banned = len(self.maintenance.banned)
            self.log(f"follows process {predecessor.pid}, {banned} backends banned")
        return HandoverResult(True, listening)

    def on_predecessor_message(self, predecessor: HandoverConnection, message: HandoverMessage) -> None:
        """Handles a message of the predecessor: its answer, or a change of bans."""
        if message.maintenance is not None:
            self.maintenance.restore(message.maintenance)
            self.complete(predecessor, self.take_listening_socket(predecessor))
        self.on_maintenance(predecessor, message)

    def complete(self, predecessor: HandoverConnection, listening: socket.socket | None) -> None:
        """Completes the request with the listening socket that the predecessor has handed over, if any."""
        if not self.predecessor_answer.done():
            self.predecessor_answer.set_result(listening)
        elif listening is not None:
            # The request has timed out and this process listens on a socket of its own. The late socket is
            # closed, because this process would not accept the connections in its queue.
            listening.close()
            self.log(
                f"process {predecessor.pid} (predecessor) handed over after {self.timeout_s} s, too late"
            )

    def take_listening_socket(self, predecessor: HandoverConnection) -> socket.socket | None:
        """Returns the handed over socket that listens on this node's address, or None; closes all others."""
        found = None
        for descriptor in predecessor.descriptors:
            sock = socket.socket(fileno=descriptor)
            accepts = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            if found is None and accepts and sock.getsockname()[:2] == self.address:
                found = sock
            else:
                sock.close()
        predecessor.descriptors.clear()
        return found

    def announce_ready(self) -> None:
        """Informs the predecessor that this process accepts clients, and starts to listen for successors."""
        if self.predecessor is not None:
            self.predecessor.send(HandoverMessage(ready=True, shares_socket=self.shares_socket))
        self.listen_for_successors()

    # As predecessor.

    def listen_for_successors(self) -> None:
        """Replaces the predecessor's Unix socket in the folder by one of this process."""
        try:
            path, final = self.path_of(TEMPORARY_NAME.format(pid=os.getpid())), self.path_of(SOCKET_NAME)
            with suppress(FileNotFoundError):
                os.unlink(path)
            self.server = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            self.server.bind(path)
            self.server.listen(BACKLOG)
            self.server.setblocking(False)
            os.replace(path, final)
            self.loop.add_reader(self.server, self.accept)
        except OSError as error:
            # The node must serve even if no successor will be able to connect.
            self.log(f"cannot be followed without a gap: {error}")

    def accept(self) -> None:
        """Accepts the connection of another process."""
        with suppress(OSError):
            sock, _ = self.server.accept()
            HandoverConnection(self.loop, sock, self.on_successor_message, self.on_closed)

    def on_successor_message(self, successor: HandoverConnection, message: HandoverMessage) -> None:
        """Handles a message of a successor; the first is its request to hand over."""
        if successor not in self.successors:
            return self.hand_over(successor, message)
        if message.ready:
            successor.ready, successor.shares_socket = True, message.shares_socket
            self.log(f"process {successor.pid} (successor) is ready")
            self.on_change()
        self.on_maintenance(successor, message)

    def hand_over(self, successor: HandoverConnection, message: HandoverMessage) -> None:
        """Sends a successor the operators' bans and the listening socket."""
        if (message.node, message.listen, successor.user) != (self.name, self.listen, os.getuid()):
            # The clients of this node must not be handed to another node or user.
            got = f"{message.node!r} at {message.listen!r} of user {successor.user}"
            self.log(
                f"process {successor.pid} refused as successor:"
                f" expected {self.name!r} at {self.listen!r} of user {os.getuid()}, got {got}"
            )
            return successor.close()
        self.log(f"process {successor.pid} (successor) has connected")
        self.successors.append(successor)
        descriptors = [self.listening_socket.fileno()] if self.listening_socket is not None else []
        successor.send(HandoverMessage(maintenance=self.maintenance.state()), *descriptors)
        self.on_change()

    # As predecessor and as successor.

    def on_maintenance(self, source: HandoverConnection, message: HandoverMessage) -> None:
        """Applies and passes on a change of bans at another process, if the message contains one."""
        self.on_message(source, message)
        if message.backend:
            self.maintenance.on_published(message.backend, message.banned)
            self.publish(message.backend, message.banned, source)

    def connections(self) -> list[HandoverConnection]:
        """Returns the connections to all other processes of this node."""
        found = [*self.successors, self.predecessor]
        return [connection for connection in found if connection is not None]

    def publish(self, name: str, banned: bool, source: HandoverConnection | None = None) -> None:
        """Sends a change of bans to the other processes, except to the one that it came from."""
        for connection in self.connections():
            if connection is not source:
                connection.send(HandoverMessage(backend=name, banned=banned))

    def on_closed(self, connection: HandoverConnection) -> None:
        """Handles the end of another process, or of the connection to it."""
        if connection is self.predecessor:
            self.predecessor = None
            self.log(f"process {connection.pid} (predecessor) has ended")
            if not self.predecessor_answer.done():
                self.predecessor_answer.set_result(None)
        elif connection in self.successors:
            self.successors.remove(connection)
            ready = "after it was ready" if connection.ready else "before it was ready"
            self.log(f"process {connection.pid} (successor) has ended, {ready}")
        self.on_change()

    def close(self) -> None:
        """Closes all connections as the process ends. Events of other processes are ignored from now on."""
        self.on_change, self.log = lambda: None, lambda line: None
        if self.server is not None:
            self.loop.remove_reader(self.server)
            self.server.close()
        for connection in self.connections():
            connection.close()
