"""How near to falling over a cold backend comes under the sum of all nodes, at every instant of its ramp.

Times are whole tenths of a millisecond, work is counted in requests of mean work. N is what the settings
allow within `overload_for` by the capacity of that moment; 2 root N + 2 more pass for rng.
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
TOLD = 2 / 3  # of a fall's work, over which it counts
LIST_UPDATES = (
    "once",
    "late",
    "half",
    "half_warm",
)  # told at once; seconds late; half not at all, or as long warm
LOAD_KNOWLEDGE = ("neither", "probes", "peers")


class Arrival(NamedTuple):
    at: int
    work: float
    told: bool  # its node had been told of the start


class Worst(NamedTuple):
    """The instant nearest to a fall."""

    sent: float
    allowed: float  # N
    at_s: float = 0.0  # since the start

    @property
    def excess(self) -> float:
        return self.sent - self.allowed

    @property
    def rng(self) -> float:
        return 2 * sqrt(self.allowed) + 2

    @property
    def part(self) -> float:
        """Of what it stands; it falls over 1."""
        return self.sent / (self.allowed + self.rng)


def judge(
    arrivals: list[Arrival], started: int, terms: Backends, warm_rate: float, include_excused=False
) -> Worst:
    """Judged at each arrival up to the ramp's end; `include_excused` counts what the page excuses as well."""
    window, ramp = int(terms.fall_s * SECOND), terms.warm_s * SECOND
    within: deque[Arrival] = deque()
    sent = told = 0.0
    least = terms.fall_multiple * terms.cold_from * warm_rate * terms.fall_s
    worst = Worst(0.0, least)
    for one in sorted(arrivals):
        if one.at >= started + ramp:
            break
        within.append(one)
        sent, told = sent + one.work, told + one.work * one.told
        while within[0].at <= one.at - window:
            old = within.popleft()
            sent, told = sent - old.work, told - old.work * old.told
        share = terms.cold_from + (1 - terms.cold_from) * (one.at - started) / ramp
        here = Worst(sent, least / terms.cold_from * share, (one.at - started) / SECOND)
        if here.part > worst.part and (include_excused or told > TOLD * sent):
            worst = here
    return worst


class Case(msgspec.Struct, frozen=True):
    """A cold start in an emulated fleet."""

    nodes: int = 30
    lists: str = "once"
    knowledge: str = "neither"
    cold: int = 1  # of eight backends
    uneven: bool = False  # every fifth node gets five times what the others get
    slots: int = 2
    service_ms: float = 30.0
    out: float = 0.0  # part of the others that stand still while the burst lasts
    load: float = 0.7  # of what all can do when warm
    burst: float = 1.5
    burst_s: float = 3.0
    multiple: float = 3.0
    cold_from: float = 0.25
    warm_s: float = 6.0
    small: float = 1.0  # speed of the cold ones, of the others' speed
    errors: bool = False  # the cold ones fail all they get, at once

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


class Watched(Server):
    """Keeps what comes to it."""

    def __init__(self, *what) -> None:
        super().__init__(*what)
        self.arrived: list[tuple[int, int, float]] = []  # time, exchange, work

    def offer(self, job: Job) -> None:
        if self.started is not None:
            self.arrived.append((self.events.now, job.ident, job.work))
        super().offer(job)


class Ramp(Fleet):
    """A fleet in which some backends start. They do not fall, so that all of the ramp is seen."""

    make_server = Watched

    def __init__(self, case: Case, seed: int, make_policy: MakePolicy = Balancer) -> None:
        self.case, self.heard, self.cold = case, {}, []
        super().__init__(case.scenario(seed), make_policy)
        weights = [5 if case.uneven and i % 5 == 0 else 1 for i in range(case.nodes)]
        self.weights = weights
        self.events.after(START_S * SECOND, self.start_cold)
        self.events.after(self.scenario.faults[0].at_s * SECOND, self.hang)

    def kind_no(self, number: int) -> int:
        return 0

    def node_for_client(self):
        return self.rng("front").choices(self.nodes, self.weights)[0]

    def settings_of(self, node) -> dict:
        return super().settings_of(node) | {"rules.fall_multiple": self.case.multiple}

    def start_cold(self) -> None:
        for _ in range(self.case.cold):
            server = self.add_server(0, len(self.scenario.backends.kinds) - 1)
            server.good = 0.0 if self.case.errors else 1.0
            server.start()
            self.cold.append(server)
        self.tell([server.entry() for server in self.cold])

    def hang(self) -> None:
        others = [server for server in self.servers.values() if server.started is None]
        for server in others[: round(self.case.out * len(others))]:
            server.freeze()
            self.events.after(self.case.burst_s * SECOND, server.thaw)

    def told(self, node, entries) -> None:
        half = node.number % 2 and self.case.lists.startswith("half")
        if half and self.case.lists == "half":
            return
        if half:
            entries = [entry._replace(started=None) for entry in entries]
        else:
            self.heard[node.number] = self.events.now
        super().told(node, entries)

    def worst(self, include_excused: bool = False) -> Worst:
        """Of all that started cold."""
        terms = msgspec.structs.replace(self.scenario.backends, fall_multiple=self.case.multiple)
        mean, found = 10 * self.scenario.routes[0].service_ms, []
        for server in self.cold:
            arrivals = [Arrival(at, work / mean, self.heard.get(self.ledger.records[ident].node, at) < at)
                        for at, ident, work in server.arrived]  # fmt: skip
            warm_rate = server.kind.slots * server.kind.speed * SECOND / mean
            found.append(judge(arrivals, server.started, terms, warm_rate, include_excused))
        return max(found, key=lambda worst: worst.part)


def play(case: Case, seed: int) -> Ramp:
    return Ramp(case, seed).run()
