"""Open-loop clients: they arrive at random, wait up to their timeout, and retry where that is safe."""

from math import log, sqrt
from random import Random

from .events import SECOND
from .scenario import Route


def work_of(route: Route, rng: Random) -> float:
    """Draws a request's service time on a warm backend of speed 1, in tenths of a millisecond."""
    mean = 10 * route.service_ms
    if route.distribution == "constant" or route.distribution == "lognormal" and not route.spread:
        return mean
    if route.distribution == "exponential":
        return rng.expovariate(1 / mean)
    sigma = sqrt(log(1 + route.spread**2))
    return mean * rng.lognormvariate(-sigma * sigma / 2, sigma)


class Client:
    """One client call: a first request and its retries, up to the client's timeout."""

    __slots__ = (
        "population",
        "route_number",
        "tenant",
        "work",
        "arrived_at",
        "attempts",
        "ident",
        "node",
        "ended",
        "abandon_after",
    )

    def __init__(
        self, population: "ClientPopulation", route_number: int, tenant: int, work: float, abandon_after: int
    ) -> None:
        self.population, self.route_number, self.tenant, self.work = population, route_number, tenant, work
        self.arrived_at, self.attempts, self.ident, self.node, self.ended = (
            population.events.now,
            0,
            0,
            None,
            False,
        )
        self.abandon_after = abandon_after

    def send_request(self) -> None:
        remaining = self.arrived_at + self.abandon_after - self.population.events.now
        if self.ended or remaining <= 0:
            return self.end("expired")
        self.node = self.population.fleet.node_for_client()
        self.attempts += 1
        if self.node is None or not self.node.alive:
            self.population.events.after(10, self.unreachable)
            return
        self.ident = self.population.next_ident()
        self.population.idents[self.ident] = self
        is_retry = self.attempts > 1
        timeout = self.population.timeouts[self.route_number]
        if self.abandon_after < timeout:
            self.population.events.after(remaining, self.give_up)
        time_left = self.arrived_at + timeout - self.population.events.now
        self.node.on_client_request(
            self, self.ident, self.route_number, self.tenant, time_left, self.work, is_retry
        )

    def give_up(self) -> None:
        if not self.ended:
            self.node.client_left(self.ident)
            self.end("left")

    def answered(self, result: str, retry_after: int) -> None:
        if result == "served":
            return self.end(result)
        safe_to_retry = result == "shed" or self.population.routes[self.route_number].semantics == "retriable"
        self.retry_or_end(result, safe_to_retry, retry_after)

    def unreachable(self) -> None:
        """Handles a dead node: the connection was refused, or reset while the request was open."""
        sent = self.ident and self.population.fleet.rule_checker.records[self.ident].sent
        safe_to_retry = not sent or self.population.routes[self.route_number].semantics == "retriable"
        self.retry_or_end("unreachable", safe_to_retry, 0)

    def retry_or_end(self, result: str, safe_to_retry: bool, retry_after: int) -> None:
        if self.ended:
            return
        if not safe_to_retry or self.attempts > self.population.load.retries:
            return self.end(result)
        backoff = max(retry_after, 10 * self.population.load.backoff_ms * 2 ** (self.attempts - 1))
        self.population.events.after(
            backoff * (0.5 + self.population.rng("backoff").random()), self.send_request
        )

    def end(self, result: str) -> None:
        if not self.ended:
            self.ended = True
            self.population.results.end(self, result)


class ClientPopulation:
    def __init__(self, fleet, results) -> None:
        self.fleet, self.results, self.events, self.rng = fleet, results, fleet.events, fleet.rng
        scenario = fleet.scenario
        self.load, self.routes = scenario.load, scenario.routes
        self.timeouts = [int(route.timeout_ms * 10) for route in scenario.routes]
        self.route_shares = [route.share for route in scenario.routes]
        self.tenant_shares = [tenant.share for tenant in scenario.customers]
        self.rate_factor, self.idents, self.last_ident = 1.0, {}, 0
        self.stop_at = int(scenario.length_s * SECOND)

    def next_ident(self) -> int:
        self.last_ident += 1
        return self.last_ident

    def start(self) -> None:
        self.events.after(self.gap(), self.arrive)

    def gap(self) -> float:
        return self.rng("arrivals").expovariate(self.load.rate * self.rate_factor / SECOND)

    def arrive(self) -> None:
        if self.events.now >= self.stop_at:
            return
        rng = self.rng("exchanges")
        route_number = rng.choices(range(len(self.routes)), self.route_shares)[0]
        tenant = (
            rng.choices(range(len(self.tenant_shares)), self.tenant_shares)[0] if self.tenant_shares else 0
        )
        timeout = self.timeouts[route_number]
        abandons = rng.random() < self.load.gives_up
        abandon_after = int(timeout * self.load.gives_up_after) if abandons else timeout
        client = Client(self, route_number, tenant, work_of(self.routes[route_number], rng), abandon_after)
        self.results.add(client)
        client.send_request()
        self.events.after(self.gap(), self.arrive)
