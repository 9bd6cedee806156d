"""Runs a scenario: nodes, backends, paths, discovery and clients on one simulated clock."""

import zlib
from collections.abc import Callable
from random import Random

from basalthoist.decisions.balancer import Balancer
from basalthoist.decisions.interface import Endpoint

from .backends import Server
from .clients import ClientPopulation
from .events import SECOND, Events
from .faults import FaultTimeline
from .network import Paths
from .nodes import EmulatedNode
from .results import Results
from .rule_checker import RuleChecker
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
        self.rule_checker = RuleChecker(scenario)
        self.paths = Paths(scenario.network, self.rng("paths"))
        self.results = Results(scenario, self.events)
        self.connect_timeout = int(scenario.network.connect_timeout_ms * 10)
        self.servers: dict[str, Server] = {}
        self.discovery_paused_until, self.server_count, self.last_update_at = 0, 0, {}
        self.in_transit: dict[str, int] = {}
        for number in range(scenario.backends.count):
            self.add_server(number % scenario.locations, self.kind_no(number))
        self.clients = ClientPopulation(self, self.results)
        self.nodes = [EmulatedNode(self, i, i % scenario.locations) for i in range(scenario.nodes)]
        self.known_endpoints = [self.listed() for _ in self.nodes]
        for node in self.nodes:
            node.start(self.known_endpoints[node.number])
        FaultTimeline(self)

    def rng(self, purpose: str) -> Random:
        """Returns the random stream of this purpose; separate streams give all policies the same arrivals."""
        if purpose not in self.streams:
            self.streams[purpose] = Random(self.seed << 32 | zlib.crc32(purpose.encode()))
        return self.streams[purpose]

    def run(self) -> "Fleet":
        self.clients.start()
        longest = max(route.timeout_ms for route in self.scenario.routes) / 1000
        self.events.run(int((self.scenario.length_s + longest + 1) * SECOND))
        self.results.close()
        return self

    # Backends.

    def in_transit_to(self, name: str) -> int:
        """Returns the number of requests on their way to a backend, from all nodes."""
        return self.in_transit.get(name, 0)

    def kind_no(self, number: int) -> int:
        kinds = self.scenario.backends.kinds
        total, at = sum(kind.share for kind in kinds), 0.0
        position = (number * 0.618034 % 1.0) * total
        for kind_no, kind in enumerate(kinds):
            at += kind.share
            if position < at:
                return kind_no
        return len(kinds) - 1

    def add_server(self, location: int, kind_no: int) -> Server:
        number, self.server_count = self.server_count, self.server_count + 1
        settings, kind = self.scenario.backends, self.kind(kind_no)
        pod = number // self.scenario.locations // settings.pod_size * self.scenario.locations + location
        server = self.make_server(self.events, f"s-{number}", location, pod, kind, kind_no, settings,
                                  self.rng("backends"), self.on_execution,
                                  self.on_overload_crash)  # fmt: skip
        self.servers[server.name] = server
        return server

    def kind(self, number: int) -> Kind:
        return self.scenario.backends.kinds[number]

    def on_execution(self, ident: int, server: str) -> None:
        self.rule_checker.on_execution(self.events.now, ident, server)

    def on_overload_crash(self, server: Server) -> None:
        self.rule_checker.on_overload_crash(self.events.now, server.name)
        server.crash()

    def kill(self, server: Server) -> None:
        if server.alive:
            server.crash()
            self.publish([server.entry("gone")])

    def revive(self, server: Server) -> None:
        if not server.alive and server.listed:
            server.start()
            self.publish([server.entry()])

    def drain(self, server: Server) -> None:
        if server.alive and not server.draining:
            server.draining = True
            self.publish([server.entry("draining")])

    def remove(self, server: Server) -> None:
        server.listed = False
        if server.alive:
            server.crash()
        self.publish([server.entry("gone")])

    def add_successor(self, server: Server) -> None:
        successor = self.add_server(server.location, server.kind_no)
        successor.pod = server.pod
        successor.start()
        self.publish([successor.entry()])

    # Discovery.

    def listed(self) -> list[Endpoint]:
        return [s.entry() for s in self.servers.values() if s.listed and s.alive]

    def publish(self, entries: list[Endpoint]) -> None:
        """Delivers an update to each node, in order, after the discovery lag and a random spread."""
        discovery, rng = self.scenario.discovery, self.rng("discovery")
        for node in self.nodes if hasattr(self, "nodes") else ():
            wait = (discovery.lag_s + discovery.spread_s * rng.random()) * SECOND
            at = max(
                self.events.now + int(wait),
                self.discovery_paused_until,
                self.last_update_at.get(node.number, 0),
            )
            self.last_update_at[node.number] = at
            self.events.after(at - self.events.now, lambda node=node: self.deliver_update(node, entries))

    def deliver_update(self, node: EmulatedNode, entries: list[Endpoint]) -> None:
        known = {entry.name: entry for entry in self.known_endpoints[node.number]}
        for entry in entries:
            known[entry.name] = entry
            if entry.state == "gone":
                del known[entry.name]
        self.known_endpoints[node.number] = list(known.values())
        if node.alive:
            node.on_endpoint_list(entries, False)

    # Nodes.

    def node_for_client(self) -> EmulatedNode | None:
        """Chooses a node at random, as the front end does. A dead node stays in the choice for `notice_s`."""
        reachable = [
            n for n in self.nodes if n.alive or self.events.now < getattr(n, "appears_alive_until", 0)
        ]
        return self.rng("front").choice(reachable) if reachable else None

    def kill_node(self, node: EmulatedNode) -> None:
        if node.alive:
            node.kill()
            node.appears_alive_until = self.events.now + int(self.scenario.node.notice_s * SECOND)
            restart = int(self.scenario.node.restart_s * SECOND)
            self.events.after(restart, lambda: node.alive or node.start(self.known_endpoints[node.number]))

    def settings_of(self, node: EmulatedNode) -> dict:
        """Returns the policy settings by key, as `settings_codec` makes them for a real node."""
        scenario, node_keys = self.scenario, self.scenario.node
        settings = {
            "nodes": scenario.nodes, "me": node.number, "zone": node.location, "tick": 1,
            "routes.count": len(scenario.routes), "tenants.count": len(scenario.customers),
            "policy_limits.max_upstream_tries": node_keys.tries,
            "policy_limits.parallel_tries": node_keys.parallel,
            "policy_limits.cancel": True, "policy_limits.probes": node_keys.probes,
            "policy_limits.peers": node_keys.peers,
            "prices.probe": node_keys.probe_price, "prices.peer": node_keys.peer_price,
            "prices.cross_zone": node_keys.cross_price,
            "rules.drain_grace": int(node_keys.drain_grace_s * SECOND),
            "rules.warm_within": int(scenario.backends.warm_s * SECOND),
            "rules.cold_from": scenario.backends.cold_from,
            "rules.fall_multiple": scenario.backends.fall_multiple or 3.0,
            "rules.overload_for": int(scenario.backends.fall_s * SECOND),
            "feedback.fields": ["inflight", "queue", "util"] if scenario.backends.reports else [],
        }  # fmt: skip
        for number, route in enumerate(scenario.routes):
            settings |= {f"routes.{number}.{key}": value for key, value in {
                "semantics": SEMANTICS[route.semantics], "group": "cell", "value": route.value,
                "dedup_window": 10 * SECOND, "latency_objective": int(10 * route.objective_ms),
                "overall_timeout": int(10 * route.timeout_ms),
            }.items()}  # fmt: skip
        for number, tenant in enumerate(scenario.customers):
            settings[f"tenants.{number}.quota_per_s"] = tenant.quota_per_s
        return settings

    def report(self) -> dict:
        counts = {name: sum(node.counts[name] for node in self.nodes) for name in self.nodes[0].counts}
        violations = self.rule_checker.violation_counts()
        return {
            "scenario": self.scenario.name, "seed": self.seed, "figures": self.results.figures(),
            "rules": violations, "kept_rules": not any(violations.values()), "counts": counts,
            "breaks": {rule: texts[:5] for rule, texts in self.rule_checker.violations.items() if texts},
            "seconds": self.results.seconds, "events": self.events.processed,
        }  # fmt: skip
