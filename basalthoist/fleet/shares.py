"""Limits over the whole fleet, shared among its nodes: a sure part each, and parts that the author grants.

A grant has an end: at the node from its own send of the touch that the grant answers, at the author from when
it grants, longer by what clocks may drift apart. A node that is granted parts lends its sure one, for longer
than a grant lasts; out of touch for so long it has that back. The author grants only what nobody can still
use, so at every moment sure parts and grants together are within the limit: docs/fleet.md has the proof. No
I/O. Rates are a second, times whole tenths of a millisecond of the own clock.
"""

from typing import NamedTuple

from .bounds import Bounds
from .register import Held

SECOND = 10_000
STEADY = 3_000  # over which what is asked for is averaged
AHEAD = 1.25  # wanted beyond what is asked for, or a grant would always be a step behind


class Limit(NamedTuple):
    """`rate` requests a second of a customer over the whole fleet, and `burst` more at once."""

    customer: str
    rate: float
    burst: float


def rates_of(limits: list[Limit], held: Held) -> list[float]:
    """What counts under a set of verdicts: a quota set in service comes before the file's rate."""
    changed = [held.verdicts.get(("quota", limit.customer)) for limit in limits]
    return [limit.rate if v is None else v.figure for limit, v in zip(limits, changed, strict=True)]


class Bucket:
    """One limit at one node: fills at its sure rate, and at what is granted until that ends."""

    def __init__(self, most: float, now: int) -> None:
        # Empty: what the life before had left is gone with it, or restarts would make tokens.
        self.tokens, self.most, self.at = 0.0, most, now
        self.sure, self.sure_from, self.grant, self.until = 0.0, 0, 0.0, now
        self.asked, self.usual, self.looked_at = 0, 0.0, now

    def fill(self, now: int) -> None:
        granted = max(min(now, self.until) - self.at, 0)
        more = (self.sure * max(now - max(self.at, self.sure_from), 0) + self.grant * granted) / SECOND
        self.tokens, self.at = min(self.tokens + more, self.most), now

    def take(self, now: int) -> bool:
        """Whether one more is within this node's part. Asked once for each exchange, and decided at once."""
        self.asked += 1
        self.fill(now)
        fits = self.tokens >= 1.0
        self.tokens -= fits
        return fits

    def rate(self, now: int) -> float:
        return self.sure * (now >= self.sure_from) + self.grant * (now < self.until)

    def wanted(self, now: int) -> float:
        span = now - self.looked_at
        if span > 0:
            part = min(span / STEADY, 1.0)
            self.usual += (self.asked * SECOND / span - self.usual) * part
            self.asked, self.looked_at = 0, now
        return AHEAD * self.usual


class Holder:
    """A node's parts of all limits. It forgets everything with its life, but for what that may have lent."""

    def __init__(self, limits: list[Limit], nodes: int, bounds: Bounds, now: int) -> None:
        self.limits, self.nodes, self.bounds = limits, nodes, bounds
        # At least one, or a small part of a burst would never let anything in.
        self.buckets = [Bucket(max(limit.burst / nodes, 1.0), now) for limit in limits]
        self.closed, self.open_from, self.offered = False, now, False
        self.lend(now)
        self.set_rates(now, [limit.rate for limit in limits])

    def lend(self, now: int) -> None:
        """The sure part is the author's for a while: also as a life begins, for the one before may have lent.

        To be called again where another process of this node has ended only now."""
        for bucket in self.buckets:
            bucket.fill(now)
            bucket.sure_from = now + self.bounds.lends()

    def set_rates(self, now: int, rates: list[float]) -> None:
        for bucket, rate in zip(self.buckets, rates, strict=True):
            bucket.fill(now)
            bucket.sure = self.bounds.sure * rate / self.nodes

    def touches(self, now: int) -> tuple[list[tuple[int, float]], bool, bool]:
        """For a touch sent now: what is wanted, whether grants are given back and the sure part is lent."""
        if self.offered:  # also while nobody comes: what it does not use others can
            self.lend(now)
        return self.wants(now), self.closed, self.offered

    def wants(self, now: int) -> list[tuple[int, float]]:
        wanted = [(number, bucket.wanted(now)) for number, bucket in enumerate(self.buckets)]
        return [] if self.closed else [(number, round(rate, 3)) for number, rate in wanted if rate > 0.0]

    def granted(self, now: int, grants: list[tuple[int, float]] | None, touched: int) -> None:
        """In answer to the touch that this life sent at `touched`."""
        until = touched + self.bounds.grant
        self.offered = grants is not None
        if grants is None or self.closed or touched < self.open_from or until <= now:
            return
        amounts = dict(grants)
        for number, bucket in enumerate(self.buckets):
            if until >= bucket.until or now >= bucket.until:  # or an older answer comes late
                bucket.fill(now)
                bucket.grant, bucket.until = amounts.get(number, 0.0), until

    def close(self, now: int) -> None:
        """It stands by or drains: what was granted is given back at once, and its touches say so."""
        self.closed = True
        for bucket in self.buckets:
            bucket.fill(now)
            bucket.grant, bucket.until = 0.0, now

    def open(self, now: int) -> None:
        """Answers to touches from before may be grants that were given back since."""
        if self.closed:
            self.closed, self.open_from = False, now


