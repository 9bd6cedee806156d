"""Injects random faults into a simulated fleet of replicas."""

from random import Random

from basalthoist.fleet.verdicts import BAN, Verdict

from .replicas import UNITS_PER_SECOND, GuaranteeViolated, Replicas

KINDS = "kill", "lose", "freeze", "freeze", "split", "one way", "call", "call", "call", "slow"
LEADER_PROBABILITY = 0.4  # of a fault at the leader, which is more than its share of the nodes
BACKENDS = 4  # that operator calls ban or admit again


class FaultInjector:
    """Injects random faults. At most a minority of the voters lose memory and file at the same time."""

    def __init__(self, fleet: Replicas, faults: int) -> None:
        self.fleet: Replicas = fleet
        self.faults: int = faults
        self.rng: Random = fleet.rng
        self.calls: int = 0
        self.history: list[str] = []

    def run(self) -> None:
        """Injects all faults.

        Raises GuaranteeViolated if a guarantee is violated or the fleet does not recover soon.
        """
        fleet = self.fleet
        usual = fleet.loss, fleet.duplication, fleet.delay
        for _ in range(self.faults):
            self.inject_next(usual[2])
        fleet.loss, fleet.duplication, fleet.delay = usual
        self.repair()
        fleet.run(fleet.at + 12 * fleet.bounds.lease + 4 * fleet.bounds.stale)
        self.verify_recovery()

    def inject_next(self, usual_delay: tuple[int, int]) -> None:
        """Waits for a random time, then injects a random fault."""
        fleet, rng = self.fleet, self.rng
        fleet.run(fleet.at + int(rng.expovariate(1 / (0.7 * fleet.bounds.lease))))
        name = rng.choice(fleet.names)
        if rng.random() < LEADER_PROBABILITY:
            name = fleet.leader() or name
        kind, duration = rng.choice(KINDS), int(rng.choice((0.3, 1.0, 3.0)) * fleet.bounds.lease)
        at_s, duration_s = fleet.at / UNITS_PER_SECOND, duration / UNITS_PER_SECOND
        self.history.append(f"{at_s:.2f} {kind} {name} for {duration_s:.2f}")
        self.inject(kind, name, duration, usual_delay)

    def repair(self) -> None:
        """Ends all faults."""
        self.fleet.restore_links()
        for name, node in self.fleet.replica_nodes.items():
            if node.replica is None:
                self.fleet.restart(name)
            elif node.frozen:
                self.fleet.wake(name)

    def verify_recovery(self) -> None:
        """Raises GuaranteeViolated without a leader, or if the nodes do not all apply one version.

        That version has to be the acknowledged one or a later one.
        """
        fleet = self.fleet
        versions = {node.replica.sets.applied.version for node in fleet.replica_nodes.values()}
        if not fleet.leader() or len(versions) > 1:
            found = f"leader {fleet.leader()!r}, versions {sorted(versions)}"
            raise GuaranteeViolated(f"no recovery after the faults: {found}")
        if max(versions) < fleet.acknowledged:
            raise GuaranteeViolated(f"version {fleet.acknowledged} was acknowledged, {max(versions)} is left")

    def inject(self, kind: str, name: str, duration: int, usual_delay: tuple[int, int]) -> None:
        """Injects a fault at a node or, for kinds that concern no single node, on the links."""
        names = self.rng.sample(self.fleet.names, len(self.fleet.names))
        if kind in ("kill", "lose"):
            self.crash(name, duration, keeps=kind == "kill" or not self.may_lose_file(name))
        elif kind == "freeze" and self.fleet.replica_nodes[name].replica is not None:
            self.fleet.freeze(name)
            self.fleet.later(duration, (self.fleet.wake, name))
        elif kind == "split":
            self.split(names, duration)
        elif kind == "one way":
            self.cut_one_way(name, names, duration)
        elif kind == "call":
            self.call(name)
        elif kind == "slow":
            self.slow_links(usual_delay)

    def crash(self, name: str, duration: int, keeps: bool) -> None:
        """Kills a node and restarts it after `duration`, with its file if `keeps` is set."""
        incarnation = self.fleet.replica_nodes[name].incarnation
        self.fleet.kill(name)
        self.fleet.later(duration, (self.restart, name, incarnation, keeps))

    def split(self, names: list[str], duration: int) -> None:
        """Partitions the fleet into two or three sides."""
        first, second = sorted((self.rng.randrange(1, len(names)), self.rng.randrange(1, len(names))))
        sides = names[:first], names[first:second], names[second:]
        self.fleet.split(*[side for side in sides if side])
        self.fleet.later(duration, (self.fleet.restore_links,))

    def cut_one_way(self, name: str, names: list[str], duration: int) -> None:
        """Cuts one direction of the links between a node and some others."""
        rng = self.rng
        others = rng.sample([other for other in names if other != name], rng.randint(1, len(names) - 1))
        self.fleet.cut |= {(name, other) if rng.random() < 0.5 else (other, name) for other in others}
        self.fleet.later(duration, (self.fleet.restore_links,))

    def call(self, name: str) -> None:
        """Makes an operator call that bans a random backend or lifts the ban."""
        self.calls += 1
        change = Verdict(BAN, f"s{self.rng.randrange(BACKENDS)}", self.rng.random() < 0.6)
        self.fleet.call(name, self.calls, [change])

    def slow_links(self, usual_delay: tuple[int, int]) -> None:
        """Sets random loss, duplication and delay on all links."""
        fleet, rng, lease = self.fleet, self.rng, self.fleet.bounds.lease
        fleet.loss, fleet.duplication = rng.choice((0.0, 0.1, 0.3)), rng.choice((0.0, 0.3))
        fleet.delay = rng.choice((usual_delay, (2, lease // 2), (2, 2 * lease)))

    def restart(self, name: str, incarnation: int, keeps: bool) -> None:
        """Restarts a node, unless another fault has already done so."""
        if self.fleet.replica_nodes[name].incarnation == incarnation:
            self.fleet.restart(name, keeps)

    def may_lose_file(self, name: str) -> bool:
        """Returns whether the voters without their file stay a minority if this node loses its file."""
        voters = self.fleet.voters
        not_intact = [other for other in voters if other != name and not self.is_intact(other)]
        return len(not_intact) + 1 <= (len(voters) - 1) // 2

    def is_intact(self, name: str) -> bool:
        """Returns whether a voter still has everything that it has acknowledged."""
        replica = self.fleet.replica_nodes[name].replica
        return replica is not None and replica.voter.intact
