"""A fleet's replicas in simulated time: clocks that drift, messages lost, doubled and late, crashes.

Judges what docs/fleet.md promises from what happens, never from what a replica believes of others. True time
is in whole tenths of a millisecond; each node's clock runs at its own rate and from its own start.
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
BACKENDS = 12  # that each node knows
MESSAGE = "message"

Incarnations = tuple[int, int]  # of a message's sender and of its recipient


class Broken(AssertionError):
    """A promise of docs/fleet.md was not kept."""


class ReplicaNode:
    """A node: the host of its replica, with a clock. `replica` is None while the node is down."""

    def __init__(self, fleet: "Replicas", name: str, rate: float) -> None:
        self.fleet: Replicas = fleet
        self.name: str = name
        self.rate: float = rate
        self.start: int = 1_000_000
        self.incarnation: int = 0
        self.replica: Replica | None = None
        self.frozen: bool = False
        self.hint: VerdictSet | None = None
        self.inbox: list[tuple[str, Incarnations, Message]] = []  # while it is frozen

    def now(self) -> int:
        """By its own clock."""
        return self.start + int(self.fleet.at * self.rate)

    def begin(self, keeps: bool = True) -> None:
        """Starts a new incarnation; with its file, or as one that has lost it."""
        fleet = self.fleet
        self.incarnation += 1
        hint = self.hint if keeps else None
        rng = Lcg(fleet.rng.getrandbits(60))
        self.known_incarnations: dict[str, int] = {}  # of others, as far as it has noticed
        self.highest_applied: int = -1
        now = self.now()
        self.holder: QuotaLeaseHolder | None = None
        if fleet.limits:
            self.holder = fleet.make_holder(fleet.limits, len(fleet.names), fleet.bounds, now)
        self.replica = fleet.make(
            self, self.name, fleet.names, fleet.voters, fleet.bounds, rng, now, hint, self.holder
        )

    # The replica's host.

    def send(self, name: str, message: Message) -> None:
        """Sends a message to a peer."""
        self.fleet.sent(self, name, message)

    def apply(self, verdicts: VerdictSet) -> None:
        """Applies these verdicts from now on."""
        self.fleet.acted(self, verdicts)

    def store(self, verdicts: VerdictSet) -> None:
        """Stores the set as a hint for a later incarnation."""
        self.hint = verdicts

    def answer_call(self, call_id: int, text: str) -> None:
        """Answers an operator of this node."""
        self.fleet.answers[call_id] = text
        if text.startswith("SUCCESS version"):
            self.fleet.promised(int(text.split()[2]))

    def detected_outliers(self) -> list[str]:
        """The outliers that this node has detected by itself."""
        return sorted(self.fleet.outliers.get(self.name, ()))

    def backend_count(self) -> int:
        """How many backends this node knows."""
        return BACKENDS

    def log(self, line: str) -> None:
        """Writes a log line."""
        self.fleet.lines.append(f"{self.fleet.at / UNITS_PER_SECOND:.2f} {self.name} {line}")


class Replicas:
    """A fleet of `count` nodes, the first `voters` of which vote. `make`: another class of replica."""

    make_holder: type = QuotaLeaseHolder

    def __init__(
        self,
        count: int,
        voters: int,
        seed: int,
        bounds: Bounds,
        loss: float = 0.0,
        double: float = 0.0,
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
        self.double: float = double
        self.delay: tuple[int, int] = delay
        self.names: list[str] = [f"n{number}" for number in range(count)]
        self.voters: list[str] = self.names[:voters]
        self.events: list[tuple[int, int, tuple]] = []
        self.seq: int = 0
        self.cut: set[tuple[str, str]] = set()  # links that lose everything, from and to
        self.lines: list[str] = []
        self.answers: dict[int, str] = {}
        self.outliers: dict[str, set[str]] = {}  # what each node detects
        self.contents: dict[int, bytes] = {}  # of each version that anybody has applied
        self.first_applied: dict[int, int] = {}  # when
        self.acknowledged: int = 0  # the highest version that an operator was told to be in force
        self.sent_messages: int = 0
        self.worst_age: int = 0
        rates = 1 - bounds.drift, 1.0, 1 + bounds.drift
        self.replica_nodes: dict[str, ReplicaNode] = {
            name: ReplicaNode(self, name, self.rng.choice(rates)) for name in self.names
        }
        for node in self.replica_nodes.values():
            node.start = self.rng.randrange(10**6, 10**9)
            node.begin()
            self.later(self.rng.randrange(TICK), ("tick", node.name))

    def later(self, after: int, what: tuple) -> None:
        """Lets an event happen after so long a time."""
        self.seq += 1
        heappush(self.events, (self.at + after, self.seq, what))

    def sent(self, source: ReplicaNode, name: str, message: Message) -> None:
        """Takes a message, which may be lost or doubled."""
        self.sent_messages += 1
        incarnations = source.incarnation, source.known_incarnations.get(name, 1)
        if (source.name, name) in self.cut or self.rng.random() < self.loss:
            return
        for _ in range(2 if self.rng.random() < self.double else 1):
            event = MESSAGE, source.name, name, incarnations, message
            self.later(self.rng.randint(*self.delay), event)

    def run(self, until: int) -> None:
        """Lets happen what is due until then."""
        while self.events and self.events[0][0] <= until:
            self.at, _, what = heappop(self.events)
            self.happen(what)
        self.at = max(self.at, until)

    def happen(self, what: tuple) -> None:
        """One event: a node's timer, a message, or a call of a function."""
        if what[0] == "tick":
            self.tick(what)
        elif what[0] == MESSAGE:
            _, source, name, incarnations, message = what
            self.arrive_message(self.replica_nodes[name], source, incarnations, message)
        else:
            what[0](*what[1:])

    def tick(self, what: tuple) -> None:
        """A node's timer."""
        node = self.replica_nodes[what[1]]
        self.later(int(TICK / node.rate), what)
        if node.replica is not None and not node.frozen:
            node.replica.on_tick(node.now())
            self.judge()

    def arrive_message(
        self, node: ReplicaNode, source: str, incarnations: Incarnations, message: Message
    ) -> None:
        """A message is at its recipient, which reads it unless it is frozen."""
        if node.frozen:
            node.inbox.append((source, incarnations, message))
        else:
            self.deliver(node, source, incarnations, message)

    def deliver(self, node: ReplicaNode, source: str, incarnations: Incarnations, message: Message) -> None:
        """The recipient reads a message."""
        known = node.known_incarnations.get(source, 1)
        if node.replica is None or incarnations[0] < known:
            return
        if incarnations[0] > known:
            node.known_incarnations[source] = incarnations[0]
            node.replica.on_incarnation(source)
        if incarnations[1] != node.incarnation:  # the sender asks for the present one, and learns
            return self.later(self.delay[1], (self.noticed, source, incarnations[0], node.name))
        node.replica.on_message(node.now(), source, message)
        self.judge()

    def noticed(self, name: str, incarnation: int, other: str) -> None:
        """A node learns of another's present incarnation."""
        node = self.replica_nodes[name]
        present = self.replica_nodes[other].incarnation
        if node.incarnation == incarnation and node.known_incarnations.get(other, 1) < present:
            node.known_incarnations[other] = present
            if node.replica is not None:
                node.replica.on_incarnation(other)

    # Faults.

    def kill(self, name: str) -> None:
        """Ends a node's incarnation."""
        node = self.replica_nodes[name]
        node.replica, node.frozen = None, False
        node.inbox.clear()

    def restart(self, name: str, keeps: bool = True) -> None:
        """Begins a node's next incarnation, with its file or without."""
        self.kill(name)
        self.replica_nodes[name].begin(keeps)

    def freeze(self, name: str) -> None:
        """Lets a node stand still."""
        self.replica_nodes[name].frozen = True

    def wake(self, name: str) -> None:
        """Lets it go on: what came meanwhile is read before its timers are looked at."""
        node = self.replica_nodes[name]
        if not node.frozen:
            return
        node.frozen, waiting, node.inbox = False, node.inbox, []
        for source, incarnations, message in waiting:
            self.deliver(node, source, incarnations, message)

    def split(self, *sides: list[str]) -> None:
        """Cuts the links between these groups of nodes."""
        apart = [(one, other) for one in sides for other in sides if one is not other]
        self.cut = {(a, b) for one, other in apart for a in one for b in other}

    def heal(self) -> None:
        """Restores all links."""
        self.cut = set()

    def call(self, name: str, call_id: int, changes: list[Verdict]) -> None:
        """An operator calls a node."""
        node = self.replica_nodes[name]
        if node.replica is not None and not node.frozen:
            node.replica.on_call(node.now(), call_id, changes)
            self.judge()

    # What is promised.

    def leader(self) -> str:
        """A node that holds the lease and knows what is committed; empty where there is none."""
        for node in self.replica_nodes.values():
            if node.replica is None or node.frozen:
                continue
            if node.replica.leads(node.now()) and node.replica.leader.committed >= 0:
                return node.name
        return ""

    def acted(self, node: ReplicaNode, verdicts: VerdictSet) -> None:
        """A node has applied a set: all apply the same ones, in the same order."""
        version = verdicts.version
        if self.contents.setdefault(version, verdicts.data) != verdicts.data:
            raise Broken(f"fork: {node.name} acts on another version {version}")
        if version < node.highest_applied:
            raise Broken(f"{node.name} went back from version {node.highest_applied} to {version}")
        if version not in self.first_applied:
            latest = max(self.first_applied, default=0)
            if version != latest + 1 and version:
                raise Broken(f"version {version} follows {latest}")
            self.first_applied[version] = self.at
        node.highest_applied = version

    def promised(self, version: int) -> None:
        """An operator was told that this version is in force."""
        self.acknowledged = max(self.acknowledged, version)

    def judge(self) -> None:
        """Raises Broken where two lead, or a node may act on what it must not any more."""
        leading: list[str] = []
        for node in self.replica_nodes.values():
            if node.replica is None:
                continue
            now = node.now()
            if node.replica.leads(now):
                leading.append(node.name)
            if self.bounds.strict and node.replica.may_forward_requests(now):
                self.judge_view(node)
        if len(leading) > 1:
            raise Broken(f"{' and '.join(leading)} lead at once")

    def judge_view(self, node: ReplicaNode) -> None:
        """Raises Broken where what the node may act on was replaced too long ago, or must not be there."""
        version = node.replica.sets.applied.version
        if version < self.acknowledged:
            raise Broken(f"{node.name} may act on {version}, {self.acknowledged} was said to be in force")
        replaced = self.first_applied.get(version + 1)
        if replaced is None:
            return
        self.worst_age = max(self.worst_age, self.at - replaced)
        longest = self.bounds.stale / (1 - self.bounds.drift) + 2
        if self.at - replaced > longest:
            age = (self.at - replaced) / UNITS_PER_SECOND
            raise Broken(f"{node.name} may act on {version}, replaced {age:.2f} s ago")
