"""What was added to each exchange, taken apart, from a trace and what its clients saw."""

from bisect import bisect_left
from typing import NamedTuple

from .traced import ANSWERED, BEGUN, CARRIED, DECIDED, HEARD, READ, SENT, WRITTEN

HOLDS = ("in share", "cold", "surplus", "asked a backend", "again")
PARTS = (
    "waiting to be read", "reading", "deciding", *(f"held: {why}" for why in HOLDS),
    "waiting for a connection", "writing on", "answer waiting to be read", "answering", "on its way back",
    "the once-a-second round", "collection of garbage",
)  # fmt: skip


class Added(NamedTuple):
    """In ms; `parts` sum up to `whole`."""

    whole: float
    parts: dict[str, float]


class Spans:
    """Times at which the loop stood still for a known reason; they do not overlap and are in order."""

    def __init__(self, spans: list) -> None:
        self.spans = sorted((begin, end) for begin, end, *_ in spans)
        self.ends = [end for _, end in self.spans]

    def within(self, begin: int, end: int) -> int:
        found = 0
        for at in range(bisect_left(self.ends, begin), len(self.spans)):
            first, last = self.spans[at]
            if first >= end:
                break
            found += max(min(last, end) - max(first, begin), 0)
        return found


def without(rounds: list, pauses: list) -> list:
    """Rounds, with the collections in their midst cut out."""
    found, spans = [], Spans(pauses).spans
    for begin, end in rounds:
        for first, last in spans:
            if begin < first < end:
                found.append((begin, first))
                begin = min(last, end)
        found.append((begin, end))
    return found


def apart(trace: dict, found: list) -> list[Added]:
    """`found`: status, sent, heard of each exchange that counts, by its client."""
    seen = {sent: heard for status, sent, heard in found if status == 200}
    pauses = Spans(trace["pauses"])
    rounds, added = Spans(without(trace["rounds"], trace["pauses"])), []
    for asked_at, said_at, why, tries, *at in trace["exchanges"]:
        if asked_at not in seen or not said_at or not at[ANSWERED] or tries != 1:
            continue
        heard, hold = seen[asked_at], f"held: {why or 'in share'}"
        spans = [
            ("waiting to be read", asked_at, at[READ]), ("reading", at[READ], at[BEGUN]),
            ("deciding", at[BEGUN], at[DECIDED]), (hold, at[DECIDED], at[SENT]),
            ("waiting for a connection", at[SENT], at[CARRIED]), ("writing on", at[CARRIED], at[WRITTEN]),
            ("answer waiting to be read", said_at, at[HEARD]), ("answering", at[HEARD], at[ANSWERED]),
            ("on its way back", at[ANSWERED], heard),
        ]  # fmt: skip
        parts = dict.fromkeys(PARTS, 0.0)
        for name, begin, end in spans:
            stood = rounds.within(begin, end), pauses.within(begin, end)
            parts["the once-a-second round"] += stood[0] / 1e6
            parts["collection of garbage"] += stood[1] / 1e6
            parts[name] += max(end - begin - sum(stood), 0) / 1e6
        added.append(Added(sum(parts.values()), parts))
    return added


def quantile(values: list[float], part: float) -> float:
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * part), len(ordered) - 1)] if ordered else 0.0


def summary(added: list[Added]) -> dict[str, float]:
    """The whole at its quantiles; each part by its mean, its own 99th percentile, and its mean over those
    exchanges that had the most added, the slowest hundredth."""
    whole = [one.whole for one in added]
    bound = quantile(whole, 0.99)
    slow = [one for one in added if one.whole >= bound] or added
    found = {f"added, {name}": quantile(whole, part)
             for name, part in (("median", 0.5), ("95th percentile", 0.95), ("99th percentile", 0.99),
                                ("99.9th percentile", 0.999))}  # fmt: skip
    for part in PARTS:
        mine = [one.parts[part] for one in added]
        found[f"{part}: mean"] = sum(mine) / max(len(mine), 1)
        found[f"{part}: 99th percentile"] = quantile(mine, 0.99)
        slowest = sum(one.parts[part] for one in slow) / max(len(slow), 1)
        found[f"{part}: mean of the slowest hundredth"] = slowest
    return found
