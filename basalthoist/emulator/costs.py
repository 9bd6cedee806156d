"""Measures the costs of distribution/ in a simulated fleet: messages, bytes, and the memory of a node.

`python -m basalthoist.emulator.costs [NODES]` prints them as JSON. Bytes are of frames, without TCP headers.
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
    """Returns a catalogue with routes and backends spread evenly over services, and unused addresses."""
    names = [f"service-{number}" for number in range(services)]
    catalogue = Catalogue(1, relays)
    for name in names:
        catalogue.put(Entry("service", name, name))
    for number in range(routes):
        body = {"overall_timeout": 500_000 + number, "value": 3.0, "semantics": "idempotent"}
        catalogue.put(Entry("route", f"route-{number}", names[number % services], body))
    for at, name in enumerate(names):
        numbers = range(at, backends, services)
        members = [{"id": f"backend-{number}", "host_port": f"127.1.{number % 250}.{number // 250}:8000",
                    "locality": "zone-1", "size": 1.0} for number in numbers]  # fmt: skip
        catalogue.put(Entry("backends", f"backends-{name}", name, {"members": members}))
    for number in range(tenants):
        catalogue.put(tenant(f"tenant-{number}", 10.0))
    return catalogue


class FullSizeWorld(Distributed):
    """A world that starts with a complete catalogue. It counts messages and bytes and verifies nothing."""

    tick_nodes = 2_500

    def __init__(self, nodes: int, relays: int, voters: int, catalogue: Catalogue, fronts: int) -> None:
        class FilledStore(Store):
            """A store that had the complete catalogue when its process ended."""

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
        """Adds nodes, each of which serves `fronts` services."""
        for number in range(nodes):
            first = number // 10 * fronts  # ten nodes serve the same services
            scopes = [services[(first + at) % len(services)] for at in range(fronts)]
            self.add_node(f"node-{number}", self.regions[number % REGIONS], scopes)

    def verify(self) -> None:
        """Skips the verification."""

    def verify_node(self, node: Node) -> None:
        """Skips the verification."""

    def verify_commit(self, machine: RelayMachine) -> None:
        """Records only when the version was committed."""
        self.committed_at.setdefault(machine.store.version, self.at)

    def verify_version(self, node: Node, version: int) -> None:
        """Records only when the node first acted on the version."""
        self.acted_at.setdefault(version, {}).setdefault(node.name, self.at)


# Counters of a process, by their names in the output.
COUNTERS = {
    "bytes_out": "bytes_out",
    "words_out": "messages_out",
    "bytes_in": "bytes_in",
    "words_in": "messages_in",
    "between": "bytes_between_machines",
}


def read_counters(processes: list[SimulatedProcess]) -> list[list[int]]:
    """Returns the counters of each process."""
    return [[getattr(process, name) for name in COUNTERS.values()] for process in processes]


class TrafficMeter:
    """Measures the highest rates of traffic of any process of each role, from its creation on."""

    def __init__(self, world: FullSizeWorld) -> None:
        leader = world.author()
        relays = [machine for machine in world.machines.values() if machine.name != leader]
        self.world = world
        self.began_at = world.at
        self.roles = {"author": [world.by_name[leader]], "relay": relays, "node": list(world.nodes.values())}
        self.before = {role: read_counters(processes) for role, processes in self.roles.items()}

    def rates(self) -> dict:
        """Returns the highest rates per second, by role, then by name of COUNTERS."""
        duration, found = (self.world.at - self.began_at) / SECOND, {}
        for role, processes in self.roles.items():
            pairs = zip(read_counters(processes), self.before[role], strict=True)
            differences = [[a - b for a, b in zip(after, before, strict=True)] for after, before in pairs]
            highest = [
                round(max(counts[at] for counts in differences) / duration, 1) for at in range(len(COUNTERS))
            ]
            found[role] = dict(zip(COUNTERS, highest, strict=True))
        return found


def propagation_times(world: FullSizeWorld, since: int) -> dict:
    """Returns the seconds from a commit until a node acts on it: median, 99th percentile, maximum."""
    found = sorted((at - world.committed_at[version]) / SECOND for version, times in world.acted_at.items()
                   if version > since for at in times.values())  # fmt: skip
    if not found:
        return {}
    return {"p50": found[len(found) // 2], "p99": found[len(found) * 99 // 100], "last": found[-1]}


def subscriber_memory(catalogue: Catalogue, scopes: list[str], tenants: int) -> dict:
    """Returns the memory in bytes of a subscriber with a snapshot, the tenant filter and some tenants."""
    store = Store(BOUNDS.history_bytes, catalogue)
    snapshot, names = store.snapshot(tuple(sorted({"", *scopes}))), store.filter_message()
    cached = store.tenant_entries([f"tenant-{number}" for number in range(tenants)])

    class NullHost:
        def __getattr__(self, name: str) -> Callable[..., None]:
            return lambda *arguments: None

    tracemalloc.start()
    node = Subscriber(NullHost(), "node", 1, "z", scopes, ["127.0.0.1:7000"], BOUNDS, Lcg(1), 0)
    node.on_message(1, DECODER.decode(names.data))
    node.on_message(1, DECODER.decode(snapshot.data))
    for entry in cached:
        node.tenants.look_up(1, entry.name)
        node.tenants.on_update(1, DECODER.decode(ENCODE(TenantUpdate(1, [entry]))), 1)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"entries": len(node.catalogue.entries), "tenants": len(node.tenants.cached), "memory": size,
            "snapshot": size_of(snapshot), "names": size_of(names)}  # fmt: skip


def costs(nodes: int = 3_300, relays: int = 13, voters: int = 3, services: int = 2_000, routes: int = 11_000,
          backends: int = 32_000, tenants: int = 200_000, fronts: int = 20,
          seconds: int = 10) -> dict:  # fmt: skip
    """Measures traffic at rest, at 7,000 changes a day, and at 500 changes in 10 s; and a node's memory."""
    names = [f"n{number}" for number in range(voters)] + [f"r{number}" for number in range(relays)]
    relay_entries = [Entry("relay", name, "", {"address": f"127.0.{at}.1:7000", "region": f"z{at % 5}"})
             for at, name in enumerate(names)]  # fmt: skip
    catalogue = catalogue_of(services, routes, backends, tenants, relay_entries)
    world = FullSizeWorld(nodes, relays, voters, catalogue, fronts)
    while not world.author():
        world.run(world.at + SECOND)
    world.run(world.at + 75 * SECOND)  # long enough for all nodes to move to their preferred relays
    found: dict = {"nodes": nodes, "machines": relays + voters, "fronts": fronts}
    found["sessions"] = sorted(len(machine.relay.sessions) for machine in world.machines.values())
    meter = TrafficMeter(world)
    world.run(world.at + seconds * SECOND)
    found["at_rest"] = meter.rates()
    meter, ident = TrafficMeter(world), 0
    changed = [number * 7 % routes for number in range(520)]
    changes = [route(f"route-{number}", f"service-{number % services}", 1_000) for number in changed]
    gap = 86_400 * SECOND // 7_000
    for ident in range(2):  # at the rate of 7,000 a day
        world.operator_call("r0", ident, [changes[ident]])
        world.run(world.at + gap)
    found["by_day"] = meter.rates() | {"lag": propagation_times(world, 1)}
    since, meter = max(world.committed_at), TrafficMeter(world)
    for ident in range(10, 510):
        world.operator_call(f"r{ident % relays}", ident, [changes[ident]])
        world.run(world.at + SECOND // 50)
    found["burst"] = meter.rates()
    # Calls are answered only once the views of nodes that have just left are stale.
    world.run(world.at + 6 * SECOND)
    found["burst"] |= {"versions": max(world.committed_at) - since, "lag": propagation_times(world, since)}
    found["answers"] = sum(text.startswith("SUCCESS") for text in world.answers.values())
    found["acting"] = sum(node.subscriber.version == max(world.committed_at) for node in world.nodes.values())
    delta = world.by_name["r0"].store.update_for(("",), since)
    found["delta_of_nothing"] = size_of(delta) if delta is not None and type(delta.message) is Delta else 0
    found["node"] = subscriber_memory(catalogue, [f"service-{number}" for number in range(fronts)], 200)
    return found


if __name__ == "__main__":
    print(json.dumps(costs(*map(int, sys.argv[1:])), indent=1))
