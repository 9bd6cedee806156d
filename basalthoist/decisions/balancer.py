"""The events of a node and the order in which the decisions' rules act on them; each rule has a module."""

from bisect import insort

from .admission import Quotas, RateLimit, ShedLog, SurplusAdmission
from .backend import Backend
from .endpoint_index import EndpointIndex
from .equal_time import EqualTimeSolver
from .gossip import QUARTERS, Gossip
from .interface import BalancerHost, Endpoint, GossipKind, GossipMessage, LoadReport, Outcome
from .load_reports import LoadEstimator, OvertakenAttempts
from .outlier_detection import LONGEST_EJECTION, OutlierDetection
from .random_numbers import Lcg
from .registry import BackendRegistry
from .request import Attempt, Request
from .retry import RetryPolicy
from .rotation import REPORT_LIFETIME, Rotation
from .schedule import Schedule
from .settings import BalancerSettings, Route, RouteBounds
from .slow_start import SlowStartPolicy
from .stepwise_profiling import StepwiseProfiling
from .subset import Subset
from .units import SECOND

TICK = "tick"  # the tag of the wake once a second
DEMAND_SMOOTHING = 0.2
SETTLE_MARGIN = 10  # one millisecond
MOST_CHECK_ROUNDS = 4  # for one request
QUEUED_PART, QUEUED_PART_SURPLUS = 0.3, 0.05  # of the latency objective, that a request is queued at most
MOST_MISSES = 3  # requests in a row for which a drain of the queue finds no backend
LIST_BACKOFF_MOST = 8  # seconds, before spread
LIST_PATIENCE = 20 * SECOND  # until a list that was asked for is asked for again
# A time-out is not among them: `check_silence` counts a backend that has answered nothing since the send.
FAULT_OUTCOMES = (Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.RESET)


