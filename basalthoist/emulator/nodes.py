"""A simulated node: hosts a policy and carries its attempts, health checks and gossip over the paths."""

from functools import partial

from basalthoist.decisions.interface import Endpoint, GossipKind, LoadReport, Outcome

from .backends import Job, Server
from .events import Timer

HEALTH_CHECK_TIME = 0.5  # service time in tenths of a millisecond


class Attempt:
    __slots__ = ("server", "began_at", "job", "timer", "over")

    def __init__(self, server: Server | None, began_at: int) -> None:
        self.server, self.began_at = server, began_at
        self.job: Job | None = None
        self.timer: Timer | None = None
        self.over = False


class OpenRequest:
    """A request that a client waits for."""

    __slots__ = ("ident", "client", "work", "attempts", "answered")

    def __init__(self, ident: int, client, work: float) -> None:
        self.ident, self.client, self.work = ident, client, work
        self.attempts: list[Attempt] = []
        self.answered = False


class EmulatedNode:
    """`Host` of one policy. Events of an incarnation before the last kill are dropped."""

    def __init__(self, fleet, number: int, location: int) -> None:
        self.fleet, self.number, self.location = fleet, number, location
        self.events, self.paths, self.rule_checker = fleet.events, fleet.paths, fleet.rule_checker
        self.alive, self.incarnation = False, 0
        self.requests: dict[int, OpenRequest] = {}
        self.connected: set[tuple[str, int]] = set()
        self.policy = None
        self.lines: list[str] = []
        self.counts = {"probes": 0, "words": 0, "connections": 0, "crossings": 0, "sends": 0}
        self.fails_inside = 0

    # Starting and killing the process.

    def start(self, entries: list[Endpoint]) -> None:
        self.alive, self.incarnation = True, self.incarnation + 1
        self.connected.clear()
        seed = self.fleet.rng("seeds").getrandbits(63)
        self.policy = self.fleet.make_policy(self, seed, self.fleet.settings_of(self), self.events.now)
        self.on_endpoint_list(entries, True)

    def kill(self) -> None:
        self.alive, self.incarnation = False, self.incarnation + 1
        for request in list(self.requests.values()):
            self.rule_checker.on_abandoned(request.ident)
            for attempt in request.attempts:
                self.abandon_attempt(attempt)
            if not request.answered:
                request.client.unreachable()
        self.requests.clear()

    def in_this_incarnation(self, callback, *arguments):
        """Wraps a callback so that it runs only in this incarnation, not in the process after a restart."""
        incarnation = self.incarnation

        def guarded(*more):
            if self.alive and self.incarnation == incarnation:
                callback(*arguments, *more)

        return guarded

    def call_policy(self, callback, *arguments) -> None:
        callback(self.events.now, *arguments)

    # Clients and discovery.

    def on_client_request(
        self, client, ident: int, route_number: int, tenant: int, time_left: int, work: float, is_retry: bool
    ) -> None:
        route = self.fleet.scenario.routes[route_number]
        deadline = self.events.now + time_left
        self.requests[ident] = OpenRequest(ident, client, work)
        self.rule_checker.on_request(ident, self.number, route, self.events.now, deadline)
        self.events.after(
            time_left + self.rule_checker.grace + 1,
            lambda: self.rule_checker.on_deadline(self.events.now, ident),
        )
        self.call_policy(self.policy.on_request, ident, route_number, tenant, time_left, is_retry)

    def client_left(self, ident: int) -> None:
        request = self.requests.get(ident)
        if request is not None and not request.answered:
            request.answered = True
            self.rule_checker.on_abandoned(ident)
            self.call_policy(self.policy.on_client_gone, ident)
            self.forget(request)

    def on_endpoint_list(self, entries: list[Endpoint], complete: bool) -> None:
        for entry in entries:
            if entry.state == "healthy":
                self.rule_checker.removal_known_at.pop((self.number, entry.name), None)
            else:
                self.rule_checker.removal_known_at.setdefault((self.number, entry.name), self.events.now)
        self.call_policy(self.policy.on_endpoint_list, entries, complete)

    # Effects that the policy requests from its host.

    def send(self, ident: int, backend: str, timeout: int) -> None:
        request = self.requests.get(ident)
        if request is None or request.answered:
            if ident in self.rule_checker.records:
                server = self.fleet.servers[backend]
                self.rule_checker.on_send(self.events.now, ident, backend, server.pod, server.location)
            return
        server = self.fleet.servers.get(backend)
        attempt = Attempt(server, self.events.now)
        number = len(request.attempts)
        request.attempts.append(attempt)
        self.rule_checker.on_send(self.events.now, ident, backend, server.pod, server.location)
        self.counts["sends"] += 1
        self.counts["crossings"] += server.location != self.location
        ended = self.in_this_incarnation(self.attempt_ended, request, number)
        attempt.timer = self.events.after(timeout, partial(ended, Outcome.TIMED_OUT, None))
        attempt.job = Job(ident, request.work, None)
        attempt.job.on_done = partial(self.send_answer, attempt, ended)
        self.transmit(
            attempt.server,
            partial(self.on_request_arrived, attempt),
            partial(ended, Outcome.CONNECT_FAILED, None),
            ended,
        )

    def transmit(self, server: Server, on_arrival, on_connect_failed, on_reset) -> None:
        """Transmits a request, on an open or a new connection. A cut path drops it silently."""
        connected = (server.name, server.incarnation) in self.connected
        one_way_trips = 1 if connected else 3
        delay = self.paths.delay(self.location, server.location) * one_way_trips
        if not self.paths.is_open(self.location, server.location):
            if not connected:
                self.events.after(self.fleet.connect_timeout, on_connect_failed)
            return
        if not server.alive:
            self.events.after(delay, on_connect_failed)
            return
        if not connected:
            self.connected.add((server.name, server.incarnation))
            self.counts["connections"] += 1
        incarnation, in_transit = server.incarnation, self.fleet.in_transit
        in_transit[server.name] = in_transit.get(server.name, 0) + 1

        def arrive() -> None:
            in_transit[server.name] -= 1
            if server.incarnation == incarnation and server.alive:
                on_arrival()
            else:
                on_reset(Outcome.RESET, None)

        self.events.after(delay, arrive)

    def on_request_arrived(self, attempt: Attempt) -> None:
        if not attempt.over:
            attempt.server.offer(attempt.job)

    def send_answer(self, attempt: Attempt, ended, outcome: Outcome, load: LoadReport | None) -> None:
        if self.paths.is_open(self.location, attempt.server.location):
            delay = self.paths.delay(attempt.server.location, self.location)
            self.events.after(delay, partial(ended, outcome, load))

    def attempt_ended(
        self, request: OpenRequest, number: int, outcome: Outcome, load: LoadReport | None
    ) -> None:
        attempt = request.attempts[number]
        if attempt.over:
            return
        self.abandon_attempt(attempt)
        self.rule_checker.on_attempt_ended(request.ident, number, outcome)
        if outcome == Outcome.COMPLETED and not request.answered:
            self.answer(request, "served")
        over = request.answered
        duration = self.events.now - attempt.began_at
        self.call_policy(self.policy.on_attempt_ended, request.ident, number, outcome, duration, over, load)
        self.forget(request)

    def abandon_attempt(self, attempt: Attempt) -> None:
        attempt.over = True
        attempt.timer.stop()
        if attempt.job is not None and attempt.server is not None:
            attempt.server.abandon(attempt.job)

    def answer(self, request: OpenRequest, result: str, retry_after: int = 0) -> None:
        self.rule_checker.on_answer(self.events.now, request.ident, result)
        if not request.answered:
            request.answered = True
            request.client.answered(result, retry_after)

    def forget(self, request: OpenRequest) -> None:
        if request.answered and all(attempt.over for attempt in request.attempts):
            self.requests.pop(request.ident, None)

    def shed(self, ident: int, retry_after: int) -> None:
        if (request := self.requests.get(ident)) is not None:
            self.answer(request, "shed", retry_after)
            self.forget(request)

    def fail(self, ident: int) -> None:
        if (request := self.requests.get(ident)) is not None:
            self.answer(request, "failed")
            self.forget(request)

    def cancel(self, ident: int, attempt_number: int) -> None:
        request = self.requests.get(ident)
        if (
            request is not None
            and attempt_number < len(request.attempts)
            and not request.attempts[attempt_number].over
        ):
            self.events.after(
                0,
                self.in_this_incarnation(
                    self.attempt_ended, request, attempt_number, Outcome.CANCELLED, None
                ),
            )

    def withdraw(self, ident: int, attempt_number: int) -> bool:
        return False  # attempts are written immediately, so none can be withdrawn

    def health_check(self, backend: str) -> None:
        self.counts["probes"] += 1
        server, began_at = self.fleet.servers[backend], self.events.now
        results = []

        def end(outcome: Outcome, load: LoadReport | None) -> None:
            if not results:
                results.append(outcome)
                self.call_policy(
                    self.policy.on_health_check_ended, backend, outcome, self.events.now - began_at, load
                )

        ended = self.in_this_incarnation(end)

        def arrives() -> None:
            if not server.frozen and self.paths.is_open(self.location, server.location):
                delay = self.paths.delay(server.location, self.location) + HEALTH_CHECK_TIME
                outcome = Outcome.REJECTED if server.draining else Outcome.COMPLETED
                self.events.after(delay, partial(ended, outcome, server.load()))

        self.events.after(1000, partial(ended, Outcome.TIMED_OUT, None))
        self.transmit(server, arrives, partial(ended, Outcome.CONNECT_FAILED, None), ended)

    def gossip(self, reports: list[tuple[GossipKind, int, int]], peers: list[int]) -> None:
        for number in peers:
            peer = self.fleet.nodes[number]
            self.counts["words"] += 1
            lost = self.fleet.rng("words").random() < self.fleet.scenario.network.message_loss
            if peer.alive and not lost and self.paths.is_open(self.location, peer.location):
                deliver = peer.in_this_incarnation(
                    peer.call_policy, peer.policy.on_gossip, self.number, reports
                )
                self.events.after(self.paths.delay(self.location, peer.location), deliver)

    def subscribe(self) -> None:
        pass  # discovery pushes

    def wake(self, after: int, tag: str) -> None:
        self.events.after(after, self.in_this_incarnation(self.woken, tag))

    def woken(self, tag: str) -> None:
        self.call_policy(self.policy.on_wake, tag)

    def log(self, line: str) -> None:
        if len(self.lines) < 200:
            self.lines.append(f"{self.events.now / 10_000:.3f} {line}")
