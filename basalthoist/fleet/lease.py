"""Who may be the fleet's author: promises that run out. Sources and proof: docs/fleet.md.

Times are whole tenths of a millisecond of the one clock of the node that the object belongs to.
"""

from .bounds import Bounds


def next_ballot(above: int, index: int, voters: int) -> int:
    """The least ballot over `above` that is this voter's own: no two voters ever use the same."""
    return above + 1 + (index - above - 1) % voters


class Voter:
    """What a voter has promised. It keeps nothing on disk: each start is a new life, silent at first."""

    def __init__(self, bounds: Bounds, now: int) -> None:
        # Guards against a promise of the life before, which somebody may still count on.
        self.lease, self.silent_until = bounds.lease, now + bounds.lease
        self.author = 0  # the ballot of the last author that was elected, as far as is known here
        self.ballot, self.until = 0, 0  # promised, and until when
        self.sound = False  # it holds all that its earlier lives can have acknowledged

    def awake(self, now: int) -> bool:
        return now >= self.silent_until

    def bound(self, now: int) -> int:
        """Nothing below counts here. A promise that has run out can be used by nobody any more."""
        return max(self.ballot if now < self.until else 0, self.author)

    def asked(self, now: int, ballot: int) -> bool:
        """A candidate asks. No other one gets a promise while one runs."""
        if not self.awake(now) or ballot < self.bound(now) or ballot != self.ballot and now < self.until:
            return False
        self.ballot, self.until = ballot, now + self.lease
        return True

    def beaten(self, now: int, ballot: int) -> bool:
        """An author that was elected, perhaps without this voter, renews. Whether it is no older one."""
        if ballot < self.bound(now):
            return False
        self.author = self.ballot = ballot
        if self.awake(now):
            self.until = now + self.lease
        return True

    def released(self, ballot: int) -> None:
        """Its candidate has given that ballot up for good."""
        if ballot == self.ballot:
            self.until = 0


class Promises:
    """What a candidate or an author counts on, each from its own send."""

    def __init__(self, bounds: Bounds, voters: int) -> None:
        self.own, self.needed, self.sent = bounds.own_lease(), voters // 2 + 1, {}

    def given(self, voter: str, sent: int) -> None:
        self.sent[voter] = max(self.sent.get(voter, sent), sent)

    def running(self, now: int) -> list[str]:
        return [voter for voter, sent in self.sent.items() if now < sent + self.own]

    def hold(self, now: int) -> bool:
        return len(self.running(now)) >= self.needed
