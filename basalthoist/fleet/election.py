"""A voter's candidacies: the terms, the votes, and the choice of the latest verdict set among the voters."""

from typing import NamedTuple

from .bounds import DISTANT_PAST, Bounds
from .lease import Promises, next_term
from .verdicts import VerdictSet


def owns_term(term: int, name: str, voters: list[str]) -> bool:
    """Returns whether the node `name` is the only voter that may use `term`."""
    return name in voters and voters.index(name) == term % len(voters)


class VoterState(NamedTuple):
    """The verdict set that a voter has stored. The order of the fields is the order of comparison."""

    term: int
    version: int
    digest: bytes
    intact: bool  # whether the voter still has everything that it acknowledged, also before a restart


class Election:
    """The current or the last candidacy. After a win its promises begin the leader's lease."""

    def __init__(self, bounds: Bounds, own_name: str, voters: list[str], now: int) -> None:
        self.bounds: Bounds = bounds
        self.own_name: str = own_name
        self.voters: list[str] = voters
        self.term: int = 0  # the term of the candidacy or of the leadership
        self.highest_seen_term: int = 0
        self.fetched: VerdictSet | None = None  # the latest set, where this candidate had to fetch it
        self.promises: Promises = Promises(bounds, len(voters))
        self.votes: dict[str, VoterState] = {}
        self.began_at: int = now
        self.requested_at: int = DISTANT_PAST

    def start(self, now: int, above: int) -> None:
        """Starts a candidacy for this voter's next term above `above` and all terms seen so far."""
        above = max(above, self.highest_seen_term, self.term)
        self.term = next_term(above, self.voters.index(self.own_name), len(self.voters))
        self.began_at = now
        self.requested_at = DISTANT_PAST
        self.votes = {}
        self.fetched = None
        self.promises = Promises(self.bounds, len(self.voters))

    def notice_term(self, term: int) -> None:
        """Records a term that another voter uses."""
        self.highest_seen_term = max(self.highest_seen_term, term)

    def expired(self, now: int) -> bool:
        """Returns whether the candidacy has lasted longer than a promise."""
        return now - self.began_at > self.bounds.min_promise_duration()

    def due(self, now: int) -> bool:
        """Returns whether it is time to send vote requests, for the first time or again."""
        return now - self.requested_at >= self.bounds.heartbeat_interval

    def on_vote(self, name: str, requested_at: int, state: VoterState) -> None:
        """Counts a voter's promise from `requested_at`, when this candidate sent the request."""
        self.promises.add(name, requested_at)
        self.votes[name] = state

    def best(self, now: int, own: VoterState) -> tuple[str, VoterState] | None:
        """Returns a voter that has the latest set, and the state of that set.

        None until the voters with a running promise are certain to include one with the last committed set.
        """
        running = self.promises.running(now)
        votes = {name: self.votes[name] for name in running if name in self.votes}
        votes[self.own_name] = own
        intact = [vote for vote in votes.values() if vote.intact]
        if len(intact) >= self.promises.quorum:
            best = max(intact)
        elif len(votes) == len(self.voters):
            # All voters have answered, so this is the latest set that is left at any of them.
            best = max(votes.values(), key=lambda vote: vote[:2])
        else:
            return None
        self.notice_term(best.term)
        return next(name for name, vote in votes.items() if vote.digest == best.digest), best
