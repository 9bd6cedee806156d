"""Simulates leader, relays and nodes of distribution/, with the fleet's replicas as register.

Connections deliver in order, and may stall, break or be cut. Processes freeze, wake, end and restart. Files
are lost, corrupted or reverted. Each clock has its own rate. Verifies the guarantees of docs/distribution.md
from observed events, not from what processes believe about others. Times are in tenths of a millisecond.
"""

from collections import deque
from collections.abc import Callable
from itertools import pairwise
from typing import NamedTuple

from basalthoist.decisions.random_numbers import Lcg
from basalthoist.distribution.bounds import Bounds
from basalthoist.distribution.catalogue import TENANT, Call, Catalogue, Entry, digest_bytes
from basalthoist.distribution.leader_session import LeaderSession
from basalthoist.distribution.publisher import Publisher
from basalthoist.distribution.register_head import RegisterHead
from basalthoist.distribution.relay import Relay
from basalthoist.distribution.sessions import RelayState
from basalthoist.distribution.store import Store, from_bytes, to_bytes
from basalthoist.distribution.subscriber import Subscriber
from basalthoist.distribution.wire import ENCODE, LENGTH_BYTES, EncodedMessage, Message
from basalthoist.fleet.bounds import Bounds as FleetBounds
from basalthoist.message_envelope import CHECKSUM_BYTES

from .replicas import GuaranteeViolated, Replicas

FLEET = "simulated"
TICK = 1_000  # timer interval of machines and nodes
MAX_EARLIER_FILES = 4  # states of a file that a fault may revert to
REWRITE_PROBABILITY = 0.3  # of rewriting a complete file although a record could be appended
SEED_COUNT = 3  # machines that every node knows from its settings
CLASSES = {
    "publisher": Publisher,
    "leader_session": LeaderSession,
    "relay": Relay,
    "subscriber": Subscriber,
    "store": Store,
}
OPENER, ACCEPTOR = 0, 1  # indexes of the two ends of a connection


def size_of(message: Message | EncodedMessage) -> int:
    """Returns the bytes of the message's frame."""
    payload = len(message) if type(message) is EncodedMessage else len(ENCODE(message))
    return LENGTH_BYTES + CHECKSUM_BYTES + payload


class InFlight(NamedTuple):
    """A message in transit on a connection. `message` is None for the end of the connection."""

    message: Message | EncodedMessage | None
    size: int


class SimulatedConnection:
    """A connection with in-order delivery in each direction. `ends`: the opener and the accepting machine."""

    def __init__(self, world: "Distributed", opener: "SimulatedProcess", machine: "RelayMachine") -> None:
        self.world = world
        self.ends = opener, machine
        self.incarnations = opener.incarnation, machine.incarnation
        self.closed = [False, False]
        self.stalled: tuple[deque[InFlight], deque[InFlight]] = deque(), deque()  # by receiving end
        self.bytes_in_flight = [0, 0]
        self.last_arrival = [0, 0]
        self.number = world.next_number()
        self.role: Relay | Publisher | None = None  # serves the connection, from the handshake on

    def send(self, to: int, message: Message | EncodedMessage | None) -> None:
        """Transmits a message to end `to`, or the end of the connection (None)."""
        if self.closed[1 - to]:
            return
        world, size = self.world, size_of(message) if message is not None else 0
        self.bytes_in_flight[to] += size
        self.ends[1 - to].count_sent(size, message, isinstance(self.ends[OPENER], RelayMachine))
        arrival = world.at + world.rng.randint(*world.delay)
        self.last_arrival[to] = max(self.last_arrival[to], arrival)
        world.later(self.last_arrival[to] - world.at, (self.arrive, to, message, size))

    def arrive(self, to: int, message: Message | EncodedMessage | None, size: int) -> None:
        """Delivers a message, or keeps it back while the connection is stalled or cut."""
        if self.stalled[to] or self.world.is_cut(self):
            self.stalled[to].append(InFlight(message, size))
        else:
            self.deliver(to, message, size)

    def flush(self) -> None:
        """Delivers stalled messages, unless the connection is cut again meanwhile."""
        for to in (OPENER, ACCEPTOR):
            while self.stalled[to] and not self.world.is_cut(self):
                self.deliver(to, *self.stalled[to].popleft())

    def deliver(self, to: int, message: Message | EncodedMessage | None, size: int) -> None:
        """Passes a message to an end: a frozen process queues it, a process that has ended drops it."""
        end = self.ends[to]
        if end.frozen:
            end.inbox.append((self, to, message, size))
            return
        self.bytes_in_flight[to] -= size
        end.count_received(size, message)
        if not end.alive or end.incarnation != self.incarnations[to] or self.closed[to]:
            return
        if message is None:
            self.closed[to] = True
            end.on_disconnected(self, to)
        else:
            end.on_message(self, to, message.message if type(message) is EncodedMessage else message)

    def close(self, by: int) -> None:
        """Closes one end. The other end is notified after all earlier messages, unless the path is cut."""
        if not self.closed[by]:
            self.send(1 - by, None)
            self.closed[by] = True

    def break_off(self) -> None:
        """Breaks the connection at both ends."""
        for to in (OPENER, ACCEPTOR):
            if not self.closed[to]:
                self.world.later(self.world.delay[0], (self.arrive, to, None, 0))


