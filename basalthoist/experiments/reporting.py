"""Tables and charts, made from raw results alone."""

import csv
from pathlib import Path

from .charts import chart
from .running import RunError, results_of
from .statistics import Mean, mean_of, paired

FIGURES = ("kept", "worst_route", "in_time", "late", "shed", "failed", "p50_ms", "p99_ms")


def grouped(found: list[dict]) -> dict[tuple, list[dict]]:
    groups: dict[tuple, list[dict]] = {}
    for result in found:
        groups.setdefault((result["value"], result["policy"]), []).append(result)
    return groups


def rows(found: list[dict]) -> list[dict]:
    made = []
    for (value, policy), results in grouped(found).items():
        row = {"value": value, "policy": policy, "runs": len(results)}
        row |= {name: mean_of([r["figures"][name] for r in results]) for name in FIGURES}
        row["broken"] = sum(not r["kept_rules"] for r in results)
        for name in ("probes", "words", "connections"):
            row[name] = mean_of([r["counts"][name] / max(r["counts"]["sends"], 1) for r in results])
        made.append(row)
    return made


def order_of(about: dict):
    plan = about["plan"]
    values = plan["sweep"]["values"] if plan["sweep"] else [None]
    return lambda row: (values.index(row["value"]), plan["policies"].index(row["policy"]))


def write_tables(about: dict, made: list[dict], folder: Path) -> None:
    names = ["value", "policy", "runs", *FIGURES, "broken", "probes", "words", "connections"]
    with (folder / "table.csv").open("w", newline="") as file:
        out = csv.writer(file)
        out.writerow(
            [part for name in names for part in ((name, f"{name}_half") if name in FIGURES else (name,))]
        )
        for row in made:
            cells = []
            for name in names:
                cell = row[name]
                if isinstance(cell, Mean):
                    cells += (
                        [f"{cell.mean:.6g}", f"{cell.half:.6g}"] if name in FIGURES else [f"{cell.mean:.6g}"]
                    )
                else:
                    cells.append("" if cell is None else cell)
            out.writerow(cells)
    shown = [name for name in names if name != "value" or about["plan"]["sweep"]]
    heads = [about["plan"]["sweep"]["key"] if name == "value" else name for name in shown]
    lines = ["| " + " | ".join(heads) + " |", "| " + " | ".join("---" for _ in heads) + " |"]
    for row in made:
        cells = [
            c.text(1 if n.endswith("ms") else 3) if isinstance(c := row[n], Mean) else str(c) for n in shown
        ]
        lines.append("| " + " | ".join(cells) + " |")
    plan = about["plan"]
    source = f"Emulated. Revision {about['revision']}, {about['machine']}"
    source += f"; {plan['seeds']} seeds a row, 95% intervals."
    head = [f"# {plan['name']}", "", plan["asks"], "", source, ""]
    (folder / "table.md").write_text("\n".join(head + lines) + "\n")


def write_charts(about: dict, made: list[dict], found: list[dict], folder: Path) -> None:
    plan = about["plan"]
    with chart(folder, "chart", ("png", "svg")) as axes:
        if plan["sweep"]:
            for policy in plan["policies"]:
                mine = [row for row in made if row["policy"] == policy]
                means = [row[plan["figure"]] for row in mine]
                values, halves = [row["value"] for row in mine], [m.half for m in means]
                axes.errorbar(values, [m.mean for m in means], halves,
                              marker="o", markersize=3, capsize=2, label=policy)  # fmt: skip
            axes.set_xlabel(plan["sweep"]["key"])
        else:
            for policy in plan["policies"]:
                seconds = [r["seconds"] for r in found if r["policy"] == policy]
                parts = []
                for at in range(len(seconds[0])):
                    offered = sum(run[at]["offered"] for run in seconds)
                    parts.append(
                        sum(run[at]["in_time"] for run in seconds) / offered if offered else float("nan")
                    )
                axes.plot(range(len(parts)), parts, label=policy)
            axes.set_xlabel("second")
        axes.set_ylabel(plan["figure"] if plan["sweep"] else "in time")
        axes.set_ylim(bottom=0)
        axes.set_title(plan["name"])


def write_report(folder: Path) -> None:
    about, found = results_of(folder)
    made = sorted(rows(found), key=order_of(about))
    try:
        write_tables(about, made, folder)
        write_charts(about, made, found, folder)
    except OSError as wrong:
        raise RunError(f"{folder}: {wrong.strerror}") from wrong


def compare(one: Path, other: Path, figure: str, policy: str | None = None) -> list[tuple[object, str, Mean]]:
    """Differences one minus other for each value and policy, run by run on the same seeds."""
    sides = []
    for folder in (one, other):
        _, found = results_of(folder)
        sides.append(
            {
                key: {r["seed"]: r["figures"][figure] for r in results}
                for key, results in grouped(found).items()
            }
        )
    common = [key for key in sides[0] if key in sides[1] and (policy is None or key[1] == policy)]
    if not common:
        raise RunError(f"{one} and {other} have no run in common")
    return [(*key, paired(sides[0][key], sides[1][key])) for key in common]
