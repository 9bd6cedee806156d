"""The plan of one run, generated from its seed. Times are in seconds since the clients started."""

import errno
from random import Random
from typing import Literal

import msgspec

from .discovery import OUTAGES

BACKEND_FAULTS = ("hang", "reset", "error", "reject", "drain", "restart")
NODE_FAULTS = ("wall_clock", "accept", "connect", "socket", "short_io", "delay_writes")
SIGNALS = ("TERM", "HUP", "BAD_HUP")
ERRORS = {
    "accept": (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EPROTO, errno.ENETDOWN),
    "connect": (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT),
    "socket": (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
}
OUTAGE_PROBABILITY = 1 / 3  # that discovery fails in a run
MIN_LOAD_AFTER_OUTAGE_S = 1.0
# From the protocol documentation: SIGKILL comes so long after SIGTERM plus the longest deadline.
KILL_MARGIN_S = 0.7
# From the protocol documentation: clients open new connections for so long after SIGTERM.
CONNECTS_AFTER_SIGTERM_S = 0.4

Kind = Literal["hang", "reset", "error", "reject", "drain", "restart", "wall_clock", "accept", "connect",
               "socket", "short_io", "delay_writes", "outage"]  # fmt: skip


class Event(msgspec.Struct, frozen=True):
    """A fault from `at_s` on for `for_s`.

    `backend`: the number of the backend, or -1 where the fault hits the node or (kind "outage") discovery.
    `value`: by kind an errno, bytes, milliseconds, or an index into OUTAGES.
    """

    kind: Kind
    at_s: float
    for_s: float
    backend: int = -1
    value: int = 0


class Plan(msgspec.Struct, frozen=True):
    seed: int
    deadline_s: float  # the longest of any request
    window_s: float  # deduplication window
    grace_s: float  # drain grace: new requests may arrive at a draining backend for so long
    backends: int
    clients: int
    idle_connections: int  # connections on which no request is sent
    early_disconnect_ratio: float  # of all requests
    load_s: float  # from the start of the clients to SIGTERM
    events: tuple[Event, ...]
    signals: tuple[tuple[float, str], ...]  # seconds after the first SIGTERM, and name, of further signals
    quiet_s: float = 0.0  # idle time between the first requests and the load

    @property
    def kill_at_s(self) -> float:
        return self.load_s + self.deadline_s + KILL_MARGIN_S

    @property
    def connects_until_s(self) -> float:
        return self.load_s + CONNECTS_AFTER_SIGTERM_S


def generate_plan(seed: int) -> Plan:
    rng = Random(seed)
    deadline_s = rng.choice((0.3, 0.5, 0.9, 0.9, 1.5, 3.0))
    load_s = round(rng.uniform(1.5, 3.0), 2)
    backends = rng.randint(3, 6)
    # Outages have a generator of their own, so that seeds still give the plans known from before outages.
    outage = draw_outage(Random(f"{seed} outage"), backends)
    if outage:
        load_s = round(load_s + outage[0].at_s + outage[0].for_s + MIN_LOAD_AFTER_OUTAGE_S, 2)
    events = [draw_backend_fault(rng, load_s, backends) for _ in range(rng.randint(2, 5))]
    events += [draw_node_fault(rng, load_s) for _ in range(rng.randint(0, 3))]
    events += outage
    # A backend that hangs during the whole shutdown.
    if rng.random() < 0.7:
        events.append(Event("hang", load_s - 0.1, deadline_s + 2.0, rng.randrange(backends)))
    signals = [(round(rng.uniform(0.0, 0.6), 3), rng.choice(SIGNALS)) for _ in range(rng.randint(0, 4))]
    return Plan(
        seed=seed,
        deadline_s=deadline_s,
        window_s=rng.choice((0.4, 0.4, 1.0, 5.0)),
        grace_s=rng.choice((0.25, 0.5, 2.0)),
        backends=backends,
        clients=rng.choice((6, 12, 24)),
        idle_connections=rng.choice((0, 0, 0, 150)),
        early_disconnect_ratio=rng.choice((0.0, 0.1, 0.3)),
        load_s=load_s,
        events=tuple(sorted(events, key=lambda event: event.at_s)),
        signals=tuple(sorted(signals)),
    )


def draw_outage(rng: Random, backends: int) -> list[Event]:
    """Returns, with OUTAGE_PROBABILITY, an outage of discovery with drains or restarts during or after it."""
    if rng.random() >= OUTAGE_PROBABILITY:
        return []
    at_s, duration_s = round(rng.uniform(0.3, 1.0), 2), round(rng.uniform(0.5, 3.0), 2)
    events = [Event("outage", at_s, duration_s, value=rng.randrange(len(OUTAGES)))]
    for _ in range(rng.randint(1, 2)):
        kind, change_at = (
            rng.choice(("drain", "restart")),
            round(at_s + rng.uniform(0.0, duration_s + 1.0), 2),
        )
        # A drain outlasts every grace; a restart takes 0.1 to 0.5 s.
        for_s = 5.0 if kind == "drain" else round(rng.uniform(0.1, 0.5), 2)
        events.append(Event(kind, change_at, for_s, rng.randrange(backends)))
    return events


def draw_backend_fault(rng: Random, load_s: float, backends: int) -> Event:
    kind = rng.choice(BACKEND_FAULTS)
    duration_s = round(rng.uniform(0.2, 1.5), 2)
    value = rng.randint(5, 400)  # kind "reset": milliseconds from the request to the reset
    return Event(kind, round(rng.uniform(0.1, load_s), 2), duration_s, rng.randrange(backends), value)


def draw_node_fault(rng: Random, load_s: float) -> Event:
    kind = rng.choice(NODE_FAULTS)
    at_s, duration_s = round(rng.uniform(0.1, load_s), 2), round(rng.uniform(0.1, 0.6), 2)
    if kind in ERRORS:
        value = rng.choice(ERRORS[kind])
    elif kind == "wall_clock":
        value = rng.choice((-1, 1)) * rng.choice((3_000, 15_000, 3_600_000))
    elif kind == "short_io":
        value = rng.choice((1, 7, 100))
    else:
        value = rng.randint(50, 140)
    return Event(kind, at_s, duration_s, value=value)
