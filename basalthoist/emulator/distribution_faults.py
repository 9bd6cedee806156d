"""Injects random faults into the simulated distribution.

`python -m basalthoist.emulator.distribution_faults FIRST LAST` runs the seeds from FIRST to LAST - 1.
"""

import sys

from basalthoist.distribution.bounds import Bounds
from basalthoist.distribution.catalogue import Entry
from basalthoist.fleet.bounds import Bounds as FleetBounds

from .distributed import Distributed, Node, SimulatedProcess, route, tenant
from .replicas import GuaranteeViolated

# Short times, so that a run covers many events; clocks drift by up to 10%.
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
RESTARTS = "kill", "die", "lose", "torn", "reverted"  # kinds that restart the process
FAULT_DURATIONS = 0.3, 1.0, 3.0  # in leases
MEAN_GAPS = 0.7, 2.0, 5.0  # between two faults, in leases
DelayRange = tuple[int, int]  # shortest and longest delay of a message


class DistributionFaultInjector:
    """Injects random faults. At most a minority of the voters lose memory and file at the same time."""

    def __init__(
        self, world: Distributed, faults: int, call_probability: float = 0.5, gap: float = 0.0
    ) -> None:
        self.world = world
        self.faults = faults
        self.rng = world.rng
        self.call_probability = call_probability
        self.injected: list[str] = []  # faults so far, for the analysis of a failure
        self.gap: float = gap or self.rng.choice(MEAN_GAPS)
        self.last_call = 0

    def run(self) -> None:
        """Injects all faults.

        Raises GuaranteeViolated if a guarantee is violated or the world does not recover soon.
        """
        world, rng = self.world, self.rng
        usual_delay = world.delay
        names, gap_mean = [*world.by_name], self.gap * world.bounds.lease
        world.run(world.at + 4 * world.bounds.lease)
        self.call()
        for _ in range(self.faults):
            gap = int(rng.expovariate(1 / gap_mean))
            for _ in range(3):
                world.run(world.at + gap // 3)
                if rng.random() < self.call_probability:
                    self.call()
            name = self.draw_process(names)
            kind, duration = rng.choice(KINDS), int(rng.choice(FAULT_DURATIONS) * world.bounds.lease)
            self.injected.append(f"{world.at / 10_000:.2f} {kind} {name} for {duration / 10_000:.2f}")
            self.inject(kind, name, duration, usual_delay)
        self.settle(usual_delay)

    def draw_process(self, names: list[str]) -> str:
        """Returns a random process; voters, leader and relays are drawn more often than their share."""
        world, rng = self.world, self.rng
        name = rng.choice(names)
        if rng.random() < 0.5:
            return rng.choice([*world.voters, world.author() or world.voters[0]])
        if rng.random() < 0.5:
            return rng.choice([machine.name for machine in world.machines.values()])
        return name

    def settle(self, usual_delay: DelayRange) -> None:
        """Ends all faults. Raises GuaranteeViolated if the world does not recover soon."""
        world = self.world
        world.delay = usual_delay
        world.end_separations()
        for name, process in world.by_name.items():
            if not process.alive:
                world.restart(name)
            elif process.frozen:
                world.wake(name)
        world.run(world.at + 8 * world.bounds.lease + 2 * world.distribution_bounds.stale)
        world.verify_settled()

    def call(self) -> None:
        """Makes an operator call at a random machine: first services, then route and tenant changes."""
        world, rng = self.world, self.rng
        self.last_call += 1
        at = rng.choice([machine.name for machine in world.machines.values()])
        if self.last_call == 1:
            entries = [*world.relay_entries, *(Entry("service", name, name) for name in world.services)]
            entries += [tenant(f"t{number}", 1.0) for number in range(TENANTS)]
        else:
            entries = [self.draw_route() for _ in range(rng.randint(0, 3))]
            entries += [tenant(f"t{rng.randrange(TENANTS)}", rng.randrange(9), rng.random() < 0.7)]
        world.operator_call(at, self.last_call, entries)

    def draw_route(self) -> Entry:
        """Returns a random change of a route: set in some service, or removed."""
        rng = self.rng
        name, service = f"x{rng.randrange(ROUTES)}", rng.choice(self.world.services)
        return route(name, service, rng.randrange(9), rng.random() < 0.7)

    def inject(self, kind: str, name: str, duration: int, usual_delay: DelayRange) -> None:
        """Injects a fault of one of KINDS at a process or, for some kinds, at a region or on all links."""
        world, process = self.world, self.world.by_name[name]
        match kind:
            case "freeze" if process.alive:
                world.freeze(name)
                world.later(duration, (world.wake, name))
            case "region" if len(world.regions) > 1:
                world.separated_regions.add(frozenset(self.rng.sample(world.regions, 2)))
                world.later(duration, (world.end_separations,))
            case "alone":
                world.isolate(name)
                world.later(duration, (world.rejoin, name))
            case "break":
                self.break_connections(process)
            case "slow":
                lease = world.bounds.lease
                world.delay = self.rng.choice((usual_delay, (2, lease // 4), (2, lease)))
            case "zone":
                self.restart_region(duration)
            case _ if kind in RESTARTS:
                self.stop(kind, process, duration)

    def break_connections(self, process: SimulatedProcess) -> None:
        """Breaks all connections of a process."""
        for connection in list(self.world.connections):
            if process in connection.ends:
                connection.break_off()

    def restart_region(self, duration: int) -> None:
        """Kills all nodes of a region at once and restarts them together, some without their files."""
        world, region = self.world, self.rng.choice(self.world.regions)
        for node in world.nodes.values():
            if node.region == region:
                world.kill(node.name)
                keeps = self.rng.random() < 0.5
                world.later(duration, (self.restart, node.name, node.incarnation, keeps))

    def stop(self, kind: str, process: SimulatedProcess, duration: int) -> None:
        """Kills a process and restarts it later, possibly with its file lost, corrupted or reverted."""
        world, name = self.world, process.name
        keeps = kind != "lose" or not self.may_lose_file(name)
        if isinstance(process, Node) and process.alive:
            process.save()
        world.kill(name, silent=kind == "die")
        if kind in ("torn", "reverted") and process.files and self.may_lose_file(name):
            (self.corrupt if kind == "torn" else self.revert)(process)
        world.later(duration, (self.restart, name, process.incarnation, keeps))

    def corrupt(self, process: SimulatedProcess) -> None:
        """Truncates the file of a process, or changes one byte."""
        at, data = self.rng.randrange(len(process.files[-1])), process.files[-1]
        truncated = self.rng.random() < 0.5
        process.files[-1] = data[:at] if truncated else data[:at] + b"?" + data[at + 1 :]

    def revert(self, process: SimulatedProcess) -> None:
        """Replaces the file of a process by an earlier one."""
        process.files = process.files[: self.rng.randint(1, len(process.files))]

    def restart(self, name: str, incarnation: int, keeps: bool) -> None:
        """Restarts a process, unless another fault has already done so."""
        process = self.world.by_name[name]
        if process.incarnation == incarnation and not process.alive:
            self.world.restart(name, keeps)

    def may_lose_file(self, name: str) -> bool:
        """Returns whether voters without all committed state stay a minority if this file is lost."""
        world = self.world
        if name not in world.voters:
            return True
        incomplete = [other for other in world.voters if other != name and not self.has_all_committed(other)]
        return len(incomplete) + 1 <= (len(world.voters) - 1) // 2

    def has_all_committed(self, name: str) -> bool:
        """Returns whether a voter's replica and store have everything that is, or may be, committed."""
        replica, machine = self.world.replica_nodes[name].replica, self.world.by_name[name]
        stores = [other.store for other in self.world.machines.values()]
        latest = max(max(self.world.truth), *(store.pending_version for store in stores))
        own = max(machine.store.version, machine.store.pending_version)
        return replica is not None and replica.voter.intact and machine.alive and own >= latest


def run_random_faults(
    seed: int, faults: int, gap: float = 0.0, make: dict[str, type] | None = None
) -> DistributionFaultInjector:
    """Runs random faults on a new world and returns the injector. Raises GuaranteeViolated."""
    world = Distributed(12, (3, 5)[seed % 2], 2, seed, SHORT_BOUNDS, REGISTER_BOUNDS, make=make)
    for number, node in enumerate(world.nodes.values()):
        node.looked_up = [f"t{number % TENANTS}", f"t{(number + 5) % TENANTS}"]
    injector = DistributionFaultInjector(world, faults, gap=gap)
    injector.run()
    return injector


def main(first: int, last: int, faults: int = 25) -> int:
    """Runs the seeds and prints a summary; returns 1 if a run raised GuaranteeViolated, else 0."""
    broken, versions = 0, 0
    for seed in range(first, last):
        try:
            versions += max(run_random_faults(seed, faults).world.truth)
        except GuaranteeViolated as error:
            broken += 1
            print(f"seed {seed}: {error}", flush=True)
    count = last - first
    print(
        f"{count} runs of {faults} faults: {versions} versions in the successful runs, {broken} runs failed"
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(*map(int, sys.argv[1:])))
