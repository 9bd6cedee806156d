"""Backends of a play, as stand-ins on sockets. They write down what reaches them."""

import asyncio
import select
import time
from collections.abc import Callable

from .discovery import Discovery, Notice
from .judge import CAPACITY_PER_S
from .record import NEVER_RAN, Attempt, ColdStart, Drain, Record, Request

WORK_S = 4 / CAPACITY_PER_S  # of a request, with four at a time
BODY = b"served"


class Exchange(asyncio.Protocol):
    """A connection from the node."""

    def __init__(self, backend: "Backend") -> None:
        self.backend, self.transport, self.buffer = backend, None, b""
        self.first_byte_at, self.attempt = 0.0, None

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.backend.connections.add(self)

    def connection_lost(self, wrong) -> None:
        self.backend.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        if not self.buffer:
            self.first_byte_at = time.monotonic()
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
            lines = head.decode().split("\r\n")[1:]
            self.backend.take(self, {k.lower(): v for k, v in (line.split(": ", 1) for line in lines)})

    def out(self) -> bool:
        """Whether the node still waits here for an answer, as far as this machine knows."""
        if self.attempt is None or self.transport.is_closing():
            return False
        poller = select.poll()
        poller.register(self.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return not poller.poll(0)

    def answer(self, status: bytes, more: bytes = b"", body: bytes = BODY) -> None:
        self.attempt = None
        if not self.transport.is_closing():
            head = b"HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n" % (status, more, len(body))
            self.transport.write(head + body)


class Backend:
    """`trouble` is the kind of event that it is in, or none."""

    def __init__(self, world: "World", number: int) -> None:
        self.world, self.number, self.incarnation = world, number, 0
        self.trouble, self.value, self.phase, self.started_ms = "", 0, "ready", 0
        self.connections: set[Exchange] = set()
        self.server, self.address = None, ""

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        self.server = await loop.create_server(lambda: Exchange(self), host or "127.0.0.1", int(port or 0))
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    def member(self) -> dict:
        return {"id": f"s-{self.number}", "host_port": self.address, "locality": "0", "flavor": "std",
                "cell": 0, "phase": self.phase, "size": 1.0, "up_since_ms": self.started_ms}  # fmt: skip

    def take(self, exchange: Exchange, headers: dict[str, str]) -> None:
        request = self.world.record.requests.get(headers.get("request-id", ""))
        if request is None:
            self.world.record.unknown += 1
            return exchange.answer(b"400 Unknown")
        told_s = int(headers["request-timeout-ms"]) / 1000
        parallel = any(e.out() for e in self.world.exchanges_of(request.ident) if e is not exchange)
        late_s = self.world.late_s(request)
        attempt = Attempt(
            self.number, self.incarnation, exchange.first_byte_at, time.monotonic(), told_s, parallel, late_s
        )
        request.attempts.append(attempt)
        exchange.attempt = request.ident
        loop = asyncio.get_running_loop()
        if self.trouble == "hang":
            return
        if self.trouble == "turn_away" or self.phase != "ready":
            attempt.outcome = NEVER_RAN
            exchange.answer(b"503 Full", b"Not-Started: 1\r\n")
        elif self.trouble == "reset":
            loop.call_later(self.value / 1000, exchange.transport.abort)
        elif self.trouble == "error":
            exchange.answer(b"500 Broken")
        else:
            loop.call_later(WORK_S, exchange.answer, b"200 OK")

    async def restart(self, for_s: float) -> None:
        """Its process dies; another comes up cold at the same address, and is told of."""
        self.server.close()
        for exchange in list(self.connections):
            exchange.transport.abort()
        await asyncio.sleep(for_s)
        self.incarnation += 1
        started_at = time.monotonic()
        self.started_ms = int(time.time() * 1000)
        await self.listen()
        await asyncio.sleep(0.05)
        cold = ColdStart(self.number, self.incarnation, started_at)
        self.world.record.cold_starts.append(cold)
        self.world.tell(self, cold)

    async def drain(self, for_s: float) -> None:
        if self.phase == "draining":
            return  # it drains already, and that drain says when it is back
        self.phase, drain = "draining", Drain(self.number)
        self.world.record.drains.append(drain)
        self.world.tell(self, drain)
        await asyncio.sleep(for_s)
        self.phase, drain.back_at = "ready", time.monotonic()
        self.world.tell(self)


class World:
    """All that is around the node. `lateness` says how late the harness may be just now, in seconds."""

    def __init__(self, backends: int, lateness: Callable[[], float]) -> None:
        self.record, self.lateness, self.node_pid = Record(), lateness, 0
        self.backends = [Backend(self, number) for number in range(backends)]
        self.discovery = Discovery(lambda: [backend.member() for backend in self.backends])
        self.discovery_address = ""

    async def open(self) -> None:
        for backend in self.backends:
            await backend.listen()
        self.discovery_address = await self.discovery.listen()

    def starved_s(self) -> float:
        """For how long the node has been ready to run and had no processor, as the kernel counts it."""
        try:
            with open(f"/proc/{self.node_pid}/schedstat") as file:
                return int(file.read().split()[1]) / 1e9
        except (OSError, IndexError):
            return 0.0

    def late_s(self, request: Request) -> float:
        """By how much what is seen now may be late through the machine alone, since the request was sent.

        The pages allow for a node that is held up for 0.15 s; on a busy machine it waits for longer.
        """
        return self.lateness() + max(self.starved_s() - request.starved_s, 0.0)

    def exchanges_of(self, ident: str) -> list[Exchange]:
        return [e for backend in self.backends for e in backend.connections if e.attempt == ident]

    def tell(self, backend: Backend, notice: Notice | None = None) -> None:
        self.discovery.tell(backend.member(), notice)
