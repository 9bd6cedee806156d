"""What a fleet costs its nodes: the same load with it and without it, in turns."""

import asyncio
import tempfile
from pathlib import Path

import msgspec

from ..statistics import Mean, paired
from .rig import Rig
from .timeline import Timeline

BOUNDS = {"lease_s": 2.0, "beat_s": 0.2, "fresh_s": 1.0, "stale_s": 4.0}
LOADED = Timeline(name="cost", nodes=3, voters=3, rate=150.0, length_s=6.0, **BOUNDS)
FIGURES = ("cpu_us", "p99_ms")


def once(off: bool, seed: int) -> dict:
    told = msgspec.structs.replace(LOADED, seed=seed)
    with tempfile.TemporaryDirectory(prefix="rig-") as folder:
        result = asyncio.run(Rig(told, Path(folder), off=off).play())
    if result["broken"]:
        raise RuntimeError("; ".join(result["broken"]))
    return {"cpu_us": result["cpu_s"] / result["runs"] * 1e6, "p99_ms": result["p99_ms"]}


def compare(pairs: int, say) -> dict[str, tuple[Mean, float]]:
    """For each figure the difference with less without, and what it is without."""
    sides: tuple[dict, dict] = {}, {}
    for seed in range(pairs):
        for off in (seed % 2 == 0, seed % 2 == 1):
            sides[off][seed] = once(off, seed)
            say(f"pair {seed} {'without' if off else 'with'}: "
                + ", ".join(f"{key} {figure:.2f}" for key, figure in sides[off][seed].items()))  # fmt: skip
    found = {}
    for key in FIGURES:
        on, off = ({seed: one[key] for seed, one in side.items()} for side in sides)
        found[key] = paired(on, off), sum(off.values()) / len(off)
    return found