class Balancer:
    """All decisions of one node. `settings`: a flat map by `settings_codec`, such as {"routes.0.value": 3.0}.

    A request is shed or failed by `give_up` alone: by `on_request` (late, surplus, over a rate limit), by
    `give_up_queued` (queued too long), at its deadline less a tick, and by `retry_or_give_up`.
    """

    def __init__(self, host: BalancerHost, seed: int, settings: dict, now: int) -> None:
        self.host: BalancerHost = host
        self.settings: BalancerSettings = BalancerSettings.from_flat(settings)
        self.rng: Lcg = Lcg(seed)
        self.routes: list[Route] = [
            Route.from_flat(settings, i) for i in range(settings.get("routes.count", 1))
        ]
        self.route_bounds: RouteBounds = RouteBounds(self.routes)
        self.requests: dict[int, Request] = {}
        self.queue: list[Request] = []  # those that wait for a backend, in the order of `Request.order`
        self.demand: float = 0.0  # first requests a second, smoothed
        self.arrivals: int = 0  # first requests since the last tick
        self.sends_to_warm: int = 0  # since the last tick
        self.usual_rate: float = 0.0  # sends a second to one warm backend, smoothed
        self.list_failures: int = 0  # in a row
        self.list_retry_at: int = 0
        self.build_rules(host)
        if self.settings.discovery_on_request:
            host.subscribe()
        host.wake(SECOND, TICK)

    def build_rules(self, host: BalancerHost) -> None:
        """Creates the rules' objects, each with the others that it reads."""
        settings, rng = self.settings, self.rng
        endpoints = EndpointIndex()
        self.schedule = Schedule(host)
        self.quotas = Quotas(settings)
        self.surplus = SurplusAdmission(rng)
        self.shed_log = ShedLog(host)
        self.retry = RetryPolicy(host, settings)
        self.loads = LoadEstimator(settings, self.route_bounds)
        self.overtaken = OvertakenAttempts(host, settings)
        self.slow_start = SlowStartPolicy(settings, self.loads)
        self.subset = Subset(settings, endpoints, self.slow_start)
        on_ring = bool(self.subset.ring_positions)
        self.registry = BackendRegistry(settings, self.route_bounds, rng, endpoints, on_ring)
        self.backends: dict[str, Backend] = self.registry.backends
        self.outliers = OutlierDetection(host, rng, self.subset)
        self.profiling = StepwiseProfiling(host, self.subset, self.route_bounds)
        self.solver = EqualTimeSolver(self.subset, self.loads, self.route_bounds)
        self.gossip = Gossip(host, settings, rng, self.subset, endpoints, self.loads)
        self.rotation = Rotation(
            settings,
            self.route_bounds,
            self.subset,
            self.solver,
            self.loads,
            self.slow_start,
            self.retry,
            self.gossip,
        )

    def replace_host(self, host: BalancerHost) -> None:
        """From now on all that the rules ask for goes to another host."""
        rules = [rule for name, rule in vars(self).items() if name != "host" and hasattr(rule, "host")]
        for rule in rules:
            rule.host = host
        self.host = host

    # Requests.

    def on_request(
        self,
        now: int,
        ident: int,
        route_number: int,
        tenant_number: int,
        timeout: int,
        is_retry: bool,
        spilled: bool = False,
    ) -> None:
        """A request has come. `timeout`: how long its client waits; `spilled`: from another site."""
        route = self.routes[route_number]
        self.surplus.recover()
        self.arrivals += not is_retry
        # Guards against a node that starts busy and crowds the few backends that a quiet one uses.
        if not self.demand and self.subset.is_partial():
            self.choose(now)
        objective_at = self.objective_of(now, route, timeout, is_retry)
        surplus = not self.quotas.within(now, tenant_number, is_retry)
        late = now >= objective_at and not route.late_value or surplus and self.surplus.sheds()
        over_limit = not late and self.quotas.over_rate_limit(now, tenant_number)
        request = Request(ident, route, now, now + timeout, objective_at, surplus or over_limit, spilled)
        self.requests[ident] = request
        # Guards against work that can only end late, for clients that will have tried again.
        if late or over_limit or timeout <= self.settings.tick:
            return self.give_up(now, request)
        self.schedule.at(request.deadline - self.settings.tick, self.give_up, request)
        self.place(now, request)

    @staticmethod
    def objective_of(now: int, route: Route, timeout: int, is_retry: bool) -> int:
        """Until when an answer is within the objective, less what a client's retry has spent of it."""
        if not is_retry:
            route.usual_timeout = max(route.usual_timeout, min(timeout, route.timeout))
        spent = is_retry and timeout < route.usual_timeout
        return now + route.objective - (route.timeout - timeout) * spent

    def on_client_gone(self, now: int, ident: int) -> None:
        """Nobody waits for the request any more."""
        if ident in self.requests:
            self.finish(self.requests[ident])

    def on_body_forwarded(self, now: int, ident: int, timeout: int, complete: bool) -> None:
        """A body too long to be held goes out, or is complete: its times begin anew."""
        request = self.requests.get(ident)
        if request is None or not request.attempts:
            return
        last = request.attempts[-1]
        request.body_consumed = True
        request.deadline, request.objective_at, last.sent_at = (
            now + timeout,
            now + request.route.objective,
            now,
        )
        others = [attempt for attempt in last.backend.open_attempts if attempt is not last]
        last.backend.open_attempts = others + [last] * (complete and last.outcome is None)
        self.schedule.at(request.deadline - self.settings.tick, self.give_up, request)

    # Attempts.

    def may_start_attempt(self, now: int, ident: int, attempt_number: int) -> bool:
        """Whether an attempt may still be written: it may have waited for a connection."""
        request = self.requests.get(ident)
        if request is None:
            return True
        attempt = request.attempts[attempt_number]
        if self.slow_start.waited_too_long(attempt.backend, attempt.sent_at, now):
            return False
        return self.retry.causes_no_duplicate(request, attempt_number, attempt.backend, now)

    def on_response_started(self, now: int, ident: int, attempt_number: int) -> None:
        """A response is passed on as it comes."""
        request = self.requests.get(ident)
        if request is None:
            return
        request.streaming = True
        took = now - request.attempts[attempt_number].sent_at
        if not request.route.streams:  # else the backend works on it to its end
            self.on_attempt_ended(now, ident, attempt_number, Outcome.COMPLETED, took, False, None)

    def on_attempt_ended(
        self,
        now: int,
        ident: int,
        attempt_number: int,
        outcome: Outcome,
        took: int,
        request_over: bool,
        load: LoadReport | None,
    ) -> None:
        """An attempt has its outcome. `request_over`: its client is answered, or gone."""
        request = self.requests.get(ident)
        if request is None or attempt_number >= len(request.attempts):
            return
        attempt = request.attempts[attempt_number]
        backend, is_first = attempt.backend, attempt.outcome is None
        attempt.outcome = outcome
        backend.open_attempts = [other for other in backend.open_attempts if other is not attempt]
        self.take_load(now, attempt, load)
        called_off = outcome in (Outcome.CANCELLED, Outcome.NOT_SENT) and now < request.objective_at
        self.overtaken.record(attempt.overtaken, called_off, outcome)
        if is_first or outcome != Outcome.COMPLETED:  # a response passed on was measured as it began
            self.measure(now, attempt, outcome, took)
        if request_over or request.finished:
            self.finish(request)
        elif not request.has_open_attempt():
            self.retry_or_give_up(now, request)
        self.drain_queue(now)

    def take_load(self, now: int, attempt: Attempt, load: LoadReport | None) -> None:
        """The load that a response reports; where none is reported, a response means one request fewer."""
        backend, gossips = attempt.backend, self.gossip.probability
        if load is not None and load.in_flight is not None:
            in_flight = load.in_flight - (1.0 if gossips and load.in_flight else 0.0)  # it counts this one
            if gossips and abs(in_flight - self.loads.ahead(backend, now)) > 0.4:  # peers reckon with as much
                self.gossip.fresh_reports[backend] = now
            self.loads.report(backend, in_flight, now)
        if self.settings.blind and attempt.outcome == Outcome.COMPLETED:
            self.loads.report(backend, max(self.loads.ahead(backend, now) - 1.0, 0.0), now)
            attempt.announced = attempt.announced and self.gossip.tell(now, GossipKind.ANSWERED, backend)
        if load is not None and load.rate:
            backend.profile.add_reported_rate(load.rate)

    def retry_or_give_up(self, now: int, request: Request) -> None:
        """After the last open attempt has failed. Nothing is retried once the latency objective is over."""
        request.check_rounds, request.checks_settled = 0, False  # the next attempt asks anew
        may_retry = any(self.retry.may_attempt(request, b, now) for b in self.subset.backends)
        if may_retry and now < request.objective_at:
            self.place(now, request)
        else:
            self.give_up(now, request)

    def check_silence(self, now: int, attempt: Attempt) -> None:
        """Silence of the backend since the send counts as a failure."""
        silent = attempt.outcome is None and attempt.backend.last_response_at < attempt.sent_at
        if silent and not attempt.request.body_consumed:
            self.add_outcome(now, attempt, True, attempt.request.route.timeout)

    def measure(self, now: int, attempt: Attempt, outcome: Outcome, elapsed: int) -> None:
        """What the outcome says of the backend."""
        backend, route = attempt.backend, attempt.request.route
        if outcome == Outcome.COMPLETED:
            backend.last_response_at, backend.rejections = now, 0
            if not attempt.request.surplus and now > attempt.request.objective_at:
                self.surplus.add_miss()
            self.loads.add_response(backend, elapsed, attempt.ahead)
            self.add_outcome(now, attempt, False, elapsed)
            self.overtaken.overtake(now, backend, attempt.sent_at, 0)
        elif outcome in FAULT_OUTCOMES:
            # Guards against a backend whose fast failures draw traffic: each counts as the whole timeout.
            self.add_outcome(now, attempt, True, route.timeout)
        elif outcome == Outcome.REJECTED:
            self.loads.add_rejection(backend, now, elapsed, route.timeout)

    def add_outcome(self, now: int, attempt: Attempt, failed: bool, time: int) -> None:
        """A success or failure for the profile and the outlier test."""
        backend = attempt.backend
        backend.profile.add_sample(time)
        backend.outlier.record(failed, self.outliers.usual_failure_rate)
        if self.loads.hears and not failed and backend.is_ejected(now):
            self.outliers.reinstate_answering(now, backend)
        if self.eject_if_outlier(now, backend):
            self.gossip.tell(now, GossipKind.EJECTED, backend)
        elif not failed:
            self.outliers.forgive(backend)

    def eject_if_outlier(self, now: int, backend: Backend) -> bool:
        """Whether it is ejected now; it is checked as its ejection ends."""
        ejected = self.outliers.eject_if_outlier(now, backend)
        if ejected:
            self.schedule.at(backend.outlier.ejected_until, self.check_ejected, backend)
        return ejected

    # Health checks.

    def check_ejected(self, now: int, backend: Backend) -> None:
        """Its ejection ends. Where health checks are allowed it goes on until one is answered."""
        if backend.is_ejected(now):  # put off meanwhile
            self.schedule.at(backend.outlier.ejected_until, self.check_ejected, backend)
        elif self.may_health_check(backend):
            backend.outlier.ejected_until, backend.health_check_at = now + LONGEST_EJECTION, now
            self.host.health_check(backend.name)

    def may_health_check(self, backend: Backend) -> bool:
        """Whether one may be started: it is allowed, none is open, and no operator has banned the backend."""
        banned = backend.name in self.registry.banned
        return self.settings.can_health_check and not backend.health_check_at and not banned

    def on_health_check_ended(
        self, now: int, name: str, outcome: Outcome, elapsed: int, load: LoadReport | None
    ) -> None:
        """A health check has its outcome."""
        backend = self.backends.get(name)
        if backend is None:
            return
        backend.health_check_at = 0
        completed = outcome == Outcome.COMPLETED
        if backend.is_ejected(now):
            backend.outlier.ejected_until = now if completed else now + backend.ejection_time
            act = self.wake_only if completed else self.check_ejected
            self.schedule.at(backend.outlier.ejected_until, act, backend)
        if completed and load is not None and load.in_flight is not None:
            self.loads.add_health_check(backend, now, elapsed, load.in_flight)
            sent_before = now - 1.5 * self.loads.service_time
            self.overtaken.overtake(now, backend, sent_before, round(load.in_flight))
        if self.loads.expected(backend, now) <= 1.5 * self.loads.service_time:  # few checks change the queue
            self.drain_queue(now)
        else:
            self.schedule.arm(now)

    def wake_only(self, now: int, backend: Backend) -> None:
        """Nothing: the wake that it brings keeps the order of wakes that a simulated run repeats."""

    def check_candidates(self, now: int, request: Request) -> None:
        """Asks those whose turn is next for their load."""
        request.check_rounds += 1
        is_first = request.check_rounds == 1
        candidates = self.rotation.candidates(now, request)
        # Guards against asking the same crowded few again.
        candidates.sort(key=lambda b: 0 if is_first else b.reported_at)
        for backend in candidates[: self.settings.health_checks]:
            stale = now - backend.reported_at > REPORT_LIFETIME
            # Guards against checks over a link to another site, which take long.
            if not backend.health_check_at and stale and backend.zone < self.settings.first_remote_zone:
                backend.health_check_at = now
                self.host.health_check(backend.name)

    # The queue.

    def place(self, now: int, request: Request) -> None:
        """Sends it, or queues it until a backend is fit for it."""
        if not request.queued:
            request.queued = True
            insort(self.queue, request, key=lambda queued: queued.order)
            part = QUEUED_PART_SURPLUS if request.surplus else QUEUED_PART
            until = min(now + int(part * request.route.objective), request.objective_at)
            self.schedule.at(until, self.give_up_queued, request)
            if self.settings.health_checks and not request.check_rounds:
                self.check_candidates(now, request)
                settled_at = now + int(3 * self.loads.health_check_trip) + SETTLE_MARGIN
                self.schedule.at(settled_at, self.settle_checks, request)
        if self.gossip.probability:
            self.settle_checks(now, request)
        else:
            self.try_send(now, request)
        self.schedule.arm(now)

    def give_up_queued(self, now: int, request: Request) -> None:
        """It has been queued for as long as it may."""
        if request.queued:
            self.give_up(now, request)

    def settle_checks(self, now: int, request: Request) -> None:
        """Its health checks have had their time: it goes by what is known, or others are asked."""
        request.checks_settled = True
        if not request.queued or self.try_send(now, request):
            return
        if request.check_rounds < MOST_CHECK_ROUNDS:
            if self.settings.health_checks:
                self.check_candidates(now, request)
            settled_at = now + int(self.loads.service_time / 4) + SETTLE_MARGIN
            self.schedule.at(settled_at, self.settle_checks, request)

    def drain_queue(self, now: int) -> None:
        """Sends what can be sent, in the order of the queue."""
        misses = 0
        for request in list(self.queue):
            if misses < MOST_MISSES and request.queued and not self.try_send(now, request):
                misses += 1
        self.schedule.arm(now)

    def try_send(self, now: int, request: Request) -> bool:
        """Whether an attempt of it has been sent."""
        backend = self.rotation.pick(now, request)
        if backend is None or not self.retry.may_attempt(request, backend, now):
            return False
        self.unqueue(request)
        attempt = Attempt(request, backend, now, self.loads.ahead(backend, now))
        if self.gossip.probability:
            self.loads.report(backend, attempt.ahead, now)
            attempt.announced = self.gossip.tell(now, GossipKind.SENT, backend)
        request.attempts.append(attempt)
        backend.open_attempts.append(attempt)
        backend.profile.sent += 1
        backend.reported_in_flight += 1
        warming = backend.is_warming(now)
        backend.slow_start.tokens = max(backend.slow_start.tokens - warming, 0.0)
        self.sends_to_warm += not warming
        self.host.send(request.id, backend.name, request.deadline - now)
        self.schedule.at(now + self.silence_bound(), self.check_silence, attempt)
        return True

    def silence_bound(self) -> int:
        """How long a backend may say nothing after a send before that counts as a failure."""
        if self.subset.ring_positions:
            return int(8 * self.loads.service_time)
        return int(min(4 * self.solver.mean_time, self.route_bounds.objective))

    def unqueue(self, request: Request) -> None:
        """Takes it out of the queue, if it is there."""
        if request.queued:
            self.queue.remove(request)
            request.queued = False

    def give_up(self, now: int, request: Request) -> None:
        """Answers it at once, whatever the cause: shed where trying again is harmless, else failed."""
        if request.finished or request.streaming:
            return
        if not request.surplus:
            self.surplus.add_miss()  # surplus goes before what is in quota
        retry_after = self.retry.safe_retry_after(request, now)
        if retry_after is not None:
            self.shed_log.add(request.surplus)
            self.host.shed(request.id, retry_after)
        else:
            self.host.fail(request.id)
        self.finish(request)

    def finish(self, request: Request) -> None:
        """It is answered, or nobody waits for it; it stays known until its last attempt has ended."""
        open_numbers = [number for number, attempt in enumerate(request.attempts) if attempt.outcome is None]
        if self.settings.can_cancel and not request.finished and not request.streaming:
            for number in open_numbers:
                self.host.cancel(request.id, number)
        request.finished = True
        self.unqueue(request)
        if not open_numbers:
            self.requests.pop(request.id, None)

    # Gossip.

    def on_gossip(self, now: int, peer: int, messages: list[GossipMessage]) -> None:
        """A peer's messages: they never change a profile, and one peer alone ejects nothing."""
        if not self.gossip.probability:
            return
        known = [(message, self.registry.by_key.get(message.backend_key)) for message in messages]
        for message, backend in known:
            if backend is None:
                continue
            if message.kind == GossipKind.EJECTED:
                self.on_peer_ejected(now, peer, backend)
            else:
                self.on_peer_load(now, peer, backend, message)

    def on_peer_load(self, now: int, peer: int, backend: Backend, message: GossipMessage) -> None:
        """A peer has sent a request there, was answered, or tells how many are in flight."""
        if message.kind == GossipKind.IN_FLIGHT:
            in_flight = message.quarters / QUARTERS
        else:
            change = -1.0 if message.kind == GossipKind.ANSWERED else 1.0
            in_flight = max(self.loads.ahead(backend, now) + change, 0.0)
        self.loads.report(backend, in_flight, now)
        if message.kind == GossipKind.ANSWERED:
            backend.last_response_at = now
        self.gossip.heard_from(peer, backend, message.kind)

    def on_peer_ejected(self, now: int, peer: int, backend: Backend) -> None:
        """A peer has ejected a backend."""
        self.outliers.add_peer_report(now, backend, peer)
        if backend.is_ejected(now):  # the first to look again look for all
            until = max(backend.outlier.ejected_until, now + backend.ejection_time)
            backend.outlier.ejected_until = until
        elif not self.settings.blind:
            self.eject_if_outlier(now, backend)

    # The endpoint list, and what operators change.

    def on_endpoint_list_failed(self, now: int) -> None:
        """Schedules another request for the endpoint list after a failed one, with backoff and jitter."""
        self.list_failures += 1
        backoff = min(2**self.list_failures, MAX_LIST_BACKOFF_SECONDS) * (0.5 + self.rng.uniform())
        self.list_retry_at = now + int(SECOND * backoff)

    def on_endpoint_list(self, now: int, entries: list[Endpoint], complete: bool) -> None:
        """The endpoint list, or, where it is not `complete`, what has changed in it."""
        self.list_failures = 0
        was_partial = self.subset.is_partial()
        changed = {self.registry.update(now, entry) for entry in entries}
        states = {entry.name: entry.state for entry in entries}
        for name in [n for n in (self.backends if complete else states) if states.get(n, "gone") == "gone"]:
            self.registry.remove(name)
        # Guards against solving for each change of a long list, most of which this node does not use: who
        # joins is taken up by the next tick.
        if complete or not was_partial or any(b in changed or not b.available for b in self.subset.backends):
            self.choose(now)

    def on_maintenance(self, now: int, name: str, banned: bool) -> None:
        """Operators ban a backend, or lift the ban: then it is new, and warms up."""
        backend = self.backends.get(name)
        if banned:
            self.registry.ban(name)
        else:
            self.registry.lift_ban(now, name)
        self.on_endpoint_list(now, [backend.endpoint] if backend is not None else [], False)

    def on_rate_limit(self, now: int, tenant_number: int, rate_limit: RateLimit | None) -> None:
        """The fleet's rate limit on a tenant; None: there is none."""
        self.quotas.tenants[tenant_number].rate_limit = rate_limit

    def on_quota(self, now: int, tenant_number: int, quota: float | None) -> None:
        """Requests a second over the fleet; None: the tenant is gone."""
        self.quotas.set_quota(tenant_number, quota)

    def on_route(self, now: int, route_number: int, objective: int, timeout: int, value: float) -> None:
        """A route's latency objective, timeout and priority weight have changed."""
        route = self.routes[route_number]
        route.objective, route.timeout, route.value, route.usual_timeout = objective, timeout, value, 0
        self.route_bounds.update()

    # Time.

    def on_wake(self, now: int, tag: str) -> None:
        """A wake that was asked for."""
        if tag == TICK:
            self.tick(now)
        else:
            self.schedule.run_due(now)

    def tick(self, now: int) -> None:
        """Once a second."""
        self.host.wake(SECOND, TICK)
        if self.list_failures and now >= self.list_retry_at:
            self.list_retry_at = now + LIST_PATIENCE
            self.host.subscribe()
        self.update_rates(now)
        self.gossip.choose_listeners()
        self.quotas.close_round()
        for backend in self.subset.backends:
            longest = 4.0 * (
                self.route_bounds.objective if backend.outlier.suspicion else self.solver.mean_time
            )
            if backend.profile.close_window(now, longest):
                self.profiling.advance(now, backend)
        self.loads.fade(self.subset.backends, self.demand)
        self.choose(now)
        self.shed_log.close_round(self.demand, self.solver.equal_time)
        self.drain_queue(now)

    def update_rates(self, now: int) -> None:
        """The demand, and what a warm backend usually gets of it."""
        self.demand += (self.arrivals - self.demand) * (DEMAND_SMOOTHING if self.demand else 1.0)
        warm = sum(not backend.is_warming(now) for backend in self.subset.backends)
        if warm:
            smoothing = DEMAND_SMOOTHING if self.usual_rate else 1.0
            self.usual_rate += (self.sends_to_warm / warm - self.usual_rate) * smoothing
        self.arrivals, self.sends_to_warm = 0, 0

    def choose(self, now: int) -> None:
        """The subset, slow start's rates, and all target rates, anew."""
        before, rate_allowed = self.subset.backends, self.slow_start.rate_allowed()
        rate = max(self.demand, self.arrivals)
        self.subset.choose(now, rate)
        self.gossip.update_probability(rate)
        for backend in self.subset.backends:
            if backend not in before:
                # Guards against all nodes that send to a new backend at once: its first turn is random.
                backend.credit = -self.rng.uniform() * self.solver.total_rate
                backend.profile.restart_window(now)
            if backend.is_warming(now):
                usual_rate = self.usual_rate or self.demand / len(self.subset.backends)
                self.slow_start.set_rate(backend, now, rate_allowed, usual_rate)
                self.profiling.begin(backend)
        self.outliers.update_usual()
        self.solver.solve(now, self.demand)
