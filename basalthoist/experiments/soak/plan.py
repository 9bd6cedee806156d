"""What happens in one play, drawn from its seed. Times are seconds since the clients began."""

import errno
from random import Random
from typing import Literal

import msgspec

from .discovery import OUTAGES

BACKEND_TROUBLES = ("hang", "reset", "error", "turn_away", "drain", "restart")
NODE_TROUBLES = ("wall_clock", "accept", "connect", "socket", "short_io", "hold_up")
SIGNALS = ("TERM", "HUP", "BAD_HUP")
ERRORS = {
    "accept": (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EPROTO, errno.ENETDOWN),
    "connect": (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT),
    "socket": (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
}
OUTAGE_PART = 1 / 3  # of the plays have an outage of discovery
AFTER_OUTAGE_S = 1.0  # for which they go on beyond it, at the least
KILL_AFTER_S = 0.7  # beyond the longest deadline: the protocol page
NEW_CONNECTIONS_S = 0.4  # for which they go on coming after SIGTERM: the protocol page

Kind = Literal["hang", "reset", "error", "turn_away", "drain", "restart", "wall_clock", "accept", "connect",
               "socket", "short_io", "hold_up", "outage"]  # fmt: skip


class Event(msgspec.Struct, frozen=True):
    """`backend` is met from `at_s` for `for_s`; -1 for what meets the node or, as an outage, discovery.

    `value`: errno, bytes, milliseconds, or which of OUTAGES.
    """

    kind: Kind
    at_s: float
    for_s: float
    backend: int = -1
    value: int = 0


class Plan(msgspec.Struct, frozen=True):
    seed: int
    deadline_s: float  # the longest
    window_s: float  # for which repeats of a deduplicated request are known
    grace_s: float  # of drains
    backends: int
    clients: int
    crowd: int  # clients that connect and say nothing
    leaving: float  # the part of requests whose client leaves early
    load_s: float  # from the clients' beginning to SIGTERM
    events: tuple[Event, ...]
    signals: tuple[tuple[float, str], ...]  # further ones, after the first SIGTERM
    quiet_s: float = 0.0  # without a request, between some of the first and the load

    @property
    def kill_s(self) -> float:
        return self.load_s + self.deadline_s + KILL_AFTER_S

    @property
    def connects_s(self) -> float:
        return self.load_s + NEW_CONNECTIONS_S


def drawn(seed: int) -> Plan:
    rng = Random(seed)
    deadline_s = rng.choice((0.3, 0.5, 0.9, 0.9, 1.5, 3.0))
    load_s = round(rng.uniform(1.5, 3.0), 2)
    backends = rng.randint(3, 6)
    # From a source of its own: what else a seed draws stays as it was before there were outages.
    outage = outage_with_changes(Random(f"{seed} outage"), backends)
    if outage:
        load_s = round(load_s + outage[0].at_s + outage[0].for_s + AFTER_OUTAGE_S, 2)
    events = [backend_trouble(rng, load_s, backends) for _ in range(rng.randint(2, 5))]
    events += [node_trouble(rng, load_s) for _ in range(rng.randint(0, 3))]
    events += outage
    # A backend that hangs through the whole of a shutdown.
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
        crowd=rng.choice((0, 0, 0, 150)),
        leaving=rng.choice((0.0, 0.1, 0.3)),
        load_s=load_s,
        events=tuple(sorted(events, key=lambda event: event.at_s)),
        signals=tuple(sorted(signals)),
    )


def outage_with_changes(rng: Random, backends: int) -> list[Event]:
    """In a third of the plays discovery fails, and backends drain or restart meanwhile or soon after."""
    if rng.random() >= OUTAGE_PART:
        return []
    at_s, lasts = round(rng.uniform(0.3, 1.0), 2), round(rng.uniform(0.5, 3.0), 2)
    events = [Event("outage", at_s, lasts, value=rng.randrange(len(OUTAGES)))]
    for _ in range(rng.randint(1, 2)):
        kind, change_at = (
            rng.choice(("drain", "restart")),
            round(at_s + rng.uniform(0.0, lasts + 1.0), 2),
        )
        # A drain is seen to its end; a backend's restart takes a moment.
        for_s = 5.0 if kind == "drain" else round(rng.uniform(0.1, 0.5), 2)
        events.append(Event(kind, change_at, for_s, rng.randrange(backends)))
    return events


def backend_trouble(rng: Random, load_s: float, backends: int) -> Event:
    kind = rng.choice(BACKEND_TROUBLES)
    lasts = round(rng.uniform(0.2, 1.5), 2)
    value = rng.randint(5, 400)  # of a reset: how long after the request, in milliseconds
    return Event(kind, round(rng.uniform(0.1, load_s), 2), lasts, rng.randrange(backends), value)


def node_trouble(rng: Random, load_s: float) -> Event:
    kind = rng.choice(NODE_TROUBLES)
    at_s, lasts = round(rng.uniform(0.1, load_s), 2), round(rng.uniform(0.1, 0.6), 2)
    if kind in ERRORS:
        value = rng.choice(ERRORS[kind])
    elif kind == "wall_clock":
        value = rng.choice((-1, 1)) * rng.choice((3_000, 15_000, 3_600_000))
    elif kind == "short_io":
        value = rng.choice((1, 7, 100))
    else:
        value = rng.randint(50, 140)
    return Event(kind, at_s, lasts, value=value)
