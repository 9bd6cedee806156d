"""Simulated discovery on sockets: an endpoint list, watches on it, and outages.

For each change the time from which the node must know it is recorded: when the change is written to a watch,
at the end of a silent outage, or at the latest PROPAGATION_LIMIT_S after the change could be read.
"""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Protocol

# Documented limit: the node knows a change at the latest so long after discovery has it and can be reached.
PROPAGATION_LIMIT_S = 6.0
HEARTBEAT_S = 2.0  # interval from the protocol documentation
SILENT, REFUSES, RESETS = "silent", "refuses", "resets"
OUTAGES = (SILENT, REFUSES, RESETS)
REJECTION = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"


class AnnouncedChange(Protocol):
    """A change announced to the node. `announced_at`: when the node must know it, in monotonic seconds."""

    announced_at: float


def encode_list(revision: int, members: list[dict], complete: bool) -> bytes:
    return json.dumps({"revision": revision, "complete": complete, "members": members}).encode() + b"\n"


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class DiscoveryConnection(asyncio.Protocol):
    """A connection from the node."""

    def __init__(self, discovery: "Discovery") -> None:
        self.discovery, self.transport = discovery, None

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.discovery.connections.add(self)

    def connection_lost(self, error) -> None:
        self.discovery.connections.discard(self)
        self.discovery.watches.discard(self)

    def data_received(self, data: bytes) -> None:
        self.discovery.on_data(self, data)

    def write(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)

    def send_heartbeat(self) -> None:
        if self in self.discovery.watches:
            if self.discovery.outage != SILENT:
                self.write(encode_chunk(b"\n"))
            asyncio.get_running_loop().call_later(HEARTBEAT_S, self.send_heartbeat)


class Discovery:
    """`members` returns the present endpoint list."""

    def __init__(self, members: Callable[[], list[dict]]) -> None:
        self.members, self.revision, self.outage = members, 1, ""
        self.connections: set[DiscoveryConnection] = set()
        self.watches: set[DiscoveryConnection] = set()
        # Received during a silent outage.
        self.delayed_requests: list[tuple[DiscoveryConnection, bytes]] = []
        self.changed_members: dict[str, dict] = {}  # by id, not yet written to a watch
        self.unannounced: list[AnnouncedChange] = []

    async def listen(self) -> str:
        """Starts listening. Returns the address."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: DiscoveryConnection(self), "127.0.0.1", 0)
        return "{}:{}".format(*server.sockets[0].getsockname())

    # Requests of the node.

    def on_data(self, connection: DiscoveryConnection, data: bytes) -> None:
        if self.outage == SILENT:
            self.delayed_requests.append((connection, data))
        elif self.outage == REFUSES:
            connection.write(REJECTION)
        elif self.outage == RESETS:
            connection.transport.abort()
        else:
            self.answer(connection, data)

    def answer(self, connection: DiscoveryConnection, data: bytes) -> None:
        full_list = encode_list(self.revision, self.members(), complete=True)
        if b"stream=1" not in data:
            return connection.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(full_list) + full_list
            )
        connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + encode_chunk(full_list))
        self.watches.add(connection)
        connection.send_heartbeat()
        self.mark_announced(self.unannounced)

    # Changes and outages.

    def announce(self, member: dict, change: AnnouncedChange | None = None) -> None:
        """Writes a change to every watch, or later where an outage is under way or no watch is open."""
        self.revision += 1
        self.changed_members[member["id"]] = member
        if change is not None:
            self.unannounced.append(change)
        if not self.outage:
            self.flush()

    def flush(self) -> None:
        if self.changed_members and self.watches:
            line = encode_list(self.revision, list(self.changed_members.values()), complete=False)
            for connection in self.watches:
                connection.write(encode_chunk(line))
            self.changed_members.clear()
            self.mark_announced(self.unannounced)

    def mark_announced(self, changes: list[AnnouncedChange]) -> None:
        at = time.monotonic()
        for change in changes:
            change.announced_at = min(change.announced_at, at)
        self.unannounced = [change for change in self.unannounced if change not in changes]

    async def run_outage(self, outage: str, for_s: float) -> None:
        """Starts an outage of that kind and ends it after `for_s` seconds."""
        self.outage = outage
        if outage != SILENT:
            for connection in list(self.connections):
                connection.transport.abort()
        await asyncio.sleep(for_s)
        self.outage = ""
        delayed_requests, self.delayed_requests = self.delayed_requests, []
        self.flush()
        if outage == SILENT:
            # Delayed requests are answered below, so the node must know all changes from here on, whether or
            # not a watch is open.
            self.mark_announced(self.unannounced)
        for connection, data in delayed_requests:
            self.answer(connection, data)
        asyncio.get_running_loop().call_later(
            PROPAGATION_LIMIT_S, self.mark_announced, list(self.unannounced)
        )
