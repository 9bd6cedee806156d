"""Tables and charts from raw results: `python -m basalthoist distribute --report FOLDER`."""

import json
from pathlib import Path

FAULTS = ("relay_killed", "relay_frozen", "three_killed", "region_cut", "zone_started", "files", "behind")
OMITTED_KEYS = ("nodes", "name", "began", "ended", "first_call", "rows", "late_p99_ms")
ALLOWED = "1.4% of a core, 32 MB, 3 kB/s; 4 s"


def read(folder: Path) -> list[dict]:
    found = [json.loads(path.read_text()) for path in sorted(folder.glob("*.json"))]
    return sorted(found, key=lambda run: (run["part"], run["size"]["nodes"], run["when"]))


def quantile(ordered: list[float], part: float) -> float:
    return ordered[int(part * (len(ordered) - 1))] if ordered else float("nan")


def title(run: dict) -> str:
    size = run["size"]
    machines = f"{size['machines']} machines ({size['voters']} vote)"
    return f"{size['nodes']} nodes, {machines}, {run.get('entries', 'no')} entries, {run['when']}"


def node_cost(phase: dict) -> dict:
    """Returns the cost of a hollow node: cores, and bytes a second in and out (mean, p99, most)."""
    workers = phase["nodes"]
    count = sum(worker["count"] for worker in workers)
    bytes_per_s = sorted(
        i + o for worker in workers for i, o in zip(worker["in"], worker["out"], strict=True)
    )
    core = sum(worker["core"] * worker["count"] for worker in workers) / max(count, 1)
    entries = sorted(n for worker in workers for n in worker["entries"])
    tenants = sorted(n for worker in workers for n in worker["tenants"])
    return {"core": core, "bytes": sum(bytes_per_s) / max(len(bytes_per_s), 1),
            "bytes_p99": quantile(bytes_per_s, 0.99), "bytes_most": quantile(bytes_per_s, 1.0),
            "entries": quantile(entries, 0.5), "tenants": quantile(tenants, 0.5)}  # fmt: skip


def machine_costs(run: dict, began: float, ended: float) -> dict[str, dict]:
    """Returns by machine cores and bytes out a second (mean, most between samples), and kilobytes."""
    rows_by_machine: dict[str, list[dict]] = {}
    for row in run["samples"]:
        if began <= row["at"] <= ended:
            rows_by_machine.setdefault(row["name"], []).append(row)
    found = {}
    for name, rows in rows_by_machine.items():
        cores, outs = [], []
        for old, new in zip(rows, rows[1:], strict=False):
            seconds = new["at"] - old["at"]
            if new["cpu_s"] >= old["cpu_s"] and seconds > 0.05:  # otherwise the process has restarted
                cores.append((new["cpu_s"] - old["cpu_s"]) / seconds)
            if new.get("out", 0) >= old.get("out", 1 << 62):
                outs.append((new["out"] - old["out"]) / seconds)
        if cores:
            found[name] = {"core": sum(cores) / len(cores), "core_most": max(cores),
                           "out": sum(outs) / len(outs) if outs else 0.0, "out_most": max(outs, default=0.0),
                           "memory_kb": max(row["memory_kb"] for row in rows),
                           "sessions": max(row.get("sessions", 0) for row in rows)}  # fmt: skip
    return found


def leader_of(run: dict, before: float) -> str:
    name = ""
    for event in run["events"]:
        if event["at"] <= before and event["what"] == "author":
            name = event["name"]
        if event["at"] <= before and event["what"] == "three_killed":
            name = event.get("author_after", name)
    return name


def table(head: list[str], rows: list[list[str]]) -> list[str]:
    return ["| " + " | ".join(head) + " |", "| " + " | ".join("---" for _ in head) + " |",
            *("| " + " | ".join(row) + " |" for row in rows), ""]  # fmt: skip


def steady_rows(run: dict) -> tuple[list[list[str]], list[list[str]], list[list[str]]]:
    force, nodes, machines = [], [], []
    name = f"{run['size']['nodes']}"
    for phase in run["phases"]:
        if "p50_s" in phase:
            force.append([name, phase["name"], str(phase["changes"]), str(phase["not_everywhere"]),
                          *(f"{phase[key]:.3f}" for key in ("p50_s", "p99_s", "last_s", "success_p50_s",
                                                            "success_last_s")),
                          f"{phase['late_p99_ms']:.0f}", phase["void"] or "no"])  # fmt: skip
        if phase["name"] in ("idle", "singles", "burst"):
            cost = node_cost(phase)
            memory = sum(run["node_kb"]) / len(run["node_kb"]) / 1024
            nodes.append([name, phase["name"], f"{cost['core']:.3%}", f"{cost['bytes']:.0f}",
                          f"{cost['bytes_p99']:.0f}", f"{cost['bytes_most']:.0f}", f"{memory:.2f}",
                          f"{cost['entries']:.0f}", f"{cost['tenants']:.0f}",
                          phase["void"] or "no"])  # fmt: skip
            machines += machine_rows(run, phase, name)
    return force, nodes, machines


def machine_rows(run: dict, phase: dict, name: str) -> list[list[str]]:
    costs, leader = machine_costs(run, phase["began"], phase["ended"]), leader_of(run, phase["began"])
    others = [cost for machine, cost in costs.items() if machine != leader]
    rows, void = [], phase["void"] or "no"
    if leader in costs:
        rows.append([name, phase["name"], "author", *cells([costs[leader]]), void])
    if others:
        rows.append([name, phase["name"], f"{len(others)} others", *cells(others), void])
    return rows


