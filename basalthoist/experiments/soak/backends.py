"""Simulated backends on sockets, which record the requests that reach them."""

import asyncio
import select
import time
from collections.abc import Callable

from .discovery import AnnouncedChange, Discovery
from .judge import CAPACITY_PER_S
from .record import NEVER_RAN, Attempt, ColdStart, Drain, Record, Request

SERVICE_TIME_S = 4 / CAPACITY_PER_S  # gives the capacity at four requests in flight
BODY = b"served"


class NodeConnection(asyncio.Protocol):
    """A connection from the node."""

    def __init__(self, backend: "Backend") -> None:
        self.backend, self.transport, self.buffer = backend, None, b""
        self.first_byte_at, self.attempt = 0.0, None

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.backend.connections.add(self)

    def connection_lost(self, error) -> None:
        self.backend.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        if not self.buffer:
            self.first_byte_at = time.monotonic()
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
            lines = head.decode().split("\r\n")[1:]
            self.backend.on_request(self, {k.lower(): v for k, v in (line.split(": ", 1) for line in lines)})

    def awaits_response(self) -> bool:
        """Returns whether a request is unanswered here and the node has not closed the connection.

        The poll sees a close that the event loop has not yet processed.
        """
        if self.attempt is None or self.transport.is_closing():
            return False
        poller = select.poll()
        poller.register(self.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return not poller.poll(0)

    def respond(self, status: bytes, more: bytes = b"", body: bytes = BODY) -> None:
        self.attempt = None
        if not self.transport.is_closing():
            head = b"HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n" % (status, more, len(body))
            self.transport.write(head + body)


class Backend:
    """`fault` is the kind of the present fault, or empty; `value` is the `value` of its event."""

    def __init__(self, surroundings: "Surroundings", number: int) -> None:
        self.surroundings, self.number, self.incarnation = surroundings, number, 0
        self.fault, self.value, self.phase, self.started_ms = "", 0, "ready", 0
        self.connections: set[NodeConnection] = set()
        self.server, self.address = None, ""

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        self.server = await loop.create_server(
            lambda: NodeConnection(self), host or "127.0.0.1", int(port or 0)
        )
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    def member(self) -> dict:
        return {"id": f"s-{self.number}", "host_port": self.address, "locality": "0", "flavor": "std",
                "cell": 0, "phase": self.phase, "size": 1.0, "up_since_ms": self.started_ms}  # fmt: skip

    def on_request(self, connection: NodeConnection, headers: dict[str, str]) -> None:
        request = self.surroundings.record.requests.get(headers.get("request-id", ""))
        if request is None:
            self.surroundings.record.unknown_ids += 1
            return connection.respond(b"400 Unknown")
        announced_timeout_s = int(headers["request-timeout-ms"]) / 1000
        parallel = any(
            e.awaits_response()
            for e in self.surroundings.connections_with(request.ident)
            if e is not connection
        )
        late_s = self.surroundings.late_s(request)
        attempt = Attempt(
            self.number,
            self.incarnation,
            connection.first_byte_at,
            time.monotonic(),
            announced_timeout_s,
            parallel,
            late_s,
        )
        request.attempts.append(attempt)
        connection.attempt = request.ident
        loop = asyncio.get_running_loop()
        if self.fault == "hang":
            return
        if self.fault == "reject" or self.phase != "ready":
            attempt.outcome = NEVER_RAN
            connection.respond(b"503 Full", b"Not-Started: 1\r\n")
        elif self.fault == "reset":
            loop.call_later(self.value / 1000, connection.transport.abort)
        elif self.fault == "error":
            connection.respond(b"500 Broken")
        else:
            loop.call_later(SERVICE_TIME_S, connection.respond, b"200 OK")

    async def restart(self, for_s: float) -> None:
        """Aborts all connections; `for_s` later starts and announces a new incarnation at that address."""
        self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()
        await asyncio.sleep(for_s)
        self.incarnation += 1
        started_at = time.monotonic()
        self.started_ms = int(time.time() * 1000)
        await self.listen()
        await asyncio.sleep(0.05)
        cold_start = ColdStart(self.number, self.incarnation, started_at)
        self.surroundings.record.cold_starts.append(cold_start)
        self.surroundings.announce(self, cold_start)

    async def drain(self, for_s: float) -> None:
        if self.phase == "draining":
            return  # the drain that is under way records its own end
        self.phase, drain = "draining", Drain(self.number)
        self.surroundings.record.drains.append(drain)
        self.surroundings.announce(self, drain)
        await asyncio.sleep(for_s)
        self.phase, drain.ready_again_at = "ready", time.monotonic()
        self.surroundings.announce(self)


class Surroundings:
    """Backends, discovery and the record. `lateness` returns that of the harness, in seconds."""

    def __init__(self, backends: int, lateness: Callable[[], float]) -> None:
        self.record, self.lateness, self.node_pid = Record(), lateness, 0
        self.backends = [Backend(self, number) for number in range(backends)]
        self.discovery = Discovery(lambda: [backend.member() for backend in self.backends])
        self.discovery_address = ""

    async def open(self) -> None:
        for backend in self.backends:
            await backend.listen()
        self.discovery_address = await self.discovery.listen()

    def processor_wait_s(self) -> float:
        """Returns the kernel's count of how long the node was runnable without a processor, in seconds."""
        try:
            with open(f"/proc/{self.node_pid}/schedstat") as file:
                return int(file.read().split()[1]) / 1e9
        except (OSError, IndexError):
            return 0.0

    def late_s(self, request: Request) -> float:
        """Returns the delay, in seconds, that the machine alone may have caused since the request was sent.

        The documented limits allow for a node that is held up for 0.15 s; on a busy machine it waits longer.
        """
        return self.lateness() + max(self.processor_wait_s() - request.processor_wait_s, 0.0)

    def connections_with(self, ident: str) -> list[NodeConnection]:
        return [e for backend in self.backends for e in backend.connections if e.attempt == ident]

    def announce(self, backend: Backend, change: AnnouncedChange | None = None) -> None:
        self.discovery.announce(backend.member(), change)
