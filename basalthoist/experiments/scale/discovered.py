"""Layer: a node and its agent of discovery. The whole list, then changes of one backend down the watch."""

import asyncio
import time
from collections.abc import AsyncIterator
from pathlib import Path

from basalthoist.configuration import Limits

from . import files, sizes
from .agent import change_text, list_text
from .bench import Bench, RunFailed
from .lateness import void_of
from .rows import Row
from .sizes import Ask, part_of

NAME = "discovery"
ABOUT = "a list's bytes, a change's bytes, and what a change costs a node, by backends"
CHANGES, EVERY_S, TIMES = 20, 0.25, 2
FEW = files.Catalogue(routes=10, tenants=20, backends=0)


async def one(bench: Bench, backends: int, times: int) -> list[Row]:
    """The node's file has no list: all comes from the agent."""
    members = [files.member(number) for number in range(backends)]
    agent, discovery = await bench.agent(members)
    real = bench.real(files.document("n00000", FEW, discovery, sizes.NODES, 0, members, saved=False))
    await real.start("basalthoist")
    start_s = await real.ready()
    until = time.monotonic() + 20
    while not agent.watches:
        if time.monotonic() > until:
            raise RunFailed(f"no watch after {agent.lists} lists: {real.log.read_text()[-200:]}")
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.5)
    idle = real.read()
    await asyncio.sleep(times * EVERY_S)
    before, told, size = real.read(), agent.messages, 0
    bench.lateness.begin()
    for number in range(times):
        changed = files.member(number % backends) | {"size": 1.0 + number % 2}
        size = max(size, agent.change([changed]))
        await asyncio.sleep(EVERY_S)
    after = real.read()
    void, told = void_of(bench.lateness.p99_ms()), agent.messages - told
    rest = (before["cpu_s"] - idle["cpu_s"]) / (before["at"] - idle["at"])
    spent = after["cpu_s"] - before["cpu_s"] - rest * (after["at"] - before["at"])
    found = {
        "bytes of a whole list": (agent.list_bytes / agent.lists, "B", True),
        "bytes of a change of one backend": (size, "B", True),
        "messages for a change": (round((told - times * EVERY_S / 2) / times), "", True),
        "processor time of a change": (spent / times * 1000, "ms", False),
        "start to ready without a saved list": (start_s, "s", False),
    }
    return [Row(NAME, figure, backends, value, "backends", unit, counted, void)
            for figure, (value, unit, counted) in found.items()]  # fmt: skip


def counted(backends: int) -> tuple[int, int]:
    """Bytes of a list and of a change, without a node."""
    members = [files.member(number) for number in range(backends)]
    return len(list_text(1, members)), len(change_text(2, members[:1]))


def within_the_default(backends: int) -> bool:
    """Whether a node with the limits that a file has by default would take the list at all."""
    return counted(backends)[0] <= Limits().list_bytes


async def measure(ask: Ask, folder: Path, say) -> AsyncIterator[list[Row]]:
    for turn in range(1 if ask.quick else TIMES):
        for share in ask.shares:
            backends = part_of(sizes.BACKENDS, share)
            try:
                async with Bench(folder / f"{turn}-{backends}") as bench:
                    found = await one(bench, backends, 4 if ask.quick else CHANGES)
            except RunFailed as wrong:
                found = [Row(NAME, "run", backends, 0.0, "backends", "", void=str(wrong))]
            yield found
            say(f"{backends} backends: done")
