"""Judges a run by its ledgers alone: what ran where, by whom, and what operators were told. In seconds."""

import re
from collections import Counter
from typing import NamedTuple

from basalthoist.emulator.rate_limits import allowed, max_in_window

KEPT = re.compile(r"^(?:SUCCESS|FAILURE) version (\d+) ")
SUCCESS = re.compile(r"^SUCCESS version (\d+) (?:in force )?at (\d+) of (\d+)")


class Run(NamedTuple):
    """An exchange that reached a backend. `at`: when it began there."""

    at: float
    backend: int
    node: int
    name: str
    save: bool  # may run once only


class Said(NamedTuple):
    """An operator's call, and what came of it."""

    asked_at: float
    at: float
    backend: int
    on: bool
    node: int
    text: str


class Findings(NamedTuple):
    after_success: list[str]
    beyond_bound: list[str]
    twice: list[str]
    versions: list[str]
    worst_s: float  # longest after a ban counted that a node still sent there
    waits_s: list[float]  # from call to SUCCESS
    last_sends_s: list[float]  # from such a ban's call to the last send there

    def broken(self) -> list[str]:
        return self.after_success + self.beyond_bound + self.twice + self.versions


WINDOWS = (0.2, 1.0, 3.0)
ON_THE_WAY = 0.35  # seconds at most from where an exchange is let in to where it first runs, in a rig's load


def first_runs(runs: list[Run]) -> list[float]:
    """When each exchange first ran, in order."""
    first: dict[str, float] = {}
    for run in runs:
        first.setdefault(run.name, run.at)
    return sorted(first.values())


def by_second(runs: list[Run]) -> list[int]:
    """Exchanges by the second in which they first ran."""
    counts = Counter(int(at) for at in first_runs(runs))
    return [counts[second] for second in range(max(counts, default=-1) + 1)]


def limits(runs: list[Run], told) -> list[tuple[str, float]]:
    """For each window what broke the bound of docs/fleet.md, or nothing, and the most as a part of it.

    An exchange counts by its first run. Two that were let in apart may run together, so a window is taken as
    longer by what may lie between."""
    times, found = first_runs(runs), []
    for window in WINDOWS:
        most = max_in_window(times, window)
        bound = allowed(told.limit, told.burst, told.nodes, told.drift, window + ON_THE_WAY)
        line = f"{most} let in within {window:g} s, {bound:.1f} allowed" if most > bound else ""
        found.append((line, most / bound))
    return found


def judge(runs: list[Run], calls: list[Said], bound_s: float, grace_s: float, strict=True) -> Findings:
    """`bound_s`: B over the drift. A ban binds from its SUCCESS, or from B after it was kept, until the next
    call is made that might take it back."""
    after, beyond, versions, worst, waits, lasts = [], [], [], 0.0, [], []
    for call in calls:
        kept = KEPT.match(call.text)
        success = SUCCESS.match(call.text)
        if success:
            waits.append(call.at - call.asked_at)
        if success and call.on:
            between = [r.at - call.asked_at for r in runs if r.backend == call.backend
                       and call.asked_at <= r.at <= call.at + grace_s]  # fmt: skip
            lasts.append(max(between, default=0.0))
        if not call.on or not kept or "proposed" in call.text:
            continue
        # Until somebody may have taken it back. A call that failed may have come to count all the same.
        back = [c.asked_at for c in calls if not c.on and c.backend == call.backend and c.at > call.asked_at]
        until = min(back, default=float("inf"))
        for run in runs:
            if run.backend != call.backend or not call.at + grace_s < run.at < until:
                continue
            worst = max(worst, run.at - call.at)
            line = f"{run.name} ran on s-{run.backend} at {run.at:.2f}, by n{run.node}"
            if success:
                after.append(f"{line}: {call.text!r} was said at {call.at:.2f}")
            elif strict and run.at > call.at + bound_s + grace_s:
                beyond.append(f"{line}: kept since {call.at:.2f} at the latest, bound {bound_s:.2f} s")
    last = 0
    for call in sorted(calls, key=lambda c: c.asked_at):
        kept = KEPT.match(call.text)
        earlier = [int(KEPT.match(c.text)[1]) for c in calls if c.at < call.asked_at and KEPT.match(c.text)]
        last = max(earlier, default=0)
        if kept and int(kept[1]) < last:
            versions.append(f"version {kept[1]} was said after {last}")
    seen: dict[str, Run] = {}
    twice = []
    for run in runs:
        if run.name in seen and run.save:
            twice.append(f"{run.name} ran at {seen[run.name].at:.2f} and {run.at:.2f}")
        seen[run.name] = run
    return Findings(after, beyond, twice, versions, worst, waits, lasts)
