"""Durations and limits from the fleet's configuration file, and the bounds derived from them.

Times are whole tenths of a millisecond. `outlier_ejection_s` is in seconds, as in verdicts.
"""

from typing import NamedTuple

DISTANT_PAST = -(1 << 60)  # a time before any event


class Bounds(NamedTuple):
    """The fleet's durations and limits. The order of the fields is part of the fleet's key."""

    lease: int  # duration of a voter's promise
    heartbeat_interval: int  # time between two heartbeats of the leader
    fresh: int  # a node is in touch if the leader confirmed its view within this time: A of docs/fleet.md
    stale: int  # age of a view beyond which a strict node stands by: B of docs/fleet.md
    drift: float  # maximum relative error of a clock's rate: rho of docs/fleet.md
    call_timeout: int  # how long a node retries an operator's call
    strict: bool = True  # whether a node with a stale view stands by
    max_verdicts: int = 4096
    outlier_quorum: int = 0  # nodes that must report an outlier before the fleet ejects it; 0: never
    outlier_ejection_s: float = 20.0  # duration of an ejection by the fleet
    grant_duration: int = 10_000  # a grant expires this long after the node sent the reply that it answers
    guaranteed_fraction: float = 0.5  # of a limit: divided equally among all nodes, also those out of touch

    def min_promise_duration(self) -> int:
        """Returns how long a candidate may rely on a promise, counted from when it sent the request.

        Shorter than the promise lasts on the voter's clock, whatever the drift of the two clocks.
        """
        return int(self.lease * (1 - self.drift) / (1 + self.drift))

    def max_remote_grant_duration(self) -> int:
        """Returns an upper bound, on the leader's clock, of how long a node may use a grant sent now."""
        return int(self.grant_duration * (1 + self.drift) / (1 - self.drift)) + 1

    def loan_duration(self) -> int:
        """Returns how long a node lends its guaranteed rate, counted from when it sent its reply."""
        return 5 * self.grant_duration // 2

    def min_remote_loan_duration(self) -> int:
        """Returns a lower bound of the loan's duration on the leader's clock.

        Counted from when the leader sent the heartbeat that the node's reply answers.
        """
        return int(self.loan_duration() * (1 - self.drift) / (1 + self.drift))

    def max_remote_view_duration(self) -> int:
        """Returns an upper bound of how long a node may act on a confirmed view.

        On the leader's clock, counted from when the leader received the reply that its heartbeat confirms.
        """
        return int(self.stale * (1 + self.drift) / (1 - self.drift)) + 1
