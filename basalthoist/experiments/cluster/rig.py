"""Runs a timeline on real processes, and ends all processes that it started, also when interrupted."""

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

REMOVES_LEADER = ("kill", "freeze", "cut")


class RecordingBackend(ScriptedBackend):
    """A backend that records what ran on it, when, and for which node, which the request's id names."""

    def __init__(self, scenario: Scenario, number: int, rig: "Rig") -> None:
        super().__init__(scenario, number, {})
        self.number, self.rig = number, rig

    def begin(self, connection, path: bytes, headers: dict) -> None:
        name = headers.get(b"request-id", b"").decode()
        node, save = int(name[1:].split("-")[0]), path.startswith(b"/save")
        self.rig.runs.append(checker.Execution(self.rig.elapsed_s(), self.number, node, name, save))
        if self.rig.failing[self.number, node]:
            self.rig.failures.append((node, self.rig.elapsed_s()))
            return self.answer(connection, headers, b"500 Broken")
        super().begin(connection, path, headers)


class Node:
    """One node with its machine and its folder, over all incarnations of its process."""

    def __init__(self, rig: "Rig", number: int, machine: Machine) -> None:
        self.rig, self.number, self.machine = rig, number, machine
        self.folder = rig.folder / f"n{number}"
        self.scratch, self.previous = self.folder / "scratch", self.folder / "before"
        self.scratch.mkdir(parents=True)
        self.listen, self.admin = own_address(), own_address()
        self.process, self.incarnation, self.stopped = None, 0, 0

    async def start(self) -> None:
        self.incarnation += 1
        if self.scratch.exists():
            shutil.rmtree(self.previous, ignore_errors=True)
            shutil.copytree(self.scratch, self.previous, ignore=shutil.ignore_patterns("succession.*"))
        self.log = self.folder / f"incarnation-{self.incarnation}.log"
        machine_faults = {"disk": self.machine.disk, "rate": self.machine.rate, "wall_s": self.machine.wall_s}
        environment = os.environ | {
            "PROXY_CONFIG": str(self.folder / "config.json"), "PROXY_FLEET": str(self.folder / "fleet.toml"),
            "TMPDIR": str(self.scratch), "RIG_LIES": json.dumps(machine_faults),
        }  # fmt: skip
        if self.rig.without_fleet:
            del environment["PROXY_FLEET"]
        command = [sys.executable, "-m", "basalthoist.experiments.cluster.launcher"]
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(*command, stderr=log, env=environment)

    def cpu_s(self) -> float:
        """Returns the processor seconds of the present incarnation."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def restart(self, folder: str) -> None:
        if folder == "lost":
            shutil.rmtree(self.scratch)
            self.scratch.mkdir()
        elif folder == "old":
            shutil.rmtree(self.scratch)
            shutil.copytree(self.previous, self.scratch)
        await self.start()

    async def call(self, line: str, timeout_s: float = 10.0) -> str:
        async def send() -> str:
            reader, writer = await asyncio.open_connection(*address_of(self.admin))
            try:
                writer.write(line.encode() + b"\n")
                return (await reader.read()).decode().strip()
            finally:
                writer.close()

        try:
            return await asyncio.wait_for(send(), timeout_s)
        except (OSError, TimeoutError):
            return "no answer"


class Rig:
    """Runs a timeline. `say` gets a line for each event; `without_fleet`: nodes start without a fleet."""

    def __init__(
        self, timeline: Timeline, folder: Path, say=lambda line: None, without_fleet: bool = False
    ) -> None:
        self.timeline, self.folder, self.say, self.rng, self.without_fleet = (
            timeline, folder, say, Random(timeline.seed), without_fleet
        )  # fmt: skip
        self.runs: list[checker.Execution] = []
        self.calls: list[checker.OperatorCall] = []
        self.failing = Counter()  # by backend and node: events that make the backend fail for that node
        self.failures: list[tuple[int, float]] = []  # the node, and the start of its attempt
        self.leader_waits: list[asyncio.Task] = []
        self.killed_at_end: set[asyncio.subprocess.Process] = set()
        # From a fault that removes the leader until another node answers as leader.
        self.leaderless_s: list[float] = []
        self.started_at, self.nodes = time.monotonic(), []
        usual = {"service_ms": 4.0, "objective_ms": 300.0, "timeout_ms": 900.0}
        save = Route(name="save", semantics="non-retriable", share=0.5, **usual)
        routes = Route(name="read", **usual), save
        backends, load = Backends(count=timeline.backends), Load(rate=timeline.rate, retries=0)
        self.scenario = Scenario(
            seed=timeline.seed, nodes=timeline.nodes, routes=routes, backends=backends, load=load
        )

    def elapsed_s(self) -> float:
        return time.monotonic() - self.started_at

    async def open(self) -> None:
        timeline = self.timeline
        backends = [RecordingBackend(self.scenario, number, self) for number in range(timeline.backends)]
        members = await members_of(backends)
        agent = await open_discovery(members)
        machines = {machine.node: machine for machine in timeline.machines}
        self.nodes += [Node(self, n, machines.get(n, Machine(n))) for n in range(timeline.nodes)]
        self.mesh = Mesh([address_of(own_address()) for _ in self.nodes], self.rng)
        await self.mesh.open()
        self.tcp_links = [await self.mesh.open_tcp_link(address_of(agent)) for _ in self.nodes]
        for node, tcp_link in zip(self.nodes, self.tcp_links, strict=True):
            configuration = document_for(self.scenario, node.number, node.listen, tcp_link.address, members)
            (node.folder / "config.json").write_text(json.dumps(configuration | {"admin": node.admin}))
            (node.folder / "fleet.toml").write_text(self.fleet_file(node.number))

    def fleet_file(self, number: int) -> str:
        timeline = self.timeline
        lines = ['fleet = "rig"', f"voters = {json.dumps([f'n{i}' for i in range(timeline.voters)])}"]
        for key in ("lease_s", "beat_s", "fresh_s", "stale_s", "drift", "answer_s"):
            lines.append(f"{key} = {getattr(timeline, key)}")
        lines += [f"sick_from = {timeline.sick_from}", f"sick_s = {timeline.sick_s}"]
        lines += [f"grant_s = {timeline.grant_s}", f"sure_part = {timeline.sure_part}"]
        lines += [f'when_stale = "{timeline.when_stale}"']
        if timeline.limit:
            lines += [
                "[[limits]]",
                'customer = "any"',
                f"rate = {timeline.limit}",
                f"burst = {timeline.burst}",
            ]
        lines += ["[nodes]"]
        lines += [f'n{other} = "{self.mesh.address(number, other)}"' for other in range(timeline.nodes)]
        return "\n".join(lines) + "\n"

    # Events.

    async def leader(self, other_than: int | None = None) -> int | None:
        """Returns the leader that a node names: for the targets of faults and for timing, not for checks."""
        calls = [node.call("fleet-status", 0.2) for node in self.nodes if node.number != other_than]
        for words in [text.split() for text in await asyncio.gather(*calls)]:
            if words[:2] == ["SUCCESS", "author"] and words[2] != f"n{other_than}":
                return int(words[2][1:])
        return None

    async def time_leader_change(self, old_leader: int) -> None:
        """Records the time until another node leads, once the old leader is killed, frozen or cut off."""
        started_at = self.elapsed_s()
        while self.elapsed_s() - started_at < 10 * self.timeline.lease_s:
            if await self.leader(old_leader) is not None:
                return self.leaderless_s.append(self.elapsed_s() - started_at)
            await asyncio.sleep(0.05)

    async def apply_event(self, event: Event) -> None:
        await asyncio.sleep(max(event.at_s - self.elapsed_s(), 0))
        who = []
        for name in event.who:
            number = await self.leader() if name == "author" else name
            who += [] if number is None else [number]
        description = f"{event.kind} {' '.join(f'n{n}' for n in who)} for {event.for_s:g} s"
        if not who:
            return self.say(f"{self.elapsed_s():6.2f} {event.kind}: skipped, no leader found")
        self.say(
            f"{self.elapsed_s():6.2f} {description}"
            + (f", folder {event.folder}" if event.kind == "kill" else "")
        )
        if event.who == ["author"] and event.kind in REMOVES_LEADER and event.for_s > self.timeline.lease_s:
            self.leader_waits.append(asyncio.create_task(self.time_leader_change(who[0])))
        if event.kind in LINK:
            await self.apply_link_fault(event, who)
        elif event.kind in PROCESS:
            await asyncio.gather(*(self.apply_process_fault(event, self.nodes[n]) for n in who))
        else:
            self.toggle_fault(event, who, True)
            await asyncio.sleep(event.for_s)
            self.toggle_fault(event, who, False)
        self.say(f"{self.elapsed_s():6.2f} ended: {description}")

    def toggle_fault(self, event: Event, who: list[int], begins: bool) -> None:
        """Starts or ends a fault of clients, backends or discovery."""
        step = 1 if begins else -1
        for number in who:
            if event.kind == "hot":
                self.clients[number].set_rate_factor(event.times if begins else 1.0)
            elif event.kind == "fails":
                self.failing[event.backend, number] += step
            else:
                self.tcp_links[number].set_cut(step)
                if begins and self.rng.random() < 0.5:
                    self.tcp_links[number].reset()

    async def apply_link_fault(self, event: Event, who: list[int]) -> None:
        others = event.others or [n for n in range(self.timeline.nodes) if n not in who]
        pairs = [(a, b) for a in who for b in others if a != b]
        if event.kind != "one_way":
            pairs += [(b, a) for a, b in pairs]
        links = [self.mesh.links[pair] for pair in pairs]
        for link in links:
            self.toggle_link_fault(link, event, True)
        await asyncio.sleep(event.for_s)
        for pair, link in zip(pairs, links, strict=True):
            self.toggle_link_fault(link, event, False)
            self.mesh.release(pair)

    def toggle_link_fault(self, link, event: Event, begins: bool) -> None:
        if event.kind in ("cut", "one_way"):
            link.cut += 1 if begins else -1
        elif event.kind == "stall":
            link.stalled += 1 if begins else -1
        else:
            faults = {
                "delay": link.delays_ms,
                "lose": link.lose,
                "double": link.double,
                "corrupt": link.corrupt,
            }
            values, value = faults[event.kind], event.ms if event.kind == "delay" else event.part
            (values.append if begins else values.remove)(value)

    async def apply_process_fault(self, event: Event, node: Node) -> None:
        if event.kind == "freeze":
            node.stopped += 1
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(event.for_s)
            node.stopped -= 1
            if not node.stopped:
                node.signal(signal.SIGCONT)
        else:
            incarnation = node.incarnation
            await node.kill()
            await asyncio.sleep(event.for_s)
            if node.incarnation == incarnation:  # no overlapping fault has restarted the node
                await node.restart(event.folder)

    async def issue_ban(self, ban) -> None:
        await asyncio.sleep(max(ban.at_s - self.elapsed_s(), 0))
        asked_at, name = self.elapsed_s(), f"s-{ban.backend}"
        text = await self.nodes[ban.node].call(f"fleet-{'on' if ban.on else 'off'} {name}")
        self.calls.append(
            checker.OperatorCall(asked_at, self.elapsed_s(), ban.backend, ban.on, ban.node, text)
        )
        self.say(f"{self.elapsed_s():6.2f} n{ban.node} fleet-{'on' if ban.on else 'off'} {name}: {text}")

    async def play(self) -> dict:
        await self.open()
        tasks: list[asyncio.Task] = []
        try:
            await asyncio.gather(*(node.start() for node in self.nodes))
            for node in self.nodes:
                await ready(address_of(node.listen), node.process, node.log)
            cpu_s = sum(node.cpu_s() for node in self.nodes)
            self.started_at = time.monotonic()
            self.runs.clear()
            clients = [Clients(self.scenario, [address_of(n.listen)], self.timeline.length_s, f"n{n.number}-")
                       for n in self.nodes]  # fmt: skip
            self.clients = clients
            tasks = [asyncio.create_task(t) for t in (
                *(c.run() for c in clients), *(self.apply_event(e) for e in self.timeline.events),
                *(self.issue_ban(b) for b in self.timeline.bans))]  # fmt: skip
            await asyncio.gather(*tasks)
            await asyncio.gather(*self.leader_waits)
            self.cpu_s = sum(node.cpu_s() for node in self.nodes if node.process.returncode is None) - cpu_s
            unrecovered = [] if self.without_fleet else await self.check_recovery()
        finally:
            for task in tasks + self.leader_waits:
                task.cancel()
            for node in self.nodes:
                node.signal(signal.SIGCONT)
            started = [node.process for node in self.nodes if node.process is not None]
            with contextlib.suppress(asyncio.CancelledError, TimeoutError):
                await asyncio.wait_for(end_nodes(*started), 5)
            for process in started:
                if process.returncode is None:  # a slow disk delays the exit, which is not a crash
                    self.killed_at_end.add(process)
                    process.kill()
                    await process.wait()
            self.mesh.close()
        return self.result(clients, unrecovered)

    async def check_recovery(self) -> list[str]:
        """Waits, after all faults, until one leader and one version are in force everywhere.

        Returns the last answer to `fleet-status` where that does not happen in time, or else nothing.
        """
        until, findings = (
            self.elapsed_s() + 8 * self.timeline.lease_s + 3 * self.timeline.stale_s,
            ["fleet-status: not called"],
        )
        while self.elapsed_s() < until:
            text = await self.nodes[0].call("fleet-status", 1.0)
            findings = [f"fleet-status: {text}"]
            if text.startswith("SUCCESS author n") and "out of touch" not in text and "unheard" not in text:
                return []
            await asyncio.sleep(0.2)
        return findings

    def result(self, clients: list[Clients], unrecovered: list[str]) -> dict:
        timeline = self.timeline
        bound = timeline.stale_s * (1 + timeline.drift) / (1 - timeline.drift)
        strict = timeline.when_stale == "stand_by"
        findings = checker.check(self.runs, self.calls, bound, timeline.grace_ms / 1000, strict)
        limits = checker.check_limits(self.runs, timeline) if timeline.limit else []
        crashed = [f"n{n.number} incarnation {n.incarnation} exited with {n.process.returncode}"
                   for n in self.nodes
                   if n.process not in self.killed_at_end | {None} and n.process.returncode]  # fmt: skip
        counts = {key: sum(c.counts[key] for c in clients) for key in clients[0].counts}
        violations = findings.violations() + unrecovered + crashed + [line for line, _ in limits if line]
        return {"timeline": msgspec.to_builtins(timeline), "broken": violations,
                "limit_parts": [part for _, part in limits], "ran_s": checker.executions_by_second(self.runs),
                "worst_s": findings.worst_s, "bound_s": bound, "waits_s": findings.waits_s,
                "last_sends_s": findings.last_sends_s, "runs": len(self.runs), "cpu_s": self.cpu_s,
                "failed": len(self.failures), "failures": self.failures,
                "without_author_s": self.leaderless_s,
                "p99_ms": max(c.times.get_value_at_percentile(99) for c in clients) / 1000,
                "counts": counts, "lateness_p99_ms": max(c.late_ms() for c in clients),
                "calls": [call._asdict() for call in self.calls]}  # fmt: skip


def play(timeline: Timeline, say=lambda line: None, folder: Path | None = None) -> dict:
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(Rig(timeline, folder, say).play())
    with tempfile.TemporaryDirectory(prefix="rig-") as temporary:
        return asyncio.run(Rig(timeline, Path(temporary), say).play())
