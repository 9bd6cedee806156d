"""The layers that the bench can measure. A layer is a module, or an object in one, with `NAME`, `ABOUT` and

    async def measure(ask: Ask, folder: Path, say: Callable[[str], None]) -> AsyncIterator[list[Row]]

and is listed in `MODULES`. It opens a `Bench` for each run, which ends all processes that it started, and
yields rows after each run: a figure at a size `x`, or the reason why the run is void. The rows are stored at
once, in `NAME.jsonl`. The rows of a figure give one slope. Roles that share a process, such as relays
and subscribers, are added to `hollow.ROLES`, needs that follow from slopes to `ranking.needs`.
"""

from importlib import import_module

from .sizes import BadInput

MODULES = {"counts": "counts", "catalogue": "catalogue", "discovery": "discovered", "fleet": "fleets:QUICK",
         "slow-fleet": "fleets:SLOW", "path": "datapath"}  # fmt: skip


def layers(text: str | None) -> list:
    """Returns the layers of a comma-separated list in that order, or all without a list. Raises BadInput."""
    names = text.split(",") if text else list(MODULES)
    for name in names:
        if name not in MODULES:
            raise BadInput(f"--layers: expected some of {', '.join(MODULES)}, got {name!r}")
    found = [(import_module(f"{__package__}.{location.partition(':')[0]}"), location.partition(":")[2])
             for location in (MODULES[name] for name in names)]  # fmt: skip
    return [getattr(module, attribute) if attribute else module for module, attribute in found]
