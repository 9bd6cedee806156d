"""Measures the load that all nodes together put on a backend that has just started.

The starts are emulated for many seeds, or played with real processes on loopback. Both are evaluated in the
same way from the requests that reached the backend: see `emulator/ramp.py`.
"""

import asyncio
import csv
import json
import tempfile
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from math import sqrt
from pathlib import Path

import msgspec

from basalthoist.addresses import address_of
from basalthoist.emulator.events import SECOND
from basalthoist.emulator.ramp import (
    LIST_UPDATES,
    LOAD_KNOWLEDGE,
    START_S,
    Arrival,
    Case,
    Worst,
    find_worst,
    play,
)

from .loopback import (
    Clients,
    DiscoveryAgent,
    ScriptedBackend,
    document_for,
    end_nodes,
    members_of,
    own_address,
    ready,
    start_node,
)
from .running import RunError

NODES = (1, 5, 20, 30, 200)
TIGHT = {"slots": 1, "service_ms": 100.0, "multiple": 2.0, "cold_from": 0.13}  # the bound N is 2.6 or more
KINDS: dict[str, dict] = {
    "plain": {}, "several cold": {"cold": 4}, "uneven": {"uneven": True},
    "all others hang": {"out": 1.0},
    "thrice the traffic": {"burst": 3.0}, "fails all it gets": {"errors": True},
    "smaller than the others": {"small": 0.4},
}  # fmt: skip
COLUMNS = ["way", "nodes", "lists", "knowledge", "kind", "seed", "sent", "n", "at_s", "all_sent", "all_n",
           "got", "late_ms"]  # fmt: skip


def cases(nodes: Iterable[int]) -> list[tuple[str, Case]]:
    """Returns each kind with each knowledge, where all nodes learn at once, and `plain` with every list."""
    named_cases = []
    for count in nodes:
        for knowledge in LOAD_KNOWLEDGE:
            defaults = TIGHT | {"nodes": count, "knowledge": knowledge}
            named_cases += [(kind, Case(**defaults | more)) for kind, more in KINDS.items()]
            named_cases += [("plain", Case(**defaults, lists=lists)) for lists in LIST_UPDATES[1:]]
    return named_cases


def row_of(way: str, kind: str, case: Case, seed: int, counted: Worst, overall: Worst, got: int,
           late_ms: float = 0.0) -> list:  # fmt: skip
    figures = [counted.sent, counted.allowed, counted.at_s, overall.sent, overall.allowed]
    return [way, case.nodes, case.lists, case.knowledge, kind, seed, *(f"{f:.2f}" for f in figures), got,
            f"{late_ms:.1f}"]  # fmt: skip


def emulated(one_play: tuple[str, Case, int]) -> list:
    kind, case, seed = one_play
    ramp = play(case, seed)
    got = sum(len(server.arrived) for server in ramp.cold)
    return row_of("emulated", kind, case, seed, ramp.worst(), ramp.worst(True), got)


class WarmingBackend(ScriptedBackend):
    """A backend that warms up: its speed rises along its ramp. Records time, node and work of arrivals."""

    def __init__(self, scenario, number: int, runs: dict, terms=None) -> None:
        super().__init__(scenario, number, runs)
        self.terms, self.started, self.arrived = terms, 0.0, []

    def take(self, connection, path: bytes, headers: dict) -> None:
        if path not in (b"/health", b"/status/load"):
            node = headers.get(b"request-id", b"").decode().partition("-")[0]
            self.arrived.append((time.monotonic(), node, int(path.rpartition(b"=")[2] or 0)))
        super().take(connection, path, headers)

    def begin(self, connection, path: bytes, headers: dict) -> None:
        if self.terms is not None:
            age = (time.monotonic() - self.started) / self.terms.warm_s
            speed = min(self.terms.cold_from + (1 - self.terms.cold_from) * age, 1.0)
            path = b"=%d" % (int(path.rpartition(b"=")[2] or 0) / speed)
        super().begin(connection, path, headers)


class BroadcastingAgent(DiscoveryAgent):
    """The discovery agent of one node; `send_change` sends a changed member to its open watches."""

    def send_change(self, member: dict) -> None:
        line = json.dumps({"revision": 2, "complete": False, "members": [member]}).encode() + b"\n"
        self.members.append(member)
        for transport in self.watches:
            transport.write(b"%x\r\n%b\r\n" % (len(line), line))


