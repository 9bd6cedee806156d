"""Layer: what stands in a node's file. One real node a point, and the same file at a hollow one beside it."""

import asyncio
import json
import time
from collections.abc import AsyncIterator
from pathlib import Path

from . import files, sizes
from .bench import Bench, RunFailed
from .lateness import void_of
from .rows import Row
from .sizes import Ask, part_of

NAME = "catalogue"
ABOUT = "a node's file, start, memory and share of a core by tenants, routes and backends"
FEW = files.Catalogue(routes=10, tenants=20, backends=30)
WINDOW_S, SETTLE_S, TIMES = 6.0, 2.5, 2


def points(share: float) -> list[tuple[str, int, files.Catalogue]]:
    tenants, routes, backends = (part_of(whole, share)
                                 for whole in (sizes.TENANTS, sizes.ROUTES, sizes.BACKENDS))  # fmt: skip
    return [
        ("tenants", tenants, files.Catalogue(FEW.routes, tenants, FEW.backends)),
        ("routes", routes, files.Catalogue(routes, FEW.tenants, FEW.backends)),
        ("backends", backends, files.Catalogue(FEW.routes, FEW.tenants, backends)),
        ("tenants, and routes in proportion", tenants, files.Catalogue(routes, tenants, FEW.backends)),
    ]


def bytes_of(told: files.Catalogue) -> int:
    return len(json.dumps(files.document("n00000", told, "127.0.0.1:9", 1)))


class Point:
    """A node's own process with a file of this size, and a hollow one with the same beside it."""

    def __init__(self, bench: Bench, of: str, x: int, told: files.Catalogue) -> None:
        self.bench, self.of, self.x, self.told = bench, of, x, told

    async def start(self) -> None:
        """One after the other: a start is measured alone."""
        bench, told, number = self.bench, self.told, len(self.bench.reals)
        members = [files.member(n) for n in range(told.backends)]
        _, discovery = await bench.agent(members)
        made = files.document(f"n{number:05}", told, discovery, sizes.NODES, 0, members)
        twin = files.document(f"h{number:05}", told, discovery, sizes.NODES, 1, members)
        self.real, twin_path = bench.real(made), files.put(bench.folder, twin)
        self.worker = await bench.worker()
        self.empty = await self.worker.ask("begin")
        await asyncio.sleep(1.0)
        self.empty_rate = rate(self.empty, await self.worker.ask("read"))
        await self.real.start("basalthoist")
        self.start_s = await self.real.ready()
        await self.worker.ask("start", nodes=[{"file": str(twin_path)}])

    async def begin(self) -> None:
        self.hollow, self.before = await self.worker.ask("begin"), self.real.read()

    async def end(self, late: float) -> list[Row]:
        after, hollow = self.real.read(), await self.worker.ask("read")
        void = void_of(late)
        found = {
            "file": ((self.real.folder / "node.json").stat().st_size, "B", True),
            "start to ready": (self.start_s, "s", False),
            "memory of a node": (after["memory_mb"], "MB", False),
            "part of a core of a node that nobody asks": (rate(self.before, after), "core", False),
            "memory of a hollow node": (hollow["memory_mb"] - self.empty["memory_mb"], "MB", False),
            "part of a core of a hollow node": (rate(self.hollow, hollow) - self.empty_rate, "core", False),
        }
        return [Row(NAME, f"{figure}, by {self.of}", self.x, value, self.of, unit, counted,
                    "" if counted else void) for figure, (value, unit, counted) in found.items()]  # fmt: skip


def rate(old: dict, new: dict) -> float:
    return (new["cpu_s"] - old["cpu_s"]) / (new["at"] - old["at"])


async def together(bench: Bench, found: list[tuple]) -> list[Row]:
    points = [Point(bench, *one) for one in found]
    for point in points:
        await point.start()
    await asyncio.sleep(SETTLE_S)
    for point in points:
        await point.begin()
    # The bench's own lateness, not a worker's: that one stands still by what is measured, a second's round.
    bench.lateness.begin()
    await asyncio.sleep(WINDOW_S)
    late = bench.lateness.p99_ms()
    return [row for point in points for row in await point.end(late)]


async def measure(ask: Ask, folder: Path, say) -> AsyncIterator[list[Row]]:
    for turn in range(1 if ask.quick else TIMES):
        for share in ask.shares:
            began = time.monotonic()
            try:
                async with Bench(folder / f"{turn}-{share:g}") as bench:
                    found = await together(bench, points(share))
            except RunFailed as wrong:
                found = [Row(NAME, "run", share, 0.0, "hundredths", "", void=str(wrong))]
            yield found
            say(f"{share:g}% of the catalogue: {time.monotonic() - began:.0f} s")
