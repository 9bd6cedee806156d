"""What the distribution's file sets, in whole tenths of a millisecond and bytes, and what follows from it."""

from collections import deque
from hashlib import blake2b
from typing import NamedTuple

LONG_AGO = -(1 << 60)
LONG = 1 << 40  # an age that no view comes to


def rank(node: str, address: str) -> bytes:
    """Each node has its own order of relays, which changes little as they come and go."""
    return blake2b(f"{node}\0{address}".encode(), digest_size=8).digest()


class Bounds(NamedTuple):
    touch: int = 10_000  # between two touches
    fresh: int = 25_000  # a relay whose view stays older is left
    stale: int = 40_000  # at this age at the latest a node knows that its view is stale
    silent: int = 20_000  # a connection on which nothing comes for as long is left
    drift: float = 0.001  # rho of a clock
    strict: bool = True  # a node whose view is stale stands by
    answer: int = 60_000  # how long an operator's call is tried
    batch: int = 1_000  # between two changes; what comes meanwhile goes together
    wait: int = 1_000  # before another relay is tried, at most; it doubles with failures
    wait_most: int = 15_000
    home: int = 600_000  # after about as long a node goes back to the relay that is first for it
    load: float = 1.25  # of its even part, what a relay takes
    load_least: int = 64  # sessions that it takes in any case
    sessions_per_s: int = 200  # new ones at a relay
    snapshot_bytes_per_s: int = 16 * 1024 * 1024
    waiting: int = 1024 * 1024  # bytes unsent to a session, beyond a snapshot, before it is ended
    history: int = 8 * 1024 * 1024  # bytes of changes kept
    calls: int = 256  # under way at the author
    demand: int = 256  # tenants asked for at once
    tenants: int = 2_000  # held at a node
    idle: int = 3_000_000  # a tenant to which nothing came for as long goes again

    def slower(self, age: int) -> int:
        """An age on another's clock, as it may be on one's own."""
        return int(age * (1 + self.drift) / (1 - self.drift)) + 1

    def longest_view(self) -> int:
        """How long one may act by a view that was confirmed, on another's clock from the receipt."""
        return self.slower(self.stale)


class Views:
    """Which versions one that was confirmed may still act on, and until when by the confirmer's clock."""

    __slots__ = ("acts", "given")

    def __init__(self) -> None:
        self.acts = -1  # it has told that it acts on nothing older
        self.given: deque[tuple[int, int]] = deque()

    def give(self, version: int, until: int) -> None:
        """A confirmation counts only where just this version is held."""
        if self.given and self.given[-1][0] == version:
            self.given.pop()
        self.given.append((version, until))

    def told(self, version: int) -> None:
        self.acts = max(self.acts, version)

    def oldest(self, now: int) -> int | None:
        """The least version that it may act on; None: it may not act at all any more."""
        while self.given and self.given[0][1] < now:
            self.given.popleft()
        return max(self.given[0][0], self.acts) if self.given else None

    def until(self) -> int:
        return self.given[-1][1] if self.given else LONG_AGO
