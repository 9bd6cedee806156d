"""Writes tables and charts from stored raw results."""

import csv
from pathlib import Path

from .charts import chart
from .running import RunError, results_of
from .statistics import Mean, mean_of, paired

FIGURES = ("kept", "worst_route", "in_time", "late", "shed", "failed", "p50_ms", "p99_ms")


def grouped(all_results: list[dict]) -> dict[tuple, list[dict]]:
    groups: dict[tuple, list[dict]] = {}
    for result in all_results:
        groups.setdefault((result["value"], result["policy"]), []).append(result)
    return groups


def rows(all_results: list[dict]) -> list[dict]:
    table_rows = []
    for (value, policy), results in grouped(all_results).items():
        row = {"value": value, "policy": policy, "runs": len(results)}
        row |= {name: mean_of([r["figures"][name] for r in results]) for name in FIGURES}
        row["broken"] = sum(not r["kept_rules"] for r in results)
        for name in ("probes", "words", "connections"):
            row[name] = mean_of([r["counts"][name] / max(r["counts"]["sends"], 1) for r in results])
        table_rows.append(row)
    return table_rows


def order_of(about: dict):
    plan = about["plan"]
    values = plan["sweep"]["values"] if plan["sweep"] else [None]
    return lambda row: (values.index(row["value"]), plan["policies"].index(row["policy"]))


def write_tables(about: dict, table_rows: list[dict], folder: Path) -> None:
    names = ["value", "policy", "runs", *FIGURES, "broken", "probes", "words", "connections"]
    with (folder / "table.csv").open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(
            [column for name in names for column in ((name, f"{name}_half") if name in FIGURES else (name,))]
        )
        for row in table_rows:
            cells = []
            for name in names:
                cell = row[name]
                if isinstance(cell, Mean):
                    cells += (
                        [f"{cell.mean:.6g}", f"{cell.half:.6g}"] if name in FIGURES else [f"{cell.mean:.6g}"]
                    )
                else:
                    cells.append("" if cell is None else cell)
            writer.writerow(cells)
    shown = [name for name in names if name != "value" or about["plan"]["sweep"]]
    columns = [about["plan"]["sweep"]["key"] if name == "value" else name for name in shown]
    lines = ["| " + " | ".join(columns) + " |", "| " + " | ".join("---" for _ in columns) + " |"]
    for row in table_rows:
        cells = [
            c.text(1 if n.endswith("ms") else 3) if isinstance(c := row[n], Mean) else str(c) for n in shown
        ]
        lines.append("| " + " | ".join(cells) + " |")
    plan = about["plan"]
    source = f"Emulated. Revision {about['revision']}, {about['machine']}"
    source += f"; {plan['seeds']} seeds a row, 95% intervals."
    title_lines = [f"# {plan['name']}", "", plan["asks"], "", source, ""]
    (folder / "table.md").write_text("\n".join(title_lines + lines) + "\n")


def write_charts(about: dict, table_rows: list[dict], all_results: list[dict], folder: Path) -> None:
    plan = about["plan"]
    with chart(folder, "chart", ("png", "svg")) as axes:
        if plan["sweep"]:
            for policy in plan["policies"]:
                policy_rows = [row for row in table_rows if row["policy"] == policy]
                means = [row[plan["figure"]] for row in policy_rows]
                values, halves = [row["value"] for row in policy_rows], [m.half for m in means]
                axes.errorbar(values, [m.mean for m in means], halves,
                              marker="o", markersize=3, capsize=2, label=policy)  # fmt: skip
            axes.set_xlabel(plan["sweep"]["key"])
        else:
            for policy in plan["policies"]:
                seconds = [r["seconds"] for r in all_results if r["policy"] == policy]
                fractions = []
                for second in range(len(seconds[0])):
                    offered = sum(run[second]["offered"] for run in seconds)
                    fractions.append(
                        sum(run[second]["in_time"] for run in seconds) / offered if offered else float("nan")
                    )
                axes.plot(range(len(fractions)), fractions, label=policy)
            axes.set_xlabel("second")
        axes.set_ylabel(plan["figure"] if plan["sweep"] else "in time")
        axes.set_ylim(bottom=0)
        axes.set_title(plan["name"])


def write_report(folder: Path) -> None:
    about, all_results = results_of(folder)
    table_rows = sorted(rows(all_results), key=order_of(about))
    try:
        write_tables(about, table_rows, folder)
        write_charts(about, table_rows, all_results, folder)
    except OSError as error:
        raise RunError(f"{folder}: {error.strerror}") from error


def compare(
    first: Path, second: Path, figure: str, policy: str | None = None
) -> list[tuple[object, str, Mean]]:
    """Returns, for each value and policy, the mean of `first - second` over runs with the same seed."""
    sides = []
    for folder in (first, second):
        _, all_results = results_of(folder)
        sides.append(
            {
                key: {r["seed"]: r["figures"][figure] for r in results}
                for key, results in grouped(all_results).items()
            }
        )
    common = [key for key in sides[0] if key in sides[1] and (policy is None or key[1] == policy)]
    if not common:
        raise RunError(f"{first} and {second} have no run in common")
    return [(*key, paired(sides[0][key], sides[1][key])) for key in common]
