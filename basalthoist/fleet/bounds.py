"""What a fleet's file sets, and what follows from it. Times are whole tenths of a millisecond.

`outlier_ejection_s` alone is in seconds, as verdicts have it.
"""

from typing import NamedTuple

DISTANT_PAST = -(1 << 60)  # before anything that happens


class Bounds(NamedTuple):
    """The fleet's durations and limits. Their order is part of the fleet's key."""

    lease: int  # of a voter's promise
    heartbeat_interval: int  # between two heartbeats of the leader
    fresh: int  # up to this age a view counts as in touch: A of docs/fleet.md
    stale: int  # beyond this age a strict node stands by: B of docs/fleet.md
    drift: float  # rho of a clock
    call_timeout: int  # how long an operator's call is tried
    strict: bool = True  # a node whose view is stale stands by
    max_verdicts: int = 4096
    outlier_quorum: int = 0  # nodes that must report an outlier before the fleet ejects it; 0: it never does
    outlier_ejection_s: float = 20.0  # how long such an ejection lasts
    grant_duration: int = 10_000  # how long a grant lasts, at the node from its own send
    guaranteed_part: float = 0.5  # of a limit, guaranteed in equal shares: what nodes out of touch have

    def own_lease(self) -> int:
        """How long a candidate may count on a promise, from its own send: shorter than it lasts there."""
        return int(self.lease * (1 - self.drift) / (1 + self.drift))

    def longest_grant(self) -> int:
        """How long a grant that goes out now may be used, on another's clock."""
        return int(self.grant_duration * (1 + self.drift) / (1 - self.drift)) + 1

    def lends(self) -> int:
        """How long a node lends its guaranteed share, from its own send."""
        return 5 * self.grant_duration // 2

    def lent_for(self) -> int:
        """The same on another's clock, from what that send came after."""
        return int(self.lends() * (1 - self.drift) / (1 + self.drift))

    def longest_view(self) -> int:
        """How long a node may act by a view that was confirmed, on another's clock from the receipt."""
        return int(self.stale * (1 + self.drift) / (1 - self.drift)) + 1
