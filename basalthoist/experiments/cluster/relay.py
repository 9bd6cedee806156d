"""Every directed link between two processes, and from each to discovery, with what can go wrong on it.

For each ordered pair there is one socket. The first of the pair knows the second by its address; what comes
there goes on from the socket of the opposite pair, so that the second sees it where it knows the first.
"""

import asyncio
import contextlib
from random import Random

Address = tuple[str, int]


class Way:
    """One direction. Faults count how many of the timeline's events ask for them."""

    def __init__(self, rng: Random) -> None:
        self.rng, self.cut, self.stalled, self.late_ms = rng, 0, 0, []
        self.lose, self.double, self.corrupt = [], [], []
        self.waiting: list[bytes] = []
        self.passed = 0

    def take(self, data: bytes, deliver) -> None:
        if self.cut or any(self.rng.random() < part for part in self.lose):
            return
        if self.stalled:
            self.waiting.append(data)
            return
        if any(self.rng.random() < part for part in self.corrupt):
            at = self.rng.randrange(len(data))
            data = data[:at] + bytes([data[at] ^ 1 << self.rng.randrange(8)]) + data[at + 1 :]
        for _ in range(1 + any(self.rng.random() < part for part in self.double)):
            wait = sum(self.rng.uniform(0, ms) for ms in self.late_ms) / 1000
            if wait:
                asyncio.get_running_loop().call_later(wait, deliver, data)
            else:
                deliver(data)
        self.passed += 1

    def release(self, deliver) -> None:
        waiting, self.waiting = self.waiting, []
        for data in waiting:
            deliver(data)


class End(asyncio.DatagramProtocol):
    def __init__(self, mesh: "Mesh", pair: tuple[int, int]) -> None:
        self.mesh, self.pair, self.transport = mesh, pair, None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, sender: tuple) -> None:
        one, other = self.pair
        if sender[:2] == self.mesh.nodes[one]:
            self.mesh.ways[self.pair].take(data, self.mesh.deliverer(one, other))


class Mesh:
    """`nodes`: where each process listens for the fleet's words."""

    def __init__(self, nodes: list[Address], rng: Random) -> None:
        self.nodes, count = nodes, len(nodes)
        self.pairs = [(i, j) for i in range(count) for j in range(count) if i != j]
        self.ways = {pair: Way(rng) for pair in self.pairs}
        self.ends: dict[tuple[int, int], End] = {}
        self.doors: list[Door] = []

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        for pair in self.pairs:
            _, self.ends[pair] = await loop.create_datagram_endpoint(
                lambda pair=pair: End(self, pair), local_addr=("127.0.0.1", 0)
            )

    def address(self, one: int, other: int) -> str:
        """Where the first finds the second."""
        if one == other:
            return "{}:{}".format(*self.nodes[one])
        return "{}:{}".format(*self.ends[one, other].transport.get_extra_info("sockname")[:2])

    def deliverer(self, one: int, other: int):
        def deliver(data: bytes) -> None:
            transport = self.ends[other, one].transport
            if not transport.is_closing():
                transport.sendto(data, self.nodes[other])

        return deliver

    def release(self, pair: tuple[int, int]) -> None:
        if not self.ways[pair].stalled:
            self.ways[pair].release(self.deliverer(*pair))

    async def door(self, target: Address) -> "Door":
        """A way to discovery for one process."""
        door = Door(target)
        await door.open()
        self.doors.append(door)
        return door

    def close(self) -> None:
        for end in self.ends.values():
            end.transport.close()
        for door in self.doors:
            door.close()


class Door:
    """TCP to `target`; while it is cut nothing passes, silently, and no new connection is answered."""

    def __init__(self, target: Address) -> None:
        self.target, self.cut, self.server, self.writers = target, 0, None, set()
        self.whole = asyncio.Event()
        self.whole.set()

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    async def serve(self, reader, writer) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await self.whole.wait()
            theirs, ours = await asyncio.open_connection(*self.target)
            self.writers |= {writer, ours}
            await asyncio.gather(self.pass_on(reader, ours), self.pass_on(theirs, writer))

    async def pass_on(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self.whole.wait()
                writer.write(data)
            writer.close()

    def set_cut(self, more: int) -> None:
        self.cut += more
        (self.whole.clear if self.cut else self.whole.set)()

    def reset(self) -> None:
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    def close(self) -> None:
        self.server.close()
        self.reset()
