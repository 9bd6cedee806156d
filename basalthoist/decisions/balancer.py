"""Handles the events of a node and calls the rules in order; each rule has a module of its own."""

from bisect import insort

from .admission import Quotas, RateLimit, ShedLog, SurplusAdmission
from .backend import Backend
from .endpoint_index import EndpointIndex
from .equal_time import EqualTimeSolver
from .gossip import QUARTERS, Gossip
from .interface import BalancerHost, Endpoint, GossipKind, GossipMessage, LoadReport, Outcome
from .load_reports import LoadEstimator, OvertakenAttempts
from .outlier_detection import MAX_EJECTION, OutlierDetection
from .random_numbers import Lcg
from .registry import BackendRegistry
from .request import Attempt, Request, is_over
from .retry import RetryPolicy
from .rotation import REPORT_LIFETIME, Rotation
from .schedule import Schedule
from .settings import BalancerSettings, Route, RouteBounds
from .slow_start import SlowStartPolicy
from .stepwise_profiling import StepwiseProfiling
from .subset import Subset
from .units import SECOND

TICK = "tick"  # tag of the wake that comes once a second
DEMAND_SMOOTHING = 0.2
HEALTH_CHECK_MARGIN = 10  # 1 ms, in tenths of a millisecond
MAX_CHECK_ROUNDS = 4  # rounds of health checks per request
# The longest time in the queue, as a fraction of the latency objective.
MAX_QUEUED_FRACTION, MAX_QUEUED_FRACTION_SURPLUS = 0.3, 0.05
MAX_UNPLACED_REQUESTS = 3  # after so many without a backend, `drain_queue` stops
MAX_LIST_BACKOFF_SECONDS = 8  # before jitter
LIST_RETRY_INTERVAL = 20 * SECOND  # a list requested and not received is requested again after this time
# Timeouts are not included: `check_silence` counts a failure if the backend answered nothing since the send.
FAULT_OUTCOMES = (Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.RESET)


