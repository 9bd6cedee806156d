"""Operators' calls: those made at this node until they are answered, and all calls that the leader has."""

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from .bounds import DISTANT_PAST, Bounds
from .host import ReplicaHost
from .replication import UNITS_PER_SECOND, Replication
from .verdicts import Verdict
from .wire import OperatorCall, OperatorReply

MAX_CALLS = 256  # in progress at the leader
REMEMBERED_CALLS = 4 * MAX_CALLS
UNTIL_IN_TOUCH = -1  # in place of a time that the leader does not know


class PeerVersion(Protocol):
    """The part of a peer that calls look at."""

    applied_version: int


class CommitState(Protocol):
    """What the leader knows of a version's way into force."""

    nodes: list[str]
    committed: int
    sets: Replication
    queue: list[Verdict]

    @property
    def peers(self) -> Mapping[str, PeerVersion]:
        """The other nodes."""

    def may_apply_older(self, now: int, version: int) -> dict[str, int]:
        """The peers that may still apply an older version, with for how long or UNTIL_IN_TOUCH."""


class LocalCall(NamedTuple):
    """An operator's call at this node."""

    changes: list[Verdict]
    until: int
    forwarded_at: int  # when it was passed to a leader last
    was_forwarded: bool


class LocalCalls:
    """The calls of this node's own operators. Each is passed to the leader again until it is answered."""

    def __init__(self, host: ReplicaHost, bounds: Bounds) -> None:
        self.host: ReplicaHost = host
        self.bounds: Bounds = bounds
        self.calls: dict[int, LocalCall] = {}

    def add(self, now: int, call_id: int, changes: list[Verdict]) -> None:
        """Takes an operator's call."""
        self.calls[call_id] = LocalCall(changes, now + self.bounds.call_timeout, DISTANT_PAST, False)

    def is_overdue(self, now: int, call_id: int) -> bool:
        """Whether no answer is waited for any longer."""
        return now > self.calls[call_id].until + 4 * self.bounds.heartbeat_interval

    def is_due(self, now: int, call_id: int) -> bool:
        """Whether it is time to pass the call to the leader, for the first time or again."""
        return now - self.calls[call_id].forwarded_at >= 3 * self.bounds.heartbeat_interval

    def message(self, now: int, call_id: int) -> OperatorCall:
        """The call as the leader gets it now."""
        call = self.calls[call_id]
        self.calls[call_id] = call._replace(forwarded_at=now, was_forwarded=True)
        return OperatorCall(call_id, call.changes, max(call.until - now, 0))

    def complete(self, call_id: int, text: str) -> None:
        """Answers the operator, once."""
        if self.calls.pop(call_id, None) is not None:
            self.host.answer_call(call_id, text)


class WaitingCall(NamedTuple):
    """A call at the leader: which node has it, and from which version on it is in force."""

    name: str
    call_id: int
    version: int
    until: int


class CallsInProgress:
    """The calls that the leader has taken and not yet answered."""

    def __init__(self, host: ReplicaHost, me: str, local: LocalCalls, max_verdicts: int) -> None:
        self.host: ReplicaHost = host
        self.me: str = me
        self.local: LocalCalls = local
        self.max_verdicts: int = max_verdicts
        self.waiting: list[WaitingCall] = []
        self.versions: dict[tuple[str, int], int] = {}  # of calls that this leader took lately

    def clear(self) -> None:
        """Forgets all of an earlier term."""
        self.waiting, self.versions = [], {}

    def take(self, now: int, name: str, call: OperatorCall, leader: CommitState) -> bool:
        """Queues a call's changes, unless it is refused or in progress. It may come several times.

        Also one that another leader began on. Whether the call waits for its outcome now.
        """
        if any((waiting.name, waiting.call_id) == (name, call.call_id) for waiting in self.waiting):
            return False
        refusal = self.refusal(call, leader)
        if refusal:
            self.answer(name, call.call_id, refusal)
            return False
        version = self.versions.get((name, call.call_id))
        if version is None:  # otherwise its answer was lost
            version = self.queue(name, call, leader)
        self.waiting.append(WaitingCall(name, call.call_id, version, now + call.remaining))
        return True

    def refusal(self, call: OperatorCall, leader: CommitState) -> str:
        """Why the call can't be taken; empty where it can."""
        if len(self.waiting) >= MAX_CALLS:
            return "FAILURE too many calls under way"
        if len(leader.sets.stored.verdicts) + len(leader.queue) + len(call.changes) > self.max_verdicts:
            return f"FAILURE {self.max_verdicts} verdicts at most"
        return ""

    def queue(self, name: str, call: OperatorCall, leader: CommitState) -> int:
        """Queues a call's changes. From which version on they are in force."""
        stored = leader.sets.stored
        leader.queue += call.changes
        version = stored.version + bool(stored.effective(leader.queue))
        self.versions[name, call.call_id] = version
        while len(self.versions) > REMEMBERED_CALLS:
            del self.versions[next(iter(self.versions))]
        return version

    def nothing_changed(self, version: int) -> None:
        """The queued changes undid one another, so that no call has to wait for a later version."""
        self.waiting = [call._replace(version=min(call.version, version)) for call in self.waiting]

    def answer_ended(self, now: int, leader: CommitState) -> None:
        """Answers the calls that have come to an end, one way or the other."""
        ended = {call: text for call in self.waiting if (text := outcome(now, call, leader))}
        self.waiting = [call for call in self.waiting if call not in ended]
        for call, text in ended.items():
            self.answer(call.name, call.call_id, text)

    def answer(self, name: str, call_id: int, text: str) -> None:
        """Answers a call of this node's operator or of a peer's."""
        if name == self.me:
            self.local.complete(call_id, text)
        else:
            self.host.send(name, OperatorReply(call_id, text))


def outcome(now: int, call: WaitingCall, leader: CommitState) -> str:
    """What has come of the call; empty while that is open."""
    if leader.committed < call.version:
        if now < call.until:
            return ""
        return f"FAILURE version {call.version} proposed, not known whether it is kept"
    late = leader.may_apply_older(now, call.version)
    if not late:
        return success_text(call.version, leader)
    return late_text(call.version, late) if now >= call.until else ""


def success_text(version: int, leader: CommitState) -> str:
    """The answer to a call whose version nobody contradicts any more."""
    count = len(leader.nodes)
    out = sorted(name for name, peer in leader.peers.items() if peer.applied_version < version)
    if not out:
        return f"SUCCESS version {version} in force at {count} of {count}"
    return f"SUCCESS version {version} at {count - len(out)} of {count}, {' '.join(out)} shut out"


def late_text(version: int, late: dict[str, int]) -> str:
    """The answer to a call whose version is committed but not applied everywhere in time."""
    longest = max(late.values())
    how_long = f"for {longest / UNITS_PER_SECOND:.1f} s more"
    if min(late.values()) == UNTIL_IN_TOUCH:
        how_long = "until back in touch"
    return f"FAILURE version {version} kept, {' '.join(sorted(late))} may act on {version - 1} {how_long}"
