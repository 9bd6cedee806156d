"""Plays a scenario on loopback: node processes, scripted backends, a discovery agent and open-loop clients.

The latency of a request counts from its scheduled send time, which avoids coordinated omission: a slow
response that delays the next send is not hidden. The lateness of the load generator itself is reported too,
and a run in which it exceeds MAX_LATENESS_P99_MS is void.
"""

import asyncio
import itertools
import json
import os
import sys
import tempfile
import time
from pathlib import Path
from random import Random

from hdrh.histogram import HdrHistogram

from basalthoist.addresses import address_of
from basalthoist.emulator.clients import work_of
from basalthoist.emulator.scenario import SEMANTICS, Route, Scenario

MAX_LATENESS_P99_MS = 5.0


class BackendConnection(asyncio.Protocol):
    """The backend's side of a connection from a node. The path of each request states the work it costs."""

    def __init__(self, backend: "ScriptedBackend") -> None:
        self.backend, self.buffer, self.transport = backend, b"", None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, rest = self.buffer.partition(b"\r\n\r\n")
            headers = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line)
            length = int(headers.get(b"content-length", 0))
            if len(rest) < length:
                return
            self.buffer = rest[length:]
            self.backend.take(self, head.split(b" ")[1], headers)


class ScriptedBackend:
    """A backend with slots and a finite queue. A request runs for the work in its path, over the speed."""

    protocol = BackendConnection

    def __init__(self, scenario: Scenario, number: int, runs: dict[str, int]) -> None:
        kinds = scenario.backends.kinds
        self.kind, self.runs = kinds[number % len(kinds)], runs
        self.running, self.waiting = 0, []
        self.address = ""

    async def listen(self) -> None:
        server = await asyncio.get_running_loop().create_server(lambda: self.protocol(self), "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def take(self, connection, path: bytes, headers: dict) -> None:
        if path in (b"/health", b"/status/load"):
            return self.answer(connection, headers, b"200 OK")
        if self.running < self.kind.slots:
            self.begin(connection, path, headers)
        elif len(self.waiting) < self.kind.queue:
            self.waiting.append((connection, path, headers))
        else:
            self.answer(connection, headers, b"503 Full", b"Not-Started: 1\r\n")

    def begin(self, connection, path: bytes, headers: dict) -> None:
        self.running += 1
        name = headers.get(b"request-id", b"").decode()
        self.runs[name] = self.runs.get(name, 0) + 1
        work_s = int(path.rpartition(b"=")[2] or 0) / 10_000 / self.kind.speed
        asyncio.get_running_loop().call_later(work_s, self.end, connection, headers)

    def end(self, connection, headers: dict) -> None:
        self.answer(connection, headers, b"200 OK")
        self.running -= 1
        if self.waiting:
            self.begin(*self.waiting.pop(0))

    def in_flight(self) -> int:
        return self.running + len(self.waiting)

    def answer(self, connection, headers: dict, status: bytes, more: bytes = b"") -> None:
        if not connection.transport.is_closing():
            head = b"HTTP/1.1 %b\r\n%bServer-Load: inflight=%d\r\n" % (status, more, self.in_flight())
            connection.transport.write(head + b"Content-Length: 2\r\n\r\nok")


class DiscoveryAgent(asyncio.Protocol):
    """A connection to the fleet's discovery agent. Open watches join `watches`, for changes to be sent on."""

    def __init__(self, members: list[dict], watches: list | None = None) -> None:
        self.members, self.transport = members, None
        self.watches = [] if watches is None else watches

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        text = json.dumps({"revision": 1, "complete": True, "members": self.members}).encode()
        if b"stream=1" in data:
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches.append(self.transport)
            self.send_heartbeat()
        else:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)

    def send_heartbeat(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(b"1\r\n\n\r\n")
            asyncio.get_running_loop().call_later(2.0, self.send_heartbeat)


class Clients:
    """Open-loop clients. They count requests offered, and answered in time, by second of the run."""

    def __init__(self, scenario: Scenario, addresses: list, seconds: float, name: str = "r") -> None:
        self.name, self.offered_by_second, self.in_time_by_second, self.factor = name, {}, {}, 1.0
        self.scenario, self.addresses, self.seconds = scenario, addresses, seconds
        self.random = Random(scenario.seed)
        self.idle: dict[tuple[str, int], list] = {address: [] for address in addresses}
        self.lateness = HdrHistogram(1, 60_000_000, 3)
        self.times = HdrHistogram(1, 60_000_000, 3)
        self.counts = dict.fromkeys(("offered", "in_time", "late", "shed", "failed"), 0)
        self.value_offered = self.value_in_time = 0.0
        self.last_id = 0

    def set_rate_factor(self, factor: float) -> None:
        self.factor = factor

    async def run(self) -> None:
        began, at, tasks = time.perf_counter(), 0.0, set()
        self.began = began
        while at < self.seconds:
            at += self.random.expovariate(self.scenario.load.rate * self.factor)
            if (wait := began + at - time.perf_counter()) > 0:
                await asyncio.sleep(wait)
            task = asyncio.create_task(self.send_request(began + at))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    async def send_request(self, scheduled_at: float) -> None:
        self.lateness.record_value(max(int((time.perf_counter() - scheduled_at) * 1e6), 1))
        routes = self.scenario.routes
        route = self.random.choices(routes, [r.share for r in routes])[0]
        work, address = work_of(route, self.random), self.random.choice(self.addresses)
        self.counts["offered"] += 1
        self.value_offered += route.value
        self.last_id += 1
        second = int(scheduled_at - self.began)
        self.offered_by_second[second] = self.offered_by_second.get(second, 0) + 1
        try:
            status = await asyncio.wait_for(
                self.perform_request(address, route, work, self.last_id), route.timeout_ms / 1000 + 0.2
            )
        except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            status = 0
        took = time.perf_counter() - scheduled_at
        if status == 200:
            self.times.record_value(max(int(took * 1e6), 1))
            in_time = took * 1000 <= route.objective_ms
            self.counts["in_time" if in_time else "late"] += 1
            self.value_in_time += route.value * in_time
            self.in_time_by_second[second] = self.in_time_by_second.get(second, 0) + in_time
        else:
            self.counts["shed" if status in (429, 503) else "failed"] += 1

    async def connection(self, address: tuple[str, int]) -> tuple:
        return self.idle[address].pop() if self.idle[address] else await asyncio.open_connection(*address)

    def late_ms(self) -> float:
        return self.lateness.get_value_at_percentile(99) / 1000

    async def perform_request(self, address: tuple[str, int], route: Route, work: float, ident: int) -> int:
        reader, writer = await self.connection(address)
        method = "GET" if route.semantics == "retriable" else "POST"
        length = "" if method == "GET" else "Content-Length: 0\r\n"
        head = f"{method} /{route.name}?work={int(work)} HTTP/1.1\r\nHost: app\r\n"
        head += f"Request-Id: {self.name}{ident}\r\n"
        head += f"Request-Class: {route.name}\r\nTenant: any\r\n"
        head += f"Request-Timeout-Ms: {int(route.timeout_ms)}\r\n{length}\r\n"
        writer.write(head.encode())
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.lower().split(b"\r\n")
        sizes = [int(line.split(b":")[1]) for line in lines if line.startswith(b"content-length:")]
        await reader.readexactly(sizes[0] if sizes else 0)
        if b"connection: close" in lines:
            writer.close()
        else:
            self.idle[address].append((reader, writer))
        return int(head.split(b" ")[1])


def document_for(scenario: Scenario, number: int, listen: str, discovery: str, members: list[dict]) -> dict:
    routes = [{"name": r.name, "semantics": SEMANTICS[r.semantics], "group": "cell", "value": r.value,
               "latency_objective": int(r.objective_ms * 1000), "overall_timeout": int(r.timeout_ms * 1000),
               "dedup_window": 10_000_000} for r in scenario.routes]  # fmt: skip
    node = scenario.node
    return {
        "name": f"n{number}", "listen": listen, "discovery": discovery,
        "seed": f"{scenario.seed * 1000 + number:x}",
        "known": {"revision": 1, "complete": True, "members": members},
        "settings": {
            "routes": routes, "accounts": [{"name": "any", "quota_per_s": 1e9}], "kinds": ["std"],
            "me": number,
            "zones": [str(i) for i in range(scenario.locations)], "zone": number % scenario.locations,
            "siblings": scenario.nodes, "discovery": "pushed", "tick": 1000,
            "feedback": {"how": "inline", "fields": ["rif", "q", "busy"]},
            "prices": {"probe": node.probe_price, "peer": node.peer_price, "cross_zone": node.cross_price},
            "policy_limits": {"max_upstream_tries": node.tries, "cancel": True, "probes": node.probes,
                              "parallel_tries": node.parallel, "connect_timeout": 250_000,
                              "keepalive": 30_000_000},
        },
    }  # fmt: skip


PORTS = itertools.count(20_000)


def own_address() -> str:
    """Returns an address that only this process uses; a port from the kernel could be taken before use."""
    pid = os.getpid()
    host = f"127.{64 + pid // 62500 % 128}.{pid // 250 % 250 + 1}.{pid % 250 + 1}"
    return f"{host}:{next(PORTS)}"


async def members_of(backends: list[ScriptedBackend], name: str = "s", locations: int = 1) -> list[dict]:
    """Starts the listeners of the scripted backends and returns their entries for the endpoint list."""
    defaults = {"flavor": "std", "phase": "ready", "size": 1.0, "up_since_ms": 0}
    members = []
    for number, backend in enumerate(backends):
        await backend.listen()
        identity = {"id": f"{name}-{number}", "host_port": backend.address, "cell": number}
        members.append(defaults | identity | {"locality": str(number % locations)})
    return members


async def open_discovery(members: list[dict], watches: list | None = None) -> str:
    loop = asyncio.get_running_loop()
    agent = await loop.create_server(lambda: DiscoveryAgent(members, watches), "127.0.0.1", 0)
    return f"127.0.0.1:{agent.sockets[0].getsockname()[1]}"


async def start_node(folder: Path, name: str, configuration: dict, **more: str):
    """Starts a node and returns its process and the path of its log. `more` is added to its environment."""
    path, log = folder / f"{name}.json", folder / f"{name}.log"
    path.write_text(json.dumps(configuration))
    command = [sys.executable, "-m", "basalthoist"]
    environment = os.environ | {"PROXY_CONFIG": str(path)} | more
    return await asyncio.create_subprocess_exec(*command, stderr=log.open("wb"), env=environment), log


async def end_nodes(*processes) -> None:
    for process in processes:
        if process.returncode is None:
            process.terminate()
    for process in processes:
        await process.wait()


def void_reason(late_ms: float) -> str | None:
    """Returns why the lateness at the 99th percentile makes a run void, or None if the run is valid."""
    return f"the load generator was {late_ms:.1f} ms late at p99" if late_ms > MAX_LATENESS_P99_MS else None


async def play_on(scenario: Scenario, seconds: float, folder: Path) -> dict:
    runs: dict[str, int] = {}
    backends = [ScriptedBackend(scenario, number, runs) for number in range(scenario.backends.count)]
    members = await members_of(backends, locations=scenario.locations)
    discovery = await open_discovery(members)
    nodes, logs, addresses = [], [], []
    try:
        for number in range(scenario.nodes):
            listen = own_address()
            address = address_of(listen)
            configuration = document_for(scenario, number, listen, discovery, members)
            node, log = await start_node(folder, f"n{number}", configuration)
            nodes.append(node)
            logs.append(log)
            addresses.append(address)
        for address, node, log in zip(addresses, nodes, logs, strict=True):
            await ready(address, node, log)
        clients = Clients(scenario, addresses, seconds)
        await clients.run()
        for number, node in enumerate(nodes):
            if node.returncode is not None:
                raise RuntimeError(f"node n{number} exited with code {node.returncode} during the run")
    finally:
        await end_nodes(*nodes)
    offered, lateness = max(clients.counts["offered"], 1), clients.late_ms()
    twice = sum(times > 1 for times in runs.values())
    figures = {"offered": offered, "kept": clients.value_in_time / clients.value_offered}
    figures |= {name: clients.counts[name] / offered for name in ("in_time", "late", "shed", "failed")}
    figures |= {f"p{p}_ms": clients.times.get_value_at_percentile(p) / 1000 for p in (50, 95, 99)}
    return {
        "figures": figures,
        "lateness_p99_ms": lateness,
        "ran_twice": twice,
        "void": void_reason(lateness),
    }


async def ready(address: tuple[str, int], process, log: Path) -> None:
    until = time.monotonic() + 10
    while time.monotonic() < until:
        if process.returncode is not None:
            raise RuntimeError(
                f"a node exited with code {process.returncode} before it was ready: "
                f"{log.read_text(errors='replace')[-300:]}"
            )
        try:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET /ready HTTP/1.1\r\n\r\n")
            status_line = await reader.readline()
            writer.close()
            if b" 200 " in status_line:
                return
        except OSError:
            pass
        await asyncio.sleep(0.02)
    raise RuntimeError(f"a node was not ready within 10 s: {log.read_text(errors='replace')[-300:]}")


def play(scenario: Scenario, seconds: float) -> dict:
    """Plays the scenario for `seconds`. Faults are ignored: only the emulator can inject them."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(play_on(scenario, seconds, Path(folder)))
