"""Simulates a fleet's replicas: drifting clocks, lost, duplicated and delayed messages, and crashes.

Verifies the guarantees of docs/fleet.md from observed events, not from what replicas believe about others.
True time is in whole tenths of a millisecond; each node's clock has its own rate and start.
"""

from collections.abc import Sequence
from heapq import heappop, heappush
from random import Random

from basalthoist.decisions.random_numbers import Lcg
from basalthoist.fleet.bounds import Bounds
from basalthoist.fleet.quota_leases import Limit, QuotaLeaseHolder
from basalthoist.fleet.replica import Replica
from basalthoist.fleet.verdicts import Verdict, VerdictSet
from basalthoist.fleet.wire import Message

TICK = 200
UNITS_PER_SECOND = 10_000
BACKENDS_PER_NODE = 12
MESSAGE = "message"

Incarnations = tuple[int, int]  # of a message's sender and of its recipient


class GuaranteeViolated(AssertionError):
    """A guarantee of docs/fleet.md or docs/distribution.md was violated."""


class ReplicaNode:
    """Host of one replica, with a clock of its own. `replica` is None while the node is down."""

    def __init__(self, fleet: "Replicas", name: str, rate: float) -> None:
        self.fleet: Replicas = fleet
        self.name: str = name
        self.rate: float = rate
        self.start: int = 1_000_000
        self.incarnation: int = 0
        self.replica: Replica | None = None
        self.frozen: bool = False
        self.hint: VerdictSet | None = None
        self.inbox: list[tuple[str, Incarnations, Message]] = []  # messages received while frozen

    def now(self) -> int:
        """Returns the time by the node's clock."""
        return self.start + int(self.fleet.at * self.rate)

    def begin(self, keeps: bool = True) -> None:
        """Starts a new incarnation, with its hint file if `keeps` is set."""
        fleet = self.fleet
        self.incarnation += 1
        hint = self.hint if keeps else None
        rng = Lcg(fleet.rng.getrandbits(60))
        self.known_incarnations: dict[str, int] = {}  # of the other nodes, as this one knows them
        self.highest_applied: int = -1
        now = self.now()
        self.holder: QuotaLeaseHolder | None = None
        if fleet.limits:
            self.holder = fleet.make_holder(fleet.limits, len(fleet.names), fleet.bounds, now)
        self.replica = fleet.make(
            self, self.name, fleet.names, fleet.voters, fleet.bounds, rng, now, hint, self.holder
        )

    # Methods of `ReplicaHost`.

    def send(self, name: str, message: Message) -> None:
        """Sends a message to a peer."""
        self.fleet.transmit(self, name, message)

    def apply(self, verdicts: VerdictSet) -> None:
        """Applies these verdicts from now on."""
        self.fleet.on_applied(self, verdicts)

    def store(self, verdicts: VerdictSet) -> None:
        """Stores the set as a hint for a later incarnation."""
        self.hint = verdicts

    def answer_call(self, call_id: int, text: str) -> None:
        """Answers an operator of this node."""
        self.fleet.answers[call_id] = text
        if text.startswith("SUCCESS version"):
            self.fleet.on_acknowledged(int(text.split()[2]))

    def detected_outliers(self) -> list[str]:
        """Returns the outliers that this node has detected by itself."""
        return sorted(self.fleet.outliers.get(self.name, ()))

    def backend_count(self) -> int:
        """Returns how many backends this node knows."""
        return BACKENDS_PER_NODE

    def log(self, line: str) -> None:
        """Writes a log line."""
        self.fleet.lines.append(f"{self.fleet.at / UNITS_PER_SECOND:.2f} {self.name} {line}")