class SimulatedProcess:
    """A process with its own clock, which runs, is frozen or has ended."""

    def __init__(self, world: "Distributed", name: str, region: str) -> None:
        drift = world.distribution_bounds.drift
        self.world = world
        self.name = name
        self.region = region
        self.alive = False
        self.frozen = False
        self.incarnation = 0
        self.highest_version = -1  # the highest version that this incarnation has acted on
        self.rate: float = world.rng.choice((1 - drift, 1.0, 1 + drift))
        self.clock_start: int = world.rng.randrange(10**6, 10**9)
        self.inbox: list[tuple] = []  # messages received while frozen
        self.files: list[bytes] = []  # contents as written, the latest last
        self.bytes_out = 0
        self.messages_out = 0
        self.bytes_in = 0
        self.messages_in = 0
        self.bytes_between_machines = 0  # part of bytes_out
        world.later(world.rng.randrange(TICK), (self.tick,))

    def now(self) -> int:
        """Returns the time by the process's clock."""
        return self.clock_start + int(self.world.at * self.rate)

    def start(self) -> None:
        """Starts another incarnation."""
        self.incarnation += 1
        self.alive, self.frozen, self.inbox = True, False, []
        self.highest_version = -1

    def count_sent(self, size: int, message: Message | EncodedMessage | None, to_machine: bool) -> None:
        """Counts a sent message. `to_machine`: it goes from one relay machine to another."""
        self.bytes_out += size
        self.bytes_between_machines += size * to_machine
        self.messages_out += message is not None

    def count_received(self, size: int, message: Message | EncodedMessage | None) -> None:
        """Counts a received message, even if the process has ended meanwhile."""
        self.bytes_in += size
        self.messages_in += message is not None

    def write_file(self, data: bytes) -> None:
        """Replaces the file. Some earlier contents are remembered for the fault that reverts it."""
        self.files = [*self.files[-MAX_EARLIER_FILES:], data]

    def wake(self) -> None:
        """Ends the freeze. Messages received meanwhile are processed first."""
        self.frozen, waiting, self.inbox = False, self.inbox, []
        for connection, to, message, size in waiting:
            connection.deliver(to, message, size)

    def log(self, line: str) -> None:
        """Writes a log line to the world's lines."""
        self.world.lines.append(f"{self.world.at / 10_000:.2f} {self.name} {line}")


