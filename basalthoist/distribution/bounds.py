"""The settings of the distribution, in tenths of a millisecond and bytes, and what follows from them."""

from collections import deque
from hashlib import blake2b
from typing import NamedTuple

DISTANT_PAST = -(1 << 60)
UNCONFIRMED_AGE = 1 << 40  # of a view that was never confirmed; no other gets as old


def rank(node: str, address: str) -> bytes:
    """Sorts relays into an order of each node's own, which changes little as relays come and go."""
    return blake2b(f"{node}\0{address}".encode(), digest_size=8).digest()


class Bounds(NamedTuple):
    """Times are in tenths of a millisecond."""

    heartbeat: int = 10_000  # between two heartbeats
    fresh: int = 25_000  # a relay whose view stays older is left
    stale: int = 40_000  # at this age at the latest a node knows that its view is stale
    silent: int = 20_000  # a connection on which nothing comes for as long is left
    drift: float = 0.001  # of a clock's rate, at most
    strict: bool = True  # a node whose view is stale stands by
    call_timeout: int = 60_000  # how long an operator's call is tried
    batch_interval: int = 1_000  # between two changes; what comes meanwhile goes together
    backoff: int = 1_000  # before another relay is tried, at most; it doubles with failures
    max_backoff: int = 15_000
    preferred_relay_interval: int = 600_000  # after about as long a node goes back to its preferred relay
    load_factor: float = 1.25  # of its even part, what a relay takes
    min_sessions: int = 64  # that a relay takes in any case
    sessions_per_s: int = 200  # new ones at a relay
    snapshot_bytes_per_s: int = 16 * 1024 * 1024
    max_unsent_bytes: int = 1024 * 1024  # to a session, beyond a snapshot, before it is ended
    history_bytes: int = 8 * 1024 * 1024  # of changes that a store remembers
    max_calls: int = 256  # of operators, in progress at the leader
    max_demand: int = 256  # tenants asked for at once
    max_tenants: int = 2_000  # cached at a node
    tenant_idle: int = 3_000_000  # a tenant without a request for as long is evicted

    def with_drift(self, age: int) -> int:
        """The most that an age on another's clock comes to on one's own."""
        return int(age * (1 + self.drift) / (1 - self.drift)) + 1

    def max_view_lifetime(self) -> int:
        """How long another may act by a view that is confirmed now, on one's own clock."""
        return self.with_drift(self.stale)


class ConfirmedViews:
    """Which versions a peer may still act on by what was confirmed to it, until when by the own clock."""

    __slots__ = ("acknowledged", "confirmed")

    def __init__(self) -> None:
        self.acknowledged: int = -1  # the peer has said that it acts on nothing older
        self.confirmed: deque[tuple[int, int]] = deque()  # version, and until when

    def confirm(self, version: int, until: int) -> None:
        """A confirmation has effect only at a peer that is at just this version."""
        if self.confirmed and self.confirmed[-1][0] == version:
            self.confirmed.pop()
        self.confirmed.append((version, until))

    def acknowledge(self, version: int) -> None:
        """The peer acts on this version."""
        self.acknowledged = max(self.acknowledged, version)

    def oldest(self, now: int) -> int | None:
        """The least version that the peer may act on; None: it may not act at all any more."""
        while self.confirmed and self.confirmed[0][1] < now:
            self.confirmed.popleft()
        return max(self.confirmed[0][0], self.acknowledged) if self.confirmed else None

    def until(self) -> int:
        """When the last confirmation ends."""
        return self.confirmed[-1][1] if self.confirmed else DISTANT_PAST
