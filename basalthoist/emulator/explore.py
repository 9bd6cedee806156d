"""Explores every order of faults and calls on a small fleet up to a depth, which random runs may miss.

A state is the complete fleet with its messages in transit. In a round, half a lease passes by each clock,
each node runs its timers, and messages are delivered until none is left. Between rounds, one of these may
happen: a node is cut off in both directions, inbound or outbound; all links are restored; a node is frozen,
woken, or restarted without its file; messages are delayed from now on, or the delayed ones are released in
order or backwards; an operator call is made at a node that considers itself the leader.
"""

import pickle
from collections import Counter, deque
from collections.abc import Iterator
from hashlib import blake2b

from basalthoist.fleet.bounds import Bounds
from basalthoist.fleet.replica import Replica, Role
from basalthoist.fleet.verdicts import Verdict
from basalthoist.fleet.wire import Message

from .replicas import GuaranteeViolated, ReplicaNode, Replicas

SMALL = Bounds(
    lease=10_000, heartbeat_interval=4_000, fresh=8_000, stale=12_000, drift=0.1, call_timeout=40_000
)
MAX_CHOICES = {"restart": 1, "call": 2, "freeze": 1, "cut": 2, "late": 1}  # how often each may happen


class SteppedFleet(Replicas):
    """A fleet without a clock of its own: each step is chosen by the caller."""

    def __init__(self, count: int, bounds: Bounds = SMALL, make: type = Replica, seed: int = 1) -> None:
        self.in_transit: list[tuple] = []
        self.delayed: list[tuple] = []
        self.choices_left, self.late = Counter(MAX_CHOICES), False
        super().__init__(count, count, seed, bounds, make=make)
        self.events.clear()
        rates = 1 - bounds.drift, 1 + bounds.drift, 1.0
        for number, node in enumerate(self.replica_nodes.values()):
            node.rate = rates[number % 3]

    def later(self, after: int, event: tuple) -> None:
        if callable(event[0]):
            event[0](*event[1:])

    def transmit(self, source: ReplicaNode, name: str, message: Message) -> None:
        if (source.name, name) not in self.cut:
            incarnations = source.incarnation, source.known_incarnations.get(name, 1)
            (self.delayed if self.late else self.in_transit).append(
                (source.name, name, incarnations, message)
            )

    def choices(self) -> Iterator[tuple]:
        yield ("round",)
        for name, node in self.replica_nodes.items():
            if node.frozen:
                yield "wake", name
                continue
            for kind in ("restart", "freeze"):
                if self.choices_left[kind]:
                    yield kind, name
            if self.choices_left["cut"]:
                yield from (("cut", name), ("cut inbound", name), ("cut outbound", name))
        if self.cut:
            yield ("restore links",)
        if self.choices_left["call"]:
            for name, node in self.replica_nodes.items():
                if node.replica.role is Role.LEADER:
                    yield "call", name
        if self.late:
            yield from (("release", "in order"), ("release", "backwards"))
        elif self.choices_left["late"]:
            yield ("late",)

    def step(self, kind: str, argument: str = "") -> None:
        limited = "cut" if kind in ("cut inbound", "cut outbound") else kind
        self.choices_left[limited] -= limited in MAX_CHOICES
        if kind == "round":
            self.at += self.bounds.lease // 2
            self.verify()
            for node in self.replica_nodes.values():
                if not node.frozen:
                    node.replica.on_tick(node.now())
                    self.verify()
        elif kind == "restart":
            self.restart(argument, keeps=False)
        elif kind == "freeze":
            self.freeze(argument)
        elif kind == "wake":
            self.wake(argument)
        elif kind in ("cut", "cut inbound", "cut outbound"):
            others = [name for name in self.names if name != argument]
            self.cut |= {(argument, other) for other in others if kind != "cut inbound"}
            self.cut |= {(other, argument) for other in others if kind != "cut outbound"}
        elif kind == "restore links":
            self.restore_links()
        elif kind == "call":
            self.call(
                argument, 10 - self.choices_left["call"], [Verdict("ban", f"s{self.choices_left['call']}")]
            )
        elif kind == "late":
            self.late = True
        else:
            self.late, waiting, self.delayed = False, self.delayed, []
            self.in_transit += waiting if argument == "in order" else waiting[::-1]
        self.deliver_messages()

    def deliver_messages(self) -> None:
        """Delivers up to 300 messages and drops the rest, in case replicas answer one another without end."""
        for _ in range(300):
            if not self.in_transit:
                return
            source, name, incarnations, message = self.in_transit.pop(0)
            self.arrive_message(self.replica_nodes[name], source, incarnations, message)
        self.in_transit.clear()

    def snapshot(self) -> bytes:
        self.lines.clear()
        self.seq = self.sent_messages = 0
        return pickle.dumps(self)


def led(count: int, make: type = Replica, bounds: Bounds = SMALL, seed: int = 1) -> bytes:
    """Returns a start state: a leader is elected, and all nodes act on what it has committed."""
    fleet = SteppedFleet(count, bounds, make, seed)
    while not fleet.leader() and fleet.at < 20 * bounds.lease:
        fleet.step("round")
    for _ in range(2):
        fleet.step("round")
    return fleet.snapshot()


def explore(start: bytes, max_choices: int, max_rounds: int, max_states: int = 1 << 30) -> tuple[int, bool]:
    """Visits all states that up to `max_choices` choices and `max_rounds` rounds lead to, in any order.

    Returns the number of states, and whether all were visited, as `max_states` was not reached.
    Raises GuaranteeViolated, with the steps that lead there, if a state violates a guarantee.
    """
    seen: dict[bytes, set[tuple[int, int]]] = {}
    waiting, count = deque([(start, (), 0, 0)]), 0
    while waiting:
        state, path, choices, rounds = waiting.popleft()
        for choice in list(pickle.loads(state).choices()):
            is_round = choice == ("round",)
            spent = choices + (not is_round), rounds + is_round
            if spent[0] > max_choices or spent[1] > max_rounds:
                continue
            fleet = pickle.loads(state)
            try:
                fleet.step(*choice)
            except GuaranteeViolated as error:
                raise GuaranteeViolated(f"{error}; steps: {[*path, choice]}") from None
            snapshot = fleet.snapshot()
            before = seen.setdefault(blake2b(snapshot, digest_size=12).digest(), set())
            if any(one[0] <= spent[0] and one[1] <= spent[1] for one in before):
                continue
            count += not before
            before.add(spent)
            if count >= max_states:
                return count, False
            waiting.append((snapshot, (*path, choice), *spent))
    return count, True
