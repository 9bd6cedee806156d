"""Clients of a play: each keeps a connection in use until the node closes it, up to the kill."""

import asyncio
import time
from random import Random

from .plan import Plan
from .record import Request

ROUTES = ("read", "pay", "mark")
NEW_CONNECTION = 0.1  # the part of requests that come on one


class Client:
    """`killed` is set when the node's process is killed, or nothing more is to be asked."""

    def __init__(self, plan: Plan, number: int, world, address: tuple[str, int], began: float) -> None:
        self.plan, self.name, self.world, self.address, self.began = plan, f"c{number}", world, address, began
        self.rng, self.count = Random(f"{plan.seed} {number}"), 0
        self.killed = False

    async def run(self) -> None:
        while not self.killed and time.monotonic() < self.began + self.plan.connects_s:
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
        fresh = True
        while not self.killed:
            request = self.make(fresh)
            writer.write(self.text(request))
            stays = await self.wait(request, reader, writer)
            if not stays:
                return
            # Once no new one can be had, clients use those that they have for as long as these stay open.
            told = time.monotonic() >= self.began + self.plan.load_s
            if self.rng.random() < NEW_CONNECTION and not told:
                return
            fresh = False
            await asyncio.sleep(self.rng.expovariate(1 / 0.01))

    def make(self, fresh: bool) -> Request:
        self.count += 1
        route = self.rng.choice(ROUTES)
        timeout_s = round(self.plan.deadline_s * self.rng.choice((0.5, 1.0, 1.0)), 3)
        starved_s = self.world.starved_s()
        ident = f"{self.name}-{self.count}"
        request = Request(ident, route, timeout_s, time.monotonic(), fresh, starved_s)
        self.world.record.requests[request.ident] = request
        return request

    def text(self, request: Request) -> bytes:
        method = "GET" if request.route == "read" else "POST"
        length = "" if request.route == "read" else "Content-Length: 0\r\n"
        return (
            f"{method} /{request.route}/x HTTP/1.1\r\nHost: app\r\nRequest-Id: {request.ident}\r\n"
            f"Tenant: any\r\nRequest-Timeout-Ms: {int(request.timeout_s * 1000)}\r\n{length}\r\n"
        ).encode()

    async def wait(self, request: Request, reader, writer) -> bool:
        """Whether the connection stays."""
        patience_s = request.timeout_s + 1.0
        leaves = self.rng.random() < self.plan.leaving
        if leaves:
            patience_s = self.rng.uniform(0.0, 0.3)
        try:
            stays = await asyncio.wait_for(self.answer(request, reader), patience_s)
        except TimeoutError:
            if leaves:
                writer.transport.abort()
                request.left_at = time.monotonic()
            stays = False
        except (OSError, asyncio.IncompleteReadError):
            stays = False
        request.ended_at = time.monotonic()
        request.killed, request.late_s = self.killed, self.world.late_s(request)
        return stays

    async def answer(self, request: Request, reader) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
        length = next(int(line.split(":")[1]) for line in head if line.startswith("content-length:"))
        await reader.readexactly(length)
        request.status = int(head[0].split()[1])
        return "connection: close" not in head