class OutgoingConnection:
    """The outgoing connection of a leader session or a subscriber, with the host's methods for it."""

    def __init__(self, owner: SimulatedProcess) -> None:
        self.owner = owner
        self.connection: SimulatedConnection | None = None

    def connect(self, address: str) -> None:
        """Closes the current connection and opens one to a machine."""
        self.close()
        world = self.owner.world
        self.connection = SimulatedConnection(world, self.owner, world.machines[address])
        world.later(world.delay[1], (self.opened, self.connection))

    def opened(self, connection: SimulatedConnection) -> None:
        """Completes a connection attempt: accepted, refused, or without any answer."""
        owner, machine = connection.ends
        world = owner.world
        if connection is not self.connection or not owner.alive:
            return
        if owner.incarnation != connection.incarnations[OPENER] or world.is_cut(connection):
            return  # on a cut path there is neither an answer nor an error
        if not machine.alive or machine.incarnation != connection.incarnations[ACCEPTOR]:
            connection.closed[OPENER] = True
            return owner.on_disconnected(connection, OPENER)
        if owner.frozen:
            return world.later(TICK, (self.opened, connection))
        world.connections.append(connection)
        owner.on_connected()

    def close(self) -> None:
        """Closes the current connection, if any."""
        if self.connection is not None:
            self.connection.close(OPENER)
        self.connection = None

    def send(self, message: Message | EncodedMessage) -> None:
        """Sends a message, if there is a connection."""
        if self.connection is not None:
            self.connection.send(ACCEPTOR, message)


class LeaderLink(OutgoingConnection):
    """Host of a relay machine's leader session."""

    owner: "RelayMachine"

    def on_proposal(self) -> None:
        """Handles a new pending change in the store."""
        self.owner.on_proposal()

    def on_commit(self, entries: list[Entry]) -> None:
        """Handles a newly committed version in the store."""
        self.owner.on_commit(entries)

    def on_answer(self, call_id: int, text: str) -> None:
        """Passes the answer of a call to the operator."""
        self.owner.world.answered(call_id, text)

    def relay_state(self) -> RelayState:
        """Returns the state of the machine's relay."""
        return self.owner.relay.state(self.owner.now())


