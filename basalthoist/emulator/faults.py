"""Fault injection: schedules the faults of a scenario, which may overlap."""

from .backends import Server
from .events import SECOND
from .scenario import Fault


class FaultTimeline:
    """Injects each fault with the method that is named for its kind."""

    def __init__(self, fleet) -> None:
        self.fleet, self.events, self.rng = fleet, fleet.events, fleet.rng("faults")
        for fault in fleet.scenario.faults:
            self.events.after(fault.at_s * SECOND, lambda fault=fault: getattr(self, fault.kind)(fault))

    def duration(self, fault: Fault) -> int:
        return int(fault.for_s * SECOND)

    def targets(self, fault: Fault) -> list[Server]:
        servers = [s for s in self.fleet.servers.values() if s.listed and s.alive]
        servers = [s for s in servers if fault.location is None or s.location == fault.location]
        count = max(round(fault.part * len(servers)), 1)
        return self.rng.sample(servers, min(count, len(servers)))

    def kill(self, fault: Fault) -> None:
        """Crashes backends and restarts them cold; the endpoint list follows after the discovery lag."""
        for server in self.targets(fault):
            self.fleet.kill(server)
            self.events.after(self.duration(fault), lambda server=server: self.fleet.revive(server))

    def freeze(self, fault: Fault) -> None:
        for server in self.targets(fault):
            server.freeze()
            self.events.after(self.duration(fault), server.thaw)

    def cut(self, fault: Fault) -> None:
        """Cuts off a location without resets: open connections fall silent, new ones time out."""
        location = fault.location or 0
        self.fleet.paths.cut(location)
        self.events.after(self.duration(fault), lambda: self.fleet.paths.restore(location))

    def slow(self, fault: Fault) -> None:
        def set_slow(server: Server, factor: float) -> None:
            server.slowdown *= factor

        for server in self.targets(fault):
            set_slow(server, fault.factor)
            self.events.after(self.duration(fault), lambda server=server: set_slow(server, 1 / fault.factor))

    def errors(self, fault: Fault) -> None:
        def set_success_rate(server: Server, success_rate: float) -> None:
            server.success_rate = success_rate

        for server in self.targets(fault):
            set_success_rate(server, 1 / fault.factor)
            self.events.after(self.duration(fault), lambda server=server: set_success_rate(server, 1.0))

    def drain(self, fault: Fault) -> None:
        """Drains backends; each is killed when the time is up and restarts cold one second later."""
        for server in self.targets(fault):
            self.fleet.drain(server)
            self.events.after(self.duration(fault), lambda server=server: self.restart_cold(server))

    def restart_cold(self, server: Server) -> None:
        self.fleet.kill(server)
        self.events.after(SECOND, lambda: self.fleet.revive(server))

    def replace(self, fault: Fault) -> None:
        """Rolls out replacements: successors under new names start, then predecessors drain."""
        servers = self.targets(fault)
        for position, server in enumerate(servers):
            self.events.after(
                position * self.duration(fault) / len(servers),
                lambda server=server: self.replace_server(server),
            )

    def replace_server(self, server: Server) -> None:
        if server.alive:
            self.fleet.add_successor(server)
            self.fleet.drain(server)
            wait = (self.fleet.scenario.discovery.lag_s + self.fleet.scenario.node.drain_grace_s) * SECOND
            self.events.after(wait, lambda: self.fleet.remove(server))

    def surge(self, fault: Fault) -> None:
        clients = self.fleet.clients
        clients.rate_factor *= fault.factor

        def end() -> None:
            clients.rate_factor /= fault.factor

        self.events.after(self.duration(fault), end)

    def stale(self, fault: Fault) -> None:
        """Holds back discovery updates for a while, then delivers them all at once."""
        self.fleet.discovery_paused_until = max(
            self.fleet.discovery_paused_until, self.events.now + self.duration(fault)
        )

    def kill_nodes(self, fault: Fault) -> None:
        nodes = [n for n in self.fleet.nodes if n.alive]
        nodes = [n for n in nodes if fault.location is None or n.location == fault.location]
        count = min(max(round(fault.part * len(nodes)), 1), len(nodes))
        for node in self.rng.sample(nodes, count):
            self.fleet.kill_node(node)
