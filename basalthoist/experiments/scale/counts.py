"""Layer: figures that are counted, not timed, so they are the same on any machine: memory, items visited,
messages, bytes.

The test suite counts them again at small sizes (tests/test_scale.py).
"""

import asyncio
import gc
import tempfile
import tracemalloc
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec

from basalthoist.configuration import decode, load_fleet
from basalthoist.decisions.random_numbers import Lcg
from basalthoist.fleet.bounds import Bounds
from basalthoist.fleet.members import Members
from basalthoist.fleet.quota_leases import Limit, QuotaLeaseHolder
from basalthoist.fleet.replica import Replica, Role
from basalthoist.fleet.verdicts import Verdict
from basalthoist.fleet.wire import ENCODE, Envelope, HeartbeatReply
from basalthoist.net.runtime.timers import now
from basalthoist.net.service import Service

from . import files, sizes
from .agent import change_text, list_text
from .rows import Row
from .sizes import Ask

NAME = "counts"
ABOUT = "memory, items visited in a tick, messages and bytes, counted: the same on any machine"
NODES, FEW = (48, 96, 192), files.Catalogue(routes=10, tenants=20, backends=12)
SMALL, LARGE = (200, 400, 800), (2_000, 4_000, 8_000, 16_000)
BOUNDS = Bounds(20_000, 2_000, 10_000, 40_000, 0.001, 60_000)
INCARNATION = 1 << 55  # encodes to as many bytes as a random one


def node_file(catalogue: files.Catalogue) -> bytes:
    return msgspec.json.encode(files.document("n00000", catalogue, "127.0.0.1:9", sizes.NODES))


def service_of(data: bytes, loop, fleet: Path | None = None) -> Service:
    """Returns the service of a node from its file, with the endpoint list applied and no socket opened."""
    configuration = decode(data, {})
    fleet_document = load_fleet(configuration, {"PROXY_FLEET": str(fleet)}) if fleet is not None else None
    service = Service(configuration, loop, fleet=fleet_document)
    configuration.known.complete = True
    service.discovery.apply(configuration.known)
    return service


class IterationCounter(dict):
    """Counts the items visited by iteration over it."""

    visited = 0

    def __iter__(self):
        IterationCounter.visited += len(self)
        return super().__iter__()


def state(data: bytes, fleet: Path | None = None) -> int:
    """Returns the bytes of memory that Python allocates for a node with this file."""
    loop = asyncio.new_event_loop()
    try:
        service_of(data, loop, fleet)  # warm-up: per-process objects are not counted
        gc.collect()
        tracemalloc.start()
        try:
            service = service_of(data, loop, fleet)
            gc.collect()
            return tracemalloc.get_traced_memory()[0] if service else 0
        finally:
            tracemalloc.stop()
    finally:
        loop.close()


def tenants_visited(tenants: int) -> int:
    """Returns the tenants visited in a tick of the balancer, all of them active; others are not visited."""
    loop = asyncio.new_event_loop()
    try:
        node = service_of(node_file(files.Catalogue(10, tenants, 12)), loop).dispatcher.balancer
        node.quotas.active, IterationCounter.visited = (
            IterationCounter.fromkeys(node.quotas.tenants.values()),
            0,
        )
        node.tick(now())
        return IterationCounter.visited
    finally:
        loop.close()


def fleet_state(nodes: int) -> int:
    with tempfile.TemporaryDirectory(prefix="scale-") as folder:
        path = Path(folder) / "fleet.toml"
        addresses = {f"n{n:05}": f"127.0.{n // 250}.{n % 250 + 1}:9000" for n in range(nodes)}
        path.write_text(files.fleet_file(addresses, list(addresses)[:5], 0.2))
        return state(node_file(FEW), path)


class CountingHost:
    """A replica's host that counts what it is to send, as envelopes with their 16-byte check."""

    def __init__(self, me: str) -> None:
        self.me, self.messages, self.bytes = me, 0, 0

    def send(self, name: str, message) -> None:
        self.messages, self.bytes = self.messages + 1, self.bytes + 16
        self.bytes += len(ENCODE(Envelope(self.me, INCARNATION, name, INCARNATION, message)))

    def detected_outliers(self) -> list[str]:
        return []

    def __getattr__(self, name: str):
        return lambda *what: None


def leader_with_replies(nodes: int, limits: int = 0) -> tuple[Replica, CountingHost, int]:
    """Returns a leader after replies of all nodes, each with a demand on every limit; its host; the time."""
    names = [f"n{n:05}" for n in range(nodes)]
    host, at = CountingHost(names[0]), 10_000_000
    shared = [Limit(f"t{n:06}", 100_000.0, 10.0) for n in range(limits)]
    holder = QuotaLeaseHolder(shared, nodes, BOUNDS, at) if limits else None
    replica = Replica(host, names[0], names, names[:1], BOUNDS, Lcg(1), at, None, holder)
    while replica.role is not Role.LEADER:
        at += BOUNDS.heartbeat_interval // 4
        replica.on_tick(at)
    at = replica.leader.granter.silent_until if limits else at
    demands = [(n, 5.0) for n in range(limits)]
    for name in names[1:]:
        term, version = replica.election.term, replica.sets.stored.version
        reply = HeartbeatReply(term, at, version, 0, at, False, False, [], demands)
        replica.on_heartbeat_reply(at, name, reply)
    return replica, host, at