def max_min(pool: float, wants: dict[str, float]) -> dict[str, float]:
    """Nobody gets more than it wants while another that wants more has less (Bertsekas and Gallager 1992).

    What nobody wants is spread evenly, for whoever is asked next."""
    parts, left = {}, pool
    for count, (name, want) in enumerate(sorted(wants.items(), key=lambda pair: (pair[1], pair[0]))):
        parts[name] = min(want, left / (len(wants) - count))
        left -= parts[name]
    return {name: part + left / len(wants) for name, part in parts.items()}


class Granter:
    """The author's books: what each node may still use, until when, and what it wants."""

    def __init__(self, limits: list[Limit], nodes: int, bounds: Bounds, now: int) -> None:
        self.bounds, self.wants, self.nodes = bounds, {}, nodes
        self.lent: dict[str, int] = {}  # until when, by node, at the least
        # Guards against what an author before may have granted up to the end of its lease: nobody knows it.
        self.silent_until = now + bounds.longest_grant()
        self.out: list[dict[str, list[tuple[float, int]]]] = [{} for _ in limits]  # by node: amount, end
        self.targets: list[dict[str, float]] = [{} for _ in limits]
        self.has: list[dict[str, float]] = [{} for _ in limits]  # as of the last plan
        self.free = [0.0] * len(limits)

    def wanted(self, now: int, node: str, wants: list[tuple[int, float]], gives_back: bool, lends: bool,
               beaten_at: int) -> None:  # fmt: skip
        """From a touch that answers the beat of `beaten_at`, so that was sent no earlier."""
        if lends:
            self.lent[node] = max(self.lent.get(node, 0), beaten_at + self.bounds.lent_for())
        self.wants[node] = now, {number: rate for number, rate in wants if rate >= 0.0}
        if gives_back:
            for out in self.out:
                out.pop(node, None)

    def usable(self, now: int, number: int, node: str) -> float:
        """At most, by this node, of this limit, now or later."""
        live = [(amount, end) for amount, end in self.out[number].get(node, ()) if end > now]
        self.out[number][node] = live
        return max((amount for amount, _ in live), default=0.0)

    def plan(self, now: int, rates: list[float]) -> None:
        """Once before beats that go out together: who should have what, and what is free to be granted."""
        end = now + self.bounds.longest_grant()
        lent = sum(until >= end for until in self.lent.values())
        part = 1 - self.bounds.sure * (1 - lent / self.nodes)  # what is not lent is theirs
        near = {name: wants for name, (at, wants) in self.wants.items() if now - at <= self.bounds.fresh}
        for number, rate in enumerate(rates):
            pool = part * rate
            wants = {name: mine.get(number, 0.0) for name, mine in near.items()}
            self.targets[number] = max_min(pool, wants) if wants else {}
            self.has[number] = {name: self.usable(now, number, name) for name in list(self.out[number])}
            self.free[number] = pool - sum(self.has[number].values())

    def grants(self, now: int, node: str) -> list[tuple[int, float]] | None:
        """What this node is granted with the beat that goes to it now; None: nothing is said about it."""
        if now < self.silent_until or node not in self.wants:
            return None
        found, end = [], now + self.bounds.longest_grant()
        for number, targets in enumerate(self.targets):
            has, out = self.has[number].get(node, 0.0), self.out[number]
            amount = max(min(targets.get(node, 0.0), has + max(self.free[number], 0.0)), 0.0)
            amount = int(amount * 1000) / 1000  # never rounded up
            self.free[number] -= max(amount - has, 0.0)
            # The later end covers the earlier one of the same amount or a smaller one.
            kept = [entry for entry in out.get(node, ()) if entry[0] > amount]
            out[node] = [*kept, (amount, end)]
            if amount > 0.0:
                found.append((number, amount))
        return found
