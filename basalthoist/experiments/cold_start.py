"""Cold starts under the sum of all nodes: emulated for many seeds, and real processes on loopback.

Both are judged alike, from what came to the backend: see `emulator/ramp.py`.
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
from basalthoist.emulator.ramp import LIST_UPDATES, LOAD_KNOWLEDGE, START_S, Arrival, Case, Worst, judge, play

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
TIGHT = {"slots": 1, "service_ms": 100.0, "multiple": 2.0, "cold_from": 0.13}  # N from 2.6 on
KINDS: dict[str, dict] = {
    "plain": {}, "several cold": {"cold": 4}, "uneven": {"uneven": True},
    "all others hang": {"out": 1.0},
    "thrice the traffic": {"burst": 3.0}, "fails all it gets": {"errors": True},
    "smaller than the others": {"small": 0.4},
}  # fmt: skip
COLUMNS = ["way", "nodes", "lists", "knowledge", "kind", "seed", "sent", "n", "at_s", "all_sent", "all_n",
           "got", "late_ms"]  # fmt: skip


def cases(nodes: Iterable[int]) -> list[tuple[str, Case]]:
    """Each kind with each knowledge where all are told at once; the plain one with every list."""
    made = []
    for count in nodes:
        for knowledge in LOAD_KNOWLEDGE:
            usual = TIGHT | {"nodes": count, "knowledge": knowledge}
            made += [(kind, Case(**usual | more)) for kind, more in KINDS.items()]
            made += [("plain", Case(**usual, lists=lists)) for lists in LIST_UPDATES[1:]]
    return made


def row_of(way: str, kind: str, case: Case, seed: int, counted: Worst, whole: Worst, got: int,
           late_ms: float = 0.0) -> list:  # fmt: skip
    figures = [counted.sent, counted.allowed, counted.at_s, whole.sent, whole.allowed]
    return [way, case.nodes, case.lists, case.knowledge, kind, seed, *(f"{f:.2f}" for f in figures), got,
            f"{late_ms:.1f}"]  # fmt: skip


def emulated(asked: tuple[str, Case, int]) -> list:
    kind, case, seed = asked
    ramp = play(case, seed)
    got = sum(len(server.arrived) for server in ramp.cold)
    return row_of("emulated", kind, case, seed, ramp.worst(), ramp.worst(True), got)


class ColdScript(ScriptedBackend):
    """Runs at the share of its speed that its ramp has come to, and keeps what came: time, node, work."""

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
            share = min(self.terms.cold_from + (1 - self.terms.cold_from) * age, 1.0)
            path = b"=%d" % (int(path.rpartition(b"=")[2] or 0) / share)
        super().begin(connection, path, headers)


class Agent(DiscoveryAgent):
    """Discovery of one node; `tell` sends a change down its watches."""

    def tell(self, member: dict) -> None:
        line = json.dumps({"revision": 2, "complete": False, "members": [member]}).encode() + b"\n"
        self.members.append(member)
        for transport in self.watches:
            transport.write(b"%x\r\n%b\r\n" % (len(line), line))


class Loopback:
    """Real processes before warm backends, and one that has just started."""

    def __init__(self, case: Case, seed: int, folder: Path, start_s: float = 4.0) -> None:
        self.case, self.folder, self.start_s = case, folder, start_s
        self.scenario = case.scenario(seed)
        self.terms = msgspec.structs.replace(self.scenario.backends, fall_multiple=case.multiple)
        self.scripts = [ColdScript(self.scenario, 0, {}) for _ in range(self.terms.count)]
        self.cold = ColdScript(self.scenario, 0, {}, self.terms)
        self.burst = self.scenario.faults[0]
        self.agents: list[Agent] = []
        self.told_at: dict[str, float] = {}

    async def open(self) -> list[dict]:
        members = await members_of(self.scripts)
        self.newcomer = (await members_of([self.cold], "new"))[0]
        self.addresses, self.made = [], []
        rules = {"cold_from": self.terms.cold_from, "warm_within": int(self.terms.warm_s * 1e6),
                 "fall_multiple": self.terms.fall_multiple, "overload_for": int(self.terms.fall_s * 1e6),
                 "drain_grace": 1_000_000, "grace_to_answer": 5000}  # fmt: skip
        for number in range(self.case.nodes):
            agent = Agent(list(members), [])
            self.agents.append(agent)
            loop = asyncio.get_running_loop()
            door = await loop.create_server(
                lambda agent=agent: Agent(agent.members, agent.watches), "127.0.0.1", 0
            )
            port, listen = door.sockets[0].getsockname()[1], own_address()
            made = document_for(self.scenario, number, listen, f"127.0.0.1:{port}", members)
            made["settings"]["rules"] = rules
            made["settings"]["feedback"]["fields"] = ["rif"] if self.terms.reports else []
            self.addresses.append(address_of(listen))
            self.made.append(made)
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
                self.told_at[f"n{number}"] = time.monotonic() + spread * number / len(self.agents)
            loop.call_later(spread * number / len(self.agents), agent.tell, member)

    async def play(self) -> tuple[Worst, Worst, int, float]:
        """Worst of what counts and of all, requests that came, how late the tool was (p99, ms)."""
        await self.open()
        nodes = []
        seconds = self.start_s + self.terms.warm_s + 0.5
        try:
            for number, made in enumerate(self.made):
                nodes.append(await start_node(self.folder, f"n{number}", made))
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
            for one in clients:
                loop.call_later(burst_at, one.set_rate_factor, self.burst.factor)
                loop.call_later(burst_at + self.burst.for_s, one.set_rate_factor, 1.0)
            await asyncio.gather(self.start_cold(), *(one.run() for one in clients))
            dead = [n for n, (node, _) in enumerate(nodes) if node.returncode is not None]
            if dead:
                raise RuntimeError(f"nodes {dead} ended during the run")
        finally:
            await end_nodes(*(node for node, _ in nodes))
        late_ms = max(one.late_ms() for one in clients)
        return self.worst(), self.worst(True), len(self.cold.arrived), late_ms

    def worst(self, include_excused: bool = False) -> Worst:
        mean = 10 * self.scenario.routes[0].service_ms
        arrivals = [Arrival(int(at * SECOND), work / mean, self.told_at.get(node, at) < at)
                    for at, node, work in self.cold.arrived]  # fmt: skip
        warm_rate = self.cold.kind.slots * SECOND / mean
        return judge(arrivals, int(self.cold.started * SECOND), self.terms, warm_rate, include_excused)


def on_loopback(kind: str, case: Case, seed: int) -> list:
    with tempfile.TemporaryDirectory(prefix="cold-") as folder:
        found = asyncio.run(Loopback(case, seed, Path(folder)).play())
    return row_of("loopback", kind, case, seed, *found)


def add(row: list, path: Path) -> None:
    """Each as soon as it is there: plays that are interrupted leave what was played. Raises OSError."""
    new = not path.exists()
    with path.open("a", newline="") as file:
        csv.writer(file, lineterminator="\n").writerows([COLUMNS] * new + [row])


def emulate_all(seeds: Iterable[int], processes: int, into: Path, say: Callable[[str], None]) -> None:
    asked = [(kind, case, seed) for seed in seeds for kind, case in cases(NODES)]
    with ProcessPoolExecutor(processes) as pool:
        for number, row in enumerate(pool.map(emulated, asked), 1):
            add(row, into)
            if number % 50 == 0:
                say(f"{number} of {len(asked)} plays")


def play_all(seeds: Iterable[int], nodes: int, into: Path, say: Callable[[str], None]) -> None:
    """On loopback, one after another: each list, with probes and without. Odd seeds: uneven traffic."""
    for seed in seeds:
        for lists in LIST_UPDATES:
            for knowledge in ("neither", "probes"):
                case = Case(**TIGHT, nodes=nodes, lists=lists, knowledge=knowledge, uneven=seed % 2 == 1)
                row = on_loopback("uneven" if case.uneven else "plain", case, seed)
                add(row, into)
                say(" ".join(str(cell) for cell in row))


# The table, from the raw rows alone.


def worst_of(rows: list[dict], sent: str = "sent", allowed: str = "n") -> Worst:
    return max((Worst(float(row[sent]), float(row[allowed])) for row in rows), key=lambda worst: worst.part)


def line_of(name: str, rows: list[dict]) -> str:
    here, whole = worst_of(rows), worst_of(rows, "all_sent", "all_n")
    return (f"| {name} | {len(rows)} | {here.sent:.1f} | {here.allowed:.1f} | {here.excess:+.1f} | "
            f"{2 * sqrt(here.allowed) + 2:.1f} | {here.part:.2f} | {whole.part:.2f} |")  # fmt: skip


HEAD = ("| {} | plays | sent | N | excess | 2 root N + 2 | part | part, all counted |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- |")  # fmt: skip


def table(path: Path) -> str:
    """For each way and number of nodes, and for each kind, the instant nearest to a fall. Raises RunError."""
    try:
        with path.open(newline="") as file:
            rows = list(csv.DictReader(file))
    except OSError as wrong:
        raise RunError(f"{path}: {wrong.strerror}") from None
    parts = []
    for way in sorted({row["way"] for row in rows}):
        mine = [row for row in rows if row["way"] == way]
        alike = [row for row in mine if row["kind"] != "smaller than the others"]
        for key, name, some in (
            ("nodes", "nodes, backends of one size", alike), ("nodes", "nodes, all plays", mine),
            ("knowledge", "what nodes hear", mine), ("lists", "the list told", mine),
            ("kind", "what else", mine),
        ):  # fmt: skip
            values = sorted({row[key] for row in some}, key=lambda value: (len(value), value))
            lines = [line_of(value, [row for row in some if row[key] == value]) for value in values]
            parts.append("\n".join([HEAD.format(f"{way}, {name}"), *lines]))
    return "\n\n".join(parts) + "\n"
