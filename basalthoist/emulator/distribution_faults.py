"""Fault injection on the simulated distribution.

`python -m basalthoist.emulator.storms FIRST LAST` tries seeds.
"""

import sys

from basalthoist.distribution.bounds import Bounds
from basalthoist.distribution.catalogue import Entry
from basalthoist.fleet.bounds import Bounds as FleetBounds

from .distributed import Distributed, Node, SimulatedProcess, route, tenant
from .replicas import Broken

# Short, so that much happens in little time; clocks are 10% off.
REGISTER_BOUNDS = FleetBounds(
    lease=10_000, heartbeat_interval=1_500, fresh=5_000, stale=15_000, drift=0.1, call_timeout=30_000
)
SHORT_BOUNDS = Bounds(
    heartbeat=2_000,
    fresh=6_000,
    stale=15_000,
    silent=5_000,
    drift=0.1,
    call_timeout=40_000,
    batch_interval=500,
    backoff=500,
    max_backoff=4_000,
    preferred_relay_interval=20_000,
)
TENANTS = 12
ROUTES = 20
KINDS = "kill die lose freeze freeze region alone alone torn reverted break slow zone".split()
STOPS = "kill", "die", "lose", "torn", "reverted"  # after which a process begins another incarnation
DURATIONS = 0.3, 1.0, 3.0  # of a fault, in leases
GAPS = 0.7, 2.0, 5.0  # between two faults on average, in leases
Delay = tuple[int, int]  # of a message: the least and the most