class Balancer:
    """Takes all decisions of one node.

    `settings`: the flat map made by `settings_codec`, such as {"routes.0.value": 3.0}.

    Only `shed_or_fail` sheds or fails a request. It is called by `on_request` (too late, surplus, over a rate
    limit), by `end_queue_wait` (queued too long), at the deadline less one tick, and by `retry_or_give_up`.
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
        self.queue: list[Request] = []  # requests waiting for a backend, sorted by `Request.order`
        self.demand: float = 0.0  # requests per second without clients' retries, smoothed
        self.arrivals: int = 0  # requests since the last tick, without clients' retries
        self.sends_to_warm: int = 0  # attempts at warm backends since the last tick
        self.warm_backend_rate: float = 0.0  # attempts per second at one warm backend, smoothed
        self.list_failures: int = 0  # consecutive failures to get the endpoint list
        self.list_retry_at: int = 0
        self.build_rules(host)
        if self.settings.discovery_on_request:
            host.subscribe()
        host.wake(SECOND, TICK)

    def build_rules(self, host: BalancerHost) -> None:
        """Creates the rules' objects, each with the others that it reads."""
        settings, rng = self.settings, self.rng
        endpoints = EndpointIndex()
        self.schedule = Schedule(host, is_over)
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
        """Directs all later commands of the rules to another host."""
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
        """Handles a new request. `timeout`: how long its client waits; `spilled`: it is from another site."""
        route = self.routes[route_number]
        self.surplus.recover()
        self.arrivals += not is_retry
        # Guards against a busy node that overloads, right after its start, the small subset of a quiet node.
        if not self.demand and self.subset.is_partial():
            self.choose(now)
        objective_at = self.objective_end(now, route, timeout, is_retry)
        surplus = not self.quotas.take(now, tenant_number, is_retry)
        late = now >= objective_at and not route.late_value or surplus and self.surplus.sheds()
        over_limit = not late and self.quotas.over_rate_limit(now, tenant_number)
        request = Request(ident, route, now, now + timeout, objective_at, surplus or over_limit, spilled)
        self.requests[ident] = request
        # Guards against work that can only end late, for clients that will have retried by then.
        if late or over_limit or timeout <= self.settings.tick:
            return self.shed_or_fail(now, request)
        self.schedule.at(request.deadline - self.settings.tick, self.shed_or_fail, request)
        self.send_or_queue(now, request)

    @staticmethod
    def objective_end(now: int, route: Route, timeout: int, is_retry: bool) -> int:
        """Returns until when an answer is within the latency objective.

        The time that a client spent before its retry counts against the objective.
        """
        if not is_retry:
            route.usual_timeout = max(route.usual_timeout, min(timeout, route.timeout))
        spent = is_retry and timeout < route.usual_timeout
        return now + route.objective - (route.timeout - timeout) * spent

    def on_client_gone(self, now: int, ident: int) -> None:
        """Finishes a request whose client has disconnected."""
        if ident in self.requests:
            self.finish(self.requests[ident])

    def on_body_received(self, now: int, ident: int, timeout: int) -> None:
        """Restarts the times of a request whose body, too long to buffer, is complete and not forwarded."""
        request = self.requests.get(ident)
        if request is None or request.body_consumed:
            return
        request.deadline, request.objective_at = now + timeout, now + request.route.objective
        self.schedule.at(request.deadline - self.settings.tick, self.shed_or_fail, request)

    def on_body_forwarded(self, now: int, ident: int, timeout: int, complete: bool, age: int = 0) -> None:
        """Restarts the times of a request whose body, too long to buffer, is forwarded to its last attempt.

        `complete`: the body's last byte arrived at this node `age` ago. The backend may not have taken it.
        """
        request = self.requests.get(ident)
        if request is None or not request.attempts:
            return
        last = request.attempts[-1]
        # Guards against blame for the time that an arrived body waited until it was sent to this backend.
        last.sent_at = max(now - age, last.sent_at) if request.body_consumed else now
        request.body_consumed = True
        request.deadline, request.objective_at = now + timeout, now - age + request.route.objective
        last.backend.open_attempts = [other for other in last.backend.open_attempts if other is not last]
        if complete and last.outcome is None:
            last.backend.open_attempts.append(last)
            answered_by = last.sent_at + request.route.objective
            self.schedule.at(max(answered_by, now), self.record_silence, last)
        self.schedule.at(request.deadline - self.settings.tick, self.shed_or_fail, request)
        self.schedule.request_wake(now)

    # Attempts.

    def may_start_attempt(self, now: int, ident: int, attempt_number: int) -> bool:
        """Returns whether an attempt that has waited for a connection may still be written."""
        request = self.requests.get(ident)
        if request is None:
            return True
        attempt = request.attempts[attempt_number]
        if self.slow_start.waited_too_long(attempt.backend, attempt.sent_at, now):
            return False
        return self.retry.causes_no_duplicate(request, attempt_number, attempt.backend, now)

    def on_response_started(self, now: int, ident: int, attempt_number: int) -> None:
        """Handles the start of a response that is streamed to the client."""
        request = self.requests.get(ident)
        if request is None:
            return
        request.streaming = True
        elapsed = now - request.attempts[attempt_number].sent_at
        if not request.route.streams:  # on a streaming route the backend is busy until the response ends
            self.on_attempt_ended(now, ident, attempt_number, Outcome.COMPLETED, elapsed, False, None)

    def on_attempt_ended(
        self,
        now: int,
        ident: int,
        attempt_number: int,
        outcome: Outcome,
        elapsed: int,
        request_over: bool,
        load: LoadReport | None,
    ) -> None:
        """Handles the outcome of an attempt. `request_over`: the client is answered or has disconnected."""
        request = self.requests.get(ident)
        if request is None or attempt_number >= len(request.attempts):
            return
        attempt = request.attempts[attempt_number]
        backend, is_first = attempt.backend, attempt.outcome is None
        attempt.outcome = outcome
        backend.open_attempts = [other for other in backend.open_attempts if other is not attempt]
        self.record_load(now, attempt, load)
        cancelled_early = outcome in (Outcome.CANCELLED, Outcome.NOT_SENT) and now < request.objective_at
        self.overtaken.record(attempt.overtaken, cancelled_early, outcome)
        if is_first or outcome != Outcome.COMPLETED:  # a streamed response was measured at its start
            self.update_estimates(now, attempt, outcome, elapsed)
        if request_over or request.finished:
            self.finish(request)
        elif not request.has_open_attempt():
            self.retry_or_give_up(now, request)
        self.drain_queue(now)

    def record_load(self, now: int, attempt: Attempt, load: LoadReport | None) -> None:
        """Records the load reported in a response; without reports, a response means one request fewer."""
        backend, gossips = attempt.backend, self.gossip.probability
        if load is not None and load.in_flight is not None:
            # The report still counts the request that it comes with.
            in_flight = load.in_flight - (1.0 if gossips and load.in_flight else 0.0)
            # Peers estimate about the same load as this node, so only larger differences are sent to them.
            if gossips and abs(in_flight - self.loads.ahead(backend, now)) > 0.4:
                self.gossip.fresh_reports[backend] = now
            self.loads.report(backend, in_flight, now)
        if self.settings.without_load_reports and attempt.outcome == Outcome.COMPLETED:
            self.loads.report(backend, max(self.loads.ahead(backend, now) - 1.0, 0.0), now)
            attempt.announced = attempt.announced and self.gossip.announce(now, GossipKind.ANSWERED, backend)
        if load is not None and load.rate:
            backend.profile.add_reported_rate(load.rate)

    def retry_or_give_up(self, now: int, request: Request) -> None:
        """Retries a request whose last open attempt failed, unless its latency objective is over."""
        request.check_rounds, request.checks_settled = 0, False  # the next attempt starts new health checks
        may_retry = any(self.retry.may_attempt(request, b, now) for b in self.subset.backends)
        if may_retry and now < request.objective_at:
            self.send_or_queue(now, request)
        else:
            self.shed_or_fail(now, request)

    def check_silence(self, now: int, attempt: Attempt) -> None:
        """Counts a failure if the backend is silent. A body too long to buffer has its own check."""
        if not attempt.request.body_consumed:
            self.record_silence(now, attempt)

    def record_silence(self, now: int, attempt: Attempt) -> None:
        """Counts a failure, once, if the backend has answered nothing since the attempt was sent."""
        is_open = attempt.outcome is None and not attempt.silence_counted
        if is_open and attempt.backend.last_response_at < attempt.sent_at:
            attempt.silence_counted = True
            self.record_outcome(now, attempt, True, attempt.request.route.timeout)

    def update_estimates(self, now: int, attempt: Attempt, outcome: Outcome, elapsed: int) -> None:
        """Updates the estimates of the backend from the outcome of an attempt."""
        backend, route = attempt.backend, attempt.request.route
        if outcome == Outcome.COMPLETED:
            backend.last_response_at, backend.consecutive_rejections = now, 0
            if not attempt.request.surplus and now > attempt.request.objective_at:
                self.surplus.add_miss()
            self.loads.add_response(backend, elapsed, attempt.ahead)
            self.record_outcome(now, attempt, False, elapsed)
            self.overtaken.overtake(now, backend, attempt.sent_at, 0)
        elif outcome in FAULT_OUTCOMES:
            # Guards against a backend that attracts traffic by failing fast: each counts as the full timeout.
            self.record_outcome(now, attempt, True, route.timeout)
        elif outcome == Outcome.REJECTED:
            self.loads.add_rejection(backend, now, elapsed, route.timeout)

    def record_outcome(self, now: int, attempt: Attempt, failed: bool, time: int) -> None:
        """Adds a success or failure to the latency profile and to the outlier test."""
        backend = attempt.backend
        backend.profile.add_sample(time)
        backend.outlier.record(failed, self.outliers.usual_failure_rate)
        if self.loads.gets_load_updates and not failed and backend.is_ejected(now):
            self.outliers.reinstate(now, backend)
        if self.eject_if_outlier(now, backend):
            self.gossip.announce(now, GossipKind.EJECTED, backend)
        elif not failed:
            self.outliers.reset_ejection_duration(backend)

    def eject_if_outlier(self, now: int, backend: Backend) -> bool:
        """Ejects the backend if it is an outlier, and schedules a check for the end of the ejection."""
        ejected = self.outliers.eject_if_outlier(now, backend)
        if ejected:
            self.schedule.at(backend.outlier.ejected_until, self.check_ejected, backend)
        return ejected

    # Health checks.

    def check_ejected(self, now: int, backend: Backend) -> None:
        """Ends an ejection, or, where health checks are allowed, extends it until one is answered."""
        if backend.is_ejected(now):  # extended in the meantime
            self.schedule.at(backend.outlier.ejected_until, self.check_ejected, backend)
        elif self.may_health_check(backend):
            backend.outlier.ejected_until, backend.health_check_at = now + MAX_EJECTION, now
            self.host.health_check(backend.name)

    def may_health_check(self, backend: Backend) -> bool:
        """Returns whether a health check may be sent: allowed, none open, and the backend not banned."""
        banned = backend.name in self.registry.banned
        return self.settings.can_health_check and not backend.health_check_at and not banned

    def on_health_check_ended(
        self, now: int, name: str, outcome: Outcome, elapsed: int, load: LoadReport | None
    ) -> None:
        """Handles the outcome of a health check."""
        backend = self.backends.get(name)
        if backend is None:
            return
        backend.health_check_at = 0
        completed = outcome == Outcome.COMPLETED
        if backend.is_ejected(now):
            backend.outlier.ejected_until = now if completed else now + backend.next_ejection_duration
            act = self.wake_only if completed else self.check_ejected
            self.schedule.at(backend.outlier.ejected_until, act, backend)
        if completed and load is not None and load.in_flight is not None:
            self.loads.add_health_check(backend, now, elapsed, load.in_flight)
            sent_before = now - 1.5 * self.loads.service_time
            self.overtaken.overtake(now, backend, sent_before, round(load.in_flight))
        # Most health checks do not change what can be sent; those that show a short queue may do so.
        if self.loads.expected_time(backend, now) <= 1.5 * self.loads.service_time:
            self.drain_queue(now)
        else:
            self.schedule.request_wake(now)

    def wake_only(self, now: int, backend: Backend) -> None:
        """Does nothing. The wake scheduled for it keeps the order of wakes that simulated runs repeat."""

    def health_check_candidates(self, now: int, request: Request) -> None:
        """Sends health checks to the candidates that are next in the rotation."""
        request.check_rounds += 1
        is_first = request.check_rounds == 1
        candidates = self.rotation.candidates(now, request)
        # Guards against checking the same overloaded backends again.
        candidates.sort(key=lambda b: 0 if is_first else b.reported_at)
        for backend in candidates[: self.settings.health_checks]:
            stale = now - backend.reported_at > REPORT_LIFETIME
            # Guards against slow health checks over a link to another site.
            if not backend.health_check_at and stale and not backend.is_link:
                backend.health_check_at = now
                self.host.health_check(backend.name)

    # The queue.

    def send_or_queue(self, now: int, request: Request) -> None:
        """Sends the request, or queues it until a backend is fit for it."""
        if not request.queued:
            request.queued = True
            insort(self.queue, request, key=lambda queued: queued.order)
            fraction = MAX_QUEUED_FRACTION_SURPLUS if request.surplus else MAX_QUEUED_FRACTION
            until = min(now + int(fraction * request.route.objective), request.objective_at)
            self.schedule.at(until, self.end_queue_wait, request)
            if self.settings.health_checks and not request.check_rounds:
                self.health_check_candidates(now, request)
                settled_at = now + int(3 * self.loads.health_check_time) + HEALTH_CHECK_MARGIN
                self.schedule.at(settled_at, self.end_check_round, request)
        if self.gossip.probability:
            self.end_check_round(now, request)
        else:
            self.try_send(now, request)
        self.schedule.request_wake(now)

    def end_queue_wait(self, now: int, request: Request) -> None:
        """Sheds or fails the request if it is still queued at the end of its time in the queue."""
        if request.queued:
            self.shed_or_fail(now, request)

    def end_check_round(self, now: int, request: Request) -> None:
        """Tries to send the request by the load known so far, else starts another round of health checks."""
        request.checks_settled = True
        if not request.queued or self.try_send(now, request):
            return
        if request.check_rounds < MAX_CHECK_ROUNDS:
            if self.settings.health_checks:
                self.health_check_candidates(now, request)
            settled_at = now + int(self.loads.service_time / 4) + HEALTH_CHECK_MARGIN
            self.schedule.at(settled_at, self.end_check_round, request)

    def drain_queue(self, now: int) -> None:
        """Sends the queued requests for which there is a backend, in the order of the queue."""
        unplaced = 0
        for request in list(self.queue):
            if unplaced < MAX_UNPLACED_REQUESTS and request.queued and not self.try_send(now, request):
                unplaced += 1
        self.schedule.request_wake(now)

    def try_send(self, now: int, request: Request) -> bool:
        """Sends an attempt if a backend may take it now. Returns whether one was sent."""
        backend = self.rotation.pick(now, request)
        if backend is None or not self.retry.may_attempt(request, backend, now):
            return False
        self.unqueue(request)
        attempt = Attempt(request, backend, now, self.loads.ahead(backend, now))
        if self.gossip.probability:
            self.loads.report(backend, attempt.ahead, now)
            attempt.announced = self.gossip.announce(now, GossipKind.SENT, backend)
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
        """Returns after how long without any answer from the backend an attempt counts as a failure."""
        if self.subset.ring_positions:
            return int(8 * self.loads.service_time)
        return int(min(4 * self.solver.mean_time, self.route_bounds.objective))

    def unqueue(self, request: Request) -> None:
        """Removes the request from the queue, if it is queued."""
        if request.queued:
            self.queue.remove(request)
            request.queued = False

    def shed_or_fail(self, now: int, request: Request) -> None:
        """Answers the request at once: as shed where a retry is safe, else as failed."""
        if request.finished or request.streaming:
            return
        if not request.surplus:
            self.surplus.add_miss()  # surplus is shed before requests in quota
        retry_after = self.retry.safe_retry_after(request, now)
        if retry_after is not None:
            self.shed_log.add(request.surplus)
            self.host.shed(request.id, retry_after)
        else:
            self.host.fail(request.id)
        self.finish(request)

    def finish(self, request: Request) -> None:
        """Marks the request as answered or abandoned. It stays in `requests` until its last attempt ends."""
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
        """Handles messages of a peer. They never change a profile, and one peer alone ejects nothing."""
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
        """Handles a peer's message on a request sent, a request answered, or the number in flight."""
        if message.kind == GossipKind.IN_FLIGHT:
            in_flight = message.quarters / QUARTERS
        else:
            change = -1.0 if message.kind == GossipKind.ANSWERED else 1.0
            in_flight = max(self.loads.ahead(backend, now) + change, 0.0)
        self.loads.report(backend, in_flight, now)
        if message.kind == GossipKind.ANSWERED:
            backend.last_response_at = now
        self.gossip.count_sender(peer, backend, message.kind)

    def on_peer_ejected(self, now: int, peer: int, backend: Backend) -> None:
        """Handles a peer's message that it has ejected a backend."""
        self.outliers.add_peer_report(now, backend, peer)
        if backend.is_ejected(now):  # the first nodes to try it again do so for all
            until = max(backend.outlier.ejected_until, now + backend.next_ejection_duration)
            backend.outlier.ejected_until = until
        elif not self.settings.without_load_reports:
            self.eject_if_outlier(now, backend)

    # The endpoint list, and operators' changes.

    def on_endpoint_list_failed(self, now: int) -> None:
        """Schedules another request for the endpoint list after a failed one, with backoff and jitter."""
        self.list_failures += 1
        backoff = min(2**self.list_failures, MAX_LIST_BACKOFF_SECONDS) * (0.5 + self.rng.uniform())
        self.list_retry_at = now + int(SECOND * backoff)

    def on_endpoint_list(self, now: int, entries: list[Endpoint], complete: bool) -> None:
        """Applies the endpoint list, or, if not `complete`, the changes to it."""
        self.list_failures = 0
        was_partial = self.subset.is_partial()
        changed = {self.registry.update(now, entry) for entry in entries}
        states = {entry.name: entry.state for entry in entries}
        for name in [n for n in (self.backends if complete else states) if states.get(n, "gone") == "gone"]:
            self.registry.remove(name)
        # Guards against solving for each change of a long list, most of which this node does not use. New
        # backends are taken up by the next tick.
        if complete or not was_partial or any(b in changed or not b.available for b in self.subset.backends):
            self.choose(now)

    def on_maintenance(self, now: int, name: str, banned: bool) -> None:
        """Bans a backend for operators, or lifts the ban: the backend then counts as new and warms up."""
        backend = self.backends.get(name)
        if banned:
            self.registry.ban(name)
        else:
            self.registry.lift_ban(now, name)
        self.on_endpoint_list(now, [backend.endpoint] if backend is not None else [], False)

    def on_rate_limit(self, now: int, tenant_number: int, rate_limit: RateLimit | None) -> None:
        """Sets the fleet's rate limit on a tenant; None removes it."""
        self.quotas.tenants[tenant_number].rate_limit = rate_limit

    def on_quota(self, now: int, tenant_number: int, quota: float | None) -> None:
        """Sets a tenant's quota in requests per second over the fleet; None removes the tenant."""
        self.quotas.set_quota(tenant_number, quota)

    def on_route(self, now: int, route_number: int, objective: int, timeout: int, value: float) -> None:
        """Changes a route's latency objective, timeout and priority weight."""
        route = self.routes[route_number]
        route.objective, route.timeout, route.value, route.usual_timeout = objective, timeout, value, 0
        self.route_bounds.update()

    # Time.

    def on_wake(self, now: int, tag: str) -> None:
        """Handles a wake that was requested from the host."""
        if tag == TICK:
            self.tick(now)
        else:
            self.schedule.run_due(now)

    def tick(self, now: int) -> None:
        """Updates all rates and rules; called once a second."""
        self.host.wake(SECOND, TICK)
        if self.list_failures and now >= self.list_retry_at:
            self.list_retry_at = now + LIST_RETRY_INTERVAL
            self.host.subscribe()
        self.update_rates(now)
        self.gossip.update_listeners()
        self.quotas.end_second()
        for backend in self.subset.backends:
            longest_time = 4.0 * (
                self.route_bounds.objective if backend.outlier.suspicion else self.solver.mean_time
            )
            if backend.profile.close_window(now, longest_time):
                self.profiling.advance(now, backend)
        self.loads.decay_sums(self.subset.backends, self.demand)
        self.choose(now)
        self.shed_log.end_second(self.demand, self.solver.equal_time)
        self.drain_queue(now)

    def update_rates(self, now: int) -> None:
        """Updates the demand and the usual rate of a warm backend."""
        self.demand += (self.arrivals - self.demand) * (DEMAND_SMOOTHING if self.demand else 1.0)
        warm = sum(not backend.is_warming(now) for backend in self.subset.backends)
        if warm:
            smoothing = DEMAND_SMOOTHING if self.warm_backend_rate else 1.0
            self.warm_backend_rate += (self.sends_to_warm / warm - self.warm_backend_rate) * smoothing
        self.arrivals, self.sends_to_warm = 0, 0

    def choose(self, now: int) -> None:
        """Chooses the subset, then sets the rates of slow start and all target rates."""
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
                warm_backend_rate = self.warm_backend_rate or self.demand / len(self.subset.backends)
                self.slow_start.set_rate(backend, now, rate_allowed, warm_backend_rate)
                self.profiling.begin(backend)
        self.outliers.update_usual_failure_rate()
        self.solver.solve(now, self.demand)