def leader_heartbeat(nodes: int, limits: int = 0) -> tuple[int, int]:
    """Returns messages and bytes that the leader sends in one heartbeat interval."""
    replica, host, at = leader_with_replies(nodes, limits)
    host.messages = host.bytes = 0
    replica.leader.send_heartbeats(at + BOUNDS.heartbeat_interval)
    return host.messages, host.bytes


def leader_state(nodes: int, limits: int = 0) -> int:
    """Returns the memory of a leader with its grants of one heartbeat interval, in bytes."""
    leader_with_replies(8, limits)
    gc.collect()
    tracemalloc.start()
    try:
        replica, _, at = leader_with_replies(nodes, limits)
        replica.leader.send_heartbeats(at + BOUNDS.heartbeat_interval)
        gc.collect()
        return tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


def status_bytes(nodes: int) -> int:
    """Returns the size of the leader's answer to `fleet-status` in bytes."""
    replica, _, at = leader_with_replies(nodes)
    return len(replica.status(at))


class ValuesCounter(dict):
    """Counts the values visited by iteration over `values()`."""

    visited = 0

    def values(self):
        ValuesCounter.visited += len(self)
        return super().values()


def membership(nodes: int, ticks: int = 80) -> tuple[float, float]:
    """Returns members visited in a tick, and messages in a probe period, at a node that receives nothing."""
    names = [f"n{n:05}" for n in range(nodes)]
    host, period = CountingHost(names[0]), 10_000
    members = Members(host, names[0], 1, names, period, Lcg(1), 0)
    members.members, ValuesCounter.visited = ValuesCounter(members.members), 0
    for number in range(ticks):
        members.probed = ""  # the probe counts as answered
        members.on_tick((number + 1) * 500)
    return ValuesCounter.visited / ticks, host.messages / (ticks * 500 / period)


def verdict_bytes(verdicts: int) -> int:
    return len(ENCODE([Verdict("ban", f"b{n:06}", True, 0.0, "n00000", "operator") for n in range(verdicts)]))


def catalogue_with(of: str, count: int) -> files.Catalogue:
    """Returns a catalogue with `count` of the field `of` and few of the others."""
    return msgspec.structs.replace(FEW, **{of: count})


def members_for(count: int) -> list[dict]:
    return [files.member(number) for number in range(count)]


# Figure: (the quantity that the size counts, unit, function that counts the figure at one size).
FIGURES = {
    **{f"file, by {of}": (of, "B", lambda n, of=of: len(node_file(catalogue_with(of, n))))
       for of in ("tenants", "routes", "backends")},
    **{f"state of a node, by {of}": (of, "B", lambda n, of=of: state(node_file(catalogue_with(of, n))))
       for of in ("tenants", "routes", "backends")},
    "list of discovery": ("backends", "B", lambda n: len(list_text(1, members_for(n)))),
    "change of one backend": ("backends", "B", lambda n: len(change_text(2, members_for(n)[:1]))),
    "active customers looked at in a round": ("tenants", "looks", lambda n: tenants_visited(n)),
    "verdicts on their way": ("verdicts", "B", lambda n: verdict_bytes(n)),
    "author's words a beat": ("nodes", "words", lambda n: leader_heartbeat(n)[0]),
    "author's bytes a beat": ("nodes", "B", lambda n: leader_heartbeat(n)[1]),
    "author's bytes a beat, 8 limits": ("nodes", "B", lambda n: leader_heartbeat(n, 8)[1]),
    "author's state": ("nodes", "B", lambda n: leader_state(n)),
    "author's state, 8 limits": ("nodes", "B", lambda n: leader_state(n, 8)),
    "answer to fleet-status": ("nodes", "B", lambda n: status_bytes(n)),
    "members looked at in a tick": ("nodes", "looks", lambda n: membership(n)[0]),
    "words of membership a period": ("nodes", "words", lambda n: membership(n)[1]),
    "state of a node in a fleet": ("nodes", "B", lambda n: fleet_state(n)),
}  # fmt: skip


def slopes_of(nodes: tuple[int, ...], counts: tuple[int, ...], only: str = "") -> list[Row]:
    """Returns a row for each figure (or `only` one) at each size: `nodes` if by nodes, else `counts`."""
    return [Row(NAME, figure, x, count(x), of, unit, counted=True)
            for figure, (of, unit, count) in FIGURES.items() if only in ("", figure)
            for x in (nodes if of == "nodes" else counts)]  # fmt: skip


async def measure(ask: Ask, folder: Path, say) -> AsyncIterator[list[Row]]:
    """Yields the rows. Always includes the small sizes, which the test suite compares with."""
    more = ((), ()) if ask.quick else (ask.sizes, LARGE)
    yield await asyncio.to_thread(slopes_of, (*NODES, *more[0]), (*SMALL, *more[1]))
