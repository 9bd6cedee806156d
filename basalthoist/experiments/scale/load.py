"""Open-loop clients and backends for one node; the clients run in one process, the backends in another.

`python -m basalthoist.experiments.scale.load backends COUNT WORK_MS` prints the addresses as JSON and serves
until its input ends; `... clients HOST:PORT RATE SECONDS ROUTES TENANTS SEED` prints its results as JSON.
"""

import asyncio
import json
import sys
import time
from random import Random

from ..loopback import void_reason

clock = time.monotonic_ns
WARM_UP_S = 3.0  # excluded: the clients open connections and the node learns latency profiles


class BackendConnection(asyncio.Protocol):
    """Answers after a random time of mean `work_s`, whatever the load. Said-At is the time of the answer."""

    in_flight = 0

    def __init__(self, work_s: float, random: Random) -> None:
        self.work_s, self.random, self.text = work_s, random, b""

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.text += data
        while b"\r\n\r\n" in self.text:
            head, _, self.text = self.text.partition(b"\r\n\r\n")
            if b"/status/load" in head[:40]:
                self.answer(False)
            else:
                BackendConnection.in_flight += 1
                work = self.random.gammavariate(4.0, self.work_s / 4.0)
                asyncio.get_running_loop().call_later(work, self.answer, True)

    def answer(self, worked: bool) -> None:
        BackendConnection.in_flight -= worked
        if not self.transport.is_closing():
            said_at = b"Said-At: %d\r\n" % clock() if worked else b""
            head = b"HTTP/1.1 200 OK\r\n%bServer-Load: inflight=0\r\nContent-Length: 2\r\n\r\nok" % said_at
            self.transport.write(head)


class ClientConnection(asyncio.Protocol):
    """A client's connection, with one request at a time."""

    def __init__(self) -> None:
        self.text, self.waiter, self.transport = b"", None, None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.text += data
        if b"\r\n\r\n" not in self.text:
            return
        head, _, body = self.text.partition(b"\r\n\r\n")
        position = head.lower().find(b"content-length: ")
        size = int(head[position + 16 :].split(b"\r\n")[0]) if position >= 0 else 0
        if len(body) >= size and self.waiter is not None and not self.waiter.done():
            self.text = b""
            status, closes = int(head.split(b" ", 2)[1]), b"connection: close" in head.lower()
            self.waiter.set_result((status, clock(), closes))

    def connection_lost(self, error) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result((0, clock(), True))


class Clients:
    def __init__(self, address: str, rate: float, seconds: float, routes: int, tenants: int,
                 seed: int) -> None:  # fmt: skip
        host, _, port = address.rpartition(":")
        self.address, self.rate, self.seconds = (host, int(port)), rate, seconds
        self.routes, self.tenants, self.random = routes, tenants, Random(seed)
        self.idle: list[ClientConnection] = []
        self.late_ms, self.found = [], []

    async def run(self) -> dict:
        began, at, tasks, number = time.monotonic(), 0.0, set(), 0
        while at < self.seconds:
            at += self.random.expovariate(self.rate)
            if (wait := began + at - time.monotonic()) > 0:
                await asyncio.sleep(wait)
            number += 1
            task = asyncio.create_task(self.send_request(began + at, number, at > WARM_UP_S))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
        return {"found": self.found, "late_ms": sorted(self.late_ms), "offered": number}

    async def send_request(self, scheduled_at: float, number: int, counts: bool) -> None:
        # Skewed: an eighth of the routes, and of the tenants, get half of the requests.
        route = int(self.routes * self.random.random() ** 3)
        tenant = int(self.tenants * self.random.random() ** 3)
        if self.idle:
            connection = self.idle.pop()
        else:
            loop = asyncio.get_running_loop()
            _, connection = await loop.create_connection(ClientConnection, *self.address)
        connection.waiter = asyncio.get_running_loop().create_future()
        sent = clock()
        connection.transport.write(
            b"GET /r%06d?work=1 HTTP/1.1\r\nHost: app\r\nRequest-Id: c%d\r\nTenant: t%06d\r\n"
            b"Request-Timeout-Ms: 900\r\nSent-At: %d\r\n\r\n" % (route, number, tenant, sent)
        )
        status, received, node_closes = await connection.waiter
        if counts:
            self.late_ms.append(max(sent / 1e6 - scheduled_at * 1000, 0.0))
            self.found.append([status, sent, received])
        if node_closes:
            connection.transport.close()
        else:
            self.idle.append(connection)


async def serve(count: int, work_s: float) -> None:
    loop, random, addresses = asyncio.get_running_loop(), Random(1), []
    for _ in range(count):
        server = await loop.create_server(lambda: BackendConnection(work_s, random), "127.0.0.1", 0)
        addresses.append(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
    print(json.dumps(addresses), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


def main() -> None:
    import uvloop

    role, *more = sys.argv[1:]
    if role == "backends":
        uvloop.run(serve(int(more[0]), float(more[1]) / 1000))
    else:
        address, rate, seconds, routes, tenants, seed = more
        clients = Clients(address, float(rate), float(seconds), int(routes), int(tenants), int(seed))
        found = uvloop.run(clients.run())
        late = found["late_ms"][int(len(found["late_ms"]) * 0.99)] if found["late_ms"] else 0.0
        print(json.dumps(found | {"late_ms": late, "void": void_reason(late) or ""}), flush=True)


if __name__ == "__main__":
    main()
