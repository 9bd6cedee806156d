"""Membership in simulated time, for fleets larger than a machine can start: who finds whom gone, and when."""

from heapq import heappop, heappush
from random import Random
from statistics import median
from typing import NamedTuple

from basalthoist.decisions.random_numbers import Lcg
from basalthoist.fleet.members import GONE, Members
from basalthoist.fleet.wire import ENCODE, Ack, Envelope, MemberState, Ping

TICK = 500
UNITS_PER_SECOND = 10_000
OVERHEAD = 8 + 28  # bytes of a datagram: checksum; headers of UDP and IP
INCARNATION = 1 << 55  # as long on the wire as one that is drawn


class Detection(NamedTuple):
    """One member takes another for gone."""

    at: int
    by: str
    name: str


class MembershipNode:
    """A node: the host of its members."""

    def __init__(self, fleet: "MembershipFleet", name: str, incarnation: int) -> None:
        self.fleet: MembershipFleet = fleet
        self.name: str = name
        self.alive: bool = True
        self.frozen: bool = False
        rng = Lcg(fleet.rng.getrandbits(60))
        self.members: Members = Members(self, name, incarnation, fleet.names, fleet.period, rng, fleet.at)
        for member in self.members.members.values():
            member.incarnation = 1

    def send(self, name: str, message: Ping | Ack) -> None:
        """Sends a message to a member."""
        self.fleet.send(self, name, message)

    def on_member_state(self, name: str, state: MemberState) -> None:
        """Records that a member is gone."""
        if state == GONE:
            self.fleet.detections.append(Detection(self.fleet.at, self.name, name))

    def log(self, line: str) -> None:
        """Writes no log."""


class MembershipFleet:
    """Nodes that know one another by SWIM alone."""

    def __init__(
        self,
        count: int,
        seed: int,
        period: int = 10_000,
        loss: float = 0.0,
        delay: tuple[int, int] = (2, 20),
    ) -> None:
        self.rng: Random = Random(seed)
        self.period: int = period
        self.loss: float = loss
        self.delay: tuple[int, int] = delay
        self.names: list[str] = [f"n{number}" for number in range(count)]
        self.at: int = 0
        self.seq: int = 0
        self.events: list[tuple[int, int, tuple]] = []
        self.detections: list[Detection] = []
        self.cut: set[tuple[str, str]] = set()  # links that lose everything, from and to
        self.bytes: int = 0
        self.nodes: dict[str, MembershipNode] = {name: MembershipNode(self, name, 1) for name in self.names}
        for name in self.names:
            self.later(self.rng.randrange(TICK), (name, None, None))

    def later(self, after: int, what: tuple) -> None:
        """Lets an event happen after so long a time: recipient, sender and message, or a node's timer."""
        self.seq += 1
        heappush(self.events, (self.at + after, self.seq, what))

    def send(self, source: MembershipNode, name: str, message: Ping | Ack) -> None:
        """Takes a message, which may be lost."""
        envelope = Envelope(source.name, INCARNATION, name, INCARNATION, message)
        self.bytes += len(ENCODE(envelope)) + OVERHEAD
        if self.rng.random() >= self.loss and (source.name, name) not in self.cut:
            self.later(self.rng.randint(*self.delay), (name, source.name, message))

    def run(self, seconds: float) -> None:
        """Lets so long a time pass."""
        until = self.at + int(seconds * UNITS_PER_SECOND)
        while self.events and self.events[0][0] <= until:
            self.at, _, (name, source, message) = heappop(self.events)
            if message is None:
                self.later(TICK, (name, None, None))
            node = self.nodes[name]
            if node.alive and not node.frozen:
                self.happen(node, source, message)
        self.at = until

    def happen(self, node: MembershipNode, source: str, message: Ping | Ack | None) -> None:
        """One event at a node."""
        if message is None:
            node.members.on_tick(self.at)
        elif type(message) is Ping:
            node.members.on_ping(self.at, source, message)
        else:
            node.members.on_ack(self.at, source, message)

    def detection_times(self, name: str, since: int) -> list[float]:
        """After how many seconds each other node that is there took it for gone."""
        first: dict[str, int] = {}
        for detection in self.detections:
            if detection.name == name and detection.at >= since:
                first.setdefault(detection.by, detection.at)
        return sorted((at - since) / UNITS_PER_SECOND for at in first.values())

    def false_positives(self) -> int:
        """Nodes that somebody took for gone and that were there all the time."""
        return len({found.name for found in self.detections if self.nodes[found.name].alive})


def measured(count: int, loss: float, seed: int, seconds: float = 60.0) -> dict[str, float | None]:
    """A quiet time, then one node is killed."""
    fleet = MembershipFleet(count, seed, loss=loss)
    fleet.run(seconds)
    false, each = fleet.false_positives(), fleet.bytes / count / seconds
    since = fleet.at
    fleet.nodes["n1"].alive = False
    fleet.run(60)
    found = fleet.detection_times("n1", since)
    return {
        "nodes": count,
        "loss": loss,
        "false": false,
        "bytes_s": each,
        "found_by": len(found),
        "first_s": found[0] if found else None,
        "half_s": median(found) if found else None,
        "all_s": found[-1] if len(found) == count - 1 else None,
    }
