"""Makes tables and charts of many timelines from their raw results alone."""

from collections import Counter
from pathlib import Path

import msgspec

from basalthoist.emulator.rate_limits import allowed
from basalthoist.experiments.charts import chart
from basalthoist.experiments.running import RunError

from .checker import WINDOWS_S

RAW = "raw.jsonl"


def append_result(folder: Path, result: dict) -> None:
    """Appends a result as one line. Calls are stored in full, so that every figure can be recomputed."""
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / RAW).open("ab") as file:
        file.write(msgspec.json.encode(result) + b"\n")


def results_in(folder: Path) -> list[dict]:
    try:
        return [msgspec.json.decode(line) for line in (folder / RAW).read_bytes().splitlines()]
    except OSError as error:
        raise RunError(f"{folder / RAW}: {error.strerror}") from None
    except msgspec.DecodeError as error:
        raise RunError(f"{folder / RAW}: {error}") from None


def percentiles(figures: list[float]) -> str:
    if not figures:
        return "none"
    ordered = sorted(figures)
    parts = [ordered[min(int(len(ordered) * part), len(ordered) - 1)] for part in (0.5, 0.9, 0.99)]
    return " | ".join(f"{figure:.2f}" for figure in (*parts, ordered[-1]))


def kinds_of(result: dict) -> set[str]:
    return {event["kind"] for event in result["timeline"].get("events", ())}


def write(folder: Path) -> None:
    results = results_in(folder)
    if not results:
        raise RunError(f"{folder / RAW}: no results")
    waits = [wait for result in results for wait in result["waits_s"]]
    sends = [send for result in results for send in result["last_sends_s"]]
    leaderless_s = [wait for result in results for wait in result.get("without_author_s", ())]
    answers = Counter(call["text"].split(" ")[0] + (" shut out" if "shut out" in call["text"] else "")
                      for result in results for call in result["calls"])  # fmt: skip
    broken = [result for result in results if result["broken"]]
    limited = [result["limit_parts"] for result in results if result.get("limit_parts")]
    lines = [
        f"{len(results)} timelines, {sum(len(r['calls']) for r in results)} calls, "
        f"{sum(r['runs'] for r in results)} attempts at backends; {len(broken)} timelines with a finding.",
        "",
        "| seconds | median | 90% | 99% | most |", "| --- | --- | --- | --- | --- |",
        f"| from a call to `SUCCESS` | {percentiles(waits)} |",
        f"| from a ban's call to the last send to that backend | {percentiles(sends)} |",
        f"| without an author, once that was killed, frozen or cut off | {percentiles(leaderless_s)} |",
        "", "| nodes | timelines | findings |", "| --- | --- | --- |",
    ]  # fmt: skip
    for count in sorted({result["timeline"].get("nodes", 5) for result in results}):
        matching = [result for result in results if result["timeline"].get("nodes", 5) == count]
        lines.append(f"| {count} | {len(matching)} | {sum(bool(r['broken']) for r in matching)} |")
    lines += [
        "",
        "| fault | timelines with it | findings |", "| --- | --- | --- |",
    ]  # fmt: skip
    for kind in sorted({kind for result in results for kind in kinds_of(result)}):
        matching = [result for result in results if kind in kinds_of(result)]
        lines.append(f"| {kind} | {len(matching)} | {sum(bool(r['broken']) for r in matching)} |")
    if limited:
        lines += ["", "| window | timelines with a limit | most let in, as a part of the bound |"]
        lines.append("| --- | --- | --- |")
        for number, window in enumerate(WINDOWS_S):
            lines.append(f"| {window:g} s | {len(limited)} | {max(parts[number] for parts in limited):.2f} |")
    lines += [
        "",
        "Answers: " + ", ".join(f"{count} {answer}" for answer, count in sorted(answers.items())) + ".",
    ]
    (folder / "table.md").write_text("\n".join(lines) + "\n")
    chart_of_calls(folder, waits, sends, max(result["bound_s"] for result in results))
    if limited:
        chart_of_limits(folder, [result for result in results if result.get("limit_parts")])


def chart_of_limits(folder: Path, results: list[dict]) -> None:
    """Plots the requests of each second of each timeline over its limit, and the bound for one second."""
    bounds = []
    with chart(folder, "limits") as axes:
        for result in results:
            timeline = result["timeline"]
            limit, drift = timeline["limit"], timeline.get("drift", 0.001)
            parts = [count / limit for count in result["ran_s"]]
            axes.plot(parts, color="tab:blue", alpha=0.2, linewidth=0.8)
            bounds.append(allowed(limit, timeline["burst"], timeline["nodes"], drift, 1.0) / limit)
        axes.axhline(1.0, color="black", label="limit")
        label = "bound for one second, burst included"
        axes.axhline(min(bounds), color="black", linestyle="--", label=label)
        axes.set_xlabel("seconds")
        axes.set_ylabel("let in a second, as a part of the limit")
        axes.set_ylim(bottom=0)


def chart_of_calls(folder: Path, waits: list[float], sends: list[float], bound: float) -> None:
    lines = (waits, "call to SUCCESS"), (sends, "call to the last send to what is banned")
    with chart(folder, "chart") as axes:
        for figures, label in lines:
            ordered = sorted(figures)
            parts = [(n + 1) / len(ordered) for n in range(len(ordered))]
            axes.step(ordered, parts, where="post", label=label)
        axes.axvline(bound, color="black", linestyle="--", label="bound on a stale view")
        axes.set_xlabel("seconds")
        axes.set_ylabel("part of the calls")
