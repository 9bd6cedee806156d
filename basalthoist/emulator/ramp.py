"""Measures how close the combined load of all nodes brings a warming backend to an overload crash.

Times are whole tenths of a millisecond, work is counted in requests of mean work. N is the work that the
settings allow within `overload_for` at the current capacity; 2 * sqrt(N) + 2 more is tolerated as random
variation.
"""

from collections import deque
from math import sqrt
from random import Random
from typing import NamedTuple

import msgspec

from basalthoist.decisions.balancer import Balancer

from .backends import Job, Server
from .events import SECOND
from .fleet import Fleet, MakePolicy
from .scenario import Backends, Discovery, Fault, Kind, Load, Node, Route, Scenario

START_S = 6.0
MIN_INFORMED_SHARE = 2 / 3  # fraction of an overload's work from informed nodes above which it counts
# How the nodes learn of the start: all at once; up to 4 s late; half of them never; half of them as if it
# were warm already.
LIST_UPDATES = ("once", "late", "half", "half_warm")
LOAD_KNOWLEDGE = ("neither", "probes", "peers")


class Arrival(NamedTuple):
    at: int
    work: float
    informed: bool  # its node already knew of the start


class Worst(NamedTuple):
    """The instant at which a backend was closest to an overload crash."""

    sent: float
    allowed: float  # N
    at_s: float = 0.0  # seconds since the backend started

    @property
    def excess(self) -> float:
        return self.sent - self.allowed

    @property
    def tolerance(self) -> float:
        return 2 * sqrt(self.allowed) + 2

    @property
    def part(self) -> float:
        """Returns the work as a fraction of the tolerated work; above 1 the backend crashes."""
        return self.sent / (self.allowed + self.tolerance)


def find_worst(
    arrivals: list[Arrival], started: int, terms: Backends, warm_rate: float, include_excused=False
) -> Worst:
    """Finds the worst instant among the arrivals of the warm-up.

    An overload is excused if too little of its work came from informed nodes; `include_excused` includes it.
    """
    window, ramp = int(terms.fall_s * SECOND), terms.warm_s * SECOND
    within: deque[Arrival] = deque()
    sent = informed = 0.0
    initial_allowed = terms.fall_multiple * terms.cold_from * warm_rate * terms.fall_s
    worst = Worst(0.0, initial_allowed)
    for arrival in sorted(arrivals):
        if arrival.at >= started + ramp:
            break
        within.append(arrival)
        sent, informed = sent + arrival.work, informed + arrival.work * arrival.informed
        while within[0].at <= arrival.at - window:
            old = within.popleft()
            sent, informed = sent - old.work, informed - old.work * old.informed
        capacity = terms.cold_from + (1 - terms.cold_from) * (arrival.at - started) / ramp
        current = Worst(sent, initial_allowed / terms.cold_from * capacity, (arrival.at - started) / SECOND)
        if current.part > worst.part and (include_excused or informed > MIN_INFORMED_SHARE * sent):
            worst = current
    return worst


