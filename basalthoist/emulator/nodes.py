"""A node of the fleet: the host of the decisions, with tries, probes and words that travel over the paths."""

from functools import partial

from basalthoist.decisions.interface import Endpoint, GossipKind, LoadReport, Outcome

from .backends import Job, Server
from .events import Due

PROBE_WORK = 0.5  # tenths of a millisecond of a backend's work


class Try:
    __slots__ = ("server", "began_at", "job", "timer", "over")

    def __init__(self, server: Server | None, began_at: int) -> None:
        self.server, self.began_at = server, began_at
        self.job: Job | None = None
        self.timer: Due | None = None
        self.over = False


class Open:
    """An exchange that a client waits for."""

    __slots__ = ("ident", "client", "work", "tries", "answered")

    def __init__(self, ident: int, client, work: float) -> None:
        self.ident, self.client, self.work = ident, client, work
        self.tries: list[Try] = []
        self.answered = False


class EmulatedNode:
    """`Host` of one policy. What belongs to a life before the last kill reaches nobody."""

    def __init__(self, fleet, number: int, location: int) -> None:
        self.fleet, self.number, self.location = fleet, number, location
        self.events, self.paths, self.ledger = fleet.events, fleet.paths, fleet.ledger
        self.alive, self.life = False, 0
        self.open: dict[int, Open] = {}
        self.connected: set[tuple[str, int]] = set()
        self.policy = None
        self.lines: list[str] = []
        self.counts = {"probes": 0, "words": 0, "connections": 0, "crossings": 0, "sends": 0}
        self.fails_inside = 0

    # Its life.

    def start(self, entries: list[Endpoint]) -> None:
        self.alive, self.life = True, self.life + 1
        self.connected.clear()
        seed = self.fleet.rng("seeds").getrandbits(63)
        self.policy = self.fleet.make_policy(self, seed, self.fleet.settings_of(self), self.events.now)
        self.on_endpoint_list(entries, True)

    def kill(self) -> None:
        self.alive, self.life = False, self.life + 1
        for request in list(self.open.values()):
            self.ledger.gone(request.ident)
            for one in request.tries:
                self.end_silently(one)
            if not request.answered:
                request.client.unreachable()
        self.open.clear()

    def in_this_life(self, act, *what):
        """Guards against what was under way for the process before this one."""
        life = self.life

        def later(*more):
            if self.alive and self.life == life:
                act(*what, *more)

        return later

    def tell_policy(self, happened, *what) -> None:
        happened(self.events.now, *what)

    # Clients and discovery.

    def take(
        self, client, ident: int, route_number: int, customer: int, grace: int, work: float, again: bool
    ) -> None:
        route = self.fleet.scenario.routes[route_number]
        deadline = self.events.now + grace
        self.open[ident] = Open(ident, client, work)
        self.ledger.take(ident, self.number, route, self.events.now, deadline)
        self.events.after(grace + self.ledger.grace + 1, lambda: self.ledger.due(self.events.now, ident))
        self.tell_policy(self.policy.on_request, ident, route_number, customer, grace, again)

    def client_left(self, ident: int) -> None:
        request = self.open.get(ident)
        if request is not None and not request.answered:
            request.answered = True
            self.ledger.gone(ident)
            self.tell_policy(self.policy.on_client_gone, ident)
            self.forget(request)

    def on_endpoint_list(self, entries: list[Endpoint], whole: bool) -> None:
        for entry in entries:
            if entry.state == "healthy":
                self.ledger.told.pop((self.number, entry.name), None)
            else:
                self.ledger.told.setdefault((self.number, entry.name), self.events.now)
        self.tell_policy(self.policy.on_endpoint_list, entries, whole)

    # The host's side of the decisions.

    def send(self, ident: int, backend: str, timeout: int) -> None:
        request = self.open.get(ident)
        if request is None or request.answered:
            if ident in self.ledger.records:
                server = self.fleet.servers[backend]
                self.ledger.send(self.events.now, ident, backend, server.pod, server.location)
            return
        server = self.fleet.servers.get(backend)
        one = Try(server, self.events.now)
        number = len(request.tries)
        request.tries.append(one)
        self.ledger.send(self.events.now, ident, backend, server.pod, server.location)
        self.counts["sends"] += 1
        self.counts["crossings"] += server.location != self.location
        ended = self.in_this_life(self.try_ended, request, number)
        one.timer = self.events.after(timeout, partial(ended, Outcome.TIMED_OUT, None))
        one.job = Job(ident, request.work, None)
        one.job.answer = partial(self.answer_leaves, one, ended)
        self.carry(
            one.server, partial(self.arrives, one), partial(ended, Outcome.CONNECT_FAILED, None), ended
        )

    def carry(self, server: Server, arrives, fails, ended) -> None:
        """Over a connection that is there, or a new one; a cut path lets nothing through and says nothing."""
        there = (server.name, server.life) in self.connected
        trips = 1 if there else 3
        delay = self.paths.delay(self.location, server.location) * trips
        if not self.paths.open(self.location, server.location):
            if not there:
                self.events.after(self.fleet.connect_timeout, fails)
            return
        if not server.alive:
            self.events.after(delay, fails)
            return
        if not there:
            self.connected.add((server.name, server.life))
            self.counts["connections"] += 1
        life, travelling = server.life, self.fleet.travelling
        travelling[server.name] = travelling.get(server.name, 0) + 1

        def come() -> None:
            travelling[server.name] -= 1
            if server.life == life and server.alive:
                arrives()
            else:
                ended(Outcome.RESET, None)

        self.events.after(delay, come)

    def arrives(self, one: Try) -> None:
        if not one.over:
            one.server.offer(one.job)

    def answer_leaves(self, one: Try, ended, outcome: Outcome, load: LoadReport | None) -> None:
        if self.paths.open(self.location, one.server.location):
            delay = self.paths.delay(one.server.location, self.location)
            self.events.after(delay, partial(ended, outcome, load))

    def try_ended(self, request: Open, number: int, outcome: Outcome, load: LoadReport | None) -> None:
        one = request.tries[number]
        if one.over:
            return
        self.end_silently(one)
        self.ledger.ended(request.ident, number, outcome)
        if outcome == Outcome.COMPLETED and not request.answered:
            self.answer(request, "served")
        over = request.answered
        took = self.events.now - one.began_at
        self.tell_policy(self.policy.on_attempt_ended, request.ident, number, outcome, took, over, load)
        self.forget(request)

    def end_silently(self, one: Try) -> None:
        one.over = True
        one.timer.stop()
        if one.job is not None and one.server is not None:
            one.server.abandon(one.job)

    def answer(self, request: Open, final: str, advice: int = 0) -> None:
        self.ledger.answer(self.events.now, request.ident, final)
        if not request.answered:
            request.answered = True
            request.client.answered(final, advice)

    def forget(self, request: Open) -> None:
        if request.answered and all(one.over for one in request.tries):
            self.open.pop(request.ident, None)

    def shed(self, ident: int, retry_after: int) -> None:
        if (request := self.open.get(ident)) is not None:
            self.answer(request, "shed", retry_after)
            self.forget(request)

    def fail(self, ident: int) -> None:
        if (request := self.open.get(ident)) is not None:
            self.answer(request, "failed")
            self.forget(request)

    def cancel(self, ident: int, attempt_number: int) -> None:
        request = self.open.get(ident)
        if (
            request is not None
            and attempt_number < len(request.tries)
            and not request.tries[attempt_number].over
        ):
            self.events.after(
                0, self.in_this_life(self.try_ended, request, attempt_number, Outcome.CANCELLED, None)
            )

    def withdraw(self, ident: int, attempt_number: int) -> bool:
        return False  # what is sent is written at once here

    def health_check(self, backend: str) -> None:
        self.counts["probes"] += 1
        server, began_at = self.fleet.servers[backend], self.events.now
        over = []

        def end(outcome: Outcome, load: LoadReport | None) -> None:
            if not over:
                over.append(outcome)
                self.tell_policy(
                    self.policy.on_health_check_ended, backend, outcome, self.events.now - began_at, load
                )

        ended = self.in_this_life(end)

        def arrives() -> None:
            if not server.frozen and self.paths.open(self.location, server.location):
                delay = self.paths.delay(server.location, self.location) + PROBE_WORK
                outcome = Outcome.REJECTED if server.draining else Outcome.COMPLETED
                self.events.after(delay, partial(ended, outcome, server.load()))

        self.events.after(1000, partial(ended, Outcome.TIMED_OUT, None))
        self.carry(server, arrives, partial(ended, Outcome.CONNECT_FAILED, None), ended)

    def gossip(self, words: list[tuple[GossipKind, int, int]], peers: list[int]) -> None:
        for number in peers:
            peer = self.fleet.nodes[number]
            self.counts["words"] += 1
            lost = self.fleet.rng("words").random() < self.fleet.scenario.network.message_loss
            if peer.alive and not lost and self.paths.open(self.location, peer.location):
                told = peer.in_this_life(peer.tell_policy, peer.policy.on_gossip, self.number, words)
                self.events.after(self.paths.delay(self.location, peer.location), told)

    def subscribe(self) -> None:
        pass  # discovery pushes

    def wake(self, after: int, tag: str) -> None:
        self.events.after(after, self.in_this_life(self.woken, tag))

    def woken(self, tag: str) -> None:
        self.tell_policy(self.policy.on_wake, tag)

    def log(self, line: str) -> None:
        if len(self.lines) < 200:
            self.lines.append(f"{self.events.now / 10_000:.3f} {line}")
