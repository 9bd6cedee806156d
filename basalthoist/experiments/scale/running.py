"""Measures the requested layers and stores the raw rows as they come."""

import asyncio
import tempfile
from pathlib import Path

from . import layers, rows
from .sizes import Ask

LONGEST_S = 900  # time limit of a layer; the runs that it has not finished by then are missing


def carry_out(ask: Ask, names: str | None, say) -> int:
    """Returns the number of void rows. Raises TimeoutError; rows measured before stay stored."""
    import uvloop

    chosen, void = layers.layers(names), 0

    async def measure_layer(layer, folder: Path) -> int:
        found = 0
        async with asyncio.timeout(LONGEST_S):
            async for made in layer.measure(ask, folder, say):
                rows.store(ask.folder, layer.NAME, made)
                found += sum(bool(row.void) for row in made)
        return found

    for layer in chosen:
        say(f"{layer.NAME}: {layer.ABOUT}")
        runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        with tempfile.TemporaryDirectory(prefix="scale-") as folder, runner:
            void += runner.run(measure_layer(layer, Path(folder)))
    return void
