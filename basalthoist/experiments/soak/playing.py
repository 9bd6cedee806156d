"""Plays a plan: starts the node, lets everything happen at its time, and kills it at the page's earliest."""

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
import time
from collections import deque
from pathlib import Path

import msgspec

from ..cluster.faults import Faults
from ..loopback import own_address, ready
from .backends import World
from .clients import Client
from .discovery import OUTAGES
from .judge import COLD_FROM, MULTIPLE, OVERLOAD_S, WARM_S, Break, judge, path_of
from .plan import ERRORS, Event, Plan
from .record import Record

LOOK_S = 0.005  # between two looks at how late the harness is
READY_S = 10.0  # for the node to open its watch
BEFORE_QUIET_S = 1.0  # for which clients ask ahead of a quiet time
MEMORY_S = 0.5  # for how long such a lateness counts


class Lateness:
    """How late the event loop of the harness was lately: what it saw may have happened so much before."""

    def __init__(self) -> None:
        self.seen: deque[tuple[float, float]] = deque()
        self.worst_s = 0.0

    async def watch(self) -> None:
        while True:
            due = time.monotonic() + LOOK_S
            await asyncio.sleep(LOOK_S)
            late_s = time.monotonic() - due
            self.worst_s = max(self.worst_s, late_s)
            self.seen.append((due, late_s))
            while self.seen[0][0] < due - MEMORY_S:
                self.seen.popleft()

    def now_s(self) -> float:
        return max((late_s for _, late_s in self.seen), default=0.0)


class Result(msgspec.Struct):
    seed: int
    requests: int
    answered: int
    ended_after_s: float | None
    late_ms: float  # the harness, at the most
    breaks: list[Break]
    paths: dict[str, list[str]]
    log: str

    def line(self) -> str:
        end = "killed" if self.ended_after_s is None else f"ended after {self.ended_after_s:.2f} s"
        verdict = ", ".join(sorted({one.rule for one in self.breaks})) or "kept"
        return (f"seed {self.seed}: {self.requests} requests, {self.answered} answered, {end}, "
                f"harness {self.late_ms:.0f} ms late at most: {verdict}")  # fmt: skip


def document(plan: Plan, listen: str, world: World) -> dict:
    """The node's configuration."""
    semantics = {"read": "idempotent", "pay": "at_most_once", "mark": "deduplicated"}
    times = {"latency_objective": int(plan.deadline_s * 0.7e6), "overall_timeout": int(plan.deadline_s * 1e6)}
    routes = [
        {
            "name": name,
            "semantics": kind,
            "group": "all",
            "value": 1.0,
            "dedup_window": int(plan.window_s * 1e6),
        }
        | times
        for name, kind in semantics.items()
    ]
    rules = {"drain_grace": int(plan.grace_s * 1e6), "warm_within": int(WARM_S * 1e6), "cold_from": COLD_FROM,
             "fall_multiple": MULTIPLE, "overload_for": int(OVERLOAD_S * 1e6)}  # fmt: skip
    limits = {"max_upstream_tries": 4, "cancel": True, "connect_timeout": 200_000, "keepalive": 10_000_000}
    settings = {
        "routes": routes, "rules": rules, "policy_limits": limits, "zones": ["0"], "zone": 0,
        "kinds": ["std"], "accounts": [{"name": "any", "quota_per_s": 1e9}], "siblings": 1,
        "discovery": "pushed", "tick": 1000,
    }  # fmt: skip
    return {
        "name": "n0", "seed": f"{plan.seed:x}", "listen": listen, "discovery": world.discovery_address,
        "known": {"revision": 1, "complete": True, "members": world.discovery.members()},
        "settings": settings, "limits": {"sockets": 256},
    }  # fmt: skip


