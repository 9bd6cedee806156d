"""The leader's lease: promises of a quorum of voters that expire. Sources and proof: docs/fleet.md.

Times are whole tenths of a millisecond on the clock of the node that the object belongs to.
"""

from .bounds import Bounds


def next_term(above: int, index: int, voters: int) -> int:
    """Returns the lowest term above `above` that belongs to the voter `index`. No two voters share a term."""
    return above + 1 + (index - above - 1) % voters


class Voter:
    """A voter's promise to a leader or a candidate, in memory only: a new incarnation first stays silent."""

    def __init__(self, bounds: Bounds, now: int) -> None:
        self.lease: int = bounds.lease
        # Guards against a promise of the previous incarnation, which a leader may still rely on.
        self.silent_until: int = now + bounds.lease
        self.leader_term: int = 0  # the term of the latest elected leader that this voter knows
        self.promised_term: int = 0
        self.promised_until: int = 0
        # Whether everything that earlier incarnations of this voter may have acknowledged is stored here.
        self.intact: bool = False

    def may_vote(self, now: int) -> bool:
        """Returns whether the silence after the start is over."""
        return now >= self.silent_until

    def minimum_term(self, now: int) -> int:
        """Returns the lowest term that this voter accepts. An expired promise does not raise it."""
        return max(self.promised_term if now < self.promised_until else 0, self.leader_term)

    def promise(self, now: int, term: int) -> bool:
        """Promises this voter's support to the candidate of `term`, unless a promise to another one runs.

        Returns whether the promise was made.
        """
        if not self.may_vote(now) or term < self.minimum_term(now):
            return False
        if term != self.promised_term and now < self.promised_until:
            return False
        self.promised_term, self.promised_until = term, now + self.lease
        return True

    def accept_leader(self, now: int, term: int) -> bool:
        """Renews the promise for an elected leader, even one elected without this voter.

        Returns False, and changes nothing, for a leader of a term below the minimum.
        """
        if term < self.minimum_term(now):
            return False
        self.leader_term = self.promised_term = term
        if self.may_vote(now):
            self.promised_until = now + self.lease
        return True

    def release(self, term: int) -> None:
        """Ends the promise to the candidate of `term`, which has withdrawn for good."""
        if term == self.promised_term:
            self.promised_until = 0


def own_voter(voter: Voter | None) -> Voter:
    """Returns the voter of a node that is a candidate or the leader: only voters can be either."""
    assert voter is not None
    return voter


class Promises:
    """The promises that a candidate or a leader has, each counted from when it sent the request."""

    def __init__(self, bounds: Bounds, voters: int) -> None:
        self.duration: int = bounds.min_promise_duration()
        self.quorum: int = voters // 2 + 1
        self.requested_at: dict[str, int] = {}

    def add(self, voter: str, requested_at: int) -> None:
        """Counts a voter's promise in reply to the message sent at `requested_at`."""
        self.requested_at[voter] = max(self.requested_at.get(voter, requested_at), requested_at)

    def running(self, now: int) -> list[str]:
        """Returns the voters whose promise has not expired."""
        return [voter for voter, at in self.requested_at.items() if now < at + self.duration]

    def has_quorum(self, now: int) -> bool:
        """Returns whether the unexpired promises are those of a quorum."""
        return len(self.running(now)) >= self.quorum
