"""Fits a line to each figure, with its confidence interval, and checks the largest size against the line."""

from math import log
from typing import NamedTuple

from .rows import Row

MAX_BEND = 0.15  # deviation of the largest size from the line through the smaller sizes, as a fraction


class Slope(NamedTuple):
    layer: str
    figure: str
    of: str
    unit: str
    counted: bool
    intercept: float
    slope: float
    half: float  # half the 95% interval of the slope; nan with two samples
    sizes: list[float]
    samples: int
    largest: float  # the mean at the largest size
    bend: float | None  # measured over expected at the largest size; None: too few sizes
    power: float | None  # exponent of growth between the two largest sizes: 1 is proportional

    def at(self, x: float) -> float:
        return self.intercept + self.slope * x

    def between(self) -> tuple[float, float]:
        return self.slope - self.half, self.slope + self.half

    def bent(self) -> bool:
        return self.bend is not None and abs(self.bend - 1) > MAX_BEND


def mean(values: list[float]) -> float:
    return sum(values) / len(values)


def line(xs: list[float], ys: list[float]) -> tuple[float, float, float]:
    """Fits by least squares; returns the intercept, the slope and half of its 95% interval."""
    from scipy import stats  # the import takes a second; invalid calls need not wait for it

    fitted = stats.linregress(xs, ys)
    freedom = len(xs) - 2
    half = float(stats.t.ppf(0.975, freedom)) * float(fitted.stderr) if freedom > 0 else float("nan")
    return float(fitted.intercept), float(fitted.slope), half


def slope_of(rows: list[Row]) -> Slope | None:
    """Returns the slope of the rows that are not void, or None for fewer than two sizes."""
    rows = [row for row in rows if not row.void]
    sizes = sorted({row.x for row in rows})
    if len(sizes) < 2:
        return None
    first, by_size = rows[0], {x: mean([r.value for r in rows if r.x == x]) for x in sizes}
    intercept, slope, half = line([r.x for r in rows], [r.value for r in rows])
    bend, last = None, sizes[-1]
    if len(sizes) > 2:
        under, rise, _ = line([r.x for r in rows if r.x < last], [r.value for r in rows if r.x < last])
        expected = under + rise * last
        bend = by_size[last] / expected if expected > 0 else None
    before, power = sizes[-2], None
    if by_size[before] > 0 and by_size[last] > 0:
        power = log(by_size[last] / by_size[before]) / log(last / before)
    return Slope(first.layer, first.figure, first.of, first.unit, first.counted, intercept, slope, half,
                 sizes, len(rows), by_size[last], bend, power)  # fmt: skip


def slopes(rows: list[Row]) -> dict[str, Slope]:
    groups: dict[str, list[Row]] = {}
    for row in rows:
        groups.setdefault(f"{row.layer}: {row.figure}", []).append(row)
    found = {name: slope_of(group) for name, group in groups.items()}
    return {name: slope for name, slope in found.items() if slope is not None}


def deviations(found: dict[str, Slope], stored: dict[str, Slope]) -> list[str]:
    """Returns a line for each slope that differs from the stored one by more than both intervals allow.

    For state, at least 1% is allowed: another build of Python allocates slightly different sizes.
    """
    lines = []
    for name, slope in found.items():
        before = stored.get(name)
        if before is None:
            lines.append(f"{name}: no stored slope")
            continue
        halves = [s.half for s in (slope, before) if s.half == s.half]
        tolerance = 0.01 if "state" in slope.figure else 1e-6
        allowed = max(sum(halves), abs(before.slope) * tolerance, 1e-9)
        if abs(slope.slope - before.slope) > allowed:
            lines.append(f"{name}: {slope.slope:.6g} {slope.unit} a unit, {before.slope:.6g} stored, "
                         f"{allowed:.2g} allowed")  # fmt: skip
    return lines
