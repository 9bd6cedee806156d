"""Compares HTTP and JSON-RPC: the same fleet and clients in alternating runs, with twice the traffic in the
middle third of each run.
"""

import asyncio
import json
import tempfile
import time
from pathlib import Path

from basalthoist.addresses import address_of
from basalthoist.emulator.scenario import Route, Scenario

from .loopback import (
    Clients,
    ScriptedBackend,
    document_for,
    end_nodes,
    members_of,
    open_discovery,
    own_address,
    ready,
    start_node,
    void_reason,
)
from .sites import scenario_of
from .statistics import Mean, mean_of


class JsonRpcConnection(asyncio.Protocol):
    """The backend's side of a connection from a node, over JSON-RPC."""

    def __init__(self, backend: "JsonRpcBackend") -> None:
        self.backend, self.buffer, self.transport = backend, b"", None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            call = json.loads(line)
            if call["method"] == "rpc.load":
                self.backend.respond(self, call["id"])
            else:
                params = call["params"]
                headers = {b"request-id": params["name"].encode()}
                self.backend.take(self, b"=%d" % params["work"], headers | {b"id": call["id"]})


class JsonRpcBackend(ScriptedBackend):
    protocol = JsonRpcConnection

    def respond(self, connection: JsonRpcConnection, ident: str, error: dict | None = None) -> None:
        if not connection.transport.is_closing():
            body = {"jsonrpc": "2.0", "id": ident, "load": {"inflight": self.in_flight()}}
            body |= {"error": error} if error else {"result": "ok"}
            connection.transport.write(json.dumps(body).encode() + b"\n")

    def answer(self, connection: JsonRpcConnection, headers: dict, status: bytes, more: bytes = b"") -> None:
        full = {"code": -32000, "message": "full", "data": {"not_started": True}}
        self.respond(connection, headers[b"id"], None if status.startswith(b"200") else full)


class JsonRpcClients(Clients):
    async def perform_request(self, address: tuple[str, int], route: Route, work: float, ident: int) -> int:
        reader, writer = await self.connection(address)
        params = {"name": f"{self.name}{ident}", "work": int(work)}
        call = {"jsonrpc": "2.0", "id": ident, "method": route.name, "params": params}
        writer.write(json.dumps(call).encode() + b"\n")
        answer = json.loads(await reader.readuntil(b"\n"))
        self.idle[address].append((reader, writer))
        if "result" in answer:
            return 200
        return 503 if answer["error"]["code"] == -32000 else 502


def write_file(folder: Path, name: str, text: str) -> str:
    (folder / name).write_text(text)
    return str(folder / name)


async def play_on(json_rpc: bool, scenario: Scenario, seconds: float, folder: Path) -> dict:
    runs: dict[str, int] = {}
    backend_class = JsonRpcBackend if json_rpc else ScriptedBackend
    backends = [backend_class(scenario, number, runs) for number in range(scenario.backends.count)]
    members = await members_of(backends)
    discovery = await open_discovery(members)
    address, jsonrpc_address, more = address_of(own_address()), address_of(own_address()), {}
    configuration = document_for(scenario, 0, "{}:{}".format(*address), discovery, members)
    if json_rpc:
        listen = "{}:{}".format(*jsonrpc_address)
        methods = "".join(f"{route.name} = '{route.name}'\n" for route in scenario.routes)
        text = f"listen = '{listen}'\n[methods]\n{methods}"
        more["PROXY_JSONRPC"] = write_file(folder, "jsonrpc.toml", text)
    process, log = await start_node(folder, "node", configuration, **more)
    try:
        await ready(address, process, log)
        clients_class, target = (JsonRpcClients, jsonrpc_address) if json_rpc else (Clients, address)
        await asyncio.sleep(0.1)
        clients, loop = clients_class(scenario, [target], seconds), asyncio.get_running_loop()
        loop.call_later(seconds / 3, clients.set_rate_factor, 2.0)
        loop.call_later(2 * seconds / 3, clients.set_rate_factor, 1.0)
        await clients.run()
        if process.returncode is not None:
            raise RuntimeError(f"the node exited with code {process.returncode} during the run")
    finally:
        await end_nodes(process)
    lateness = clients.late_ms()
    return {
        "kept": clients.value_in_time / clients.value_offered, "offered": clients.counts["offered"],
        "p50_ms": clients.times.get_value_at_percentile(50) / 1000,
        "p99_ms": clients.times.get_value_at_percentile(99) / 1000,
        "ran_twice": sum(times > 1 for times in runs.values()), "lateness_p99_ms": lateness,
        "void": void_reason(lateness),
    }  # fmt: skip


def compare(pairs: int, seconds: float, rate: float, log=print) -> tuple[Mean, list[dict]]:
    """Returns the mean over all pairs of the value answered in time, JSON-RPC minus HTTP, and all results.

    The protocol that runs first alternates from pair to pair.
    """
    differences, results = [], []
    for pair in range(pairs):
        scenario, in_time = scenario_of(rate, 6, pair + 1), {}
        for json_rpc in (False, True) if pair % 2 else (True, False):
            with tempfile.TemporaryDirectory() as folder:
                result = asyncio.run(play_on(json_rpc, scenario, seconds, Path(folder)))
            name = "JSON-RPC" if json_rpc else "HTTP"
            figures = "  ".join(f"{key} {result[key]:.4g}" for key in ("kept", "p50_ms", "p99_ms"))
            log(f"{pair} {name}: {figures}  ran twice {result['ran_twice']}")
            in_time[json_rpc] = result["kept"]
            results.append(result | {"protocol": name, "pair": pair, "at": time.time()})
        differences.append(in_time[True] - in_time[False])
    return mean_of(differences), results
