"""Open-loop clients: they come by rng, wait no longer than they said, try again where it is harmless."""

from math import log, sqrt
from random import Random

from .events import SECOND
from .scenario import Route


def work_of(route: Route, rng: Random) -> float:
    """Tenths of a millisecond on a warm backend of speed 1, drawn once for an exchange."""
    mean = 10 * route.service_ms
    if route.distribution == "constant" or route.distribution == "lognormal" and not route.spread:
        return mean
    if route.distribution == "exponential":
        return rng.expovariate(1 / mean)
    sigma = sqrt(log(1 + route.spread**2))
    return mean * rng.lognormvariate(-sigma * sigma / 2, sigma)


class Client:
    """One client's wish: a first try and what follows, up to its time-out."""

    __slots__ = (
        "crowd",
        "route_number",
        "customer",
        "work",
        "came_at",
        "tries",
        "ident",
        "node",
        "ended",
        "patience",
    )

    def __init__(self, crowd: "Crowd", route_number: int, customer: int, work: float, patience: int) -> None:
        self.crowd, self.route_number, self.customer, self.work = crowd, route_number, customer, work
        self.came_at, self.tries, self.ident, self.node, self.ended = crowd.events.now, 0, 0, None, False
        self.patience = patience

    def ask(self) -> None:
        left = self.came_at + self.patience - self.crowd.events.now
        if self.ended or left <= 0:
            return self.end("expired")
        self.node = self.crowd.fleet.node_for_client()
        self.tries += 1
        if self.node is None or not self.node.alive:
            self.crowd.events.after(10, self.unreachable)
            return
        self.ident = self.crowd.next_ident()
        self.crowd.idents[self.ident] = self
        again = self.tries > 1
        timeout = self.crowd.timeouts[self.route_number]
        if self.patience < timeout:
            self.crowd.events.after(left, self.leave)
        grace = self.came_at + timeout - self.crowd.events.now
        self.node.take(self, self.ident, self.route_number, self.customer, grace, self.work, again)

    def leave(self) -> None:
        if not self.ended:
            self.node.client_left(self.ident)
            self.end("left")

    def answered(self, final: str, advice: int) -> None:
        if final == "served":
            return self.end(final)
        harmless = final == "shed" or self.crowd.routes[self.route_number].semantics == "retriable"
        self.again(final, harmless, advice)

    def unreachable(self) -> None:
        """Its node is dead: refused before anything was sent, or reset on the way."""
        sent = self.ident and self.crowd.fleet.ledger.records[self.ident].sent
        harmless = not sent or self.crowd.routes[self.route_number].semantics == "retriable"
        self.again("unreachable", harmless, 0)

    def again(self, final: str, harmless: bool, advice: int) -> None:
        if self.ended:
            return
        if not harmless or self.tries > self.crowd.load.retries:
            return self.end(final)
        wait = max(advice, 10 * self.crowd.load.backoff_ms * 2 ** (self.tries - 1))
        self.crowd.events.after(wait * (0.5 + self.crowd.rng("backoff").random()), self.ask)

    def end(self, final: str) -> None:
        if not self.ended:
            self.ended = True
            self.crowd.results.end(self, final)


class Crowd:
    def __init__(self, fleet, results) -> None:
        self.fleet, self.results, self.events, self.rng = fleet, results, fleet.events, fleet.rng
        scenario = fleet.scenario
        self.load, self.routes = scenario.load, scenario.routes
        self.timeouts = [int(route.timeout_ms * 10) for route in scenario.routes]
        self.shares = [route.share for route in scenario.routes]
        self.customers = [customer.share for customer in scenario.customers]
        self.factor, self.idents, self.last = 1.0, {}, 0
        self.stop_at = int(scenario.length_s * SECOND)

    def next_ident(self) -> int:
        self.last += 1
        return self.last

    def start(self) -> None:
        self.events.after(self.gap(), self.come)

    def gap(self) -> float:
        return self.rng("arrivals").expovariate(self.load.rate * self.factor / SECOND)

    def come(self) -> None:
        if self.events.now >= self.stop_at:
            return
        rng = self.rng("exchanges")
        route_number = rng.choices(range(len(self.routes)), self.shares)[0]
        customer = rng.choices(range(len(self.customers)), self.customers)[0] if self.customers else 0
        timeout = self.timeouts[route_number]
        early = rng.random() < self.load.gives_up
        patience = int(timeout * self.load.gives_up_after) if early else timeout
        client = Client(self, route_number, customer, work_of(self.routes[route_number], rng), patience)
        self.results.come(client)
        client.ask()
        self.events.after(self.gap(), self.come)
