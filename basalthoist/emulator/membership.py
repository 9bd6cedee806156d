"""Simulates membership for fleets larger than one machine can run, and measures failure detection."""

from heapq import heappop, heappush
from random import Random
from statistics import median
from typing import NamedTuple

from basalthoist.decisions.random_numbers import Lcg
from basalthoist.fleet.members import GONE, Members
from basalthoist.fleet.wire import ENCODE, Ack, Envelope, MemberState, Ping

TICK = 500
UNITS_PER_SECOND = 10_000
OVERHEAD = 8 + 28  # bytes per datagram: checksum; UDP and IP headers
INCARNATION = 1 << 55  # encoded in as many bytes as a random incarnation


class Detection(NamedTuple):
    """One member declared another one gone."""

    at: int
    by: str
    name: str


class MembershipNode:
    """Host of one membership protocol instance."""

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
        """Records when a member is declared gone."""
        if state == GONE:
            self.fleet.detections.append(Detection(self.fleet.at, self.name, name))

    def log(self, line: str) -> None:
        """Discards log lines."""


class MembershipFleet:
    """Nodes that know about one another only through the membership protocol (SWIM)."""

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
        self.cut: set[tuple[str, str]] = set()  # links that drop all messages: source, target
        self.bytes: int = 0
        self.nodes: dict[str, MembershipNode] = {name: MembershipNode(self, name, 1) for name in self.names}
        for name in self.names:
            self.later(self.rng.randrange(TICK), (name, None, None))

    def later(self, after: int, event: tuple) -> None:
        """Schedules an event: recipient, sender and message, the last two None for the recipient's timer."""
        self.seq += 1
        heappush(self.events, (self.at + after, self.seq, event))

    def send(self, source: MembershipNode, name: str, message: Ping | Ack) -> None:
        """Transmits a message, which may be lost."""
        envelope = Envelope(source.name, INCARNATION, name, INCARNATION, message)
        self.bytes += len(ENCODE(envelope)) + OVERHEAD
        if self.rng.random() >= self.loss and (source.name, name) not in self.cut:
            self.later(self.rng.randint(*self.delay), (name, source.name, message))

    def run(self, seconds: float) -> None:
        """Advances the simulation."""
        until = self.at + int(seconds * UNITS_PER_SECOND)
        while self.events and self.events[0][0] <= until:
            self.at, _, (name, source, message) = heappop(self.events)
            if message is None:
                self.later(TICK, (name, None, None))
            node = self.nodes[name]
            if node.alive and not node.frozen:
                self.process_event(node, source, message)
        self.at = until

    def process_event(self, node: MembershipNode, source: str, message: Ping | Ack | None) -> None:
        """Processes a timer (`message` is None) or a message at a node."""
        if message is None:
            node.members.on_tick(self.at)
        elif type(message) is Ping:
            node.members.on_ping(self.at, source, message)
        else:
            node.members.on_ack(self.at, source, message)

    def detection_times(self, name: str, since: int) -> list[float]:
        """Returns after how many seconds each other node declared the node gone, sorted."""
        first: dict[str, int] = {}
        for detection in self.detections:
            if detection.name == name and detection.at >= since:
                first.setdefault(detection.by, detection.at)
        return sorted((at - since) / UNITS_PER_SECOND for at in first.values())

    def false_positives(self) -> int:
        """Returns how many nodes were declared gone although they are alive."""
        return len({detection.name for detection in self.detections if self.nodes[detection.name].alive})


def measure(count: int, loss: float, seed: int, seconds: float = 60.0) -> dict[str, float | None]:
    """Runs a fleet without faults, then kills one node and measures its detection."""
    fleet = MembershipFleet(count, seed, loss=loss)
    fleet.run(seconds)
    false_positives, bytes_per_s = fleet.false_positives(), fleet.bytes / count / seconds
    since = fleet.at
    fleet.nodes["n1"].alive = False
    fleet.run(60)
    times = fleet.detection_times("n1", since)
    return {
        "nodes": count,
        "loss": loss,
        "false": false_positives,
        "bytes_s": bytes_per_s,
        "found_by": len(times),
        "first_s": times[0] if times else None,
        "half_s": median(times) if times else None,
        "all_s": times[-1] if len(times) == count - 1 else None,
    }
