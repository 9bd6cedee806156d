"""The connection between two processes of one node: lines of JSON, some of them with file descriptors."""

import asyncio
import os
import socket
import struct
from collections.abc import Callable

import msgspec

from basalthoist.net.control.maintenance import MaintenanceState

MAX_LINE_BYTES = 1 << 20
READ_BYTES = 65536
MAX_DESCRIPTORS_PER_READ = 4
UCRED = struct.Struct("iii")  # Linux's struct ucred: process id, user id, group id.


class HandoverMessage(msgspec.Struct, omit_defaults=True):
    """A message between two processes, one line of JSON. Unknown keys, as of a later version, are ignored.

    A successor's first message has its node's name and address in `node` and `listen`. The predecessor
    answers with `maintenance` and the listening socket. With `ready`, the successor says that it accepts
    clients, and with `shares_socket`, that it uses the handed over socket. Both sides send each change of
    bans as `backend` and `banned`, and the ids of requests that must not run twice as `begun_ids`.
    """

    node: str = ""
    listen: str = ""
    maintenance: MaintenanceState | None = msgspec.field(default=None, name="kept")
    ready: bool = False
    shares_socket: bool = msgspec.field(default=False, name="shares")
    backend: str = msgspec.field(default="", name="name")
    banned: bool = False
    begun_ids: list[str] = msgspec.field(default_factory=list, name="ids")


ENCODE = msgspec.json.Encoder().encode
DECODE = msgspec.json.Decoder(HandoverMessage).decode


class HandoverConnection:
    """A connection to another process of this node. Received file descriptors are added to `descriptors`.

    `ready` and `shares_socket` are those that the other process has sent last.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        on_message: "Callable[[HandoverConnection, HandoverMessage], None]",
        on_closed: "Callable[[HandoverConnection], None]",
    ) -> None:
        self.loop: asyncio.AbstractEventLoop = loop
        self.sock: socket.socket = sock
        self.on_message: Callable[[HandoverConnection, HandoverMessage], None] = on_message
        self.on_closed: Callable[[HandoverConnection], None] = on_closed
        self.incomplete_line: bytes = b""
        self.descriptors: list[int] = []
        self.open: bool = True
        self.ready: bool = False
        self.shares_socket: bool = False
        credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, UCRED.size)
        pid, user, _ = UCRED.unpack(credentials)
        self.pid: int = pid
        self.user: int = user
        sock.setblocking(False)
        loop.add_reader(sock, self.read)

    def read(self) -> None:
        """Reads the bytes and descriptors that have arrived, and passes on each complete message."""
        try:
            data, descriptors, _, _ = socket.recv_fds(self.sock, READ_BYTES, MAX_DESCRIPTORS_PER_READ)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            return self.close()
        self.descriptors += descriptors
        if not data:
            return self.close()
        *lines, self.incomplete_line = (self.incomplete_line + data).split(b"\n")
        try:
            for line in lines:
                if self.open:
                    self.on_message(self, DECODE(line))
            if len(self.incomplete_line) > MAX_LINE_BYTES:
                raise ValueError(f"expected a line of at most {MAX_LINE_BYTES} bytes")
        except (msgspec.DecodeError, UnicodeDecodeError, ValueError):
            # The peer is another program, or a version with incompatible messages.
            self.close()

    def send(self, message: HandoverMessage, *descriptors: int) -> None:
        """Sends a message with file descriptors; closes the connection if that would block."""
        line = ENCODE(message) + b"\n"
        try:
            if socket.send_fds(self.sock, [line], descriptors) < len(line):
                raise BlockingIOError
        except OSError:
            # This process must not wait for one that is suspended and does not read.
            self.close()

    def close(self) -> None:
        """Closes the connection and all received descriptors that were not used."""
        if self.open:
            self.open = False
            self.loop.remove_reader(self.sock)
            self.sock.close()
            for descriptor in self.descriptors:
                os.close(descriptor)
            self.on_closed(self)