class Replicas:
    """A fleet of `count` nodes, the first `voters` of which vote. `make` creates a node's replica."""

    make_holder: type = QuotaLeaseHolder

    def __init__(
        self,
        count: int,
        voters: int,
        seed: int,
        bounds: Bounds,
        loss: float = 0.0,
        duplication: float = 0.0,
        delay: tuple[int, int] = (2, 30),
        make: type = Replica,
        limits: Sequence[Limit] = (),
    ) -> None:
        self.limits: list[Limit] = list(limits)
        self.rng: Random = Random(seed)
        self.bounds: Bounds = bounds
        self.at: int = 0
        self.make: type = make
        self.loss: float = loss
        self.duplication: float = duplication
        self.delay: tuple[int, int] = delay
        self.names: list[str] = [f"n{number}" for number in range(count)]
        self.voters: list[str] = self.names[:voters]
        self.events: list[tuple[int, int, tuple]] = []
        self.seq: int = 0
        self.cut: set[tuple[str, str]] = set()  # (source, target) of each link that drops all messages
        self.lines: list[str] = []
        self.answers: dict[int, str] = {}
        self.outliers: dict[str, set[str]] = {}  # the outliers that each node has detected
        self.contents: dict[int, bytes] = {}  # the encoded set of each version that a node has applied
        self.first_applied: dict[int, int] = {}  # the true time at which a node first applied each version
        self.acknowledged: int = 0  # the highest version reported to an operator as in force
        self.sent_messages: int = 0
        self.worst_age: int = 0  # the longest time that a node could act on a replaced version
        rates = 1 - bounds.drift, 1.0, 1 + bounds.drift
        self.replica_nodes: dict[str, ReplicaNode] = {
            name: ReplicaNode(self, name, self.rng.choice(rates)) for name in self.names
        }
        for node in self.replica_nodes.values():
            node.start = self.rng.randrange(10**6, 10**9)
            node.begin()
            self.later(self.rng.randrange(TICK), ("tick", node.name))

    def later(self, after: int, event: tuple) -> None:
        """Schedules an event after a delay in true time."""
        self.seq += 1
        heappush(self.events, (self.at + after, self.seq, event))

    def transmit(self, source: ReplicaNode, name: str, message: Message) -> None:
        """Transmits a message, which may be lost or duplicated."""
        self.sent_messages += 1
        incarnations = source.incarnation, source.known_incarnations.get(name, 1)
        if (source.name, name) in self.cut or self.rng.random() < self.loss:
            return
        for _ in range(2 if self.rng.random() < self.duplication else 1):
            event = MESSAGE, source.name, name, incarnations, message
            self.later(self.rng.randint(*self.delay), event)

    def run(self, until: int) -> None:
        """Processes all events until a true time."""
        while self.events and self.events[0][0] <= until:
            self.at, _, event = heappop(self.events)
            self.process_event(event)
        self.at = max(self.at, until)

    def process_event(self, event: tuple) -> None:
        """Processes one event: a node's timer, a message, or a function call."""
        if event[0] == "tick":
            self.tick(event)
        elif event[0] == MESSAGE:
            _, source, name, incarnations, message = event
            self.arrive_message(self.replica_nodes[name], source, incarnations, message)
        else:
            event[0](*event[1:])

    def tick(self, event: tuple) -> None:
        """Runs a node's periodic timer."""
        node = self.replica_nodes[event[1]]
        self.later(int(TICK / node.rate), event)
        if node.replica is not None and not node.frozen:
            node.replica.on_tick(node.now())
            self.verify()

    def arrive_message(
        self, node: ReplicaNode, source: str, incarnations: Incarnations, message: Message
    ) -> None:
        """Delivers a message, or queues it while the recipient is frozen."""
        if node.frozen:
            node.inbox.append((source, incarnations, message))
        else:
            self.deliver(node, source, incarnations, message)

    def deliver(self, node: ReplicaNode, source: str, incarnations: Incarnations, message: Message) -> None:
        """Passes a message to the recipient's replica, if the incarnations of both ends are current."""
        known = node.known_incarnations.get(source, 1)
        if node.replica is None or incarnations[0] < known:
            return
        if incarnations[0] > known:
            node.known_incarnations[source] = incarnations[0]
            node.replica.on_incarnation(source)
        # A message to an earlier incarnation is dropped, and the sender learns the current one.
        if incarnations[1] != node.incarnation:
            return self.later(self.delay[1], (self.learn_incarnation, source, incarnations[0], node.name))
        node.replica.on_message(node.now(), source, message)
        self.verify()

    def learn_incarnation(self, name: str, incarnation: int, other: str) -> None:
        """Tells a node the current incarnation of another one."""
        node = self.replica_nodes[name]
        current = self.replica_nodes[other].incarnation
        if node.incarnation == incarnation and node.known_incarnations.get(other, 1) < current:
            node.known_incarnations[other] = current
            if node.replica is not None:
                node.replica.on_incarnation(other)

    # Faults.

    def kill(self, name: str) -> None:
        """Ends a node's current incarnation."""
        node = self.replica_nodes[name]
        node.replica, node.frozen = None, False
        node.inbox.clear()

    def restart(self, name: str, keeps: bool = True) -> None:
        """Starts a node's next incarnation, with its hint file if `keeps` is set."""
        self.kill(name)
        self.replica_nodes[name].begin(keeps)

    def freeze(self, name: str) -> None:
        """Freezes a node: it processes neither timers nor messages."""
        self.replica_nodes[name].frozen = True

    def wake(self, name: str) -> None:
        """Ends a freeze. Messages received meanwhile are processed before the timers."""
        node = self.replica_nodes[name]
        if not node.frozen:
            return
        node.frozen, waiting, node.inbox = False, node.inbox, []
        for source, incarnations, message in waiting:
            self.deliver(node, source, incarnations, message)

    def split(self, *sides: list[str]) -> None:
        """Cuts all links between different groups of nodes."""
        pairs = [(one, other) for one in sides for other in sides if one is not other]
        self.cut = {(a, b) for one, other in pairs for a in one for b in other}

    def restore_links(self) -> None:
        """Restores all links."""
        self.cut = set()

    def call(self, name: str, call_id: int, changes: list[Verdict]) -> None:
        """Makes an operator call at a node, unless it is down or frozen."""
        node = self.replica_nodes[name]
        if node.replica is not None and not node.frozen:
            node.replica.on_call(node.now(), call_id, changes)
            self.verify()

    # Verification of the guarantees.

    def leader(self) -> str:
        """Returns the name of a node that holds the lease and knows what is committed, or an empty string."""
        for node in self.replica_nodes.values():
            if node.replica is None or node.frozen:
                continue
            if node.replica.leads(node.now()) and node.replica.leader.committed >= 0:
                return node.name
        return ""

    def on_applied(self, node: ReplicaNode, verdicts: VerdictSet) -> None:
        """Raises GuaranteeViolated unless all nodes apply the same versions in the same order."""
        version = verdicts.version
        if self.contents.setdefault(version, verdicts.data) != verdicts.data:
            raise GuaranteeViolated(f"fork: {node.name} acts on another version {version}")
        if version < node.highest_applied:
            raise GuaranteeViolated(f"{node.name} went back from version {node.highest_applied} to {version}")
        if version not in self.first_applied:
            latest = max(self.first_applied, default=0)
            if version != latest + 1 and version:
                raise GuaranteeViolated(f"version {version} follows {latest}")
            self.first_applied[version] = self.at
        node.highest_applied = version

    def on_acknowledged(self, version: int) -> None:
        """Records that an operator call was answered with this version in force."""
        self.acknowledged = max(self.acknowledged, version)

    def verify(self) -> None:
        """Raises GuaranteeViolated if two nodes lead at once or a node may act on an outdated version."""
        leading: list[str] = []
        for node in self.replica_nodes.values():
            if node.replica is None:
                continue
            now = node.now()
            if node.replica.leads(now):
                leading.append(node.name)
            if self.bounds.strict and node.replica.may_forward_requests(now):
                self.verify_view(node)
        if len(leading) > 1:
            raise GuaranteeViolated(f"{' and '.join(leading)} lead at once")

    def verify_view(self, node: ReplicaNode) -> None:
        """Raises GuaranteeViolated if the node may act on a version that is too old.

        That is a version older than the acknowledged one, or one replaced longer ago than the bounds allow.
        """
        version = node.replica.sets.applied.version
        if version < self.acknowledged:
            raise GuaranteeViolated(
                f"{node.name} may act on {version}, {self.acknowledged} was said to be in force"
            )
        replaced_at = self.first_applied.get(version + 1)
        if replaced_at is None:
            return
        self.worst_age = max(self.worst_age, self.at - replaced_at)
        max_age = self.bounds.stale / (1 - self.bounds.drift) + 2
        if self.at - replaced_at > max_age:
            age = (self.at - replaced_at) / UNITS_PER_SECOND
            raise GuaranteeViolated(f"{node.name} may act on {version}, replaced {age:.2f} s ago")