class RelayMachine(SimulatedProcess):
    """A dedicated machine: hosts a store, its leader session, a relay and, if it is a voter, a publisher."""

    def begin(self, keeps: bool = True) -> None:
        """Starts an incarnation, with the file of the last one if `keeps` is set."""
        world, now = self.world, self.now()
        self.start()
        self.sessions: dict[int, SimulatedConnection] = {}
        self.files = self.files if keeps else []
        classes, bounds = world.classes, world.distribution_bounds
        data = self.files[-1] if self.files else b""
        self.store: Store = classes["store"].from_bytes(FLEET, data, bounds.history_bytes)
        self.relay: Relay = classes["relay"](self, self.name, self.incarnation, bounds, self.store, now)
        rng = Lcg(world.rng.getrandbits(60))
        self.leader_link = LeaderLink(self)
        own, voters = (self.name, self.incarnation, self.region), list(world.voter_addresses.values())
        self.leader_session: LeaderSession = classes["leader_session"](
            self.leader_link, *own, voters, bounds, self.store, rng, now
        )
        self.publisher: Publisher | None = self.make_publisher() if self.name in world.replica_nodes else None

    def make_publisher(self) -> Publisher:
        """Returns a publisher on the machine's own replica of the register."""
        world = self.world
        head, own = RegisterHead(world.replica_nodes[self.name].replica), (self.name, self.incarnation)
        common = world.voter_addresses, world.distribution_bounds, self.store, world.check
        return world.classes["publisher"](self, head, *own, *common)

    def now(self) -> int:
        """Returns the time by the clock of the machine's replica, if it has one."""
        replica_node = self.world.replica_nodes.get(self.name)
        return replica_node.now() if replica_node is not None else super().now()

    def tick(self) -> None:
        """Runs the periodic timer."""
        self.world.later(int(TICK / self.rate), (self.tick,))
        if self.alive and not self.frozen:
            self.leader_session.on_tick(self.now())
            self.relay.on_tick(self.now())
            self.on_register_event()

    def on_register_event(self) -> None:
        """Runs the publisher after an event at the machine's replica."""
        if self.publisher is not None and self.alive and not self.frozen:
            self.publisher.on_register_event(self.now())

    # Messages.

    def on_connected(self) -> None:
        """Notifys the leader session that its connection is open."""
        self.leader_session.on_connected(self.now())

    def on_message(self, connection: SimulatedConnection, to: int, message: Message) -> None:
        """Passes a message to the leader session, or to the role that serves the connection."""
        now = self.now()
        if to == OPENER:
            if connection is self.leader_link.connection:
                self.leader_session.on_message(now, message)
        elif connection.role is None:
            connection.role = self.relay if message.role == "node" else self.publisher
            self.sessions[connection.number] = connection
            if connection.role is None:
                return connection.close(ACCEPTOR)
            connection.role.on_handshake(now, connection.number, message)
        else:
            connection.role.on_message(now, connection.number, message)

    def on_disconnected(self, connection: SimulatedConnection, to: int) -> None:
        """Handles a connection that the other end has closed."""
        if to == OPENER:
            if connection is self.leader_link.connection:
                self.leader_link.connection = None
                self.leader_session.on_disconnected(self.now())
        elif connection.role is not None:
            connection.role.on_session_ended(self.now(), connection.number)
            self.sessions.pop(connection.number, None)

    # Host methods for relay and publisher.

    def send(self, session: int, message: Message | EncodedMessage) -> None:
        """Sends a message to a node or another relay."""
        self.sessions[session].send(OPENER, message)

    def unsent_bytes(self, session: int) -> int:
        """Returns the bytes of a session that have not arrived yet."""
        return self.sessions[session].bytes_in_flight[OPENER]

    def end_session(self, session: int, reason: str) -> None:
        """Closes a session; the role is notified by a later event."""
        connection = self.sessions[session]
        connection.close(ACCEPTOR)
        self.world.later(0, (self.session_ended, connection))

    def session_ended(self, connection: SimulatedConnection) -> None:
        """Notifys the role, once and only in the same incarnation."""
        if not self.alive or self.incarnation != connection.incarnations[ACCEPTOR]:
            return
        if self.sessions.pop(connection.number, None) is not None:
            connection.role.on_session_ended(self.now(), connection.number)

    def age(self, now: int) -> int:
        """Returns the age of the store's view."""
        return self.leader_session.age(now)

    def max_sessions(self) -> int:
        """Returns how many sessions the leader allows."""
        return self.leader_session.max_sessions

    def on_all_nodes_current(self, now: int) -> None:
        """Reports to the leader immediately that all nodes are current."""
        if self.leader_session.connection.is_established:
            self.leader_session.send_heartbeat(now)

    def on_commit(self, entries: list[Entry]) -> None:
        """Verifies and relay a newly committed version, and possibly rewrites the file."""
        self.world.verify_commit(self)
        self.relay.on_commit(self.now(), entries)
        # The file may be rewritten completely at any time.
        if self.store.needs_rewrite() or self.world.rng.random() < REWRITE_PROBABILITY:
            self.write_file(self.store.to_bytes(FLEET))

    def on_proposal(self) -> None:
        """Records a new pending change and writes it to the file."""
        change = self.store.pending
        self.world.proposals[change.version, change.digest_after] = change.calls
        if self.files and not self.store.needs_rewrite():
            self.write_file(self.files[-1] + self.store.pending_record())
        else:
            self.files = [self.store.to_bytes(FLEET)]


