"""Operators' calls: those made at this node, and those in progress at the leader."""

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from .bounds import DISTANT_PAST, Bounds
from .host import ReplicaHost
from .replication import SECOND, Replication
from .verdicts import Verdict
from .wire import OperatorCall, OperatorReply

MAX_CALLS_IN_PROGRESS = 256  # at the leader
MAX_REMEMBERED_CALLS = 4 * MAX_CALLS_IN_PROGRESS
UNTIL_IN_TOUCH = -1  # stands for a time that the leader cannot know: until the peer is in touch again


class PeerVersion(Protocol):
    """The part of a peer's state that calls depend on."""

    applied_version: int


class CommitState(Protocol):
    """The leader's state from which a call's outcome follows."""

    nodes: list[str]
    committed: int
    sets: Replication
    queue: list[Verdict]

    @property
    def peers(self) -> Mapping[str, PeerVersion]:
        """The other nodes."""

    def may_apply_older(self, now: int, version: int) -> dict[str, int]:
        """Returns the peers that may still apply a version below `version`, with the longest time left."""


class LocalCall(NamedTuple):
    """An operator's call that was made at this node."""

    changes: list[Verdict]
    deadline: int
    forwarded_at: int  # when this node last sent the call to a leader
    was_forwarded: bool


class LocalCalls:
    """The calls made at this node. Each is sent to the leader again until it is answered."""

    def __init__(self, host: ReplicaHost, bounds: Bounds) -> None:
        self.host: ReplicaHost = host
        self.bounds: Bounds = bounds
        self.calls: dict[int, LocalCall] = {}

    def add(self, now: int, call_id: int, changes: list[Verdict]) -> None:
        """Adds an operator's call."""
        self.calls[call_id] = LocalCall(changes, now + self.bounds.call_timeout, DISTANT_PAST, False)

    def is_overdue(self, now: int, call_id: int) -> bool:
        """Returns whether the wait for an answer is over."""
        return now > self.calls[call_id].deadline + 4 * self.bounds.heartbeat_interval

    def is_due(self, now: int, call_id: int) -> bool:
        """Returns whether it is time to send the call to the leader, for the first time or again."""
        return now - self.calls[call_id].forwarded_at >= 3 * self.bounds.heartbeat_interval

    def message(self, now: int, call_id: int) -> OperatorCall:
        """Returns the message to the leader and records that the call is sent now."""
        call = self.calls[call_id]
        self.calls[call_id] = call._replace(forwarded_at=now, was_forwarded=True)
        return OperatorCall(call_id, call.changes, max(call.deadline - now, 0))

    def complete(self, call_id: int, text: str) -> None:
        """Answers the operator. A second answer to the same call is dropped."""
        if self.calls.pop(call_id, None) is not None:
            self.host.answer_call(call_id, text)


class WaitingCall(NamedTuple):
    """A call in progress at the leader."""

    name: str  # of the node at which the call was made
    call_id: int
    version: int  # the first version that contains the call's changes
    deadline: int


class CallsInProgress:
    """The calls that the leader has accepted and not answered yet."""

    def __init__(self, host: ReplicaHost, own_name: str, local: LocalCalls, max_verdicts: int) -> None:
        self.host: ReplicaHost = host
        self.own_name: str = own_name
        self.local: LocalCalls = local
        self.max_verdicts: int = max_verdicts
        self.waiting: list[WaitingCall] = []
        # The versions of the calls that this leader accepted last, by node and call.
        self.versions: dict[tuple[str, int], int] = {}

    def clear(self) -> None:
        """Drops all calls of an earlier term."""
        self.waiting, self.versions = [], {}

    def accept(self, now: int, name: str, call: OperatorCall, leader: CommitState) -> bool:
        """Queues a call's changes, unless the call is refused, in progress, or only its answer was lost.

        Nodes send a call repeatedly, also one that an earlier leader has accepted. Returns whether the call
        was added to those in progress.
        """
        if any((waiting.name, waiting.call_id) == (name, call.call_id) for waiting in self.waiting):
            return False
        refusal = self.refusal(call, leader)
        if refusal:
            self.answer(name, call.call_id, refusal)
            return False
        version = self.versions.get((name, call.call_id))
        if version is None:  # Otherwise the answer was lost, and the changes must not be queued again.
            version = self.queue_changes(name, call, leader)
        self.waiting.append(WaitingCall(name, call.call_id, version, now + call.remaining))
        return True

    def refusal(self, call: OperatorCall, leader: CommitState) -> str:
        """Returns the answer that refuses the call, or an empty text if the call is acceptable."""
        if len(self.waiting) >= MAX_CALLS_IN_PROGRESS:
            return "FAILURE too many calls under way"
        if len(leader.sets.stored.verdicts) + len(leader.queue) + len(call.changes) > self.max_verdicts:
            return f"FAILURE {self.max_verdicts} verdicts at most"
        return ""

    def queue_changes(self, name: str, call: OperatorCall, leader: CommitState) -> int:
        """Queues a call's changes and returns the first version that will contain them."""
        stored = leader.sets.stored
        leader.queue += call.changes
        version = stored.version + bool(stored.effective(leader.queue))
        self.versions[name, call.call_id] = version
        while len(self.versions) > MAX_REMEMBERED_CALLS:
            del self.versions[next(iter(self.versions))]
        return version

    def nothing_changed(self, version: int) -> None:
        """Lets calls wait for `version` at most: the queued changes had no effect, so no later one comes."""
        self.waiting = [call._replace(version=min(call.version, version)) for call in self.waiting]

    def answer_ended(self, now: int, leader: CommitState) -> None:
        """Answers the calls in progress that have succeeded or failed."""
        ended = {call: text for call in self.waiting if (text := outcome(now, call, leader))}
        self.waiting = [call for call in self.waiting if call not in ended]
        for call, text in ended.items():
            self.answer(call.name, call.call_id, text)

    def answer(self, name: str, call_id: int, text: str) -> None:
        """Answers a call that was made at the node `name`, which may be this one."""
        if name == self.own_name:
            self.local.complete(call_id, text)
        else:
            self.host.send(name, OperatorReply(call_id, text))


def outcome(now: int, call: WaitingCall, leader: CommitState) -> str:
    """Returns the answer to the call, or an empty text while the outcome is open."""
    if leader.committed < call.version:
        if now < call.deadline:
            return ""
        return f"FAILURE version {call.version} proposed, not known whether it is kept"
    late = leader.may_apply_older(now, call.version)
    if not late:
        return success_text(call.version, leader)
    return late_text(call.version, late) if now >= call.deadline else ""


def success_text(version: int, leader: CommitState) -> str:
    """Returns the answer to a call for which no node may act on an older version any more."""
    count = len(leader.nodes)
    out = sorted(name for name, peer in leader.peers.items() if peer.applied_version < version)
    if not out:
        return f"SUCCESS version {version} in force at {count} of {count}"
    return f"SUCCESS version {version} at {count - len(out)} of {count}, {' '.join(out)} shut out"


def late_text(version: int, late: dict[str, int]) -> str:
    """Returns the answer to a call whose version is committed, but not yet applied by all nodes."""
    longest = max(late.values())
    how_long = f"for {longest / SECOND:.1f} s more"
    if min(late.values()) == UNTIL_IN_TOUCH:
        how_long = "until back in touch"
    return f"FAILURE version {version} kept, {' '.join(sorted(late))} may act on {version - 1} {how_long}"
