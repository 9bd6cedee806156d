"""Plays a timeline on real processes, and ends all that it began, also when it is interrupted."""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random

import msgspec

from basalthoist.addresses import address_of
from basalthoist.emulator.scenario import Backends, Load, Route, Scenario

from ..loopback import (
    Clients,
    ScriptedBackend,
    document_for,
    end_nodes,
    members_of,
    open_discovery,
    own_address,
    ready,
)
from . import checker
from .relay import Mesh
from .timeline import LINK, PROCESS, Event, Machine, Timeline

UNSEATS = ("kill", "freeze", "cut")


class Ledger(ScriptedBackend):
    """A backend that writes down what ran on it, when, and by which node: the request's id says that."""

    def __init__(self, scenario: Scenario, number: int, rig: "Rig") -> None:
        super().__init__(scenario, number, {})
        self.number, self.rig = number, rig

    def begin(self, connection, path: bytes, headers: dict) -> None:
        name = headers.get(b"request-id", b"").decode()
        node, save = int(name[1:].split("-")[0]), path.startswith(b"/save")
        self.rig.runs.append(checker.Run(self.rig.at(), self.number, node, name, save))
        if self.rig.failing[self.number, node]:
            self.rig.failures.append((node, self.rig.at()))
            return self.answer(connection, headers, b"500 Broken")
        super().begin(connection, path, headers)