class Case(msgspec.Struct, frozen=True):
    """A cold start in an emulated fleet. `lists`: see LIST_UPDATES; `knowledge`: see LOAD_KNOWLEDGE."""

    nodes: int = 30
    lists: str = "once"
    knowledge: str = "neither"
    cold: int = 1  # how many of eight backends start cold
    uneven: bool = False  # every fifth node gets five times what the others get
    slots: int = 2
    service_ms: float = 30.0
    out: float = 0.0  # fraction of the other backends that freeze during the burst
    load: float = 0.7  # fraction of the capacity of all backends when warm
    burst: float = 1.5
    burst_s: float = 3.0
    multiple: float = 3.0
    cold_from: float = 0.25
    warm_s: float = 6.0
    small: float = 1.0  # speed of the cold backends relative to the others
    errors: bool = False  # the cold backends fail all requests immediately

    def scenario(self, seed: int) -> Scenario:
        at_s = START_S + self.warm_s * 2 / 3 * Random(seed).random()
        kinds = (Kind(name="std", slots=self.slots), Kind(name="small", slots=self.slots, speed=self.small))
        return Scenario(
            name="ramp", seed=seed, nodes=self.nodes, length_s=START_S + self.warm_s + 1.0,
            backends=Backends(count=8 - self.cold, kinds=kinds[:1] if self.small == 1.0 else kinds,
                              cold_from=self.cold_from, warm_s=self.warm_s, fall_multiple=0.0, fall_s=1.0,
                              reports=self.knowledge != "neither"),
            discovery=Discovery(lag_s=0.0, spread_s=4.0 if self.lists == "late" else 0.0),
            node=Node(probes=self.knowledge == "probes", peers=self.knowledge == "peers"),
            load=Load(rate=self.load * 8 * self.slots * 1000 / self.service_ms),
            routes=(Route(name="read", service_ms=self.service_ms, objective_ms=5 * self.service_ms,
                          timeout_ms=15 * self.service_ms),),
            faults=(Fault(kind="surge", at_s=at_s, for_s=self.burst_s, factor=self.burst),),
        )  # fmt: skip


class RecordingServer(Server):
    """A backend that records the requests that arrive after its start."""

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.arrived: list[tuple[int, int, float]] = []  # time, request, work

    def offer(self, job: Job) -> None:
        if self.started is not None:
            self.arrived.append((self.events.now, job.ident, job.work))
        super().offer(job)


class Ramp(Fleet):
    """A fleet in which some backends start cold. They never crash, so that the whole warm-up is seen."""

    make_server = RecordingServer

    def __init__(self, case: Case, seed: int, make_policy: MakePolicy = Balancer) -> None:
        self.case, self.start_known_at, self.cold = case, {}, []
        super().__init__(case.scenario(seed), make_policy)
        weights = [5 if case.uneven and i % 5 == 0 else 1 for i in range(case.nodes)]
        self.weights = weights
        self.events.after(START_S * SECOND, self.start_cold)
        self.events.after(self.scenario.faults[0].at_s * SECOND, self.freeze_others)

    def kind_no(self, number: int) -> int:
        return 0

    def node_for_client(self):
        return self.rng("front").choices(self.nodes, self.weights)[0]

    def settings_of(self, node) -> dict:
        return super().settings_of(node) | {"rules.fall_multiple": self.case.multiple}

    def start_cold(self) -> None:
        for _ in range(self.case.cold):
            server = self.add_server(0, len(self.scenario.backends.kinds) - 1)
            server.success_rate = 0.0 if self.case.errors else 1.0
            server.start()
            self.cold.append(server)
        self.publish([server.entry() for server in self.cold])

    def freeze_others(self) -> None:
        others = [server for server in self.servers.values() if server.started is None]
        for server in others[: round(self.case.out * len(others))]:
            server.freeze()
            self.events.after(self.case.burst_s * SECOND, server.thaw)

    def deliver_update(self, node, entries) -> None:
        uninformed = node.number % 2 and self.case.lists.startswith("half")
        if uninformed and self.case.lists == "half":
            return
        if uninformed:
            entries = [entry._replace(started=None) for entry in entries]
        else:
            self.start_known_at[node.number] = self.events.now
        super().deliver_update(node, entries)

    def worst(self, include_excused: bool = False) -> Worst:
        """Returns the worst instant of all backends that started cold, see `find_worst`."""
        terms = msgspec.structs.replace(self.scenario.backends, fall_multiple=self.case.multiple)
        mean, found = 10 * self.scenario.routes[0].service_ms, []
        for server in self.cold:
            arrivals = [
                Arrival(
                    at,
                    work / mean,
                    self.start_known_at.get(self.rule_checker.records[ident].node, at) < at,
                )
                for at, ident, work in server.arrived
            ]
            warm_rate = server.kind.slots * server.kind.speed * SECOND / mean
            found.append(find_worst(arrivals, server.started, terms, warm_rate, include_excused))
        return max(found, key=lambda worst: worst.part)


def play(case: Case, seed: int) -> Ramp:
    return Ramp(case, seed).run()
