"""Fault injection at random on a fleet of replicas in simulated time."""

from random import Random

from basalthoist.fleet.verdicts import BAN, Verdict

from .replicas import UNITS_PER_SECOND, Broken, Replicas

KINDS = "kill", "lose", "freeze", "freeze", "split", "one way", "call", "call", "call", "slow"
LEADER_PROBABILITY = 0.4  # that a fault meets the leader: more often than its number says
SUBJECTS = 4  # of operators' calls


class FaultInjector:
    """Faults by rng. Memory and file are lost together by a minority of the voters at most."""

    def __init__(self, fleet: Replicas, faults: int) -> None:
        self.fleet: Replicas = fleet
        self.faults: int = faults
        self.rng: Random = fleet.rng
        self.calls: int = 0
        self.history: list[str] = []

    def run(self) -> None:
        """Raises Broken where a promise is not kept, also that all is well soon after the last fault."""
        fleet = self.fleet
        usual = fleet.loss, fleet.double, fleet.delay
        for _ in range(self.faults):
            self.inject_next(usual[2])
        fleet.loss, fleet.double, fleet.delay = usual
        self.repair()
        fleet.run(fleet.at + 12 * fleet.bounds.lease + 4 * fleet.bounds.stale)
        self.judge_recovery()

    def inject_next(self, usual_delay: tuple[int, int]) -> None:
        """Waits for a while and injects a fault."""
        fleet, draw = self.fleet, self.rng
        fleet.run(fleet.at + int(draw.expovariate(1 / (0.7 * fleet.bounds.lease))))
        name = draw.choice(fleet.names)
        if draw.random() < LEADER_PROBABILITY:
            name = fleet.leader() or name
        kind, lasts = draw.choice(KINDS), int(draw.choice((0.3, 1.0, 3.0)) * fleet.bounds.lease)
        at, duration = fleet.at / UNITS_PER_SECOND, lasts / UNITS_PER_SECOND
        self.history.append(f"{at:.2f} {kind} {name} for {duration:.2f}")
        self.inject(kind, name, lasts, usual_delay)

    def repair(self) -> None:
        """Ends all faults."""
        self.fleet.heal()
        for name, node in self.fleet.replica_nodes.items():
            if node.replica is None:
                self.fleet.restart(name)
            elif node.frozen:
                self.fleet.wake(name)

    def judge_recovery(self) -> None:
        """Raises Broken unless there is a leader, and all nodes apply one version that nothing is lost of."""
        fleet = self.fleet
        versions = {node.replica.sets.applied.version for node in fleet.replica_nodes.values()}
        if not fleet.leader() or len(versions) > 1:
            found = f"leader {fleet.leader()!r}, versions {sorted(versions)}"
            raise Broken(f"no recovery after the faults: {found}")
        if max(versions) < fleet.acknowledged:
            raise Broken(f"version {fleet.acknowledged} was acknowledged, {max(versions)} is left")

    def inject(self, kind: str, name: str, lasts: int, usual_delay: tuple[int, int]) -> None:
        """Injects one fault at that node, or where it has none of its own on the links."""
        names = self.rng.sample(self.fleet.names, len(self.fleet.names))
        if kind in ("kill", "lose"):
            self.crash(name, lasts, keeps=kind == "kill" or not self.may_lose(name))
        elif kind == "freeze" and self.fleet.replica_nodes[name].replica is not None:
            self.fleet.freeze(name)
            self.fleet.later(lasts, (self.fleet.wake, name))
        elif kind == "split":
            self.split(names, lasts)
        elif kind == "one way":
            self.cut_one_way(name, names, lasts)
        elif kind == "call":
            self.call(name)
        elif kind == "slow":
            self.slow_links(usual_delay)

    def crash(self, name: str, lasts: int, keeps: bool) -> None:
        """Ends the node, for so long; without its file afterwards unless it `keeps` that."""
        incarnation = self.fleet.replica_nodes[name].incarnation
        self.fleet.kill(name)
        self.fleet.later(lasts, (self.restart, name, incarnation, keeps))

    def split(self, names: list[str], lasts: int) -> None:
        """Cuts the fleet into two or three sides."""
        first, second = sorted((self.rng.randrange(1, len(names)), self.rng.randrange(1, len(names))))
        sides = names[:first], names[first:second], names[second:]
        self.fleet.split(*[side for side in sides if side])
        self.fleet.later(lasts, (self.fleet.heal,))

    def cut_one_way(self, name: str, names: list[str], lasts: int) -> None:
        """Cuts links of the node to some others, or of these to it."""
        draw = self.rng
        others = draw.sample([other for other in names if other != name], draw.randint(1, len(names) - 1))
        self.fleet.cut |= {(name, other) if draw.random() < 0.5 else (other, name) for other in others}
        self.fleet.later(lasts, (self.fleet.heal,))

    def call(self, name: str) -> None:
        """An operator bans a backend or takes that back."""
        self.calls += 1
        change = Verdict(BAN, f"s{self.rng.randrange(SUBJECTS)}", self.rng.random() < 0.6)
        self.fleet.call(name, self.calls, [change])

    def slow_links(self, usual_delay: tuple[int, int]) -> None:
        """Links lose, double and delay messages from now on."""
        fleet, draw, lease = self.fleet, self.rng, self.fleet.bounds.lease
        fleet.loss, fleet.double = draw.choice((0.0, 0.1, 0.3)), draw.choice((0.0, 0.3))
        fleet.delay = draw.choice((usual_delay, (2, lease // 2), (2, 2 * lease)))

    def restart(self, name: str, incarnation: int, keeps: bool) -> None:
        """The node comes back, unless it has meanwhile."""
        if self.fleet.replica_nodes[name].incarnation == incarnation:
            self.fleet.restart(name, keeps)

    def may_lose(self, name: str) -> bool:
        """Whether the node may lose its file, as those that have lost theirs stay a minority."""
        voters = self.fleet.voters
        gone = [other for other in voters if other != name and not self.is_intact(other)]
        return len(gone) + 1 <= (len(voters) - 1) // 2

    def is_intact(self, name: str) -> bool:
        """Whether that voter has all that it has acknowledged."""
        replica = self.fleet.replica_nodes[name].replica
        return replica is not None and replica.voter.intact
