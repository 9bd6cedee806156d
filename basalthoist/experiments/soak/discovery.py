"""Discovery of a play, as a stand-in on sockets: a list, watches on it, and outages.

It writes down when each change counts as told: once it is written to a watch; at the end of an outage in
which discovery was silent; otherwise `TOLD_S` after a change could be had, at the latest.
"""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Protocol

TOLD_S = 6.0  # the standing page: at the latest, after discovery had a change and could be reached
HEARTBEAT_S = 2.0  # the protocol page
SILENT, REFUSES, RESETS = "silent", "refuses", "resets"
OUTAGES = (SILENT, REFUSES, RESETS)
NO = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"


class Notice(Protocol):
    """Something of which the node is told; `told_at` is by the monotonic clock, in seconds."""

    told_at: float


def line_of(revision: int, members: list[dict], complete: bool) -> bytes:
    return json.dumps({"revision": revision, "complete": complete, "members": members}).encode() + b"\n"


def chunk_of(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Agent(asyncio.Protocol):
    """A connection from the node."""

    def __init__(self, discovery: "Discovery") -> None:
        self.discovery, self.transport = discovery, None

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.discovery.agents.add(self)

    def connection_lost(self, wrong) -> None:
        self.discovery.agents.discard(self)
        self.discovery.watches.discard(self)

    def data_received(self, data: bytes) -> None:
        self.discovery.take(self, data)

    def write(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)

    def beat(self) -> None:
        if self in self.discovery.watches:
            if self.discovery.outage != SILENT:
                self.write(chunk_of(b"\n"))
            asyncio.get_running_loop().call_later(HEARTBEAT_S, self.beat)


class Discovery:
    """`members` hands out the list as it is."""

    def __init__(self, members: Callable[[], list[dict]]) -> None:
        self.members, self.revision, self.outage = members, 1, ""
        self.agents: set[Agent] = set()
        self.watches: set[Agent] = set()
        self.held: list[tuple[Agent, bytes]] = []  # calls that came while it was silent
        self.changed: dict[str, dict] = {}  # members that changed since something was last told
        self.untold: list[Notice] = []

    async def listen(self) -> str:
        """Returns the address."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Agent(self), "127.0.0.1", 0)
        return "{}:{}".format(*server.sockets[0].getsockname())

    # Calls of the node.

    def take(self, agent: Agent, data: bytes) -> None:
        if self.outage == SILENT:
            self.held.append((agent, data))
        elif self.outage == REFUSES:
            agent.write(NO)
        elif self.outage == RESETS:
            agent.transport.abort()
        else:
            self.answer(agent, data)

    def answer(self, agent: Agent, data: bytes) -> None:
        whole = line_of(self.revision, self.members(), complete=True)
        if b"stream=1" not in data:
            return agent.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(whole) + whole)
        agent.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk_of(whole))
        self.watches.add(agent)
        agent.beat()
        self.count_as_told(self.untold)

    # What there is to tell.

    def tell(self, member: dict, notice: Notice | None = None) -> None:
        """Down every watch; during an outage, or where there is none, later."""
        self.revision += 1
        self.changed[member["id"]] = member
        if notice is not None:
            self.untold.append(notice)
        if not self.outage:
            self.flush()

    def flush(self) -> None:
        if self.changed and self.watches:
            line = line_of(self.revision, list(self.changed.values()), complete=False)
            for agent in self.watches:
                agent.write(chunk_of(line))
            self.changed.clear()
            self.count_as_told(self.untold)

    def count_as_told(self, notices: list[Notice]) -> None:
        at = time.monotonic()
        for notice in notices:
            notice.told_at = min(notice.told_at, at)
        self.untold = [notice for notice in self.untold if notice not in notices]

    async def fail(self, outage: str, for_s: float) -> None:
        """An outage, and the return."""
        self.outage = outage
        if outage != SILENT:
            for agent in list(self.agents):
                agent.transport.abort()
        await asyncio.sleep(for_s)
        self.outage = ""
        held, self.held = self.held, []
        self.flush()
        if outage == SILENT:
            # What it gets at the return counts at once, whether or not a watch is open.
            self.count_as_told(self.untold)
        for agent, data in held:
            self.answer(agent, data)
        asyncio.get_running_loop().call_later(TOLD_S, self.count_as_told, list(self.untold))
