"""Open-loop clients and backends for one node, in a process of their own each.

`python -m basalthoist.experiments.scale.load backends COUNT WORK_MS` prints the addresses as JSON and serves
until its input ends; `... clients HOST:PORT RATE SECONDS ROUTES TENANTS SEED` prints what it measured.
"""

import asyncio
import json
import sys
import time
from random import Random

from ..loopback import void_of

clock = time.monotonic_ns
WARM_S = 3.0  # of the beginning, which do not count: connections come up, profiles are learnt


class Backend(asyncio.Protocol):
    """Answers after a time drawn around the mean, however many it holds, and says when it wrote."""

    held = 0

    def __init__(self, work_s: float, rng: Random) -> None:
        self.work_s, self.rng, self.text = work_s, rng, b""

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.text += data
        while b"\r\n\r\n" in self.text:
            head, _, self.text = self.text.partition(b"\r\n\r\n")
            if b"/status/load" in head[:40]:
                self.answer(False)
            else:
                Backend.held += 1
                work = self.rng.gammavariate(4.0, self.work_s / 4.0)
                asyncio.get_running_loop().call_later(work, self.answer, True)

    def answer(self, worked: bool) -> None:
        Backend.held -= worked
        if not self.transport.is_closing():
            more = b"Said-At: %d\r\n" % clock() if worked else b""
            head = b"HTTP/1.1 200 OK\r\n%bServer-Load: inflight=0\r\nContent-Length: 2\r\n\r\nok" % more
            self.transport.write(head)


class Asking(asyncio.Protocol):
    """One client's connection: a request at a time."""

    def __init__(self) -> None:
        self.text, self.waiter, self.transport = b"", None, None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.text += data
        if b"\r\n\r\n" not in self.text:
            return
        head, _, body = self.text.partition(b"\r\n\r\n")
        at = head.lower().find(b"content-length: ")
        size = int(head[at + 16 :].split(b"\r\n")[0]) if at >= 0 else 0
        if len(body) >= size and self.waiter is not None and not self.waiter.done():
            self.text = b""
            status, closes = int(head.split(b" ", 2)[1]), b"connection: close" in head.lower()
            self.waiter.set_result((status, clock(), closes))

    def connection_lost(self, wrong) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result((0, clock(), True))


class Clients:
    def __init__(self, address: str, rate: float, seconds: float, routes: int, tenants: int,
                 seed: int) -> None:  # fmt: skip
        host, _, port = address.rpartition(":")
        self.address, self.rate, self.seconds = (host, int(port)), rate, seconds
        self.routes, self.tenants, self.rng = routes, tenants, Random(seed)
        self.idle: list[Asking] = []
        self.late_ms, self.found = [], []

    async def run(self) -> dict:
        began, at, asked, number = time.monotonic(), 0.0, set(), 0
        while at < self.seconds:
            at += self.rng.expovariate(self.rate)
            if (wait := began + at - time.monotonic()) > 0:
                await asyncio.sleep(wait)
            number += 1
            task = asyncio.create_task(self.ask(began + at, number, at > WARM_S))
            asked.add(task)
            task.add_done_callback(asked.discard)
        await asyncio.gather(*asked)
        return {"found": self.found, "late_ms": sorted(self.late_ms), "offered": number}

    async def ask(self, meant_at: float, number: int, counts: bool) -> None:
        route = int(self.routes * self.rng.random() ** 3)  # skewed: half of it goes to an eighth of them
        tenant = int(self.tenants * self.rng.random() ** 3)
        if self.idle:
            line = self.idle.pop()
        else:
            loop = asyncio.get_running_loop()
            _, line = await loop.create_connection(Asking, *self.address)
        line.waiter = asyncio.get_running_loop().create_future()
        sent = clock()
        line.transport.write(
            b"GET /r%06d?work=1 HTTP/1.1\r\nHost: app\r\nRequest-Id: c%d\r\nTenant: t%06d\r\n"
            b"Request-Timeout-Ms: 900\r\nSent-At: %d\r\n\r\n" % (route, number, tenant, sent)
        )
        status, at, closes = await line.waiter
        if counts:
            self.late_ms.append(max(sent / 1e6 - meant_at * 1000, 0.0))
            self.found.append([status, sent, at])
        if closes:
            line.transport.close()
        else:
            self.idle.append(line)


async def serve(count: int, work_s: float) -> None:
    loop, rng, addresses = asyncio.get_running_loop(), Random(1), []
    for _ in range(count):
        server = await loop.create_server(lambda: Backend(work_s, rng), "127.0.0.1", 0)
        addresses.append(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
    print(json.dumps(addresses), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


def main() -> None:
    import uvloop

    what, *more = sys.argv[1:]
    if what == "backends":
        uvloop.run(serve(int(more[0]), float(more[1]) / 1000))
    else:
        address, rate, seconds, routes, tenants, seed = more
        clients = Clients(address, float(rate), float(seconds), int(routes), int(tenants), int(seed))
        found = uvloop.run(clients.run())
        late = found["late_ms"][int(len(found["late_ms"]) * 0.99)] if found["late_ms"] else 0.0
        print(json.dumps(found | {"late_ms": late, "void": void_of(late) or ""}), flush=True)


if __name__ == "__main__":
    main()
