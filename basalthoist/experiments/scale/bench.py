"""Starts workers and real nodes for a run, sends them orders, and ends every process that it started."""

import asyncio
import contextlib
import json
import os
import sys
import time
from pathlib import Path

from basalthoist.addresses import address_of

from ..loopback import end_nodes, ready
from . import counting, files
from .agent import Agent
from .lateness import Lateness

WORKER_TIMEOUT_S = 60.0  # for the reply of a worker, which may start hundreds of nodes first


class RunFailed(Exception):
    """A run gave no result, for the reason given."""


class Worker:
    """A process with hollow nodes; takes one order at a time."""

    def __init__(self, process, log: Path) -> None:
        self.process, self.log, self.lock = process, log, asyncio.Lock()

    async def ask(self, do: str, **more) -> dict:
        async with self.lock:
            self.process.stdin.write(json.dumps({"do": do} | more).encode() + b"\n")
            try:
                line = await asyncio.wait_for(self.process.stdout.readline(), WORKER_TIMEOUT_S)
            except TimeoutError:
                raise RunFailed(f"worker did not answer {do!r} within {WORKER_TIMEOUT_S:.0f} s") from None
        reply = json.loads(line) if line else {"wrong": self.log.read_text(errors="replace")[-300:]}
        if "wrong" in reply:
            raise RunFailed(f"worker failed at {do!r}: {reply['wrong']}")
        return reply

    async def end(self) -> None:
        if self.process.returncode is None:
            self.process.stdin.close()
            try:
                await asyncio.wait_for(self.process.wait(), 3)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()


class RealNode:
    """A real node in a process of its own."""

    def __init__(self, name: str, document: dict, folder: Path) -> None:
        self.name, self.folder = name, folder
        self.listen, self.admin = address_of(document["listen"]), address_of(document["admin"])
        self.log, self.counts = folder / "log", folder / "counts.json"
        self.process, self.began = None, 0.0

    async def start(self, module: str, fleet: Path | None = None, **more: str) -> None:
        environment = (
            os.environ
            | {
                "PROXY_CONFIG": str(self.folder / "node.json"),
                "TMPDIR": str(self.folder),
                "SCALE_COUNTS": str(self.counts),
            }
            | more
        )
        environment.pop("PROXY_FLEET", None)
        if fleet is not None:
            environment["PROXY_FLEET"] = str(fleet)
        self.began = time.monotonic()
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", module, stderr=log, env=environment
            )

    async def ready(self) -> float:
        """Waits until the node is ready; returns the seconds since its start. Raises RunFailed."""
        try:
            await ready(self.listen, self.process, self.log)
        except RuntimeError as error:
            raise RunFailed(str(error)) from None
        return time.monotonic() - self.began

    def read(self) -> dict:
        counting_thread = self.read_counts()["thread"] if self.counts.exists() else 0
        return {"at": time.monotonic(), "cpu_s": counting.cpu_s(self.process.pid, counting_thread),
                "memory_mb": counting.memory_mb(self.process.pid)}  # fmt: skip

    def read_counts(self) -> dict:
        return json.loads(self.counts.read_text())

    async def call(self, line: str, timeout_s: float = 15.0) -> str:
        async def send_call() -> str:
            reader, writer = await asyncio.open_connection(*self.admin, limit=1 << 24)
            try:
                writer.write(line.encode() + b"\n")
                return (await reader.read()).decode().strip()
            finally:
                writer.close()

        try:
            return await asyncio.wait_for(send_call(), timeout_s)
        except (OSError, TimeoutError):
            return "no answer"


class Bench:
    """Used as `async with Bench(folder) as bench`: on exit all processes are ended, also after an error."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.workers, self.reals, self.agents = folder, [], [], []
        self.lateness = None

    async def __aenter__(self) -> "Bench":
        self.folder.mkdir(parents=True, exist_ok=True)
        self.lateness = Lateness(asyncio.get_running_loop())
        return self

    async def __aexit__(self, *error) -> None:
        for worker in self.workers:
            with contextlib.suppress(ProcessLookupError):
                await worker.end()
        started = [real.process for real in self.reals if real.process is not None]
        for process in started:
            if process.returncode is None:
                process.kill()  # no clients are connected, so no graceful shutdown is needed
        await end_nodes(*started)
        for agent in self.agents:
            agent.close()
        self.lateness.close()

    async def agent(self, members: list[dict]) -> tuple[Agent, str]:
        agent = Agent(members)
        self.agents.append(agent)
        return agent, await agent.open()

    async def worker(self) -> Worker:
        log = self.folder / f"worker-{len(self.workers)}.log"
        with log.open("wb") as file:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", f"{__package__}.hollow", stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE, stderr=file, limit=1 << 26,
            )  # fmt: skip
        worker = Worker(process, log)
        self.workers.append(worker)
        return worker

    def real(self, document: dict) -> RealNode:
        """Writes the file of a real node. The caller starts the node."""
        path = files.write_document(self.folder, document)
        real = RealNode(document["name"], document, path.parent)
        self.reals.append(real)
        return real

    async def ask_all(self, do: str, **more) -> list[dict]:
        return await asyncio.gather(*(worker.ask(do, **more) for worker in self.workers))
