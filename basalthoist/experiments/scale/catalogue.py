"""Layer: the size of a node's file. Each point runs a real and a hollow node with the same catalogue."""

import asyncio
import json
import time
from collections.abc import AsyncIterator
from pathlib import Path

from . import files, sizes
from .bench import Bench, RunFailed
from .lateness import void_reason
from .rows import Row
from .sizes import Ask, part_of

NAME = "catalogue"
ABOUT = "a node's file, start, memory and share of a core by tenants, routes and backends"
FEW = files.Catalogue(routes=10, tenants=20, backends=30)
WINDOW_S, SETTLE_S, REPETITIONS = 6.0, 2.5, 2


def points(share: float) -> list[tuple[str, int, files.Catalogue]]:
    tenants, routes, backends = (part_of(whole, share)
                                 for whole in (sizes.TENANTS, sizes.ROUTES, sizes.BACKENDS))  # fmt: skip
    return [
        ("tenants", tenants, files.Catalogue(FEW.routes, tenants, FEW.backends)),
        ("routes", routes, files.Catalogue(routes, FEW.tenants, FEW.backends)),
        ("backends", backends, files.Catalogue(FEW.routes, FEW.tenants, backends)),
        ("tenants, and routes in proportion", tenants, files.Catalogue(routes, tenants, FEW.backends)),
    ]


def file_bytes(catalogue: files.Catalogue) -> int:
    return len(json.dumps(files.document("n00000", catalogue, "127.0.0.1:9", 1)))


class Point:
    """A real node and a hollow node with the same catalogue: `x` entries of the kind that `of` names."""

    def __init__(self, bench: Bench, of: str, x: int, catalogue: files.Catalogue) -> None:
        self.bench, self.of, self.x, self.catalogue = bench, of, x, catalogue

    async def start(self) -> None:
        """Starts both nodes. Callers start points one at a time, so that each start is measured alone."""
        bench, catalogue, number = self.bench, self.catalogue, len(self.bench.reals)
        members = [files.member(n) for n in range(catalogue.backends)]
        _, discovery = await bench.agent(members)
        real_document = files.document(f"n{number:05}", catalogue, discovery, sizes.NODES, 0, members)
        hollow_document = files.document(f"h{number:05}", catalogue, discovery, sizes.NODES, 1, members)
        self.real, hollow_path = (
            bench.real(real_document),
            files.write_document(bench.folder, hollow_document),
        )
        self.worker = await bench.worker()
        self.idle_worker = await self.worker.ask("begin")
        await asyncio.sleep(1.0)
        self.idle_worker_rate = rate(self.idle_worker, await self.worker.ask("read"))
        await self.real.start("basalthoist")
        self.start_s = await self.real.ready()
        await self.worker.ask("start", nodes=[{"file": str(hollow_path)}])

    async def begin(self) -> None:
        self.hollow_before, self.real_before = await self.worker.ask("begin"), self.real.read()

    async def end(self, late: float) -> list[Row]:
        after, hollow = self.real.read(), await self.worker.ask("read")
        void = void_reason(late)
        found = {
            "file": ((self.real.folder / "node.json").stat().st_size, "B", True),
            "start to ready": (self.start_s, "s", False),
            "memory of a node": (after["memory_mb"], "MB", False),
            "part of a core of a node that nobody asks": (rate(self.real_before, after), "core", False),
            "memory of a hollow node": (hollow["memory_mb"] - self.idle_worker["memory_mb"], "MB", False),
            "part of a core of a hollow node": (
                rate(self.hollow_before, hollow) - self.idle_worker_rate,
                "core",
                False,
            ),
        }
        return [Row(NAME, f"{figure}, by {self.of}", self.x, value, self.of, unit, counted,
                    "" if counted else void) for figure, (value, unit, counted) in found.items()]  # fmt: skip


def rate(old: dict, new: dict) -> float:
    return (new["cpu_s"] - old["cpu_s"]) / (new["at"] - old["at"])


async def measure_together(bench: Bench, arguments: list[tuple]) -> list[Row]:
    points = [Point(bench, *one) for one in arguments]
    for point in points:
        await point.start()
    await asyncio.sleep(SETTLE_S)
    for point in points:
        await point.begin()
    # The rows are void if the bench's event loop is late, not a worker's: the worker's loop is blocked by the
    # once-a-second tick, which is part of the measurement.
    bench.lateness.begin()
    await asyncio.sleep(WINDOW_S)
    late = bench.lateness.p99_ms()
    return [row for point in points for row in await point.end(late)]


async def measure(ask: Ask, folder: Path, say) -> AsyncIterator[list[Row]]:
    for turn in range(1 if ask.quick else REPETITIONS):
        for share in ask.shares:
            began = time.monotonic()
            try:
                async with Bench(folder / f"{turn}-{share:g}") as bench:
                    found = await measure_together(bench, points(share))
            except RunFailed as error:
                found = [Row(NAME, "run", share, 0.0, "hundredths", "", void=str(error))]
            yield found
            say(f"{share:g}% of the catalogue: {time.monotonic() - began:.0f} s")
