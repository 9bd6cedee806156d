"""Runs a plan: starts the node, injects each fault at its time, and kills the node with SIGKILL.

The kill comes at the earliest time that the protocol documentation allows.
"""

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
from .backends import Surroundings
from .clients import Client
from .discovery import OUTAGES
from .judge import (
    COLD_CAPACITY_RATIO,
    OVERLOAD_MULTIPLE,
    OVERLOAD_WINDOW_S,
    WARM_UP_S,
    Violation,
    check_run,
    describe_request,
)
from .plan import ERRORS, Event, Plan
from .record import Record

LATENESS_SAMPLE_INTERVAL_S = 0.005
WATCH_OPEN_TIMEOUT_S = 10.0
LOAD_BEFORE_IDLE_S = 1.0
LATENESS_WINDOW_S = 0.5


class HarnessLateness:
    """Measures how late the event loop of the harness runs.

    An event that the harness records may have happened earlier by that much.
    """

    def __init__(self) -> None:
        self.samples: deque[tuple[float, float]] = deque()
        self.worst_s = 0.0

    async def watch(self) -> None:
        while True:
            due = time.monotonic() + LATENESS_SAMPLE_INTERVAL_S
            await asyncio.sleep(LATENESS_SAMPLE_INTERVAL_S)
            late_s = time.monotonic() - due
            self.worst_s = max(self.worst_s, late_s)
            self.samples.append((due, late_s))
            while self.samples[0][0] < due - LATENESS_WINDOW_S:
                self.samples.popleft()

    def recent_max_s(self) -> float:
        return max((late_s for _, late_s in self.samples), default=0.0)


class Result(msgspec.Struct):
    seed: int
    requests: int
    answered: int
    ended_after_s: float | None
    late_ms: float  # the greatest lateness of the harness
    breaks: list[Violation]
    paths: dict[str, list[str]]
    log: str

    def line(self) -> str:
        ending = "killed" if self.ended_after_s is None else f"ended after {self.ended_after_s:.2f} s"
        verdict = ", ".join(sorted({violation.rule for violation in self.breaks})) or "kept"
        return (f"seed {self.seed}: {self.requests} requests, {self.answered} answered, {ending}, "
                f"harness {self.late_ms:.0f} ms late at most: {verdict}")  # fmt: skip


def node_configuration(plan: Plan, listen: str, surroundings: Surroundings) -> dict:
    """Returns the node's configuration."""
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
    rules = {"drain_grace": int(plan.grace_s * 1e6), "warm_within": int(WARM_UP_S * 1e6),
             "cold_from": COLD_CAPACITY_RATIO, "fall_multiple": OVERLOAD_MULTIPLE,
             "overload_for": int(OVERLOAD_WINDOW_S * 1e6)}  # fmt: skip
    limits = {"max_upstream_tries": 4, "cancel": True, "connect_timeout": 200_000, "keepalive": 10_000_000}
    settings = {
        "routes": routes, "rules": rules, "policy_limits": limits, "zones": ["0"], "zone": 0,
        "kinds": ["std"], "accounts": [{"name": "any", "quota_per_s": 1e9}], "siblings": 1,
        "discovery": "pushed", "tick": 1000,
    }  # fmt: skip
    return {
        "name": "n0", "seed": f"{plan.seed:x}", "listen": listen, "discovery": surroundings.discovery_address,
        "known": {"revision": 1, "complete": True, "members": surroundings.discovery.members()},
        "settings": settings, "limits": {"sockets": 256},
    }  # fmt: skip


