"""The timeline of faults: each begins and ends by itself, and they overlap as the scenario says."""

from .backends import Server
from .events import SECOND
from .scenario import Fault


class Timeline:
    def __init__(self, fleet) -> None:
        self.fleet, self.events, self.rng = fleet, fleet.events, fleet.rng("faults")
        for fault in fleet.scenario.faults:
            self.events.after(fault.at_s * SECOND, lambda fault=fault: getattr(self, fault.kind)(fault))

    def lasts(self, fault: Fault) -> int:
        return int(fault.for_s * SECOND)

    def met(self, fault: Fault) -> list[Server]:
        fleet = [s for s in self.fleet.servers.values() if s.listed and s.alive]
        fleet = [s for s in fleet if fault.location is None or s.location == fault.location]
        count = max(round(fault.part * len(fleet)), 1)
        return self.rng.sample(fleet, min(count, len(fleet)))

    def kill(self, fault: Fault) -> None:
        """Processes die and come back cold; the list says so late."""
        for server in self.met(fault):
            self.fleet.kill(server)
            self.events.after(self.lasts(fault), lambda server=server: self.fleet.revive(server))

    def freeze(self, fault: Fault) -> None:
        for server in self.met(fault):
            server.freeze()
            self.events.after(self.lasts(fault), server.thaw)

    def cut(self, fault: Fault) -> None:
        """A location is cut off and says nothing: open connections stay silent, new ones never come up."""
        location = fault.location or 0
        self.fleet.paths.cut(location)
        self.events.after(self.lasts(fault), lambda: self.fleet.paths.mend(location))

    def slow(self, fault: Fault) -> None:
        def set_slow(server: Server, by: float) -> None:
            server.slow *= by

        for server in self.met(fault):
            set_slow(server, fault.factor)
            self.events.after(self.lasts(fault), lambda server=server: set_slow(server, 1 / fault.factor))

    def errors(self, fault: Fault) -> None:
        def set_good(server: Server, good: float) -> None:
            server.good = good

        for server in self.met(fault):
            set_good(server, 1 / fault.factor)
            self.events.after(self.lasts(fault), lambda server=server: set_good(server, 1.0))

    def drain(self, fault: Fault) -> None:
        """Each drains, ends when it has finished or when the time is up, and comes back cold."""
        for server in self.met(fault):
            self.fleet.drain(server)
            self.events.after(self.lasts(fault), lambda server=server: self.renew(server))

    def renew(self, server: Server) -> None:
        self.fleet.kill(server)
        self.events.after(SECOND, lambda: self.fleet.revive(server))

    def replace(self, fault: Fault) -> None:
        """A rolling replacement: successors under new names come first, then theirs drain and go."""
        servers = self.met(fault)
        for turn, server in enumerate(servers):
            self.events.after(
                turn * self.lasts(fault) / len(servers), lambda server=server: self.succeed(server)
            )

    def succeed(self, server: Server) -> None:
        if server.alive:
            self.fleet.add_successor(server)
            self.fleet.drain(server)
            wait = (self.fleet.scenario.discovery.lag_s + self.fleet.scenario.node.drain_grace_s) * SECOND
            self.events.after(wait, lambda: self.fleet.remove(server))

    def surge(self, fault: Fault) -> None:
        crowd = self.fleet.crowd
        crowd.factor *= fault.factor

        def ends() -> None:
            crowd.factor /= fault.factor

        self.events.after(self.lasts(fault), ends)

    def stale(self, fault: Fault) -> None:
        """Discovery tells nothing for a while, and then all at once."""
        self.fleet.told_from = max(self.fleet.told_from, self.events.now + self.lasts(fault))

    def kill_nodes(self, fault: Fault) -> None:
        nodes = [n for n in self.fleet.nodes if n.alive]
        nodes = [n for n in nodes if fault.location is None or n.location == fault.location]
        count = min(max(round(fault.part * len(nodes)), 1), len(nodes))
        for node in self.rng.sample(nodes, count):
            self.fleet.kill_node(node)