class Node(SimulatedProcess, OutgoingConnection):
    """A node: hosts a subscriber. `looked_up`: tenants that it looks up on each tick."""

    def __init__(self, world: "Distributed", name: str, region: str, scopes: list[str]) -> None:
        OutgoingConnection.__init__(self, self)
        SimulatedProcess.__init__(self, world, name, region)
        self.scopes = scopes
        self.tenant_bodies: dict[str, dict | None] = {}
        self.looked_up: list[str] = []

    def begin(self, keeps: bool = True) -> None:
        """Starts an incarnation, with the file of the last one if `keeps` is set."""
        world = self.world
        self.start()
        self.connection, self.tenant_bodies = None, {}
        hint = from_bytes(FLEET, self.files[-1]) if keeps and self.files else None
        rng = Lcg(world.rng.getrandbits(60))
        own = self.name, self.incarnation, self.region, self.scopes
        self.subscriber: Subscriber = world.classes["subscriber"](
            self, *own, world.seeds, world.distribution_bounds, rng, self.now(), hint
        )

    def tick(self) -> None:
        """Runs the periodic timer."""
        self.world.later(int(self.world.tick_nodes / self.rate), (self.tick,))
        if self.alive and not self.frozen:
            for name in self.looked_up:
                self.subscriber.tenants.look_up(self.now(), name)
            self.subscriber.on_tick(self.now())
            self.world.verify_node(self)

    def on_connected(self) -> None:
        """Notifys the subscriber that its connection is open."""
        self.subscriber.on_connected(self.now())

    def on_message(self, connection: SimulatedConnection, to: int, message: Message) -> None:
        """Passes a message to the subscriber."""
        if connection is self.connection:
            self.subscriber.on_message(self.now(), message)
            self.world.verify_node(self)

    def on_disconnected(self, connection: SimulatedConnection, to: int) -> None:
        """Notifys the subscriber that the relay has closed the connection."""
        if connection is self.connection:
            self.connection = None
            self.subscriber.on_disconnected(self.now())

    def apply_entries(self, entries: list[Entry], version: int) -> None:
        """Applys entries, as host of the subscriber."""
        self.world.on_applied(self, version)

    def apply_tenant(self, name: str, body: dict | None) -> None:
        """Applys a tenant's body, as host of the subscriber."""
        self.tenant_bodies[name] = body

    def save(self) -> None:
        """Writes the node's file."""
        catalogue = self.subscriber.catalogue
        if catalogue.version >= 0:
            entries, digest = catalogue.all_entries(), catalogue.digest()
            self.write_file(to_bytes(FLEET, catalogue.version, entries, digest))


def check_nothing(entries: list[Entry], present: Callable, catalogue: Catalogue) -> None:
    """Accepts every change."""


