"""Timelines: which fault hits which nodes, from when and for how long. Times are in seconds."""

from pathlib import Path
from random import Random
from typing import Annotated, Literal

import msgspec

from basalthoist.emulator.scenario import ScenarioError, decode, text_of

Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]
LINK = ("cut", "one_way", "stall", "delay", "lose", "double", "corrupt")
PROCESS = ("kill", "freeze")
Kind = Literal["cut", "one_way", "stall", "delay", "lose", "double", "corrupt", "kill", "freeze", "discovery",
               "fails", "hot"]  # fmt: skip
Folder = Literal["kept", "lost", "old"]
DiskFault = Literal["", "forgets", "torn", "no_space", "bad_write", "bad_read", "flip", "slow"]


class Event(msgspec.Struct, forbid_unknown_fields=True):
    """A fault of the nodes `who`, by number or "author" for the leader.

    Link faults apply between `who` and `others`, or all other nodes where `others` is empty:
    cut: nothing passes in either direction; one_way: nothing passes from `who`; stall: datagrams are queued
    and sent at the end; delay: random, up to `ms`, so also out of order; lose, double, corrupt: the ratio
    `part` of the datagrams.

    kill: SIGKILL, and a start at the end with the folder as it is, empty ("lost") or as it was at the
    previous start ("old"); freeze: SIGSTOP to SIGCONT; discovery: no link to discovery; fails: `backend`
    answers 500 to `who`; hot: `who` get `times` as many requests.
    """

    kind: Kind
    at_s: NotNegative
    for_s: Positive = 2.0
    who: list[int | Literal["author"]] = []
    others: list[int] = []
    part: Ratio = 0.3
    ms: Positive = 50.0
    folder: Folder = "kept"
    backend: int = 0
    times: Positive = 8.0


class Machine(msgspec.Struct, forbid_unknown_fields=True):
    """Simulated faults of a node's disk and clocks. `rate` 1.0005: clocks run fast by half a thousandth."""

    node: int
    disk: DiskFault = ""
    rate: Annotated[float, msgspec.Meta(gt=0.5, lt=2)] = 1.0
    wall_s: float = 0.0  # every two seconds the wall clock steps forward by this, or back


class Ban(msgspec.Struct, forbid_unknown_fields=True):
    at_s: NotNegative
    backend: int
    node: int = 0  # whose admin interface gets the call
    on: bool = True


class Timeline(msgspec.Struct, forbid_unknown_fields=True):
    name: str = "unnamed"
    seed: int = 1
    nodes: Annotated[int, msgspec.Meta(ge=1, le=9)] = 5
    voters: Annotated[int, msgspec.Meta(ge=1, le=9)] = 5
    backends: Annotated[int, msgspec.Meta(ge=2, le=20)] = 4
    rate: Positive = 20.0  # requests a second to each node
    length_s: Positive = 12.0
    lease_s: Positive = 1.0
    beat_s: Positive = 0.1
    fresh_s: Positive = 0.5
    stale_s: Positive = 1.5
    drift: Annotated[float, msgspec.Meta(ge=0, le=0.1)] = 0.001
    answer_s: Positive = 4.0
    when_stale: Literal["stand_by", "serve"] = "stand_by"
    sick_from: int = 0
    sick_s: Positive = 20.0
    limit: NotNegative = 0.0  # requests a second of the whole fleet; 0: no limit
    burst: NotNegative = 10.0
    grant_s: Positive = 0.5
    sure_part: Ratio = 0.5
    grace_ms: NotNegative = 100.0  # for attempts sent just before a ban
    bans: list[Ban] = []
    events: list[Event] = []
    machines: list[Machine] = []

    def __post_init__(self) -> None:
        if self.voters > self.nodes:
            raise ValueError(f"voters: expected at most nodes, {self.nodes}, got {self.voters}")
        for number, event in enumerate(self.events):
            named = [*(w for w in event.who if w != "author"), *event.others]
            if not event.who or any(not 0 <= who < self.nodes for who in named):
                raise ValueError(f'events[{number}].who: expected nodes 0 to {self.nodes - 1} or "author"')
        for number, machine in enumerate(self.machines):
            if not 0 <= machine.node < self.nodes:
                raise ValueError(
                    f"machines[{number}].node: expected 0 to {self.nodes - 1}, got {machine.node}"
                )
            if abs(machine.rate - 1) > self.drift + 1e-9:
                raise ValueError(
                    f"machines[{number}].rate: expected 1 within drift {self.drift}, got {machine.rate}"
                )
        for number, ban in enumerate(self.bans):
            if not 0 <= ban.backend < self.backends or not 0 <= ban.node < self.nodes:
                raise ValueError(
                    f"bans[{number}]: expected backend 0 to {self.backends - 1}, node 0 to {self.nodes - 1}, "
                    f"got backend {ban.backend}, node {ban.node}"
                )


def read(path: str | Path) -> Timeline:
    return decode(text_of(path), str(path), Timeline)


def generate_timeline(seed: int, nodes: int = 0, length_s: float = 12.0) -> Timeline:
    """Generates a timeline from a seed: two to five faults, which may overlap, and calls between them.

    `nodes` 0: five to nine, random as well.
    """
    rng = Random(seed)
    nodes = nodes or rng.choice((5, 5, 6, 7, 9))
    events, bans = [], []
    for _ in range(rng.randint(2, 5)):
        kind = rng.choice((*LINK, *PROCESS, *PROCESS, "cut", "discovery", "fails", "hot"))
        who = ["author"] if rng.random() < 0.4 else [rng.randrange(nodes)]
        if kind in ("cut", "delay", "lose", "fails") and rng.random() < 0.5:
            who = sorted(rng.sample(range(nodes), rng.randint(1, nodes // 2)))
        at, duration_s = rng.uniform(2.5, length_s - 4), rng.choice((0.4, 1.0, 2.5, 4.0))
        folder = rng.choice(("kept", "kept", "lost", "old"))
        events.append(Event(kind, round(at, 2), duration_s, who, [], rng.choice((0.1, 0.3)),
                            rng.choice((30.0, 300.0)), folder, 3))  # fmt: skip
    banned: set[int] = set()
    for number in range(rng.randint(3, 6)):
        backend = rng.randrange(3)  # of 4: one is never banned
        at = round(2.5 + (length_s - 5) * number / 6, 2)
        bans.append(Ban(at, backend, rng.randrange(nodes), backend not in banned))
        banned ^= {backend}
    disk_faults = ("", "", "forgets", "torn", "no_space", "bad_write", "bad_read", "flip", "slow")
    clocks = [(rng.choice((0.999, 1.0, 1.001)), rng.choice((0.0, 0.0, 7200.0))) for _ in range(nodes)]
    machines = [Machine(n, rng.choice(disk_faults), *clock) for n, clock in enumerate(clocks)]
    voters = nodes if nodes % 2 else nodes - 1
    return Timeline("drawn", seed, nodes, voters, length_s=length_s, bans=bans, events=events,
                    machines=machines, sick_from=rng.choice((0, 2)), sick_s=2.0,
                    limit=rng.choice((0.0, 60.0)), burst=14.0)  # fmt: skip


__all__ = ["Ban", "Event", "Machine", "ScenarioError", "Timeline", "generate_timeline", "read"]