class Play:
    """`broken`: the name of a variant of the program, see `broken.py`."""

    def __init__(self, plan: Plan, folder: Path, broken: str = "") -> None:
        self.plan, self.folder, self.broken = plan, folder, broken
        self.lateness = Lateness()
        self.world = World(plan.backends, self.lateness.now_s)
        self.faults = Faults(folder)
        self.began = 0.0

    async def start_node(self, made: dict):
        path, self.log = self.folder / "node.json", self.folder / "node.log"
        path.write_text(json.dumps(made))
        command = [sys.executable, "-m", "basalthoist"]
        if self.broken:
            command = [sys.executable, "-m", "basalthoist.experiments.soak.broken", self.broken]
        environment = os.environ | {"PROXY_CONFIG": str(path)} | self.faults.environment
        with self.log.open("wb") as log:
            return await asyncio.create_subprocess_exec(*command, stderr=log, env=environment)

    async def run(self) -> Record:
        await self.world.open()
        listen = own_address()
        host, _, port = listen.rpartition(":")
        self.made = document(self.plan, listen, self.world)
        self.node = await self.start_node(self.made)
        self.world.node_pid = self.node.pid
        tasks: list[asyncio.Task] = []
        try:
            await ready((host, int(port)), self.node, self.log)
            await asyncio.wait_for(self.watched(), READY_S)
            if self.plan.quiet_s:
                await self.be_quiet((host, int(port)))
            self.began = time.monotonic()
            numbers = range(self.plan.clients)
            clients = [Client(self.plan, n, self.world, (host, int(port)), self.began) for n in numbers]
            acts = [client.run() for client in clients] + [self.meet(event) for event in self.plan.events]
            acts += [self.crowd((host, int(port))), self.lateness.watch()]
            tasks = [asyncio.create_task(act) for act in acts]
            await self.end(clients)
            await asyncio.wait(tasks[: len(clients)], timeout=self.plan.deadline_s + 2)
        finally:
            with contextlib.suppress(ProcessLookupError):
                self.node.kill()
            await self.node.wait()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        self.world.record.log = self.log.read_text(errors="replace")
        return self.world.record

    async def be_quiet(self, address: tuple[str, int]) -> None:
        """Some requests, so that there are connections and profiles, and then none."""
        began, numbers = time.monotonic(), range(self.plan.clients, 2 * self.plan.clients)
        clients = [Client(self.plan, number, self.world, address, began) for number in numbers]
        tasks = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(BEFORE_QUIET_S)
        for client, task in zip(clients, tasks, strict=True):
            client.killed = True  # as a cancellation that comes with an answer is lost in `wait_for`
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(self.plan.quiet_s)
        self.world.record.requests.clear()  # those that were broken off are nobody's fault

    async def watched(self) -> None:
        while not self.world.discovery.watches:
            await asyncio.sleep(0.01)

    async def at(self, seconds: float) -> None:
        await asyncio.sleep(max(self.began + seconds - time.monotonic(), 0))

    async def end(self, clients: list[Client]) -> None:
        """SIGTERM, further signals, and the kill."""
        plan, record = self.plan, self.world.record
        await self.at(plan.load_s)
        if self.node.returncode is not None:
            record.exit_code = self.node.returncode or -1  # it ended before it was told to
            return
        told_at = time.monotonic()
        self.node.send_signal(signal.SIGTERM)
        further = asyncio.create_task(self.signal_further())
        with contextlib.suppress(TimeoutError):
            left_s = told_at + plan.kill_s - plan.load_s - time.monotonic()
            await asyncio.wait_for(self.node.wait(), left_s)
            record.ended_after_s = time.monotonic() - told_at
        for client in clients:
            client.killed = True
        if self.node.returncode is None:
            self.node.kill()
        record.exit_code = await self.node.wait()
        further.cancel()

    async def signal_further(self) -> None:
        for after_s, name in self.plan.signals:
            await self.at(self.plan.load_s + after_s)
            if name.endswith("HUP"):
                text = "{" if name == "BAD_HUP" else json.dumps(self.made)
                (self.folder / "node.json").write_text(text)
            with contextlib.suppress(ProcessLookupError):
                self.node.send_signal(signal.SIGTERM if name == "TERM" else signal.SIGHUP)

    async def meet(self, event: Event) -> None:
        await self.at(event.at_s)
        if event.kind == "outage":
            return await self.world.discovery.fail(OUTAGES[event.value], event.for_s)
        if event.kind == "drain":
            return await self.world.backends[event.backend].drain(event.for_s)
        if event.kind == "restart":
            return await self.world.backends[event.backend].restart(event.for_s)
        if event.backend >= 0:
            backend = self.world.backends[event.backend]
            backend.trouble, backend.value = event.kind, event.value
            await asyncio.sleep(event.for_s)
            backend.trouble = ""
            return
        fields = self.fields_of(event)
        self.faults.set(**fields)
        await asyncio.sleep(event.for_s)
        self.faults.set(**dict.fromkeys(fields, 0))

    def fields_of(self, event: Event) -> dict[str, int]:
        if event.kind in ERRORS:
            return {f"{event.kind}_errno": event.value}
        if event.kind == "wall_clock":
            return {"wall_ms": event.value}
        if event.kind == "short_io":
            return {"short_bytes": event.value}
        return {"hold_ms": event.value, "hold_every": 3}

    async def crowd(self, address: tuple[str, int]) -> None:
        """Clients that connect and say nothing; whoever is let go comes again."""

        async def idle() -> None:
            while True:
                try:
                    reader, writer = await asyncio.open_connection(*address)
                    await reader.read()
                    writer.close()
                except OSError:
                    pass
                await asyncio.sleep(0.1)

        if self.plan.crowd:
            await asyncio.gather(*(idle() for _ in range(self.plan.crowd)))


def play(plan: Plan, broken: str = "") -> Result:
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        made = Play(plan, Path(folder), broken)
        record = asyncio.run(made.run())
    breaks = judge(plan, record)
    idents = [one.ident for one in breaks if one.ident][:5]
    paths = {ident: path_of(record.requests[ident], made.began) for ident in idents}
    answered = sum(request.status > 0 for request in record.requests.values())
    late_ms = made.lateness.worst_s * 1000
    return Result(
        plan.seed, len(record.requests), answered, record.ended_after_s, late_ms, breaks, paths, record.log
    )
