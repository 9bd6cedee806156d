"""Directed links between processes, and from each process to discovery, with fault injection on each.

Each ordered pair of nodes has one UDP socket, whose address the first node uses for the second. A datagram
received there is sent on from the socket of the opposite pair, so that the second node sees it come from the
address that it uses for the first.
"""

import asyncio
import contextlib
from random import Random

Address = tuple[str, int]


class Link:
    """One direction. Each fault holds a count or a list, as several events of a timeline may overlap."""

    def __init__(self, rng: Random) -> None:
        self.rng, self.cut, self.stalled, self.delays_ms = rng, 0, 0, []
        self.lose, self.double, self.corrupt = [], [], []
        self.waiting: list[bytes] = []
        self.passed = 0

    def forward(self, data: bytes, deliver) -> None:
        if self.cut or any(self.rng.random() < ratio for ratio in self.lose):
            return
        if self.stalled:
            self.waiting.append(data)
            return
        if any(self.rng.random() < ratio for ratio in self.corrupt):
            at = self.rng.randrange(len(data))
            data = data[:at] + bytes([data[at] ^ 1 << self.rng.randrange(8)]) + data[at + 1 :]
        for _ in range(1 + any(self.rng.random() < ratio for ratio in self.double)):
            wait = sum(self.rng.uniform(0, ms) for ms in self.delays_ms) / 1000
            if wait:
                asyncio.get_running_loop().call_later(wait, deliver, data)
            else:
                deliver(data)
        self.passed += 1

    def release(self, deliver) -> None:
        waiting, self.waiting = self.waiting, []
        for data in waiting:
            deliver(data)


class LinkSocket(asyncio.DatagramProtocol):
    def __init__(self, mesh: "Mesh", pair: tuple[int, int]) -> None:
        self.mesh, self.pair, self.transport = mesh, pair, None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, sender: tuple) -> None:
        source, destination = self.pair
        if sender[:2] == self.mesh.nodes[source]:
            self.mesh.links[self.pair].forward(data, self.mesh.deliverer(source, destination))


class Mesh:
    """All links between nodes. `nodes`: the address at which each process listens for fleet datagrams."""

    def __init__(self, nodes: list[Address], rng: Random) -> None:
        self.nodes, count = nodes, len(nodes)
        self.pairs = [(i, j) for i in range(count) for j in range(count) if i != j]
        self.links = {pair: Link(rng) for pair in self.pairs}
        self.sockets: dict[tuple[int, int], LinkSocket] = {}
        self.tcp_links: list[TcpLink] = []

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        for pair in self.pairs:
            _, self.sockets[pair] = await loop.create_datagram_endpoint(
                lambda pair=pair: LinkSocket(self, pair), local_addr=("127.0.0.1", 0)
            )

    def address(self, source: int, destination: int) -> str:
        """Returns the address that the first node uses for the second."""
        if source == destination:
            return "{}:{}".format(*self.nodes[source])
        return "{}:{}".format(*self.sockets[source, destination].transport.get_extra_info("sockname")[:2])

    def deliverer(self, source: int, destination: int):
        def deliver(data: bytes) -> None:
            transport = self.sockets[destination, source].transport
            if not transport.is_closing():
                transport.sendto(data, self.nodes[destination])

        return deliver

    def release(self, pair: tuple[int, int]) -> None:
        if not self.links[pair].stalled:
            self.links[pair].release(self.deliverer(*pair))

    async def open_tcp_link(self, target: Address) -> "TcpLink":
        """Opens a link to discovery for one process."""
        tcp_link = TcpLink(target)
        await tcp_link.open()
        self.tcp_links.append(tcp_link)
        return tcp_link

    def close(self) -> None:
        for socket in self.sockets.values():
            socket.transport.close()
        for tcp_link in self.tcp_links:
            tcp_link.close()


class TcpLink:
    """Forwards TCP to `target`. While cut it forwards nothing, serves no new connection and closes none."""

    def __init__(self, target: Address) -> None:
        self.target, self.cut, self.server, self.writers = target, 0, None, set()
        self.connected = asyncio.Event()
        self.connected.set()

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    async def serve(self, reader, writer) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await self.connected.wait()
            theirs, ours = await asyncio.open_connection(*self.target)
            self.writers |= {writer, ours}
            await asyncio.gather(self.pass_on(reader, ours), self.pass_on(theirs, writer))

    async def pass_on(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self.connected.wait()
                writer.write(data)
            writer.close()

    def set_cut(self, more: int) -> None:
        self.cut += more
        (self.connected.clear if self.cut else self.connected.set)()

    def reset(self) -> None:
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    def close(self) -> None:
        self.server.close()
        self.reset()
