"""A stand-in for the discovery agent: serves lists, sends changes to watches, counts the bytes."""

import asyncio
import json

HEARTBEAT_INTERVAL_S = 2.0


def change_text(revision: int, members: list[dict]) -> bytes:
    return json.dumps({"revision": revision, "members": members, "complete": False}).encode()


def list_text(revision: int, members: list[dict]) -> bytes:
    return json.dumps({"revision": revision, "complete": True, "members": members}).encode()


class Agent:
    """Serves all nodes of a run. On each watch it sends what the agent of that single node would send."""

    def __init__(self, members: list[dict]) -> None:
        self.members, self.revision = members, 1
        self.text = list_text(1, members)
        self.list_bytes = self.watch_bytes = self.lists = self.messages = 0
        self.watches: set = set()

    async def open(self) -> str:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: AgentConnection(self), "127.0.0.1", 0, backlog=4096)
        self.heartbeat_task = loop.create_task(self.send_heartbeats())
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            self.broadcast(b"\n")

    def broadcast(self, text: bytes) -> None:
        data = b"%x\r\n%b\r\n" % (len(text), text)
        for watch in list(self.watches):
            if not watch.is_closing():
                watch.write(data)
                self.watch_bytes += len(data)
                self.messages += 1

    def change(self, members: list[dict]) -> int:
        """Sends changed members to each watch and returns the size of the message in bytes."""
        self.revision += 1
        text = change_text(self.revision, members) + b"\n"
        self.broadcast(text)
        return len(text)

    def close(self) -> None:
        self.heartbeat_task.cancel()
        self.server.close()
        for watch in list(self.watches):
            watch.abort()


class AgentConnection(asyncio.Protocol):
    def __init__(self, agent: Agent) -> None:
        self.agent, self.transport = agent, None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        self.agent.watches.discard(self.transport)

    def data_received(self, data: bytes) -> None:
        agent = self.agent
        if b"stream=1" in data:
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
            agent.watches.add(self.transport)
        else:
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(agent.text)
            self.transport.write(head + agent.text)
            agent.list_bytes += len(head) + len(agent.text)
            agent.lists += 1
