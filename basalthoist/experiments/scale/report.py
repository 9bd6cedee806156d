"""Writes tables, charts and the ranking from the raw rows."""

import json
from pathlib import Path

from ..charts import chart
from . import ranking, sizes
from .parts import PARTS
from .rows import Row, rows_in
from .slopes import Slope, mean, slopes

HEAD = "| figure | by | sizes | a unit more, 95% | at nothing | at the largest | against the line |"


def text(value: float) -> str:
    return f"{value:.3g}" if abs(value) < 1000 else f"{value:,.0f}"


def row_of(slope: Slope) -> str:
    half = "" if slope.half != slope.half else f" ± {text(slope.half)}"
    bend = "" if slope.bend is None else f"{slope.bend:.2f}" + (", **bends**" if slope.bent() else "")
    cells = [
        slope.figure + (" (counted)" if slope.counted else ""), slope.of,
        ", ".join(f"{x:,.0f}" for x in slope.sizes) + f" ({slope.samples})",
        f"{text(slope.slope)}{half} {slope.unit}", text(slope.intercept), text(slope.largest), bend,
    ]  # fmt: skip
    return "| " + " | ".join(cells) + " |"


def table(head: list[str], body: list[list[str]]) -> list[str]:
    lines = ["| " + " | ".join(head) + " |", "| " + " | ".join("---" for _ in head) + " |"]
    return lines + ["| " + " | ".join(cells) + " |" for cells in body]


def points_at_mean_rate(rows: list[Row]) -> dict[str, float]:
    """Returns the mean of each figure of layer `path` at the mean request rate of a node."""
    groups: dict[str, list[float]] = {}
    for row in rows:
        if row.layer == "path" and not row.void and row.x == round(sizes.NODE_REQUESTS_S):
            groups.setdefault(f"path: {row.figure}", []).append(row.value)
    return {name: mean(values) for name, values in groups.items()}


def path_table(rows: list[Row]) -> list[str]:
    """Returns a table of layer `path`: a column for each run, a line for each part of the added latency."""
    mine = [row for row in rows if row.layer == "path" and not row.void and "; " in row.figure]
    runs, found = [], {}
    for row in mine:
        figure, _, tail = row.figure.rpartition("; ")
        key = (tail, row.x)
        runs += [key] if key not in runs else []
        found.setdefault((figure, key), []).append(row.value)
    if not runs:
        return []
    figures = list(dict.fromkeys(figure for figure, _ in found))
    order = [f for f in figures if not any(f.startswith(f"{part}: ") for part in PARTS)]
    order += [f"{part}: {how}" for how in ("mean", "99th percentile", "mean of the slowest hundredth")
              for part in PARTS]  # fmt: skip
    head = ["ms, where nothing else is said", *(f"{x:g}/s, {tail}" for tail, x in runs)]
    body = []
    for figure in order:
        cells = [text(mean(found[figure, run])) if (figure, run) in found else "" for run in runs]
        if any(cells):
            body.append([figure, *cells])
    return ["", "## path: parts of what is added", "", *table(head, body)]


def hollow_beside_real(rows: list[Row]) -> list[str]:
    """Returns a table that compares a hollow node with a real one of the same run."""
    pairs = [("part of a core", "part of a core"), ("words in", "words in"), ("words out", "words out"),
             ("bytes in", "bytes in"), ("bytes out", "bytes out")]  # fmt: skip
    fleet = [row for row in rows if row.layer == "fleet" and not row.void]
    body = []
    for hollow, real in pairs:
        for row in fleet:
            if row.figure.startswith(f"hollow node: {hollow}, "):
                name = f"real node: {real}" + row.figure.removeprefix(f"hollow node: {hollow}")
                for other in fleet:
                    if (other.figure, other.x, other.run) == (name, row.x, row.run) and other.value:
                        body.append([row.figure, f"{row.x:.0f}", text(row.value), text(other.value),
                                     f"{row.value / other.value:.2f}"])  # fmt: skip
    if not body:
        return []
    return ["", "## Hollow beside real", "", *table(["figure", "nodes", "hollow", "real", "ratio"], body)]


def rank_table(found: dict[str, Slope], points: dict[str, float]) -> list[str]:
    needs, missing = ranking.needs(found, points)
    body = []
    for need in needs:
        no_mechanism = need.how == "no mechanism"
        body.append([need.what, f"{text(need.need)} {need.unit}", "" if no_mechanism else text(need.allowed),
                     "-" if no_mechanism else f"{need.ratio():.2f}", need.how, need.carried_by])  # fmt: skip
    head = ["what", "need", "allowed", "ratio", "how known", "carried by"]
    lines = ["# Need over allowance", "", *table(head, body)]
    return lines + ([""] + [f"Not measured: {what}." for what in missing] if missing else [])


