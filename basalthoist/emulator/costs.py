"""What distribution/ costs at a size, counted in simulated time: messages and bytes, and a node's memory.

`python -m basalthoist.emulator.costs [NODES]` prints it as JSON. Bytes are of frames, without TCP's own.
"""

import json
import sys
import tracemalloc
from collections.abc import Callable

from basalthoist.decisions.random_numbers import Lcg
from basalthoist.distribution.bounds import Bounds
from basalthoist.distribution.catalogue import Catalogue, Entry
from basalthoist.distribution.register_head import KEY, PROPOSER
from basalthoist.distribution.store import Store
from basalthoist.distribution.subscriber import Subscriber
from basalthoist.distribution.wire import DECODER, ENCODE, Delta, TenantUpdate
from basalthoist.fleet.bounds import Bounds as FleetBounds
from basalthoist.fleet.verdicts import Verdict, VerdictSet

from .distributed import Distributed, Node, RelayMachine, SimulatedProcess, route, size_of, tenant

REGISTER_BOUNDS = FleetBounds(
    lease=20_000, heartbeat_interval=2_000, fresh=10_000, stale=40_000, drift=0.001, call_timeout=60_000
)
BOUNDS = Bounds()
SECOND = 10_000
REGIONS = 5


def catalogue_of(services: int, routes: int, backends: int, tenants: int, relays: list[Entry]) -> Catalogue:
    """Routes and backends spread evenly over services; addresses are never connected to."""
    names = [f"service-{number}" for number in range(services)]
    made = Catalogue(1, relays)
    for name in names:
        made.put(Entry("service", name, name))
    for number in range(routes):
        body = {"overall_timeout": 500_000 + number, "value": 3.0, "semantics": "idempotent"}
        made.put(Entry("route", f"route-{number}", names[number % services], body))
    for at, name in enumerate(names):
        numbers = range(at, backends, services)
        members = [{"id": f"backend-{number}", "host_port": f"127.1.{number % 250}.{number // 250}:8000",
                    "locality": "zone-1", "size": 1.0} for number in numbers]  # fmt: skip
        made.put(Entry("backends", f"backends-{name}", name, {"members": members}))
    for number in range(tenants):
        made.put(tenant(f"tenant-{number}", 10.0))
    return made


class Full(Distributed):
    """Begun with the catalogue at its size. Nothing is judged: it is counted."""

    tick_nodes = 2_500

    def __init__(self, nodes: int, relays: int, voters: int, catalogue: Catalogue, fronts: int) -> None:
        class FilledStore(Store):
            """One that was in step with the leader when it ended."""

            @classmethod
            def from_bytes(cls, fleet: str, data: bytes, history_bytes: int) -> "FilledStore":
                return cls(history_bytes, catalogue.copy())

        super().__init__(0, voters, relays, 1, BOUNDS, REGISTER_BOUNDS, REGIONS, make={"store": FilledStore})
        self.truth, self.committed_at = {1: (catalogue.digest(), {})}, {1: 0}
        head = Verdict(*KEY, figure=1.0, who=PROPOSER, why=catalogue.digest().hex())
        for name, replica_node in self.replica_nodes.items():
            replica_node.hint = VerdictSet(1, 1, {KEY: head})
            self.restart(name)
        services = [name for kind, name in catalogue.entries if kind == "service"]
        self.add(nodes, services, fronts)

    def add(self, nodes: int, services: list[str], fronts: int) -> None:
        """Nodes, each of which fronts so many services."""
        for number in range(nodes):
            first = number // 10 * fronts  # ten nodes front the same services
            scopes = [services[(first + at) % len(services)] for at in range(fronts)]
            self.add_node(f"node-{number}", self.regions[number % REGIONS], scopes)

    def judge(self) -> None:
        """Nothing."""

    def verify_node(self, node: Node) -> None:
        """Nothing."""

    def verify_commit(self, machine: RelayMachine) -> None:
        """Only when it was."""
        self.committed_at.setdefault(machine.store.version, self.at)

    def verify_version(self, node: Node, version: int) -> None:
        """Only when it was acted on first."""
        self.acted_at.setdefault(version, {}).setdefault(node.name, self.at)


# What is counted, by its name in the output.
COUNTED = {
    "bytes_out": "bytes_out",
    "words_out": "messages_out",
    "bytes_in": "bytes_in",
    "words_in": "messages_in",
    "between": "bytes_between_machines",
}


def sums(processes: list[SimulatedProcess]) -> list[list[int]]:
    """What each has counted so far."""
    return [[getattr(process, name) for name in COUNTED.values()] for process in processes]


