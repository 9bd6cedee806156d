"""One command: measure the layers that were asked for and keep the raw rows as they come."""

import asyncio
import tempfile
from pathlib import Path

from . import layers, rows
from .sizes import Ask

LONGEST_S = 900  # for one layer; what is not done by then is not there


def carry_out(ask: Ask, names: str | None, say) -> int:
    """The number of void rows. Raises TimeoutError; what was measured before is kept."""
    import uvloop

    chosen, void = layers.layers(names), 0

    async def one(layer, folder: Path) -> int:
        found = 0
        async with asyncio.timeout(LONGEST_S):
            async for made in layer.measure(ask, folder, say):
                rows.keep(ask.folder, layer.NAME, made)
                found += sum(bool(row.void) for row in made)
        return found

    for layer in chosen:
        say(f"{layer.NAME}: {layer.ABOUT}")
        runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        with tempfile.TemporaryDirectory(prefix="scale-") as folder, runner:
            void += runner.run(one(layer, Path(folder)))
    return void
