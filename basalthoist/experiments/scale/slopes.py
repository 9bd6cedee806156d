"""Fits a line to each figure, with its confidence interval, and checks the largest size against the line."""

from math import log
from typing import NamedTuple

from .rows import Row

MAX_BEND = 0.15  # deviation of the largest size from the line through the smaller sizes, as a fraction


class Slope(NamedTuple):
    layer: str
    figure: str
    of: str  # the quantity that the figure is measured against, such as nodes
    unit: str
    counted: bool
    intercept: float
    slope: float
    half: float  # half the 95% interval of the slope; nan with two samples
    sizes: list[float]
    samples: int
    largest: float  # the mean at the largest size
    bend: float | None  # ratio of measured to expected at the largest size; None: fewer than three sizes
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
    from scipy import stats  # takes a second, so a rejected command does not import it

    fitted = stats.linregress(xs, ys)
    degrees_of_freedom = len(xs) - 2
    half = (
        float(stats.t.ppf(0.975, degrees_of_freedom)) * float(fitted.stderr)
        if degrees_of_freedom > 0
        else float("nan")
    )
    return float(fitted.intercept), float(fitted.slope), half


def slope_of(rows: list[Row]) -> Slope | None:
    """Returns the slope of the rows that are not void, or None for fewer than two sizes."""
    rows = [row for row in rows if not row.void]
    sizes = sorted({row.x for row in rows})
    if len(sizes) < 2:
        return None
    first, by_size = rows[0], {x: mean([r.value for r in rows if r.x == x]) for x in sizes}
    intercept, slope, half = line([r.x for r in rows], [r.value for r in rows])
    bend, largest = None, sizes[-1]
    if len(sizes) > 2:
        intercept_below, slope_below, _ = line(
            [r.x for r in rows if r.x < largest], [r.value for r in rows if r.x < largest]
        )
        expected = intercept_below + slope_below * largest
        bend = by_size[largest] / expected if expected > 0 else None
    second_largest, power = sizes[-2], None
    if by_size[second_largest] > 0 and by_size[largest] > 0:
        power = log(by_size[largest] / by_size[second_largest]) / log(largest / second_largest)
    return Slope(first.layer, first.figure, first.of, first.unit, first.counted, intercept, slope, half,
                 sizes, len(rows), by_size[largest], bend, power)  # fmt: skip


def slopes(rows: list[Row]) -> dict[str, Slope]:
    groups: dict[str, list[Row]] = {}
    for row in rows:
        groups.setdefault(f"{row.layer}: {row.figure}", []).append(row)
    found = {name: slope_of(group) for name, group in groups.items()}
    return {name: slope for name, slope in found.items() if slope is not None}


def deviations(found: dict[str, Slope], stored: dict[str, Slope]) -> list[str]:
    """Returns a line for each slope that differs from the stored one by more than both half intervals added.

    At least 1% is allowed for figures of state: another build of Python allocates slightly different sizes.
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