class Node:
    """One process, its machine and its folder, over all its lives."""

    def __init__(self, rig: "Rig", number: int, machine: Machine) -> None:
        self.rig, self.number, self.machine = rig, number, machine
        self.folder = rig.folder / f"n{number}"
        self.scratch, self.before = self.folder / "scratch", self.folder / "before"
        self.scratch.mkdir(parents=True)
        self.listen, self.admin = own_address(), own_address()
        self.process, self.lives, self.stopped = None, 0, 0

    async def start(self) -> None:
        self.lives += 1
        if self.scratch.exists():
            shutil.rmtree(self.before, ignore_errors=True)
            shutil.copytree(self.scratch, self.before, ignore=shutil.ignore_patterns("succession.*"))
        self.log = self.folder / f"life-{self.lives}.log"
        lies = {"disk": self.machine.disk, "rate": self.machine.rate, "wall_s": self.machine.wall_s}
        environment = os.environ | {
            "PROXY_CONFIG": str(self.folder / "config.json"), "PROXY_FLEET": str(self.folder / "fleet.toml"),
            "TMPDIR": str(self.scratch), "RIG_LIES": json.dumps(lies),
        }  # fmt: skip
        if self.rig.off:
            del environment["PROXY_FLEET"]
        command = [sys.executable, "-m", "basalthoist.experiments.cluster.launcher"]
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(*command, stderr=log, env=environment)

    def cpu_s(self) -> float:
        """Of its present life."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def begin_again(self, folder: str) -> None:
        if folder == "lost":
            shutil.rmtree(self.scratch)
            self.scratch.mkdir()
        elif folder == "old":
            shutil.rmtree(self.scratch)
            shutil.copytree(self.before, self.scratch)
        await self.start()

    async def call(self, line: str, patience_s: float = 10.0) -> str:
        async def ask() -> str:
            reader, writer = await asyncio.open_connection(*address_of(self.admin))
            try:
                writer.write(line.encode() + b"\n")
                return (await reader.read()).decode().strip()
            finally:
                writer.close()

        try:
            return await asyncio.wait_for(ask(), patience_s)
        except (OSError, TimeoutError):
            return "no answer"


class Rig:
    """`say` gets a line for each thing that happens; `off`: the nodes are told of no fleet, to compare."""

    def __init__(self, told: Timeline, folder: Path, say=lambda line: None, off: bool = False) -> None:
        self.told, self.folder, self.say, self.rng, self.off = told, folder, say, Random(told.seed), off
        self.runs: list[checker.Run] = []
        self.calls: list[checker.Said] = []
        self.failing = Counter()  # by backend and node
        self.failures: list[tuple[int, float]] = []  # the node, and when its attempt began
        self.timing: list[asyncio.Task] = []
        self.held_up: set[asyncio.subprocess.Process] = set()
        self.without_s: list[float] = []  # from a fault that unseats an author to another's first answer
        self.began, self.nodes = time.monotonic(), []
        usual = {"service_ms": 4.0, "objective_ms": 300.0, "timeout_ms": 900.0}
        save = Route(name="save", semantics="non-retriable", share=0.5, **usual)
        routes = Route(name="read", **usual), save
        backends, load = Backends(count=told.backends), Load(rate=told.rate, retries=0)
        self.scenario = Scenario(
            seed=told.seed, nodes=told.nodes, routes=routes, backends=backends, load=load
        )

    def at(self) -> float:
        return time.monotonic() - self.began

    async def open(self) -> None:
        told = self.told
        scripts = [Ledger(self.scenario, number, self) for number in range(told.backends)]
        members = await members_of(scripts)
        agent = await open_discovery(members)
        machines = {machine.node: machine for machine in told.machines}
        self.nodes += [Node(self, n, machines.get(n, Machine(n))) for n in range(told.nodes)]
        self.mesh = Mesh([address_of(own_address()) for _ in self.nodes], self.rng)
        await self.mesh.open()
        self.doors = [await self.mesh.door(address_of(agent)) for _ in self.nodes]
        for node, door in zip(self.nodes, self.doors, strict=True):
            made = document_for(self.scenario, node.number, node.listen, door.address, members)
            (node.folder / "config.json").write_text(json.dumps(made | {"admin": node.admin}))
            (node.folder / "fleet.toml").write_text(self.fleet_file(node.number))

    def fleet_file(self, number: int) -> str:
        told = self.told
        lines = ['fleet = "rig"', f"voters = {json.dumps([f'n{i}' for i in range(told.voters)])}"]
        for key in ("lease_s", "beat_s", "fresh_s", "stale_s", "drift", "answer_s"):
            lines.append(f"{key} = {getattr(told, key)}")
        lines += [f"sick_from = {told.sick_from}", f"sick_s = {told.sick_s}"]
        lines += [f"grant_s = {told.grant_s}", f"sure_part = {told.sure_part}"]
        lines += [f'when_stale = "{told.when_stale}"']
        if told.limit:
            lines += ["[[limits]]", 'customer = "any"', f"rate = {told.limit}", f"burst = {told.burst}"]
        lines += ["[nodes]"]
        lines += [f'n{other} = "{self.mesh.address(number, other)}"' for other in range(told.nodes)]
        return "\n".join(lines) + "\n"

    # What happens.

    async def leader(self, other_than: int | None = None) -> int | None:
        """By what nodes say; used to aim faults and to time them only, never to judge."""
        asked = [node.call("fleet-status", 0.2) for node in self.nodes if node.number != other_than]
        for words in [text.split() for text in await asyncio.gather(*asked)]:
            if words[:2] == ["SUCCESS", "author"] and words[2] != f"n{other_than}":
                return int(words[2][1:])
        return None

    async def await_leader(self, gone: int) -> None:
        """Once its own node is killed, stands still or is cut off, how long nobody else is."""
        began = self.at()
        while self.at() - began < 10 * self.told.lease_s:
            if await self.leader(gone) is not None:
                return self.without_s.append(self.at() - began)
            await asyncio.sleep(0.05)

    async def meet(self, event: Event) -> None:
        await asyncio.sleep(max(event.at_s - self.at(), 0))
        who = []
        for one in event.who:
            found = await self.leader() if one == "author" else one
            who += [] if found is None else [found]
        what = f"{event.kind} {' '.join(f'n{n}' for n in who)} for {event.for_s:g} s"
        if not who:
            return self.say(f"{self.at():6.2f} {event.kind}: no author to be met")
        self.say(f"{self.at():6.2f} {what}" + (f", folder {event.folder}" if event.kind == "kill" else ""))
        if event.who == ["author"] and event.kind in UNSEATS and event.for_s > self.told.lease_s:
            self.timing.append(asyncio.create_task(self.await_leader(who[0])))
        if event.kind in LINK:
            await self.on_links(event, who)
        elif event.kind in PROCESS:
            await asyncio.gather(*(self.on_process(event, self.nodes[n]) for n in who))
        else:
            self.around(event, who, True)
            await asyncio.sleep(event.for_s)
            self.around(event, who, False)
        self.say(f"{self.at():6.2f} over: {what}")

    def around(self, event: Event, who: list[int], begins: bool) -> None:
        """What lies around the nodes: clients, backends, discovery."""
        more = 1 if begins else -1
        for number in who:
            if event.kind == "hot":
                self.clients[number].set_rate_factor(event.times if begins else 1.0)
            elif event.kind == "fails":
                self.failing[event.backend, number] += more
            else:
                self.doors[number].set_cut(more)
                if begins and self.rng.random() < 0.5:
                    self.doors[number].reset()

    async def on_links(self, event: Event, who: list[int]) -> None:
        rest = event.others or [n for n in range(self.told.nodes) if n not in who]
        pairs = [(a, b) for a in who for b in rest if a != b]
        if event.kind != "one_way":
            pairs += [(b, a) for a, b in pairs]
        ways = [self.mesh.ways[pair] for pair in pairs]
        for way in ways:
            self.change(way, event, True)
        await asyncio.sleep(event.for_s)
        for pair, way in zip(pairs, ways, strict=True):
            self.change(way, event, False)
            self.mesh.release(pair)

    def change(self, way, event: Event, begins: bool) -> None:
        if event.kind in ("cut", "one_way"):
            way.cut += 1 if begins else -1
        elif event.kind == "stall":
            way.stalled += 1 if begins else -1
        else:
            faults = {"delay": way.late_ms, "lose": way.lose, "double": way.double, "corrupt": way.corrupt}
            where, figure = faults[event.kind], event.ms if event.kind == "delay" else event.part
            (where.append if begins else where.remove)(figure)

    async def on_process(self, event: Event, node: Node) -> None:
        if event.kind == "freeze":
            node.stopped += 1
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(event.for_s)
            node.stopped -= 1
            if not node.stopped:
                node.signal(signal.SIGCONT)
        else:
            life = node.lives
            await node.kill()
            await asyncio.sleep(event.for_s)
            if node.lives == life:  # no other fault has begun it again
                await node.begin_again(event.folder)

    async def ban(self, ban) -> None:
        await asyncio.sleep(max(ban.at_s - self.at(), 0))
        asked, name = self.at(), f"s-{ban.backend}"
        text = await self.nodes[ban.node].call(f"fleet-{'on' if ban.on else 'off'} {name}")
        self.calls.append(checker.Said(asked, self.at(), ban.backend, ban.on, ban.node, text))
        self.say(f"{self.at():6.2f} n{ban.node} fleet-{'on' if ban.on else 'off'} {name}: {text}")

    async def play(self) -> dict:
        await self.open()
        tasks: list[asyncio.Task] = []
        try:
            await asyncio.gather(*(node.start() for node in self.nodes))
            for node in self.nodes:
                await ready(address_of(node.listen), node.process, node.log)
            cpu_s = sum(node.cpu_s() for node in self.nodes)
            self.began = time.monotonic()
            self.runs.clear()
            clients = [Clients(self.scenario, [address_of(n.listen)], self.told.length_s, f"n{n.number}-")
                       for n in self.nodes]  # fmt: skip
            self.clients = clients
            tasks = [asyncio.create_task(t) for t in (
                *(c.run() for c in clients), *(self.meet(e) for e in self.told.events),
                *(self.ban(b) for b in self.told.bans))]  # fmt: skip
            await asyncio.gather(*tasks)
            await asyncio.gather(*self.timing)
            self.cpu_s = sum(node.cpu_s() for node in self.nodes if node.process.returncode is None) - cpu_s
            peace = [] if self.off else await self.peace()
        finally:
            for task in tasks + self.timing:
                task.cancel()
            for node in self.nodes:
                node.signal(signal.SIGCONT)
            started = [node.process for node in self.nodes if node.process is not None]
            with contextlib.suppress(asyncio.CancelledError, TimeoutError):
                await asyncio.wait_for(end_nodes(*started), 5)
            for process in started:
                if process.returncode is None:  # one that a slow disk holds up has not crashed
                    self.held_up.add(process)
                    process.kill()
                    await process.wait()
            self.mesh.close()
        return self.result(clients, peace)

    async def peace(self) -> list[str]:
        """Once all faults are over: one author, one version everywhere, and a call that comes into force."""
        until, found = self.at() + 8 * self.told.lease_s + 3 * self.told.stale_s, ["never looked"]
        while self.at() < until:
            text = await self.nodes[0].call("fleet-status", 1.0)
            found = [f"fleet-status: {text}"]
            if text.startswith("SUCCESS author n") and "out of touch" not in text and "unheard" not in text:
                return []
            await asyncio.sleep(0.2)
        return found

    def result(self, clients: list[Clients], peace: list[str]) -> dict:
        told = self.told
        bound = told.stale_s * (1 + told.drift) / (1 - told.drift)
        strict = told.when_stale == "stand_by"
        found = checker.judge(self.runs, self.calls, bound, told.grace_ms / 1000, strict)
        over = checker.limits(self.runs, told) if told.limit else []
        crashed = [f"n{n.number} life {n.lives} ended with {n.process.returncode}" for n in self.nodes
                   if n.process not in self.held_up | {None} and n.process.returncode]  # fmt: skip
        counts = {key: sum(c.counts[key] for c in clients) for key in clients[0].counts}
        broken = found.broken() + peace + crashed + [line for line, _ in over if line]
        return {"timeline": msgspec.to_builtins(told), "broken": broken,
                "limit_parts": [part for _, part in over], "ran_s": checker.by_second(self.runs),
                "worst_s": found.worst_s, "bound_s": bound, "waits_s": found.waits_s,
                "last_sends_s": found.last_sends_s, "runs": len(self.runs), "cpu_s": self.cpu_s,
                "failed": len(self.failures), "failures": self.failures, "without_author_s": self.without_s,
                "p99_ms": max(c.times.get_value_at_percentile(99) for c in clients) / 1000,
                "counts": counts, "lateness_p99_ms": max(c.late_ms() for c in clients),
                "calls": [call._asdict() for call in self.calls]}  # fmt: skip


def play(told: Timeline, say=lambda line: None, folder: Path | None = None) -> dict:
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(Rig(told, folder, say).play())
    with tempfile.TemporaryDirectory(prefix="rig-") as made:
        return asyncio.run(Rig(told, Path(made), say).play())
