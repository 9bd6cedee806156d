"""Settings of the configuration distribution, and the confirmed views that depend on them.

Times are in tenths of a millisecond, sizes in bytes.
"""

from collections import deque
from hashlib import blake2b
from typing import NamedTuple

DISTANT_PAST = -(1 << 60)
UNCONFIRMED_AGE = 1 << 40  # the age of a view that was never confirmed; confirmed views never get as old


def rank(node: str, address: str) -> bytes:
    """Returns the key by which a node sorts relays: an order of its own that stays stable as relays change.

    Sorting by this key is rendezvous hashing.
    """
    return blake2b(f"{node}\0{address}".encode(), digest_size=8).digest()


class Bounds(NamedTuple):
    """Settings of the distribution. Times are in tenths of a millisecond."""

    heartbeat: int = 10_000  # the interval between two heartbeats
    fresh: int = 25_000  # a node leaves a relay whose view stays older than this
    stale: int = 40_000  # a view older than this is stale
    silent: int = 20_000  # a connection that receives nothing for this time is closed
    drift: float = 0.001  # the largest relative error of a clock's rate
    strict: bool = True  # a node whose view is stale goes to standby
    call_timeout: int = 60_000  # how long an operator's call is retried
    batch_interval: int = 1_000  # between two changes; calls that arrive meanwhile are batched into one
    backoff: int = 1_000  # the longest wait before the first reconnection; doubles with each failure
    max_backoff: int = 15_000
    preferred_relay_interval: int = 600_000  # the mean time until a node returns to its preferred relay
    load_factor: float = 1.25  # a relay accepts this multiple of the mean number of sessions per relay
    min_sessions: int = 64  # a relay accepts at least as many sessions whatever the mean is
    sessions_per_s: int = 200  # the rate limit of new sessions at a relay
    snapshot_bytes_per_s: int = 16 * 1024 * 1024
    max_unsent_bytes: int = 1024 * 1024  # a session with more unsent bytes, snapshots apart, is ended
    history_bytes: int = 8 * 1024 * 1024  # the size of the changes that a store remembers for deltas
    max_calls: int = 256  # operators' calls in progress at the leader
    max_demand: int = 256  # tenants requested in one message
    max_tenants: int = 2_000  # tenants cached at a node
    tenant_idle: int = 3_000_000  # a tenant without a request for this time is evicted

    def with_drift(self, age: int) -> int:
        """Returns the longest time on the local clock that `age` on another machine's clock may amount to."""
        return int(age * (1 + self.drift) / (1 - self.drift)) + 1

    def max_view_lifetime(self) -> int:
        """Returns how long, on the local clock, a peer may act on a view that is confirmed to it now."""
        return self.with_drift(self.stale)


class ConfirmedViews:
    """Tracks which versions a peer may still act on. Times are those of the local clock."""

    __slots__ = ("acknowledged_version", "confirmations")

    def __init__(self) -> None:
        self.acknowledged_version: int = -1  # the peer has reported that it acts on no older version
        self.confirmations: deque[tuple[int, int]] = deque()  # version and expiry

    def confirm(self, version: int, expires_at: int) -> None:
        """Records a confirmation of `version`. Only a peer that is at exactly this version can use it."""
        if self.confirmations and self.confirmations[-1][0] == version:
            self.confirmations.pop()
        self.confirmations.append((version, expires_at))

    def acknowledge(self, version: int) -> None:
        """Records that the peer acts on this version."""
        self.acknowledged_version = max(self.acknowledged_version, version)

    def oldest_version(self, now: int) -> int | None:
        """Returns the oldest version that the peer may act on; None once all confirmations have expired."""
        while self.confirmations and self.confirmations[0][1] < now:
            self.confirmations.popleft()
        return max(self.confirmations[0][0], self.acknowledged_version) if self.confirmations else None

    def last_expiry(self) -> int:
        """Returns when the last confirmation expires."""
        return self.confirmations[-1][1] if self.confirmations else DISTANT_PAST