class DistributionFaultInjector:
    """Faults by rng. Memory and disk are lost together by a minority of the voters at most, at once."""

    def __init__(self, world: Distributed, faults: int, call_chance: float = 0.5, gap: float = 0.0) -> None:
        self.world = world
        self.faults = faults
        self.random = world.rng
        self.call_chance = call_chance
        self.injected: list[str] = []  # for whoever reads a failure
        self.gap: float = gap or self.random.choice(GAPS)
        self.last_call = 0

    def run(self) -> None:
        """Raises Broken where a promise is not kept, also that all is well soon after the last fault."""
        world, random = self.world, self.random
        usual_delay = world.delay
        names, gap_mean = [*world.by_name], self.gap * world.bounds.lease
        world.run(world.at + 4 * world.bounds.lease)
        self.call()
        for _ in range(self.faults):
            gap = int(random.expovariate(1 / gap_mean))
            for _ in range(3):
                world.run(world.at + gap // 3)
                if random.random() < self.call_chance:
                    self.call()
            name = self.draw_process(names)
            kind, duration = random.choice(KINDS), int(random.choice(DURATIONS) * world.bounds.lease)
            self.injected.append(f"{world.at / 10_000:.2f} {kind} {name} for {duration / 10_000:.2f}")
            self.inject(kind, name, duration, usual_delay)
        self.settle(usual_delay)

    def draw_process(self, names: list[str]) -> str:
        """Leaders and relays come more often than their number says."""
        world, random = self.world, self.random
        name = random.choice(names)
        if random.random() < 0.5:
            return random.choice([*world.voters, world.author() or world.voters[0]])
        if random.random() < 0.5:
            return random.choice([machine.name for machine in world.machines.values()])
        return name

    def settle(self, usual_delay: Delay) -> None:
        """All faults end. Raises Broken where all is not well soon after."""
        world = self.world
        world.delay = usual_delay
        world.mend()
        for name, process in world.by_name.items():
            if not process.alive:
                world.restart(name)
            elif process.frozen:
                world.wake(name)
        world.run(world.at + 8 * world.bounds.lease + 2 * world.distribution_bounds.stale)
        world.verify_settled()

    def call(self) -> None:
        """An operator's, at any machine: first the services, then changes of some routes and a tenant."""
        world, random = self.world, self.random
        self.last_call += 1
        at = random.choice([machine.name for machine in world.machines.values()])
        if self.last_call == 1:
            entries = [*world.relay_entries, *(Entry("service", name, name) for name in world.services)]
            entries += [tenant(f"t{number}", 1.0) for number in range(TENANTS)]
        else:
            entries = [self.draw_route() for _ in range(random.randint(0, 3))]
            entries += [tenant(f"t{random.randrange(TENANTS)}", random.randrange(9), random.random() < 0.7)]
        world.operator_call(at, self.last_call, entries)

    def draw_route(self) -> Entry:
        """In any service, or taken out."""
        random = self.random
        name, service = f"x{random.randrange(ROUTES)}", random.choice(self.world.services)
        return route(name, service, random.randrange(9), random.random() < 0.7)

    def inject(self, kind: str, name: str, duration: int, usual_delay: Delay) -> None:
        """A fault of one of KINDS at that process, or where it is."""
        world, process = self.world, self.world.by_name[name]
        match kind:
            case "freeze" if process.alive:
                world.freeze(name)
                world.later(duration, (world.wake, name))
            case "region" if len(world.regions) > 1:
                world.separated_regions.add(frozenset(self.random.sample(world.regions, 2)))
                world.later(duration, (world.mend,))
            case "alone":
                world.isolate(name)
                world.later(duration, (world.rejoin, name))
            case "break":
                self.break_connections(process)
            case "slow":
                lease = world.bounds.lease
                world.delay = self.random.choice((usual_delay, (2, lease // 4), (2, lease)))
            case "zone":
                self.restart_region(duration)
            case _ if kind in STOPS:
                self.stop(kind, process, duration)

    def break_connections(self, process: SimulatedProcess) -> None:
        """All of that process."""
        for connection in list(self.world.connections):
            if process in connection.ends:
                connection.break_off()

    def restart_region(self, duration: int) -> None:
        """All nodes of a region end at once, and come back at once, some with their files."""
        world, region = self.world, self.random.choice(self.world.regions)
        for node in world.nodes.values():
            if node.region == region:
                world.kill(node.name)
                keeps = self.random.random() < 0.5
                world.later(duration, (self.restart, node.name, node.incarnation, keeps))

    def stop(self, kind: str, process: SimulatedProcess, duration: int) -> None:
        """It ends, comes back later, and may have lost its file, or have a torn or an earlier one."""
        world, name = self.world, process.name
        keeps = kind != "lose" or not self.may_lose(name)
        if isinstance(process, Node) and process.alive:
            process.save()
        world.kill(name, silent=kind == "die")
        if kind in ("torn", "reverted") and process.files and self.may_lose(name):
            (self.tear if kind == "torn" else self.revert)(process)
        world.later(duration, (self.restart, name, process.incarnation, keeps))

    def tear(self, process: SimulatedProcess) -> None:
        """Its file ends early, or has another byte."""
        at, data = self.random.randrange(len(process.files[-1])), process.files[-1]
        torn = self.random.random() < 0.5
        process.files[-1] = data[:at] if torn else data[:at] + b"?" + data[at + 1 :]

    def revert(self, process: SimulatedProcess) -> None:
        """Its file is an earlier one."""
        process.files = process.files[: self.random.randint(1, len(process.files))]

    def restart(self, name: str, incarnation: int, keeps: bool) -> None:
        """Unless something else has."""
        process = self.world.by_name[name]
        if process.incarnation == incarnation and not process.alive:
            self.world.restart(name, keeps)

    def may_lose(self, name: str) -> bool:
        """Whether a minority at most is left without what is committed, in the register and in the stores."""
        world = self.world
        if name not in world.voters:
            return True
        without = [other for other in world.voters if other != name and not self.has_all(other)]
        return len(without) + 1 <= (len(world.voters) - 1) // 2

    def has_all(self, name: str) -> bool:
        """Whether a voter's store and replica have what is committed, or may be."""
        replica, machine = self.world.replica_nodes[name].replica, self.world.by_name[name]
        stores = [other.store for other in self.world.machines.values()]
        latest = max(max(self.world.truth), *(store.pending_version for store in stores))
        own = max(machine.store.version, machine.store.pending_version)
        return replica is not None and replica.voter.intact and machine.alive and own >= latest


def run_random_faults(
    seed: int, faults: int, gap: float = 0.0, make: dict[str, type] | None = None
) -> DistributionFaultInjector:
    """One that has run. Raises Broken."""
    world = Distributed(12, (3, 5)[seed % 2], 2, seed, SHORT_BOUNDS, REGISTER_BOUNDS, make=make)
    for number, node in enumerate(world.nodes.values()):
        node.looked_up = [f"t{number % TENANTS}", f"t{(number + 5) % TENANTS}"]
    made = DistributionFaultInjector(world, faults, gap=gap)
    made.run()
    return made


def main(first: int, last: int, faults: int = 25) -> int:
    """Tries the seeds; 1 where one was broken."""
    broken, versions = 0, 0
    for seed in range(first, last):
        try:
            versions += max(run_random_faults(seed, faults).world.truth)
        except Broken as error:
            broken += 1
            print(f"seed {seed}: {error}", flush=True)
    count = last - first
    print(f"{count} storms of {faults} faults, {versions} versions in those that held, {broken} broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(*map(int, sys.argv[1:])))
