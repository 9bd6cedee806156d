"""Collects the result of each client call and computes the figures of a run."""

from math import ceil

from .events import SECOND
from .scenario import Scenario


def percentile(ordered: list[int], fraction: float) -> float:
    """Returns the `fraction` quantile by nearest rank, in milliseconds, of sorted tenths of a millisecond."""
    return ordered[max(ceil(fraction * len(ordered)) - 1, 0)] / 10 if ordered else 0.0


class Results:
    def __init__(self, scenario: Scenario, events) -> None:
        self.scenario, self.events = scenario, events
        self.measured_from = int(scenario.warmup_s * SECOND)
        length = ceil(scenario.length_s)
        names = ("offered", "in_time", "late", "shed", "failed")
        self.seconds = [dict.fromkeys(names, 0) for _ in range(length)]
        self.routes = [dict.fromkeys((*names, "value", "kept"), 0.0) for _ in scenario.routes]
        self.latencies: list[int] = []
        self.in_progress: dict[int, object] = {}

    def is_measured(self, client) -> bool:
        return client.arrived_at >= self.measured_from

    def add(self, client) -> None:
        self.in_progress[id(client)] = client
        self.seconds[client.arrived_at // SECOND]["offered"] += 1
        if self.is_measured(client):
            route = self.routes[client.route_number]
            route["offered"] += 1
            route["value"] += self.scenario.routes[client.route_number].value

    def end(self, client, result: str) -> None:
        self.in_progress.pop(id(client), None)
        duration = self.events.now - client.arrived_at
        route = self.scenario.routes[client.route_number]
        category = {"served": "in_time", "shed": "shed"}.get(result, "failed")
        if category == "in_time" and duration > 10 * route.objective_ms:
            category = "late"
        self.seconds[client.arrived_at // SECOND][category] += 1
        if self.is_measured(client):
            figures = self.routes[client.route_number]
            figures[category] += 1
            figures["kept"] += route.value * (category == "in_time")
            if result == "served":
                self.latencies.append(duration)

    def close(self) -> None:
        for client in list(self.in_progress.values()):
            self.end(client, "open")

    def figures(self) -> dict:
        value = sum(route["value"] for route in self.routes)
        offered = sum(route["offered"] for route in self.routes)
        self.latencies.sort()
        fractions = {category: sum(route[category] for route in self.routes) / max(offered, 1)
                 for category in ("in_time", "late", "shed", "failed")}  # fmt: skip
        worst = min((r["kept"] / r["value"] for r in self.routes if r["value"]), default=0.0)
        return {
            "offered": int(offered), "kept": sum(r["kept"] for r in self.routes) / value if value else 0.0,
            "worst_route": worst, **fractions, "p50_ms": percentile(self.latencies, 0.5),
            "p95_ms": percentile(self.latencies, 0.95), "p99_ms": percentile(self.latencies, 0.99),
            "mean_ms": sum(self.latencies) / len(self.latencies) / 10 if self.latencies else 0.0,
        }  # fmt: skip