class Loopback:
    """Real node processes with warm backends and one backend that starts during the run."""

    def __init__(self, case: Case, seed: int, folder: Path, start_s: float = 4.0) -> None:
        self.case, self.folder, self.start_s = case, folder, start_s
        self.scenario = case.scenario(seed)
        self.terms = msgspec.structs.replace(self.scenario.backends, fall_multiple=case.multiple)
        self.warm_backends = [WarmingBackend(self.scenario, 0, {}) for _ in range(self.terms.count)]
        self.cold = WarmingBackend(self.scenario, 0, {}, self.terms)
        self.burst = self.scenario.faults[0]
        self.agents: list[BroadcastingAgent] = []
        self.announced_at: dict[str, float] = {}

    async def open(self) -> list[dict]:
        members = await members_of(self.warm_backends)
        self.newcomer = (await members_of([self.cold], "new"))[0]
        self.addresses, self.configurations = [], []
        rules = {"cold_from": self.terms.cold_from, "warm_within": int(self.terms.warm_s * 1e6),
                 "fall_multiple": self.terms.fall_multiple, "overload_for": int(self.terms.fall_s * 1e6),
                 "drain_grace": 1_000_000, "grace_to_answer": 5000}  # fmt: skip
        for number in range(self.case.nodes):
            agent = BroadcastingAgent(list(members), [])
            self.agents.append(agent)
            loop = asyncio.get_running_loop()
            server = await loop.create_server(
                lambda agent=agent: BroadcastingAgent(agent.members, agent.watches), "127.0.0.1", 0
            )
            port, listen = server.sockets[0].getsockname()[1], own_address()
            configuration = document_for(self.scenario, number, listen, f"127.0.0.1:{port}", members)
            configuration["settings"]["rules"] = rules
            configuration["settings"]["feedback"]["fields"] = ["rif"] if self.terms.reports else []
            self.addresses.append(address_of(listen))
            self.configurations.append(configuration)
        return members

    async def start_cold(self) -> None:
        await asyncio.sleep(self.start_s)
        self.cold.started = time.monotonic()
        self.newcomer["up_since_ms"] = int(time.time() * 1000)
        spread = 3.0 if self.case.lists == "late" else 0.0
        loop = asyncio.get_running_loop()
        for number, agent in enumerate(self.agents):
            member = dict(self.newcomer)
            if self.case.lists.startswith("half") and number % 2:
                if self.case.lists == "half":
                    continue
                member["up_since_ms"] = 0
            else:
                self.announced_at[f"n{number}"] = time.monotonic() + spread * number / len(self.agents)
            loop.call_later(spread * number / len(self.agents), agent.send_change, member)

    async def play(self) -> tuple[Worst, Worst, int, float]:
        """Returns the worst instant of the arrivals that count and of all arrivals, their number, and the
        lateness of the load generator (99th percentile, in ms).
        """
        await self.open()
        nodes = []
        seconds = self.start_s + self.terms.warm_s + 0.5
        try:
            for number, configuration in enumerate(self.configurations):
                nodes.append(await start_node(self.folder, f"n{number}", configuration))
            for address, (node, log) in zip(self.addresses, nodes, strict=True):
                await ready(address, node, log)
            weights = [5 if self.case.uneven and i % 5 == 0 else 1 for i in range(self.case.nodes)]
            clients = []
            for number, weight in enumerate(weights):
                load = self.scenario.load.rate * weight / sum(weights)
                own = msgspec.structs.replace(
                    self.scenario, seed=self.scenario.seed * 1000 + number,
                    load=msgspec.structs.replace(self.scenario.load, rate=load))  # fmt: skip
                clients.append(Clients(own, [self.addresses[number]], seconds, f"n{number}-"))
            loop, burst_at = asyncio.get_running_loop(), self.start_s + self.burst.at_s - START_S
            for client in clients:
                loop.call_later(burst_at, client.set_rate_factor, self.burst.factor)
                loop.call_later(burst_at + self.burst.for_s, client.set_rate_factor, 1.0)
            await asyncio.gather(self.start_cold(), *(one.run() for one in clients))
            dead = [n for n, (node, _) in enumerate(nodes) if node.returncode is not None]
            if dead:
                raise RuntimeError(f"nodes {dead} exited during the run")
        finally:
            await end_nodes(*(node for node, _ in nodes))
        late_ms = max(one.late_ms() for one in clients)
        return self.worst(), self.worst(True), len(self.cold.arrived), late_ms

    def worst(self, include_excused: bool = False) -> Worst:
        mean = 10 * self.scenario.routes[0].service_ms
        arrivals = [Arrival(int(at * SECOND), work / mean, self.announced_at.get(node, at) < at)
                    for at, node, work in self.cold.arrived]  # fmt: skip
        warm_rate = self.cold.kind.slots * SECOND / mean
        return find_worst(arrivals, int(self.cold.started * SECOND), self.terms, warm_rate, include_excused)