def write(folder: Path) -> None:
    """Writes table.md, ranking.md, slopes.json and the charts. Raises BadInput."""
    rows = rows_in(folder)
    found, points = slopes(rows), points_at_mean_rate(rows)
    source = "Made from the raw rows beside it: `python -m basalthoist scale --report FOLDER`."
    lines = ["# Scale: slopes", "", source]
    for layer in dict.fromkeys(row.layer for row in rows):
        mine = [s for s in found.values() if s.layer == layer and ": mean" not in s.figure]
        lines += ["", f"## {layer}", "", HEAD, "| --- | --- | --- | --- | --- | --- | --- |"]
        lines += [row_of(slope) for slope in mine]
    lines += path_table(rows) + hollow_beside_real(rows)
    voids = sorted({f"{row.layer}: {row.figure} at {row.x:g}: {row.void.splitlines()[0]}"
                    for row in rows if row.void})  # fmt: skip
    if voids:
        lines += ["", f"Void, and in no slope: {len(voids)} rows."] + [f"- {line}" for line in voids[:12]]
    (folder / "table.md").write_text("\n".join(lines) + "\n")
    (folder / "ranking.md").write_text("\n".join(rank_table(found, points)) + "\n")
    stored = {name: {"slope": s.slope, "half": s.half, "intercept": s.intercept, "of": s.of, "unit": s.unit,
                     "sizes": s.sizes, "samples": s.samples, "counted": s.counted, "bend": s.bend}
              for name, s in found.items()}  # fmt: skip
    # JSON has no NaN: `half` is null for a slope without an interval.
    for entry in stored.values():
        entry["half"] = None if entry["half"] != entry["half"] else entry["half"]
    (folder / "slopes.json").write_text(json.dumps(stored, indent=1, sort_keys=True) + "\n")
    charts(folder, rows, found)


def draw(folder: Path, name: str, rows: list[Row], figures: list[str], allowed: float, unit: str,
          of: str) -> None:  # fmt: skip
    present = [f for f in figures if any(r.figure == f and not r.void and r.value > 0 for r in rows)]
    if not present:
        return
    with chart(folder, name) as axes:
        for figure in present:
            mine = [r for r in rows if r.figure == figure and not r.void and r.value > 0]
            xs = sorted({r.x for r in mine})
            axes.plot(xs, [mean([r.value for r in mine if r.x == x]) for x in xs], marker="o", label=figure)
        if allowed:
            axes.axhline(allowed, color="black", linestyle="--", label="allowed")
        axes.set_xscale("log")
        axes.set_yscale("log")
        axes.set_xlabel(of)
        axes.set_ylabel(unit)


def charts(folder: Path, rows: list[Row], found: dict[str, Slope]) -> None:
    beats = (ranking.QUICK, ranking.SLOW)
    fleet = [r for r in rows if r.layer == "fleet"]
    roles = ("hollow node", "voter", "author")
    core_figures = [f"{role}: part of a core, {beat}" for beat in beats for role in roles]
    draw(folder, "fleet-core", fleet, core_figures, sizes.CORE_PART, "part of a core", "nodes")
    byte_figures = [
        f"{role}, {beat}" for beat in beats for role in ("hollow node: bytes in", "author: bytes out")
    ]
    draw(folder, "fleet-bytes", fleet, byte_figures, sizes.CONTROL_BYTES_S, "bytes a second", "nodes")
    catalogue = [r for r in rows if r.layer == "catalogue"]
    kinds = ("tenants", "routes", "backends")
    for name, figure, allowed, unit in (
        ("memory", "memory of a node", sizes.CONTROL_MB, "MB"), ("start", "start to ready", 10.0, "s"),
        ("core", "part of a core of a node that nobody asks", sizes.CORE_PART, "part of a core"),
    ):  # fmt: skip
        draw(folder, f"catalogue-{name}", catalogue, [f"{figure}, by {kind}" for kind in kinds], allowed,
             unit, "how many stand in the file")  # fmt: skip
    path_chart(folder, rows)


def path_chart(folder: Path, rows: list[Row]) -> None:
    """Draws a stacked bar for each run: the parts of the latency added to its slowest 1% of requests."""
    separator = ": mean of the slowest hundredth; "
    mine = [r for r in rows if r.layer == "path" and not r.void and separator in r.figure]
    runs = list(dict.fromkeys((r.figure.partition(separator)[2], r.x) for r in mine))
    if not runs:
        return
    with chart(folder, "path") as axes:
        left = [0.0] * len(runs)
        for part in PARTS:
            values = []
            for tail, x in runs:
                found = [r.value for r in mine if r.figure == f"{part}{separator}{tail}" and r.x == x]
                values.append(mean(found) if found else 0.0)
            if max(values) > 0.01:
                axes.barh([f"{x:g}/s, {tail}" for tail, x in runs], values, left=left, label=part)
            left = [a + b for a, b in zip(left, values, strict=True)]
        axes.axvline(sizes.ADDED_P99_MS, color="black", linestyle="--", label="allowed")
        axes.set_xscale("symlog", linthresh=4)
        axes.set_xlabel("ms added, mean of the slowest hundredth")
