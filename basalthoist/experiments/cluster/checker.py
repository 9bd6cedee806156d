"""Checks a run by the records of backends and operators alone.

The records hold which request ran on which backend, sent by which node, and the answers to operators' calls.
Times are in seconds.
"""

import re
from collections import Counter
from typing import NamedTuple

from basalthoist.emulator.rate_limits import allowed, max_in_window

VERSION_ANSWER = re.compile(r"^(?:SUCCESS|FAILURE) version (\d+) ")
SUCCESS = re.compile(r"^SUCCESS version (\d+) (?:in force )?at (\d+) of (\d+)")


class Execution(NamedTuple):
    """An attempt that reached a backend. `at`: when its execution started there."""

    at: float
    backend: int
    node: int
    name: str
    save: bool  # at-most-once


class OperatorCall(NamedTuple):
    """An operator's call and its answer. `on`: whether the call bans the backend or lifts the ban."""

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
    worst_s: float  # longest time after a stored ban at which a node still sent to the backend
    waits_s: list[float]  # from a call to its SUCCESS
    last_sends_s: list[float]  # from the call of a ban to the last send to that backend

    def violations(self) -> list[str]:
        return self.after_success + self.beyond_bound + self.twice + self.versions


WINDOWS_S = (0.2, 1.0, 3.0)
# Longest time from the admission of a request to its first execution at a backend, under the load of a run.
MAX_TRANSIT_S = 0.35


def first_runs(runs: list[Execution]) -> list[float]:
    """Returns the time of the first execution of each request, sorted."""
    first: dict[str, float] = {}
    for run in runs:
        first.setdefault(run.name, run.at)
    return sorted(first.values())


def executions_by_second(runs: list[Execution]) -> list[int]:
    """Returns the number of requests by the second of their first execution."""
    counts = Counter(int(at) for at in first_runs(runs))
    return [counts[second] for second in range(max(counts, default=-1) + 1)]


def check_limits(runs: list[Execution], timeline) -> list[tuple[str, float]]:
    """Checks the bound of docs/fleet.md on admitted requests.

    Returns for each window a message, empty where the bound holds, and the most requests over the bound. A
    request counts at its first execution. Requests admitted at different times may run at the same time, so
    the bound is that of the window plus MAX_TRANSIT_S.
    """
    times, results = first_runs(runs), []
    for window in WINDOWS_S:
        most = max_in_window(times, window)
        bound = allowed(
            timeline.limit, timeline.burst, timeline.nodes, timeline.drift, window + MAX_TRANSIT_S
        )
        line = f"{most} requests admitted within {window:g} s, {bound:.1f} allowed" if most > bound else ""
        results.append((line, most / bound))
    return results


def check(
    runs: list[Execution], calls: list[OperatorCall], bound_s: float, grace_s: float, strict=True
) -> Findings:
    """Returns all violations of bans, at-most-once semantics and the order of versions.

    `bound_s`: the longest age of a stale view that nodes act on, including clock drift. A ban binds from its
    SUCCESS, or from `bound_s` after it was stored, until the next call that may lift it. `strict`: nodes with
    a stale view stand by, so that `bound_s` holds for them.
    """
    after_success, beyond_bound, versions, worst_s, waits, last_sends = [], [], [], 0.0, [], []
    for call in calls:
        stored = VERSION_ANSWER.match(call.text)
        success = SUCCESS.match(call.text)
        if success:
            waits.append(call.at - call.asked_at)
        if success and call.on:
            between = [r.at - call.asked_at for r in runs if r.backend == call.backend
                       and call.asked_at <= r.at <= call.at + grace_s]  # fmt: skip
            last_sends.append(max(between, default=0.0))
        if not call.on or not stored or "proposed" in call.text:
            continue
        # Until a call may have lifted the ban. A call that was answered with FAILURE may have taken effect.
        lifts = [c.asked_at for c in calls if not c.on and c.backend == call.backend and c.at > call.asked_at]
        until = min(lifts, default=float("inf"))
        for run in runs:
            if run.backend != call.backend or not call.at + grace_s < run.at < until:
                continue
            worst_s = max(worst_s, run.at - call.at)
            line = f"{run.name} ran on s-{run.backend} at {run.at:.2f}, by n{run.node}"
            if success:
                after_success.append(f"{line}: {call.text!r} was answered at {call.at:.2f}")
            elif strict and run.at > call.at + bound_s + grace_s:
                beyond_bound.append(f"{line}: ban stored by {call.at:.2f}, bound {bound_s:.2f} s")
    last = 0
    for call in sorted(calls, key=lambda c: c.asked_at):
        stored = VERSION_ANSWER.match(call.text)
        earlier = [
            int(VERSION_ANSWER.match(c.text)[1])
            for c in calls
            if c.at < call.asked_at and VERSION_ANSWER.match(c.text)
        ]
        last = max(earlier, default=0)
        if stored and int(stored[1]) < last:
            versions.append(f"version {stored[1]} was answered after {last}")
    seen: dict[str, Execution] = {}
    twice = []
    for run in runs:
        if run.name in seen and run.save:
            twice.append(f"{run.name} ran at {seen[run.name].at:.2f} and {run.at:.2f}")
        seen[run.name] = run
    return Findings(after_success, beyond_bound, twice, versions, worst_s, waits, last_sends)