def cells(costs: list[dict]) -> list[str]:
    def mean(key: str) -> float:
        return sum(cost[key] for cost in costs) / len(costs)

    def most(key: str) -> float:
        return max(cost[key] for cost in costs)

    found = f"{mean('core'):.1%}", f"{most('core'):.1%}", f"{most('core_most'):.0%}"
    found += f"{mean('out') / 1e3:.1f}", f"{most('out_most') / 1e3:.0f}"
    return [*found, f"{most('memory_kb') / 1024:.0f}", f"{most('sessions'):.0f}"]


def write(folder: Path) -> str:
    runs = read(folder)
    made = "Made by `python -m basalthoist distribute --report FOLDER` from the raw results beside it."
    where = f"Hollow nodes share processes and one machine. Allowed at a node: {ALLOWED}."
    lines = ["# The distribution at full size, measured", "", made, where, "", "Runs:", ""]
    for run in runs:
        failed = f"; failed: {run['failed']}" if "failed" in run else ""
        lines.append(f"- {run['part']}: {title(run)}{failed}")
    lines.append("")
    steady = [steady_rows(run) for run in runs if run["part"] == "steady"]
    if steady:
        head = ["nodes", "phase", "changes", "not everywhere", "p50 s", "p99 s", "last s", "SUCCESS p50 s",
                "SUCCESS last s", "tool late ms, p99", "void"]  # fmt: skip
        lines += ["## From the call until in force, over all changes and nodes", ""]
        lines += table(head, [row for force, _, _ in steady for row in force])
        lines += ["## A hollow node", ""]
        head = ["nodes", "phase", "part of a core", "B/s in and out, mean", "p99", "most", "MB", "entries",
                "tenants", "void"]  # fmt: skip
        lines += table(head, [row for _, nodes, _ in steady for row in nodes])
        head = ["nodes", "part of a core", "more than one that is told nothing", "MB", "more", "void"]
        lines += ["## A real node beside them, idle", ""]
        found = [(run["size"]["nodes"], p) for run in runs for p in run["phases"] if "real_core" in p]
        lines += table(head, [[str(count), f"{p['real_core']:.2%}", f"{p['real_core_more']:.2%}",
                               str(p["real_mb"]), str(p["real_mb_more"]), p["void"] or "no"]
                              for count, p in found])  # fmt: skip
    rows = [row for _, _, machines in steady for row in machines]
    rows += [row for run in runs for phase in run["phases"] if phase["name"] in FAULTS
             for row in machine_rows(run, phase, str(run["size"]["nodes"]))]  # fmt: skip
    lines += ["## Machines set aside", "", "Most: of half a second, in any of them.", ""]
    head = ["nodes", "phase", "which", "part of a core, mean", "of the busiest", "most", "kB/s out, mean",
            "most", "MB, most", "sessions, most", "void"]  # fmt: skip
    lines += table(head, rows)
    lines += ["## Faults", ""]
    for run in runs:
        for phase in run["phases"]:
            if phase["name"] in FAULTS:
                shown = {
                    key: value for key, value in phase.items() if key not in OMITTED_KEYS and value != ""
                }
                values = ", ".join(f"{key} {value}" for key, value in shown.items())
                late = f"tool {phase['late_p99_ms']:.0f} ms late"
                lines.append(f"- {run['size']['nodes']} nodes, **{phase['name']}**: {values}; {late}")
    lines.append("")
    text = "\n".join(lines)
    (folder / "table.md").write_text(text)
    charts(runs, folder)
    return text


def charts(runs: list[dict], folder: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    steady = [run for run in runs if run["part"] == "steady" and any("rows" in p for p in run["phases"])]
    if steady:
        figure, axes = pyplot.subplots(1, 2, figsize=(10, 4), sharey=True)
        for axis, name in zip(axes, ("singles", "burst"), strict=True):
            for run in steady:
                rows = next((p["rows"] for p in run["phases"] if p["name"] == name), [])
                last = sorted(row["last"] for row in rows if "last" in row)
                if last:
                    axis.plot(last, [i / len(last) for i in range(1, len(last) + 1)],
                              label=f"{run['size']['nodes']} nodes")  # fmt: skip
            axis.set(title=name, xlabel="s from the call to the last node", ylabel="part of the changes")
            axis.legend()
        figure.tight_layout()
        figure.savefig(folder / "in-force.png", dpi=110)
        pyplot.close(figure)
    for run in runs:
        if run["part"] == "steady" or not run["looks"]:
            continue
        figure, axis = pyplot.subplots(figsize=(10, 4))
        axis.plot([look["at"] for look in run["looks"]], [min(look["oldest_s"], 60) for look in run["looks"]],
                  lw=0.8)  # fmt: skip
        axis.axhline(run["times"]["stale_s"], color="0.6", lw=0.8)
        for phase in run["phases"]:
            axis.axvline(phase["began"], color="C3", lw=0.5)
            axis.text(phase["began"], 1, f" {phase['name']}", rotation=90, fontsize=7, va="bottom")
        axis.set(xlabel="s", ylabel="oldest view, s", title=title(run))
        figure.tight_layout()
        figure.savefig(folder / f"{run['part']}-{run['size']['nodes']}.png", dpi=110)
        pyplot.close(figure)
