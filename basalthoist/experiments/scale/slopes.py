"""A slope for each figure with its interval, and whether the largest size bends away from the line."""

from math import log
from typing import NamedTuple

from .rows import Row

BEND = 0.15  # of what the line through the smaller sizes foretells for the largest


class Slope(NamedTuple):
    layer: str
    figure: str
    of: str
    unit: str
    counted: bool
    intercept: float
    slope: float
    half: float  # of the 95% interval of the slope; nan where it has none
    sizes: list[float]
    samples: int
    largest: float  # the mean there
    bend: float | None  # measured over foretold at the largest size; None: too few sizes
    power: float | None  # of the growth between the two largest sizes: 1 is a line through nothing

    def at(self, x: float) -> float:
        return self.intercept + self.slope * x

    def between(self) -> tuple[float, float]:
        return self.slope - self.half, self.slope + self.half

    def bent(self) -> bool:
        return self.bend is not None and abs(self.bend - 1) > BEND


def mean(values: list[float]) -> float:
    return sum(values) / len(values)


def line(xs: list[float], ys: list[float]) -> tuple[float, float, float]:
    """Intercept, slope and half of its 95% interval, by least squares."""
    from scipy import stats  # takes a second, which a faulty call need not wait for

    fitted = stats.linregress(xs, ys)
    free = len(xs) - 2
    half = float(stats.t.ppf(0.975, free)) * float(fitted.stderr) if free > 0 else float("nan")
    return float(fitted.intercept), float(fitted.slope), half


def slope_of(rows: list[Row]) -> Slope | None:
    """None: fewer than two sizes are left that count."""
    rows = [row for row in rows if not row.void]
    sizes = sorted({row.x for row in rows})
    if len(sizes) < 2:
        return None
    first, by_size = rows[0], {x: mean([r.value for r in rows if r.x == x]) for x in sizes}
    intercept, slope, half = line([r.x for r in rows], [r.value for r in rows])
    bend, last = None, sizes[-1]
    if len(sizes) > 2:
        under, rise, _ = line([r.x for r in rows if r.x < last], [r.value for r in rows if r.x < last])
        foretold = under + rise * last
        bend = by_size[last] / foretold if foretold > 0 else None
    before, power = sizes[-2], None
    if by_size[before] > 0 and by_size[last] > 0:
        power = log(by_size[last] / by_size[before]) / log(last / before)
    return Slope(first.layer, first.figure, first.of, first.unit, first.counted, intercept, slope, half,
                 sizes, len(rows), by_size[last], bend, power)  # fmt: skip


def slopes(rows: list[Row]) -> dict[str, Slope]:
    groups: dict[str, list[Row]] = {}
    for row in rows:
        groups.setdefault(f"{row.layer}: {row.figure}", []).append(row)
    found = {name: slope_of(mine) for name, mine in groups.items()}
    return {name: slope for name, slope in found.items() if slope is not None}


def broken(found: dict[str, Slope], kept: dict[str, Slope]) -> list[str]:
    """Counted slopes that lie farther from those kept than both intervals allow.

    For state that is a hundredth of it at the least: another build of Python holds it a little otherwise.
    """
    lines = []
    for name, slope in found.items():
        before = kept.get(name)
        if before is None:
            lines.append(f"{name}: not among those kept")
            continue
        halves = [s.half for s in (slope, before) if s.half == s.half]
        least = 0.01 if "state" in slope.figure else 1e-6
        allowed = max(sum(halves), abs(before.slope) * least, 1e-9)
        if abs(slope.slope - before.slope) > allowed:
            lines.append(f"{name}: {slope.slope:.6g} {slope.unit} a unit, {before.slope:.6g} kept, "
                         f"{allowed:.2g} allowed")  # fmt: skip
    return lines