class Distributed(Replicas):
    """A world of `voters` and `relays` further machines and `count` nodes, spread over `regions`.

    `make` replaces classes of CLASSES, for example with faulty ones. `check` is passed to `Publisher`.
    """

    tick_nodes = TICK

    def __init__(
        self,
        count: int,
        voters: int,
        relays: int,
        seed: int,
        distribution_bounds: Bounds,
        bounds: FleetBounds,
        regions: int = 2,
        services: int = 6,
        make: dict[str, type] | None = None,
        check: Callable = check_nothing,
    ) -> None:
        self.distribution_bounds = distribution_bounds
        self.classes: dict[str, type] = CLASSES | (make or {})
        self.check = check
        self.machines: dict[str, RelayMachine] = {}  # by address
        self.nodes: dict[str, Node] = {}
        self.by_name: dict[str, SimulatedProcess] = {}
        self.connections: list[SimulatedConnection] = []
        self.last_number = 0
        # Observed events.
        self.in_force = 0  # the latest version reported to an operator as in force
        self.truth: dict[int, tuple[bytes, dict[str, int]]] = {
            0: (bytes(32), {})
        }  # by version: digest, sums by scope
        self.committed_at: dict[int, int] = {0: 0}
        self.acted_at: dict[int, dict[str, int]] = {}
        self.tenant_history: dict[str, list[tuple[int, dict | None]]] = {}  # time of change and new body
        self.call_versions: dict[Call, int] = {}
        self.proposals: dict[tuple[int, bytes], list[Call]] = {}
        # Faults.
        self.separated_regions: set[frozenset[str]] = set()
        self.separated_pairs: set[frozenset[str]] = set()  # of process names
        self.isolated: set[str] = set()  # process names
        super().__init__(voters, voters, seed, bounds)
        self.regions = [f"z{i}" for i in range(regions)]
        self.services = [f"s{i}" for i in range(services)]
        addresses = self.make_machines([*self.voters, *(f"r{i}" for i in range(relays))])
        self.seeds = list(addresses.values())[:SEED_COUNT]
        self.relay_entries = [
            Entry("relay", name, "", {"address": address, "region": self.by_name[name].region})
            for name, address in addresses.items()
        ]
        for number in range(count):
            scopes = self.rng.sample(self.services, 1 + number % 2)
            self.add_node(f"b{number}", self.regions[number % regions], scopes)

    def make_machines(self, names: list[str]) -> dict[str, str]:
        """Creates the machines and returns their addresses by name."""
        addresses = {name: f"127.0.{number}.1:7000" for number, name in enumerate(names)}
        self.voter_addresses = {name: addresses[name] for name in self.voters}
        for number, name in enumerate(names):
            machine = RelayMachine(self, name, self.regions[number % len(self.regions)])
            self.machines[addresses[name]] = self.by_name[name] = machine
            machine.begin()
        return addresses

    def add_node(self, name: str, region: str, scopes: list[str]) -> None:
        """Creates a node and starts it."""
        node = self.nodes[name] = self.by_name[name] = Node(self, name, region, scopes)
        node.begin()

    def next_number(self) -> int:
        """Returns the next connection number."""
        self.last_number += 1
        return self.last_number

    # Events of the register also reach the machine's publisher.

    def process_event(self, event: tuple) -> None:
        """Process an event. Machines tick less often than the nodes of a fleet."""
        if event[0] != "tick":
            return super().process_event(event)
        replica_node = self.replica_nodes[event[1]]
        self.later(int(TICK / replica_node.rate), event)
        if replica_node.replica is not None and not replica_node.frozen:
            replica_node.replica.on_tick(replica_node.now())
            self.verify()
            self.by_name[replica_node.name].on_register_event()

    def deliver(self, replica_node, source, incarnations, message) -> None:  # noqa: ANN001
        """Delivers a datagram of the register."""
        super().deliver(replica_node, source, incarnations, message)
        self.by_name[replica_node.name].on_register_event()

    def transmit(self, source, name, message) -> None:  # noqa: ANN001
        """Transmits a datagram of the register, unless the processes are separated."""
        if not self.are_separated(self.by_name[source.name], self.by_name[name]):
            super().transmit(source, name, message)

    def on_applied(self, process, version) -> None:  # noqa: ANN001
        """Verifies a version that a node or a replica of the register acts on."""
        if isinstance(process, Node):
            self.verify_version(process, version)
        else:
            super().on_applied(process, version)

    def on_acknowledged(self, version: int) -> None:
        """Raises GuaranteeViolated, as operators make their calls to the leader and not to the register."""
        raise GuaranteeViolated("the register answers operators")

    # Faults.

    def are_separated(self, first: SimulatedProcess, second: SimulatedProcess) -> bool:
        """Returns whether no message passes between two processes."""
        if first is second:
            return False
        if first.name in self.isolated or second.name in self.isolated:
            return True
        if frozenset((first.region, second.region)) in self.separated_regions:
            return True
        return frozenset((first.name, second.name)) in self.separated_pairs

    def is_cut(self, connection: SimulatedConnection) -> bool:
        """Returns whether no message passes over the connection."""
        return self.are_separated(*connection.ends)

    def end_separations(self) -> None:
        """Ends all separations and delivers stalled messages."""
        self.separated_regions, self.isolated, self.separated_pairs = set(), set(), set()
        self.flush()

    def flush(self) -> None:
        """Delivers stalled messages and forgets closed connections."""
        self.connections = [connection for connection in self.connections if not all(connection.closed)]
        for connection in list(self.connections):
            connection.flush()

    def isolate(self, name: str) -> None:
        """Cuts all links of a process."""
        self.isolated.add(name)

    def rejoin(self, name: str) -> None:
        """Ends the isolation of a process."""
        self.isolated.discard(name)
        self.flush()

    def kill(self, name: str, silent: bool = False) -> None:
        """Ends a process. `silent`: its machine ends too, so that no connection is closed."""
        process = self.by_name[name]
        if name in self.replica_nodes:
            super().kill(name)
        if not process.alive:
            return
        process.alive = process.frozen = False
        process.inbox.clear()
        for connection in self.connections if not silent else ():
            if process in connection.ends:
                self.close_other_end(connection, process)

    def close_other_end(self, connection: SimulatedConnection, process: SimulatedProcess) -> None:
        """Closes a connection of a killed process at the other end, as the operating system does."""
        end = connection.ends.index(process)
        if connection.incarnations[end] == process.incarnation and not connection.closed[1 - end]:
            self.later(self.delay[1], (connection.arrive, 1 - end, None, 0))

    def restart(self, name: str, keeps: bool = True) -> None:
        """Restarts a process, with its file if `keeps` is set."""
        self.kill(name)
        if name in self.replica_nodes:
            self.replica_nodes[name].begin(keeps)
        self.by_name[name].begin(keeps)

    def freeze(self, name: str) -> None:
        """Freezes a process until it is woken."""
        if name in self.replica_nodes:
            super().freeze(name)
        self.by_name[name].frozen = self.by_name[name].alive

    def wake(self, name: str) -> None:
        """Ends the freeze of a process. Messages received meanwhile are processed first."""
        process = self.by_name[name]
        if process.frozen:
            process.frozen = False
            if name in self.replica_nodes:
                super().wake(name)
            process.wake()

    # Operators.

    def operator_call(self, name: str, ident: int, entries: list[Entry]) -> None:
        """Makes an operator call at a machine, unless it is down or frozen."""
        machine = self.by_name[name]
        if machine.alive and not machine.frozen:
            machine.leader_session.on_call(machine.now(), ident, entries)

    def answered(self, ident: int, text: str) -> None:
        """Records an answer. After a success no node may act on an older version."""
        self.answers.setdefault(ident, text)
        if text.startswith("SUCCESS version"):
            self.in_force = max(self.in_force, int(text.split()[2]))
            for node in self.nodes.values():
                self.verify_node(node)

    # The invariants that are checked.

    def author(self) -> str:
        """Returns the name of the leader, or "" if there is none."""
        for machine in self.machines.values():
            able = machine.alive and not machine.frozen and machine.publisher is not None
            if able and machine.publisher.leads(machine.now()):
                return machine.name
        return ""

    def verify_commit(self, machine: RelayMachine) -> None:
        """Verifies a machine's store: one history of consecutive versions, each call in only one of them."""
        store = machine.store
        version, digest = store.head
        if version <= machine.highest_version:
            raise GuaranteeViolated(
                f"{machine.name}'s store went back from version {machine.highest_version} to {version}"
            )
        machine.highest_version = version
        if store.catalogue.digest() != digest:
            raise GuaranteeViolated(f"{machine.name}'s store does not match its digest")
        if version not in self.truth:
            self.note_version(version, digest, store.catalogue)
        elif self.truth[version][0] != digest:
            raise GuaranteeViolated(f"fork: {machine.name} holds another version {version}")

    def note_version(self, version: int, digest: bytes, catalogue: Catalogue) -> None:
        """Records a version that is new to all stores."""
        if version != max(self.truth) + 1:
            raise GuaranteeViolated(f"version {version} follows {max(self.truth)}")
        self.truth[version] = digest, dict(catalogue.scope_hash_sums)
        self.committed_at[version] = self.at
        self.note_tenants(catalogue)
        for call in map(tuple, self.proposals.get((version, digest), ())):
            first = self.call_versions.setdefault(call, version)
            if first != version:
                raise GuaranteeViolated(f"call {call} is in version {first} and again in {version}")

    def note_tenants(self, catalogue: Catalogue) -> None:
        """Records the bodies that tenants have from now on."""
        for name in self.tenant_history.keys() | catalogue.tenants.keys():
            found = catalogue.tenants.get(name)
            body, history = (
                found.body if found is not None else None,
                self.tenant_history.setdefault(name, []),
            )
            if not history or history[-1][1] != body:
                history.append((self.at, body))

    def verify_version(self, node: Node, version: int) -> None:
        """Verifies that a node acts on committed versions and never goes back."""
        if version < node.highest_version:
            raise GuaranteeViolated(f"{node.name} went back from version {node.highest_version} to {version}")
        node.highest_version = version
        if version not in self.truth:
            raise GuaranteeViolated(f"{node.name} acts on version {version}, which does not count")
        self.acted_at.setdefault(version, {}).setdefault(node.name, self.at)

    def verify_settled(self) -> None:
        """Verifies recovery: there is a leader, and every node may forward requests on the latest version."""
        latest, leader = max(self.truth), self.author()
        able = [
            node.subscriber
            for node in self.nodes.values()
            if node.subscriber.may_forward_requests(node.now())
        ]
        versions = {subscriber.version for subscriber in able}
        if not leader or versions != {latest} or len(able) < len(self.nodes):
            state = f"leader {leader!r}, {len(able)} nodes, {sorted(versions)} of {latest}"
            raise GuaranteeViolated(f"no recovery after the faults: {state}")
        names = next(iter(self.machines.values())).store.catalogue.tenants
        for subscriber in able:
            at, tenants = subscriber.connection.heartbeat_at, subscriber.tenants
            refused = [name for name in names if not tenants.look_up(at, name).may_exist]
            if refused:
                raise GuaranteeViolated(f"{subscriber.name} refuses {' '.join(refused)}")
        if latest < self.in_force:
            raise GuaranteeViolated(f"version {self.in_force} was acknowledged, {latest} is left")

    def max_stale_time(self) -> float:
        """Returns for how long, in true time, a node may act on a replaced version."""
        return self.distribution_bounds.stale / (1 - self.distribution_bounds.drift) + 2

    def verify_node(self, node: Node) -> None:
        """Verifies a node's view: correct content, neither older than the version in force nor too stale."""
        subscriber = node.subscriber
        if (
            not node.alive
            or not self.distribution_bounds.strict
            or not subscriber.may_forward_requests(node.now())
        ):
            return
        version = subscriber.version
        if version < self.in_force:
            raise GuaranteeViolated(
                f"{node.name} may act on {version}, {self.in_force} was said to be in force"
            )
        sums = self.truth[version][1]
        if subscriber.digest() != digest_bytes(sum(sums.get(scope, 0) for scope in subscriber.scopes)):
            raise GuaranteeViolated(f"fork: {node.name} acts on another version {version}")
        replaced_at = self.committed_at.get(version + 1)
        if replaced_at is not None:
            self.worst_age = max(self.worst_age, self.at - replaced_at)
            if self.at - replaced_at > self.max_stale_time():
                age = (self.at - replaced_at) / 10_000
                raise GuaranteeViolated(f"{node.name} may act on {version}, replaced {age:.2f} s ago")
        for name, cached in subscriber.tenants.cached.items():
            self.verify_tenant(node, name, cached.body)

    def verify_tenant(self, node: Node, name: str, body: dict | None) -> None:
        """Verifies that a node's body of a tenant is the latest, or was until the staleness bound ago."""
        history = [(0, None), *self.tenant_history.get(name, [])]
        if history[-1][1] == body:
            return
        message = f"{node.name} goes by an old part of tenant {name}"
        ended = [end for (_, earlier), (end, _) in pairwise(history) if earlier == body]
        if not ended or self.at - max(ended) > self.max_stale_time():
            raise GuaranteeViolated(message)
        if max(ended) <= self.committed_at[self.in_force]:
            raise GuaranteeViolated(f"{message}, {self.in_force} was said to be in force")


def tenant(name: str, quota: float, on: bool = True) -> Entry:
    """Returns a tenant entry."""
    return Entry(TENANT, name, "", {"quota_per_s": quota} if on else {}, on)


def route(name: str, service: str, timeout: int = 1000, on: bool = True) -> Entry:
    """Returns a route entry."""
    return Entry("route", name, service, {"overall_timeout": timeout} if on else {}, on)