def on_loopback(kind: str, case: Case, seed: int) -> list:
    with tempfile.TemporaryDirectory(prefix="cold-") as folder:
        measured = asyncio.run(Loopback(case, seed, Path(folder)).play())
    return row_of("loopback", kind, case, seed, *measured)


def append_row(row: list, path: Path) -> None:
    """Appends one row at once, so that an interrupted series keeps the rows so far. Raises OSError."""
    new = not path.exists()
    with path.open("a", newline="") as file:
        csv.writer(file, lineterminator="\n").writerows([COLUMNS] * new + [row])


def emulate_all(seeds: Iterable[int], processes: int, into: Path, log: Callable[[str], None]) -> None:
    plays = [(kind, case, seed) for seed in seeds for kind, case in cases(NODES)]
    with ProcessPoolExecutor(processes) as pool:
        for number, row in enumerate(pool.map(emulated, plays), 1):
            append_row(row, into)
            if number % 50 == 0:
                log(f"{number} of {len(plays)} plays")


def play_all(seeds: Iterable[int], nodes: int, into: Path, log: Callable[[str], None]) -> None:
    """Plays each list with and without probes on loopback, one by one. Odd seeds get uneven traffic."""
    for seed in seeds:
        for lists in LIST_UPDATES:
            for knowledge in ("neither", "probes"):
                case = Case(**TIGHT, nodes=nodes, lists=lists, knowledge=knowledge, uneven=seed % 2 == 1)
                row = on_loopback("uneven" if case.uneven else "plain", case, seed)
                append_row(row, into)
                log(" ".join(str(cell) for cell in row))


# The table, made from the raw rows.


def worst_of(rows: list[dict], sent: str = "sent", allowed: str = "n") -> Worst:
    return max((Worst(float(row[sent]), float(row[allowed])) for row in rows), key=lambda worst: worst.part)


def line_of(name: str, rows: list[dict]) -> str:
    counted, overall = worst_of(rows), worst_of(rows, "all_sent", "all_n")
    return (f"| {name} | {len(rows)} | {counted.sent:.1f} | {counted.allowed:.1f} | {counted.excess:+.1f} | "
            f"{2 * sqrt(counted.allowed) + 2:.1f} | {counted.part:.2f} | {overall.part:.2f} |")  # fmt: skip


HEAD = ("| {} | plays | sent | N | excess | 2 root N + 2 | part | part, all counted |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- |")  # fmt: skip


def table(path: Path) -> str:
    """Returns Markdown tables of the instant closest to overload, by way and by each property of the cases.

    Raises RunError.
    """
    try:
        with path.open(newline="") as file:
            rows = list(csv.DictReader(file))
    except OSError as error:
        raise RunError(f"{path}: {error.strerror}") from None
    parts = []
    for way in sorted({row["way"] for row in rows}):
        way_rows = [row for row in rows if row["way"] == way]
        same_size_rows = [row for row in way_rows if row["kind"] != "smaller than the others"]
        for key, name, selected in (
            ("nodes", "nodes, backends of one size", same_size_rows), ("nodes", "nodes, all plays", way_rows),
            ("knowledge", "what nodes hear", way_rows), ("lists", "the list told", way_rows),
            ("kind", "what else", way_rows),
        ):  # fmt: skip
            values = sorted({row[key] for row in selected}, key=lambda value: (len(value), value))
            lines = [line_of(value, [row for row in selected if row[key] == value]) for value in values]
            parts.append("\n".join([HEAD.format(f"{way}, {name}"), *lines]))
    return "\n\n".join(parts) + "\n"
