"""A run: nodes, backends, paths, discovery and clients put together under one clock."""

import zlib
from collections.abc import Callable
from random import Random

from basalthoist.decisions.balancer import Balancer
from basalthoist.decisions.interface import Endpoint

from .backends import Server
from .clients import Crowd
from .events import SECOND, Events
from .faults import Timeline
from .ledger import Ledger
from .network import Paths
from .nodes import EmulatedNode
from .results import Results
from .scenario import SEMANTICS, Kind, Scenario

MakePolicy = Callable[..., object]


class Fleet:
    make_server = Server

    def __init__(
        self, scenario: Scenario, make_policy: MakePolicy = Balancer, seed: int | None = None
    ) -> None:
        self.scenario, self.make_policy = scenario, make_policy
        self.seed = scenario.seed if seed is None else seed
        self.events, self.streams = Events(), {}
        self.ledger = Ledger(scenario)
        self.paths = Paths(scenario.network, self.rng("paths"))
        self.results = Results(scenario, self.events)
        self.connect_timeout = int(scenario.network.connect_timeout_ms * 10)
        self.servers: dict[str, Server] = {}
        self.told_from, self.last_server, self.noticed = 0, 0, {}
        self.travelling: dict[str, int] = {}
        for number in range(scenario.backends.count):
            self.add_server(number % scenario.locations, self.kind_no(number))
        self.crowd = Crowd(self, self.results)
        self.nodes = [EmulatedNode(self, i, i % scenario.locations) for i in range(scenario.nodes)]
        self.known = [self.listed() for _ in self.nodes]
        for node in self.nodes:
            node.start(self.known[node.number])
        Timeline(self)

    def rng(self, purpose: str) -> Random:
        """A stream for each purpose: all policies meet the same arrivals and faults."""
        if purpose not in self.streams:
            self.streams[purpose] = Random(self.seed << 32 | zlib.crc32(purpose.encode()))
        return self.streams[purpose]

    def run(self) -> "Fleet":
        self.crowd.start()
        longest = max(route.timeout_ms for route in self.scenario.routes) / 1000
        self.events.run(int((self.scenario.length_s + longest + 1) * SECOND))
        self.results.close()
        return self

    # Backends.

    def under_way(self, name: str) -> int:
        """Sent and not yet there, over all nodes."""
        return self.travelling.get(name, 0)

    def kind_no(self, number: int) -> int:
        kinds = self.scenario.backends.kinds
        whole, at = sum(kind.share for kind in kinds), 0.0
        spot = (number * 0.618034 % 1.0) * whole
        for kind_no, kind in enumerate(kinds):
            at += kind.share
            if spot < at:
                return kind_no
        return len(kinds) - 1

    def add_server(self, location: int, kind_no: int) -> Server:
        number, self.last_server = self.last_server, self.last_server + 1
        of, kind = self.scenario.backends, self.kind(kind_no)
        pod = number // self.scenario.locations // of.pod_size * self.scenario.locations + location
        server = self.make_server(self.events, f"s-{number}", location, pod, kind, kind_no, of,
                                  self.rng("backends"), self.ran, self.fell)  # fmt: skip
        self.servers[server.name] = server
        return server

    def kind(self, number: int) -> Kind:
        return self.scenario.backends.kinds[number]

    def ran(self, ident: int, server: str) -> None:
        self.ledger.ran(self.events.now, ident, server)

    def fell(self, server: Server) -> None:
        self.ledger.fell(self.events.now, server.name)
        server.die()

    def kill(self, server: Server) -> None:
        if server.alive:
            server.die()
            self.tell([server.entry("gone")])

    def revive(self, server: Server) -> None:
        if not server.alive and server.listed:
            server.start()
            self.tell([server.entry()])

    def drain(self, server: Server) -> None:
        if server.alive and not server.draining:
            server.draining = True
            self.tell([server.entry("draining")])

    def remove(self, server: Server) -> None:
        server.listed = False
        if server.alive:
            server.die()
        self.tell([server.entry("gone")])

    def add_successor(self, server: Server) -> None:
        successor = self.add_server(server.location, server.kind_no)
        successor.pod = server.pod
        successor.start()
        self.tell([successor.entry()])

    # Discovery.

    def listed(self) -> list[Endpoint]:
        return [s.entry() for s in self.servers.values() if s.listed and s.alive]

    def tell(self, entries: list[Endpoint]) -> None:
        """Each node hears of it late, in order, and by a time of its own."""
        discovery, rng = self.scenario.discovery, self.rng("discovery")
        for node in self.nodes if hasattr(self, "nodes") else ():
            wait = (discovery.lag_s + discovery.spread_s * rng.random()) * SECOND
            at = max(self.events.now + int(wait), self.told_from, self.noticed.get(node.number, 0))
            self.noticed[node.number] = at
            self.events.after(at - self.events.now, lambda node=node: self.told(node, entries))

    def told(self, node: EmulatedNode, entries: list[Endpoint]) -> None:
        known = {entry.name: entry for entry in self.known[node.number]}
        for entry in entries:
            known[entry.name] = entry
            if entry.state == "gone":
                del known[entry.name]
        self.known[node.number] = list(known.values())
        if node.alive:
            node.on_endpoint_list(entries, False)

    # Nodes.

    def node_for_client(self) -> EmulatedNode | None:
        """The front deals connections out; it notices late that a node has died."""
        front = [n for n in self.nodes if n.alive or self.events.now < getattr(n, "seen_until", 0)]
        return self.rng("front").choice(front) if front else None

    def kill_node(self, node: EmulatedNode) -> None:
        if node.alive:
            node.kill()
            node.seen_until = self.events.now + int(self.scenario.node.notice_s * SECOND)
            restart = int(self.scenario.node.restart_s * SECOND)
            self.events.after(restart, lambda: node.alive or node.start(self.known[node.number]))

    def settings_of(self, node: EmulatedNode) -> dict:
        """The settings with the decisions' keys, as `settings_codec` makes them for a real node."""
        scenario, of = self.scenario, self.scenario.node
        found = {
            "nodes": scenario.nodes, "me": node.number, "zone": node.location, "tick": 1,
            "routes.count": len(scenario.routes), "tenants.count": len(scenario.customers),
            "policy_limits.max_upstream_tries": of.tries, "policy_limits.parallel_tries": of.parallel,
            "policy_limits.cancel": True, "policy_limits.probes": of.probes, "policy_limits.peers": of.peers,
            "prices.probe": of.probe_price, "prices.peer": of.peer_price, "prices.cross_zone": of.cross_price,
            "rules.drain_grace": int(of.drain_grace_s * SECOND),
            "rules.warm_within": int(scenario.backends.warm_s * SECOND),
            "rules.cold_from": scenario.backends.cold_from,
            "rules.fall_multiple": scenario.backends.fall_multiple or 3.0,
            "rules.overload_for": int(scenario.backends.fall_s * SECOND),
            "feedback.fields": ["inflight", "queue", "util"] if scenario.backends.reports else [],
        }  # fmt: skip
        for number, route in enumerate(scenario.routes):
            found |= {f"routes.{number}.{key}": value for key, value in {
                "semantics": SEMANTICS[route.semantics], "group": "cell", "value": route.value,
                "dedup_window": 10 * SECOND, "latency_objective": int(10 * route.objective_ms),
                "overall_timeout": int(10 * route.timeout_ms),
            }.items()}  # fmt: skip
        for number, customer in enumerate(scenario.customers):
            found[f"tenants.{number}.quota_per_s"] = customer.quota_per_s
        return found

    def report(self) -> dict:
        counts = {name: sum(node.counts[name] for node in self.nodes) for name in self.nodes[0].counts}
        rules = self.ledger.verdict()
        return {
            "scenario": self.scenario.name, "seed": self.seed, "figures": self.results.figures(),
            "rules": rules, "kept_rules": not any(rules.values()), "counts": counts,
            "breaks": {rule: found[:5] for rule, found in self.ledger.broken.items() if found},
            "seconds": self.results.seconds, "events": self.events.happened,
        }  # fmt: skip
