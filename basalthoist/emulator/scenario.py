"""Reads and validates scenario files: fleet, load and a timeline of faults.

Times are seconds, service times and delays milliseconds; `docs/emulator.md` lists every key.
"""

from pathlib import Path
from typing import Annotated, Literal

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Semantics = Literal["retriable", "deduped", "non-retriable"]  # values of scenario files
SEMANTICS = {"retriable": "idempotent", "deduped": "deduplicated", "non-retriable": "at_most_once"}


class ScenarioError(Exception):
    """An invalid scenario file. The message names the file and the key."""


class Strict(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    pass


class Kind(Strict):
    """A kind of backend. The backends are distributed among the kinds in proportion to `share`."""

    name: str = "std"
    share: Positive = 1.0
    slots: Count = 1
    speed: Positive = 1.0
    queue: Annotated[int, msgspec.Meta(ge=0)] = 50


class Backends(Strict):
    count: Count = 12
    kinds: tuple[Kind, ...] = (Kind(),)
    pod_size: Count = 4
    cold_from: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.3  # fraction of the full speed at the start
    warm_s: NonNegative = 8.0  # from the start to full speed
    crowded_at: NonNegative = 0.0  # requests in flight per slot above which the backend slows down; 0: never
    crowded_factor: Annotated[float, msgspec.Meta(ge=1)] = 1.0
    fall_multiple: Annotated[float, msgspec.Meta(ge=0)] = 3.0  # 0: warming backends never crash
    fall_s: Positive = 2.0  # window over which arriving work is summed up
    reports: bool = True
    work_left_on_cancel: bool = True  # a running request is finished even when it is cancelled


class Network(Strict):
    delay_ms: NonNegative = 0.2  # one way, within a location
    cross_ms: NonNegative = 0.5
    jitter: Fraction = 0.2
    connect_timeout_ms: Positive = 250.0
    message_loss: Fraction = 0.0


class Discovery(Strict):
    lag_s: NonNegative = 1.0
    spread_s: NonNegative = 0.1


class Route(Strict):
    name: str
    share: Positive = 1.0
    semantics: Semantics = "retriable"
    service_ms: Positive = 30.0
    distribution: Literal["constant", "exponential", "lognormal"] = "lognormal"
    spread: NonNegative = 0.5  # coefficient of variation; lognormal only
    objective_ms: Positive = 100.0
    timeout_ms: Positive = 400.0
    value: Positive = 1.0


class Tenant(Strict):
    name: str
    share: Positive = 1.0
    quota_per_s: Positive = 1e9


class Load(Strict):
    """Open-loop load: arrivals do not depend on earlier answers."""

    rate: Positive = 100.0
    retries: Annotated[int, msgspec.Meta(ge=0)] = 1
    backoff_ms: NonNegative = 50.0
    gives_up: Fraction = 0.0  # fraction of the clients that abandon their request early
    gives_up_after: Fraction = 0.5  # as a fraction of the timeout


class Node(Strict):
    probes: bool = True
    probe_price: NonNegative = 0.002
    peers: bool = False
    peer_price: NonNegative = 0.01
    tries: Count = 3
    parallel: bool = False
    cross_price: NonNegative = 0.0
    notice_s: NonNegative = 1.5  # time until clients stop connecting to a dead node
    restart_s: NonNegative = 1.5
    drain_grace_s: Positive = 2.0
    answer_grace_ms: Positive = 5.0


FaultKind = Literal[
    "kill", "freeze", "cut", "slow", "errors", "drain", "replace", "surge", "stale", "kill_nodes"
]


class Fault(Strict):
    """A fault that starts at `at_s`, lasts `for_s` and hits `part` of the fleet, or of `location` if set."""

    kind: FaultKind
    at_s: NonNegative
    for_s: Positive = 5.0
    part: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.25
    location: int | None = None
    # slow: multiplies service times; surge: multiplies the rate; errors: 1/factor of requests succeed
    factor: Positive = 3.0

    def __post_init__(self) -> None:
        if self.kind in ("slow", "surge") and self.factor < 1:
            raise ValueError(f"factor: expected at least 1 for {self.kind}, got {self.factor}")


class Scenario(Strict):
    name: str = "unnamed"
    length_s: Positive = 30.0
    warmup_s: NonNegative = 2.0  # excluded from the figures
    seed: int = 1
    nodes: Count = 3
    locations: Count = 1
    backends: Backends = msgspec.field(default_factory=Backends)
    network: Network = msgspec.field(default_factory=Network)
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    node: Node = msgspec.field(default_factory=Node)
    load: Load = msgspec.field(default_factory=Load)
    routes: Annotated[tuple[Route, ...], msgspec.Meta(min_length=1)] = (Route(name="read"),)
    customers: tuple[Tenant, ...] = ()
    faults: tuple[Fault, ...] = ()

    def __post_init__(self) -> None:
        if self.warmup_s >= self.length_s:
            raise ValueError(f"warmup_s: expected less than length_s, got {self.warmup_s}")
        for number, fault in enumerate(self.faults):
            if fault.location is not None and not 0 <= fault.location < self.locations:
                raise ValueError(
                    f"faults[{number}].location: expected 0 to {self.locations - 1}, got {fault.location}"
                )
            if fault.at_s >= self.length_s:
                raise ValueError(f"faults[{number}].at_s: expected less than length_s, got {fault.at_s}")


def read(path: str | Path) -> Scenario:
    return decode(text_of(path), str(path))


def text_of(path: str | Path) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None


def decode(data: bytes, source: str = "scenario", kind: type = Scenario):
    """Decodes a scenario, or another `kind` of experiment file; raises ScenarioError if it is invalid."""
    try:
        return msgspec.toml.decode(data, type=kind)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{source}: {error}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{source}: not TOML: {error}") from None
