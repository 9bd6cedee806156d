"""Clients of a run. Each sends its requests over one connection at a time and sometimes disconnects early."""

import asyncio
import time
from random import Random

from .plan import Plan
from .record import Request

ROUTES = ("read", "pay", "mark")
RECONNECT_PROBABILITY = 0.1  # after each response


class Client:
    """Sends requests one after the other until `killed` is set, because the load or the node ends."""

    def __init__(
        self, plan: Plan, number: int, surroundings, address: tuple[str, int], started_at: float
    ) -> None:
        self.plan, self.name, self.surroundings, self.address, self.started_at = (
            plan, f"c{number}", surroundings, address, started_at
        )  # fmt: skip
        self.rng, self.count = Random(f"{plan.seed} {number}"), 0
        self.killed = False

    async def run(self) -> None:
        while not self.killed and time.monotonic() < self.started_at + self.plan.connects_until_s:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            try:
                await self.use(reader, writer)
            finally:
                writer.transport.abort()

    async def use(self, reader, writer) -> None:
        is_first_on_connection = True
        while not self.killed:
            request = self.new_request(is_first_on_connection)
            writer.write(self.encode(request))
            stays_open = await self.await_response(request, reader, writer)
            if not stays_open:
                return
            # Soon after SIGTERM the node accepts no new connection, so clients keep the ones that they have.
            is_terminating = time.monotonic() >= self.started_at + self.plan.load_s
            if self.rng.random() < RECONNECT_PROBABILITY and not is_terminating:
                return
            is_first_on_connection = False
            await asyncio.sleep(self.rng.expovariate(1 / 0.01))

    def new_request(self, is_first_on_connection: bool) -> Request:
        self.count += 1
        route = self.rng.choice(ROUTES)
        timeout_s = round(self.plan.deadline_s * self.rng.choice((0.5, 1.0, 1.0)), 3)
        processor_wait_s = self.surroundings.processor_wait_s()
        ident = f"{self.name}-{self.count}"
        request = Request(ident, route, timeout_s, time.monotonic(), is_first_on_connection, processor_wait_s)
        self.surroundings.record.requests[request.ident] = request
        return request

    def encode(self, request: Request) -> bytes:
        method = "GET" if request.route == "read" else "POST"
        length = "" if request.route == "read" else "Content-Length: 0\r\n"
        return (
            f"{method} /{request.route}/x HTTP/1.1\r\nHost: app\r\nRequest-Id: {request.ident}\r\n"
            f"Tenant: any\r\nRequest-Timeout-Ms: {int(request.timeout_s * 1000)}\r\n{length}\r\n"
        ).encode()

    async def await_response(self, request: Request, reader, writer) -> bool:
        """Waits for the response, or disconnects early. Returns whether the connection stays open."""
        wait_limit_s = request.timeout_s + 1.0
        disconnects_early = self.rng.random() < self.plan.early_disconnect_ratio
        if disconnects_early:
            wait_limit_s = self.rng.uniform(0.0, 0.3)
        try:
            stays_open = await asyncio.wait_for(self.read_response(request, reader), wait_limit_s)
        except TimeoutError:
            if disconnects_early:
                writer.transport.abort()
                request.disconnected_at = time.monotonic()
            stays_open = False
        except (OSError, asyncio.IncompleteReadError):
            stays_open = False
        request.ended_at = time.monotonic()
        request.killed, request.late_s = self.killed, self.surroundings.late_s(request)
        return stays_open

    async def read_response(self, request: Request, reader) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
        length = next(int(line.split(":")[1]) for line in head if line.startswith("content-length:"))
        await reader.readexactly(length)
        request.status = int(head[0].split()[1])
        return "connection: close" not in head