class Span:
    """What was sent between two moments, a second, by role: the most of any process of that role."""

    def __init__(self, world: Full) -> None:
        leader = world.author()
        relays = [machine for machine in world.machines.values() if machine.name != leader]
        self.world = world
        self.began_at = world.at
        self.roles = {"author": [world.by_name[leader]], "relay": relays, "node": list(world.nodes.values())}
        self.before = {role: sums(processes) for role, processes in self.roles.items()}

    def rates(self) -> dict:
        """By role, then by name of COUNTED."""
        lasted, found = (self.world.at - self.began_at) / SECOND, {}
        for role, processes in self.roles.items():
            pairs = zip(sums(processes), self.before[role], strict=True)
            grown = [[a - b for a, b in zip(after, before, strict=True)] for after, before in pairs]
            most = [round(max(one[at] for one in grown) / lasted, 1) for at in range(len(COUNTED))]
            found[role] = dict(zip(COUNTED, most, strict=True))
        return found


def lags(world: Full, since: int) -> dict:
    """Seconds from when a change is committed until a node acts on it: median, 99th percentile, last."""
    found = sorted((at - world.committed_at[version]) / SECOND for version, acted in world.acted_at.items()
                   if version > since for at in acted.values())  # fmt: skip
    if not found:
        return {}
    return {"p50": found[len(found) // 2], "p99": found[len(found) * 99 // 100], "last": found[-1]}


def memory_of(catalogue: Catalogue, scopes: list[str], tenants: int) -> dict:
    """Bytes of a node's subscriber after a snapshot, the tenants' names and so many of their entries."""
    store = Store(BOUNDS.history_bytes, catalogue)
    snapshot, names = store.snapshot(tuple(sorted({"", *scopes}))), store.filter_message()
    held = store.tenant_entries([f"tenant-{number}" for number in range(tenants)])

    class Silent:
        def __getattr__(self, name: str) -> Callable[..., None]:
            return lambda *arguments: None

    tracemalloc.start()
    node = Subscriber(Silent(), "node", 1, "z", scopes, ["127.0.0.1:7000"], BOUNDS, Lcg(1), 0)
    node.on_message(1, DECODER.decode(names.data))
    node.on_message(1, DECODER.decode(snapshot.data))
    for entry in held:
        node.tenants.look_up(1, entry.name)
        node.tenants.on_update(1, DECODER.decode(ENCODE(TenantUpdate(1, [entry]))), 1)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"entries": len(node.catalogue.entries), "tenants": len(node.tenants.cached), "memory": size,
            "snapshot": size_of(snapshot), "names": size_of(names)}  # fmt: skip


def costs(nodes: int = 3_300, relays: int = 13, voters: int = 3, services: int = 2_000, routes: int = 11_000,
          backends: int = 32_000, tenants: int = 200_000, fronts: int = 20,
          seconds: int = 10) -> dict:  # fmt: skip
    """At rest, at 7,000 changes a day, in a burst of 500 changes in 10 s; a node's memory."""
    names = [f"n{number}" for number in range(voters)] + [f"r{number}" for number in range(relays)]
    there = [Entry("relay", name, "", {"address": f"127.0.{at}.1:7000", "region": f"z{at % 5}"})
             for at, name in enumerate(names)]  # fmt: skip
    catalogue = catalogue_of(services, routes, backends, tenants, there)
    world = Full(nodes, relays, voters, catalogue, fronts)
    while not world.author():
        world.run(world.at + SECOND)
    world.run(world.at + 75 * SECOND)  # all go where they belong
    found: dict = {"nodes": nodes, "machines": relays + voters, "fronts": fronts}
    found["sessions"] = sorted(len(machine.relay.sessions) for machine in world.machines.values())
    span = Span(world)
    world.run(world.at + seconds * SECOND)
    found["at_rest"] = span.rates()
    span, ident = Span(world), 0
    changed = [number * 7 % routes for number in range(520)]
    changes = [route(f"route-{number}", f"service-{number % services}", 1_000) for number in changed]
    gap = 86_400 * SECOND // 7_000
    for ident in range(2):  # as often as 7,000 a day
        world.operator_call("r0", ident, [changes[ident]])
        world.run(world.at + gap)
    found["by_day"] = span.rates() | {"lag": lags(world, 1)}
    since, span = max(world.committed_at), Span(world)
    for ident in range(10, 510):
        world.operator_call(f"r{ident % relays}", ident, [changes[ident]])
        world.run(world.at + SECOND // 50)
    found["burst"] = span.rates()
    world.run(world.at + 6 * SECOND)  # an answer waits for who has just left, as long as a view lasts
    found["burst"] |= {"versions": max(world.committed_at) - since, "lag": lags(world, since)}
    found["answers"] = sum(text.startswith("SUCCESS") for text in world.answers.values())
    found["acting"] = sum(node.subscriber.version == max(world.committed_at) for node in world.nodes.values())
    delta = world.by_name["r0"].store.update_for(("",), since)
    found["delta_of_nothing"] = size_of(delta) if delta is not None and type(delta.message) is Delta else 0
    found["node"] = memory_of(catalogue, [f"service-{number}" for number in range(fronts)], 200)
    return found


if __name__ == "__main__":
    print(json.dumps(costs(*map(int, sys.argv[1:])), indent=1))
