"""The same fleet and clients over HTTP and over JSON-RPC, in turns, with a set_rate_factor in traffic in the middle."""

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
    void_of,
)
from .sites import scenario_of
from .statistics import Mean, mean_of


class JsonBox(asyncio.Protocol):
    """A connection to a scripted backend that speaks JSON-RPC."""

    def __init__(self, script: "JsonScript") -> None:
        self.script, self.buffer, self.transport = script, b"", None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            call = json.loads(line)
            if call["method"] == "rpc.load":
                self.script.say(self, call["id"])
            else:
                params = call["params"]
                headers = {b"request-id": params["name"].encode()}
                self.script.take(self, b"=%d" % params["work"], headers | {b"id": call["id"]})


class JsonScript(ScriptedBackend):
    protocol = JsonBox

    def say(self, connection: JsonBox, ident: str, error: dict | None = None) -> None:
        if not connection.transport.is_closing():
            body = {"jsonrpc": "2.0", "id": ident, "load": {"inflight": self.held()}}
            body |= {"error": error} if error else {"result": "ok"}
            connection.transport.write(json.dumps(body).encode() + b"\n")

    def answer(self, connection: JsonBox, headers: dict, status: bytes, more: bytes = b"") -> None:
        full = {"code": -32000, "message": "full", "data": {"not_started": True}}
        self.say(connection, headers[b"id"], None if status.startswith(b"200") else full)


class JsonClients(Clients):
    async def exchange(self, address: tuple[str, int], route: Route, work: float, ident: int) -> int:
        reader, writer = await self.connection(address)
        params = {"name": f"{self.name}{ident}", "work": int(work)}
        call = {"jsonrpc": "2.0", "id": ident, "method": route.name, "params": params}
        writer.write(json.dumps(call).encode() + b"\n")
        answer = json.loads(await reader.readuntil(b"\n"))
        self.idle[address].append((reader, writer))
        if "result" in answer:
            return 200
        return 503 if answer["error"]["code"] == -32000 else 502


def written(folder: Path, name: str, text: str) -> str:
    (folder / name).write_text(text)
    return str(folder / name)


async def play_on(json_rpc: bool, scenario: Scenario, seconds: float, folder: Path) -> dict:
    runs: dict[str, int] = {}
    make = JsonScript if json_rpc else ScriptedBackend
    scripts = [make(scenario, number, runs) for number in range(scenario.backends.count)]
    members = await members_of(scripts)
    discovery = await open_discovery(members)
    address, front, more = address_of(own_address()), address_of(own_address()), {}
    made = document_for(scenario, 0, "{}:{}".format(*address), discovery, members)
    if json_rpc:
        listen = "{}:{}".format(*front)
        methods = "".join(f"{route.name} = '{route.name}'\n" for route in scenario.routes)
        text = f"listen = '{listen}'\n[methods]\n{methods}"
        more["PROXY_JSONRPC"] = written(folder, "jsonrpc.toml", text)
    process, log = await start_node(folder, "node", made, **more)
    try:
        await ready(address, process, log)
        kind, where = (JsonClients, front) if json_rpc else (Clients, address)
        await asyncio.sleep(0.1)
        clients, loop = kind(scenario, [where], seconds), asyncio.get_running_loop()
        loop.call_later(seconds / 3, clients.set_rate_factor, 2.0)
        loop.call_later(2 * seconds / 3, clients.set_rate_factor, 1.0)
        await clients.run()
        if process.returncode is not None:
            raise RuntimeError(f"the node ended with {process.returncode}")
    finally:
        await end_nodes(process)
    lateness = clients.late_ms()
    return {
        "kept": clients.kept / clients.value, "offered": clients.counts["offered"],
        "p50_ms": clients.times.get_value_at_percentile(50) / 1000,
        "p99_ms": clients.times.get_value_at_percentile(99) / 1000,
        "ran_twice": sum(times > 1 for times in runs.values()), "lateness_p99_ms": lateness,
        "void": void_of(lateness),
    }  # fmt: skip


def compare(pairs: int, seconds: float, rate: float, said=print) -> tuple[Mean, list[dict]]:
    """JSON-RPC minus HTTP in value kept, pair by pair; which comes first changes from pair to pair."""
    differences, results = [], []
    for pair in range(pairs):
        scenario, kept = scenario_of(rate, 6, pair + 1), {}
        for json_rpc in (False, True) if pair % 2 else (True, False):
            with tempfile.TemporaryDirectory() as folder:
                result = asyncio.run(play_on(json_rpc, scenario, seconds, Path(folder)))
            name = "JSON-RPC" if json_rpc else "HTTP"
            figures = "  ".join(f"{key} {result[key]:.4g}" for key in ("kept", "p50_ms", "p99_ms"))
            said(f"{pair} {name}: {figures}  ran twice {result['ran_twice']}")
            kept[json_rpc] = result["kept"]
            results.append(result | {"protocol": name, "pair": pair, "at": time.time()})
        differences.append(kept[True] - kept[False])
    return mean_of(differences), results
