"""Splits the latency added to each request into parts, from a node's trace and the times of its clients."""

from bisect import bisect_left
from typing import NamedTuple

from .traced import (
    DECIDED,
    ON_CONNECTION,
    REQUEST_READ,
    REQUEST_WRITTEN,
    RESPONSE_RECEIVED,
    RESPONSE_WRITTEN,
    SENT,
    STARTED,
)

WAIT_REASONS = ("in share", "cold", "surplus", "asked a backend", "again")
PARTS = (
    "waiting to be read", "reading", "deciding", *(f"held: {why}" for why in WAIT_REASONS),
    "waiting for a connection", "writing on", "answer waiting to be read", "answering", "on its way back",
    "the once-a-second round", "collection of garbage",
)  # fmt: skip


class Added(NamedTuple):
    """Added latency in ms; `parts` sum up to `whole`."""

    whole: float
    parts: dict[str, float]


class Spans:
    """Intervals during which the event loop was blocked for a known reason, in order, not overlapping."""

    def __init__(self, spans: list) -> None:
        self.spans = sorted((begin, end) for begin, end, *_ in spans)
        self.ends = [end for _, end in self.spans]

    def within(self, begin: int, end: int) -> int:
        """Returns how much of the time from `begin` to `end` lies in the intervals."""
        total = 0
        for at in range(bisect_left(self.ends, begin), len(self.spans)):
            first, last = self.spans[at]
            if first >= end:
                break
            total += max(min(last, end) - max(first, begin), 0)
        return total


def subtract_pauses(rounds: list, pauses: list) -> list:
    """Returns the ticks, with garbage collections that began within them cut out."""
    found, spans = [], Spans(pauses).spans
    for begin, end in rounds:
        for first, last in spans:
            if begin < first < end:
                found.append((begin, first))
                begin = min(last, end)
        found.append((begin, end))
    return found


def split_requests(trace: dict, found: list) -> list[Added]:
    """Splits the successful requests that took one attempt. `found` has the client's record of each request
    that counts: status, time sent, time received.
    """
    received = {sent: received_at for status, sent, received_at in found if status == 200}
    pauses = Spans(trace["pauses"])
    rounds, added = Spans(subtract_pauses(trace["rounds"], trace["pauses"])), []
    for sent_at, answered_at, why, attempts, *at in trace["exchanges"]:
        if sent_at not in received or not answered_at or not at[RESPONSE_WRITTEN] or attempts != 1:
            continue
        received_at, hold = received[sent_at], f"held: {why or 'in share'}"
        spans = [
            ("waiting to be read", sent_at, at[REQUEST_READ]), ("reading", at[REQUEST_READ], at[STARTED]),
            ("deciding", at[STARTED], at[DECIDED]), (hold, at[DECIDED], at[SENT]),
            ("waiting for a connection", at[SENT], at[ON_CONNECTION]),
            ("writing on", at[ON_CONNECTION], at[REQUEST_WRITTEN]),
            ("answer waiting to be read", answered_at, at[RESPONSE_RECEIVED]),
            ("answering", at[RESPONSE_RECEIVED], at[RESPONSE_WRITTEN]),
            ("on its way back", at[RESPONSE_WRITTEN], received_at),
        ]  # fmt: skip
        parts = dict.fromkeys(PARTS, 0.0)
        for name, begin, end in spans:
            blocked = rounds.within(begin, end), pauses.within(begin, end)
            parts["the once-a-second round"] += blocked[0] / 1e6
            parts["collection of garbage"] += blocked[1] / 1e6
            parts[name] += max(end - begin - sum(blocked), 0) / 1e6
        added.append(Added(sum(parts.values()), parts))
    return added


def quantile(values: list[float], part: float) -> float:
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * part), len(ordered) - 1)] if ordered else 0.0


def summary(added: list[Added]) -> dict[str, float]:
    """Returns quantiles of the whole, and for each part its mean, its 99th percentile, and its mean over the
    slowest hundredth of requests, those with the most added latency.
    """
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
