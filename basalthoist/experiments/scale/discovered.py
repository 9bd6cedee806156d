"""Layer: a node and its discovery agent, which serves the list and then sends changes of single backends."""

import asyncio
import time
from collections.abc import AsyncIterator
from pathlib import Path

from basalthoist.configuration import Limits

from . import files, sizes
from .agent import change_text, list_text
from .bench import Bench, RunFailed
from .lateness import void_reason
from .rows import Row
from .sizes import Ask, part_of

NAME = "discovery"
ABOUT = "a list's bytes, a change's bytes, and what a change costs a node, by backends"
CHANGES, CHANGE_INTERVAL_S, REPETITIONS = 20, 0.25, 2
FEW = files.Catalogue(routes=10, tenants=20, backends=0)


async def measure_node(bench: Bench, backends: int, changes: int) -> list[Row]:
    """Measures a node whose file has no endpoint list, so that it takes the list from the agent."""
    members = [files.member(number) for number in range(backends)]
    agent, discovery = await bench.agent(members)
    real = bench.real(files.document("n00000", FEW, discovery, sizes.NODES, 0, members, saved=False))
    await real.start("basalthoist")
    start_s = await real.ready()
    until = time.monotonic() + 20
    while not agent.watches:
        if time.monotonic() > until:
            raise RunFailed(
                f"node opened no watch within 20 s; agent served {agent.lists} lists: "
                f"{real.log.read_text()[-200:]}"
            )
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.5)
    idle = real.read()
    await asyncio.sleep(changes * CHANGE_INTERVAL_S)
    before, messages_before, change_bytes = real.read(), agent.messages, 0
    bench.lateness.begin()
    for number in range(changes):
        changed = files.member(number % backends) | {"size": 1.0 + number % 2}
        change_bytes = max(change_bytes, agent.change([changed]))
        await asyncio.sleep(CHANGE_INTERVAL_S)
    after = real.read()
    void, messages = void_reason(bench.lateness.p99_ms()), agent.messages - messages_before
    idle_core = (before["cpu_s"] - idle["cpu_s"]) / (before["at"] - idle["at"])
    cpu_s = after["cpu_s"] - before["cpu_s"] - idle_core * (after["at"] - before["at"])
    found = {
        "bytes of a whole list": (agent.list_bytes / agent.lists, "B", True),
        "bytes of a change of one backend": (change_bytes, "B", True),
        # Excludes the heartbeats that the agent sends every 2 s.
        "messages for a change": (round((messages - changes * CHANGE_INTERVAL_S / 2) / changes), "", True),
        "processor time of a change": (cpu_s / changes * 1000, "ms", False),
        "start to ready without a saved list": (start_s, "s", False),
    }
    return [Row(NAME, figure, backends, value, "backends", unit, counted, void)
            for figure, (value, unit, counted) in found.items()]  # fmt: skip


def message_sizes(backends: int) -> tuple[int, int]:
    """Returns the sizes of a list and of a change of one backend in bytes."""
    members = [files.member(number) for number in range(backends)]
    return len(list_text(1, members)), len(change_text(2, members[:1]))


def within_the_default(backends: int) -> bool:
    """Returns whether a node with the default limits accepts a list of this size."""
    return message_sizes(backends)[0] <= Limits().list_bytes


async def measure(ask: Ask, folder: Path, say) -> AsyncIterator[list[Row]]:
    for turn in range(1 if ask.quick else REPETITIONS):
        for share in ask.shares:
            backends = part_of(sizes.BACKENDS, share)
            try:
                async with Bench(folder / f"{turn}-{backends}") as bench:
                    found = await measure_node(bench, backends, 4 if ask.quick else CHANGES)
            except RunFailed as error:
                found = [Row(NAME, "run", backends, 0.0, "backends", "", void=str(error))]
            yield found
            say(f"{backends} backends: done")
