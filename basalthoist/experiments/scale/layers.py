"""What the tool can measure. A further layer is a module, or an object in one, with `NAME`, `ABOUT` and

    async def measure(ask: Ask, folder: Path, say: Callable[[str], None]) -> AsyncIterator[list[Row]]

named in `WHERE`. It opens a `Bench` for each run, which ends all that it starts, and yields rows after each:
a figure at a size `x`, or the reason why that run is void. They are kept at once, in `NAME.jsonl`. Rows of
one figure become one slope. Roles that share processes, such as relays and subscribers, go into
`hollow.ROLES`, needs that follow from the slopes into `ranking.needs`.
"""

from importlib import import_module

from .sizes import BadInput

WHERE = {"counts": "counts", "catalogue": "catalogue", "discovery": "discovered", "fleet": "fleets:QUICK",
         "slow-fleet": "fleets:SLOW", "path": "datapath"}  # fmt: skip


def layers(text: str | None) -> list:
    """By their names, in order; all where none is named. Raises BadInput."""
    names = text.split(",") if text else list(WHERE)
    for name in names:
        if name not in WHERE:
            raise BadInput(f"--layers: expected some of {', '.join(WHERE)}, got {name!r}")
    found = [(import_module(f"{__package__}.{where.partition(':')[0]}"), where.partition(":")[2])
             for where in (WHERE[name] for name in names)]  # fmt: skip
    return [getattr(module, inner) if inner else module for module, inner in found]
