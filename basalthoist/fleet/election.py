"""A voter's candidacies: terms it stands for, votes, and which set the voters show to be the latest."""

from typing import NamedTuple

from .bounds import DISTANT_PAST, Bounds
from .lease import Promises, next_term
from .verdicts import VerdictSet


def owns_term(term: int, name: str, voters: list[str]) -> bool:
    """Whether that node is the voter whose term this is."""
    return name in voters and voters.index(name) == term % len(voters)


class VoterState(NamedTuple):
    """What a vote says of the voter's set, in the order by which sets are compared."""

    term: int
    version: int
    digest: bytes
    intact: bool  # the voter has forgotten nothing that it acknowledged


class Election:
    """The candidacy under way, or the last one. Its promises go on to count for the leader's lease."""

    def __init__(self, bounds: Bounds, me: str, voters: list[str], now: int) -> None:
        self.bounds: Bounds = bounds
        self.me: str = me
        self.voters: list[str] = voters
        self.term: int = 0  # the one it stands for or leads in
        self.highest_seen: int = 0  # term that it has heard of
        self.fetched: VerdictSet | None = None  # for this candidacy
        self.promises: Promises = Promises(bounds, len(voters))
        self.votes: dict[str, VoterState] = {}
        self.began_at: int = now
        self.requested_at: int = DISTANT_PAST

    def start(self, now: int, above: int) -> None:
        """Stands for the next term of its own above that one and all that it has heard of."""
        above = max(above, self.highest_seen, self.term)
        self.term = next_term(above, self.voters.index(self.me), len(self.voters))
        self.began_at = now
        self.requested_at = DISTANT_PAST
        self.votes = {}
        self.fetched = None
        self.promises = Promises(self.bounds, len(self.voters))

    def notice_term(self, term: int) -> None:
        """Remembers a term that somebody uses."""
        self.highest_seen = max(self.highest_seen, term)

    def expired(self, now: int) -> bool:
        """Whether it has stood for longer than a promise lasts."""
        return now - self.began_at > self.bounds.own_lease()

    def due(self, now: int) -> bool:
        """Whether it is time to ask the voters, for the first time or again."""
        return now - self.requested_at >= self.bounds.heartbeat_interval

    def on_vote(self, name: str, requested_at: int, state: VoterState) -> None:
        """Counts a voter's promise, from when this candidate asked for it."""
        self.promises.add(name, requested_at)
        self.votes[name] = state

    def best(self, now: int, own: VoterState) -> tuple[str, VoterState] | None:
        """A voter that holds the latest set, and that set, once the running promises cover all commits."""
        running = self.promises.running(now)
        votes = {name: self.votes[name] for name in running if name in self.votes}
        votes[self.me] = own
        intact = [vote for vote in votes.values() if vote.intact]
        if len(intact) >= self.promises.quorum:
            best = max(intact)
        elif len(votes) == len(self.voters):
            best = max(votes.values(), key=lambda vote: vote[:2])  # all that is left anywhere
        else:
            return None
        self.notice_term(best.term)
        return next(name for name, vote in votes.items() if vote.digest == best.digest), best
