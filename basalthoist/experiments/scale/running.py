"""One command: measure the layers that were asked for, keep the raw rows, make the report."""

import asyncio
import tempfile
from pathlib import Path

from . import layers, rows
from .sizes import Ask

LONGEST_S = 900  # for one layer; what is not done by then is void


def carry_out(ask: Ask, names: str | None, say) -> int:
    """The number of void rows."""
    import uvloop

    chosen, void = layers.layers(names), 0

    async def one(layer, folder: Path) -> list:
        async with asyncio.timeout(LONGEST_S):
            return await layer.measure(ask, folder, say)

    for layer in chosen:
        say(f"{layer.NAME}: {layer.ABOUT}")
        runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        with tempfile.TemporaryDirectory(prefix="scale-") as folder, runner:
            found = runner.run(one(layer, Path(folder)))
        rows.keep(ask.folder, layer.NAME, found)
        void += sum(bool(row.void) for row in found)
    return void
