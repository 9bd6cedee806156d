"""What the tool can measure. A further layer is a module with `NAME`, `ABOUT` and

    async def measure(ask: Ask, folder: Path, say: Callable[[str], None]) -> list[Row]

named in `MODULES`. It opens a `Bench` for each run, which ends all that it starts, and gives back rows: a
figure at a size `x`, or the reason why that run is void. Rows with the same figure become one slope. Where
its nodes or relays share processes, its roles go into `hollow.ROLES`.
"""

from importlib import import_module

from .sizes import BadInput

MODULES = {"counts": "counts", "catalogue": "catalogue", "discovery": "discovered", "fleet": "fleets",
           "path": "datapath"}  # fmt: skip


def layers(text: str | None) -> list:
    """By their names, in order; all where none is named. Raises BadInput."""
    names = text.split(",") if text else list(MODULES)
    for name in names:
        if name not in MODULES:
            raise BadInput(f"--layers: expected some of {', '.join(MODULES)}, got {name!r}")
    return [import_module(f"{__package__}.{MODULES[name]}") for name in names]