class PlanRunner:
    """Runs one plan. `broken`: the name of a faulty variant of the program from `broken.py`, or empty."""

    def __init__(self, plan: Plan, folder: Path, broken: str = "") -> None:
        self.plan, self.folder, self.broken = plan, folder, broken
        self.lateness = HarnessLateness()
        self.surroundings = Surroundings(plan.backends, self.lateness.recent_max_s)
        self.faults = Faults(folder)
        self.started_at = 0.0

    async def start_node(self, configuration: dict):
        path, self.log = self.folder / "node.json", self.folder / "node.log"
        path.write_text(json.dumps(configuration))
        command = [sys.executable, "-m", "basalthoist"]
        if self.broken:
            command = [sys.executable, "-m", "basalthoist.experiments.soak.broken", self.broken]
        environment = os.environ | {"PROXY_CONFIG": str(path)} | self.faults.environment
        with self.log.open("wb") as log:
            return await asyncio.create_subprocess_exec(*command, stderr=log, env=environment)

    async def run(self) -> Record:
        await self.surroundings.open()
        listen = own_address()
        host, _, port = listen.rpartition(":")
        self.configuration = node_configuration(self.plan, listen, self.surroundings)
        self.node = await self.start_node(self.configuration)
        self.surroundings.node_pid = self.node.pid
        tasks: list[asyncio.Task] = []
        try:
            await ready((host, int(port)), self.node, self.log)
            await asyncio.wait_for(self.wait_for_watch(), WATCH_OPEN_TIMEOUT_S)
            if self.plan.quiet_s:
                await self.send_load_then_idle((host, int(port)))
            self.started_at = time.monotonic()
            numbers = range(self.plan.clients)
            clients = [
                Client(self.plan, n, self.surroundings, (host, int(port)), self.started_at) for n in numbers
            ]
            coroutines = [client.run() for client in clients] + [
                self.apply_event(event) for event in self.plan.events
            ]
            coroutines += [self.idle_connections((host, int(port))), self.lateness.watch()]
            tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
            await self.shut_down(clients)
            await asyncio.wait(tasks[: len(clients)], timeout=self.plan.deadline_s + 2)
        finally:
            with contextlib.suppress(ProcessLookupError):
                self.node.kill()
            await self.node.wait()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        self.surroundings.record.log = self.log.read_text(errors="replace")
        return self.surroundings.record

    async def send_load_then_idle(self, address: tuple[str, int]) -> None:
        """Sends requests, so that there are connections and latency profiles, and then none for `quiet_s`."""
        started_at, numbers = time.monotonic(), range(self.plan.clients, 2 * self.plan.clients)
        clients = [Client(self.plan, number, self.surroundings, address, started_at) for number in numbers]
        tasks = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(LOAD_BEFORE_IDLE_S)
        for client, task in zip(clients, tasks, strict=True):
            # `wait_for` loses a cancellation that arrives together with the response.
            client.killed = True
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(self.plan.quiet_s)
        # The requests that the cancellation interrupted are not faults of the node.
        self.surroundings.record.requests.clear()

    async def wait_for_watch(self) -> None:
        while not self.surroundings.discovery.watches:
            await asyncio.sleep(0.01)

    async def sleep_until(self, seconds: float) -> None:
        await asyncio.sleep(max(self.started_at + seconds - time.monotonic(), 0))

    async def shut_down(self, clients: list[Client]) -> None:
        """Sends SIGTERM and the further signals, and kills the process at `kill_at_s`."""
        plan, record = self.plan, self.surroundings.record
        await self.sleep_until(plan.load_s)
        if self.node.returncode is not None:
            record.exit_code = self.node.returncode or -1  # the process ended before SIGTERM
            return
        terminated_at = time.monotonic()
        self.node.send_signal(signal.SIGTERM)
        further = asyncio.create_task(self.send_further_signals())
        with contextlib.suppress(TimeoutError):
            left_s = terminated_at + plan.kill_at_s - plan.load_s - time.monotonic()
            await asyncio.wait_for(self.node.wait(), left_s)
            record.ended_after_s = time.monotonic() - terminated_at
        for client in clients:
            client.killed = True
        if self.node.returncode is None:
            self.node.kill()
        record.exit_code = await self.node.wait()
        further.cancel()

    async def send_further_signals(self) -> None:
        for after_s, name in self.plan.signals:
            await self.sleep_until(self.plan.load_s + after_s)
            if name.endswith("HUP"):
                text = "{" if name == "BAD_HUP" else json.dumps(self.configuration)
                (self.folder / "node.json").write_text(text)
            with contextlib.suppress(ProcessLookupError):
                self.node.send_signal(signal.SIGTERM if name == "TERM" else signal.SIGHUP)

    async def apply_event(self, event: Event) -> None:
        await self.sleep_until(event.at_s)
        if event.kind == "outage":
            return await self.surroundings.discovery.run_outage(OUTAGES[event.value], event.for_s)
        if event.kind == "drain":
            return await self.surroundings.backends[event.backend].drain(event.for_s)
        if event.kind == "restart":
            return await self.surroundings.backends[event.backend].restart(event.for_s)
        if event.backend >= 0:
            backend = self.surroundings.backends[event.backend]
            backend.fault, backend.value = event.kind, event.value
            await asyncio.sleep(event.for_s)
            backend.fault = ""
            return
        fields = self.fault_fields(event)
        self.faults.set(**fields)
        await asyncio.sleep(event.for_s)
        self.faults.set(**dict.fromkeys(fields, 0))

    def fault_fields(self, event: Event) -> dict[str, int]:
        if event.kind in ERRORS:
            return {f"{event.kind}_errno": event.value}
        if event.kind == "wall_clock":
            return {"wall_ms": event.value}
        if event.kind == "short_io":
            return {"short_bytes": event.value}
        return {"hold_ms": event.value, "hold_every": 3}

    async def idle_connections(self, address: tuple[str, int]) -> None:
        """Keeps idle connections open; one that the node closes is opened again after 0.1 s."""

        async def idle() -> None:
            while True:
                try:
                    reader, writer = await asyncio.open_connection(*address)
                    await reader.read()
                    writer.close()
                except OSError:
                    pass
                await asyncio.sleep(0.1)

        if self.plan.idle_connections:
            await asyncio.gather(*(idle() for _ in range(self.plan.idle_connections)))


def play(plan: Plan, broken: str = "") -> Result:
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        runner = PlanRunner(plan, Path(folder), broken)
        record = asyncio.run(runner.run())
    breaks = check_run(plan, record)
    idents = [violation.ident for violation in breaks if violation.ident][:5]
    paths = {ident: describe_request(record.requests[ident], runner.started_at) for ident in idents}
    answered = sum(request.status > 0 for request in record.requests.values())
    late_ms = runner.lateness.worst_s * 1000
    return Result(
        plan.seed, len(record.requests), answered, record.ended_after_s, late_ms, breaks, paths, record.log
    )
