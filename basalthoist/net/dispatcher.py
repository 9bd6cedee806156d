"""Connects front ends and backends to the balancer: reports events to it and executes its decisions."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from basalthoist.configuration import Configuration
from basalthoist.decisions.balancer import Balancer
from basalthoist.decisions.interface import NEVER_RAN, Endpoint, GossipMessage, Outcome
from basalthoist.net.abandoned_ids import AbandonedIds
from basalthoist.net.decision_guard import DecisionGuard
from basalthoist.net.framing import BadMessage, Message, head_of
from basalthoist.net.proxied_request import ProxiedRequest, RequestClient, forwarded_head
from basalthoist.net.runtime.log import Log
from basalthoist.net.runtime.timers import SECOND, Timers, now
from basalthoist.net.upload_times import UploadTimes
from basalthoist.net.uploads import Upload
from basalthoist.net.upstream.call import BodySink, RequestChunks
from basalthoist.net.upstream.load_report import parse_load_report
from basalthoist.net.upstream.upstream import Upstream

if TYPE_CHECKING:
    from basalthoist.gateway.links import Links

# Response headers that backends send to the node; they are not forwarded to clients.
NODE_HEADERS = frozenset((b"server-load", b"not-started"))
# How long after its deadline a request is answered in any case, in tenths of a millisecond.
OVERDUE_ANSWER_DELAY = 20
MAX_REPORT_BYTES = 256  # at the start of a health check's body, in which a load report is looked for


class RequestDispatcher:
    """Implements `BalancerHost`. Times are in tenths of a millisecond.

    `request.id`, the `number` of a method and the balancer's `ident` are the same number of a request; its
    `request_id` is the Request-Id header.

    Calls the balancer through `guard`, except for `on_rate_limit` and `may_start_attempt`.
    """

    def __init__(
        self,
        configuration: Configuration,
        loop: asyncio.AbstractEventLoop,
        timers: Timers,
        upstream: Upstream,
        log: Log,
    ) -> None:
        self.loop: asyncio.AbstractEventLoop = loop
        self.timers: Timers = timers
        self.upstream: Upstream = upstream
        self.log: Log = log
        self.limits = configuration.limits
        self.health_checks_enabled: bool = configuration.network_settings.policy_limits.probes
        self.health_check_path: bytes = b"/status/load" if configuration.has_load_reports else b"/health"
        self.health_check_timeout: int = int(self.limits.probe_s * SECOND)
        self.client_transit: int = int(self.limits.client_transit_s * SECOND)
        self.streaming_routes: list[bool] = [route.streaming for route in configuration.routes]
        self.in_progress: dict[int, ProxiedRequest] = {}
        self.abandoned_ids: AbandonedIds = AbandonedIds()
        # Those of the requests that are not idempotent, while another process of this node is told.
        self.begun_ids: list[bytes] | None = None
        self.by_request_id: dict[bytes, ProxiedRequest] = {}
        self.last_number: int = 0
        self.links: Links | None = None  # to other sites
        self.shutdown_deadline: int | None = None  # set at shutdown: by then every request has to be answered
        health_check = head_of(b"GET %b HTTP/1.1" % self.health_check_path, [(b"Host", b"basalthoist")])
        health_check += b"\r\n"
        self.health_check_chunks: RequestChunks = lambda: [health_check]
        self.send_gossip: Callable[[list[GossipMessage], list[int]], None] = lambda messages, peers: None
        self.may_forward_requests: Callable[[], bool] = lambda: True
        self.guard: DecisionGuard = DecisionGuard(timers, log)
        self.upload_times: UploadTimes = UploadTimes(self)
        created_at = now()
        self.balancer: Balancer = Balancer(self, configuration.seed, configuration.settings, created_at)
        if configuration.shadow_settings is not None:
            from basalthoist.shadow import Shadow

            shadow = Shadow(self.balancer, configuration.seed, configuration.shadow_settings, created_at)
            self.guard.start_shadow(shadow, int(configuration.document.shadow.report_s * SECOND))

    # Called by front ends.

    def start(
        self,
        client: RequestClient,
        message: Message,
        route: int,
        tenant: int,
        timeout_ms: int,
        is_client_retry: bool,
        spilled: bool = False,
        upload: Upload | None = None,
    ) -> ProxiedRequest:
        """Starts an HTTP request. Its timeout counts from when the client sent it.

        `spilled`: another site has forwarded the request to this one.
        Raises BadMessage if its Request-Id is that of a request in progress.
        """
        request_id = message.get(b"request-id") or b""
        # Guards against running a request twice: the first copy, or an attempt of it, may still run.
        if request_id in self.by_request_id:
            raise BadMessage(409, "Request-Id of a request in progress")
        if self.abandoned_ids.has(request_id, now()):
            raise BadMessage(409, "Request-Id of a request that may have run, or runs at another process")
        deadline = self.cap_deadline(message.arrived_at + timeout_ms * 10 - self.client_transit)
        head = forwarded_head(message, upload)
        request = ProxiedRequest(self.next_number(), request_id, client, head, message.body, deadline)
        request.is_streaming = self.streaming_routes[route]
        request.is_idempotent = self.balancer.routes[route].is_idempotent
        request.spilled = spilled
        request.arrived_at = message.arrived_at
        if upload is not None:
            self.upload_times.start(request, upload, timeout_ms * 10 - self.client_transit)
        if spilled:
            self.links.sites.in_progress += 1
        client.request = request
        if self.begun_ids is not None and not request.is_idempotent:
            self.begun_ids.append(request_id)
        self.begin(request, route, tenant, is_client_retry)
        return request

    def cap_deadline(self, deadline: int) -> int:
        """Returns the deadline, or the end of the process if that is earlier."""
        return deadline if self.shutdown_deadline is None else min(deadline, self.shutdown_deadline)

    def next_number(self) -> int:
        """Returns the number of a new request."""
        self.last_number += 1
        return self.last_number

    def begin(self, request: ProxiedRequest, route: int, tenant: int, is_client_retry: bool) -> None:
        """Registers a request of any protocol and reports it to the balancer. It is answered in any case."""
        timeout = max(request.deadline - now(), 1)
        self.in_progress[request.id] = self.by_request_id[request.request_id] = request
        self.set_guard_timer(request, timeout)
        handler = self.balancer.on_request
        if not self.guard.call(handler, request.id, route, tenant, timeout, is_client_retry, request.spilled):
            self.end_failed(request)

    def set_guard_timer(self, request: ProxiedRequest, timeout: int) -> None:
        """Has the request answered after `timeout` even if the balancer lost it through an exception."""
        if request.timer is not None:
            request.timer.stop()
        request.timer = self.timers.after(
            timeout + OVERDUE_ANSWER_DELAY, partial(self.answer_overdue, request)
        )

    def client_disconnected(self, request: ProxiedRequest) -> None:
        """Cancels a request whose client has disconnected."""
        request.client_left = True
        self.close(request)
        self.guard.call(self.balancer.on_client_gone, request.id)
        if request.stream is not None:
            # The balancer does not cancel an attempt whose response has begun.
            request.stream.abandon(Outcome.CANCELLED)
        if request.upload is not None and not request.upload.complete:
            # The balancer does not cancel an attempt because its request body will never be complete.
            for call in [call for call in request.calls if call is not None]:
                call.abandon(Outcome.CANCELLED)

    def end_failed(self, request: ProxiedRequest) -> None:
        """Cancels all attempts of a request and answers 500: this process failed to handle it."""
        for call in request.calls:
            if call is not None:
                call.abandon(Outcome.CANCELLED)
        if request.open:
            request.client.answer(500)
            self.close(request)
            self.guard.call(self.balancer.on_client_gone, request.id)

    def end_unanswered(self, request: ProxiedRequest) -> None:
        """Answers a request because the process ends: 503 if it never ran, else 504.

        Does nothing if it is answered or its response is being streamed.
        """
        if not request.open or request.stream is not None:
            return
        never_ran = not request.may_have_run and all(
            call is None or call.finished or call.withdraw() for call in request.calls
        )
        request.client.answer(503 if never_ran else 504)
        self.close(request)
        self.guard.call(self.balancer.on_client_gone, request.id)

    def site_load(self) -> bytes:
        """Returns the load report for another site: requests in progress per usable backend."""
        return b"inflight=%.2f" % (len(self.in_progress) / max(self.links.usable(), 1))

    # The end of a request.

    def answer_overdue(self, request: ProxiedRequest) -> None:
        """Answers a request that the balancer has not answered by its deadline."""
        # The balancer's own timer may be late, as its delay counts from when the timer was set, and it may
        # not know yet of a body that came late. An answer of the balancer takes precedence.
        if request.upload is not None:
            self.upload_times.report(request)
        self.guard.call(self.balancer.on_wake, "due")
        if request.open:
            self.log(f"request {request.id} not answered by the balancer at its deadline, answering 500")
            self.end_failed(request)

    def close(self, request: ProxiedRequest) -> None:
        """Marks a request as answered or cancelled. It stays in `in_progress` until its last attempt ends."""
        request.open = False
        request.timer.stop()
        request.release_buffers()
        if request.attempts_in_progress:
            self.withdraw_all(request)
        else:
            self.forget(request)

    def withdraw_all(self, request: ProxiedRequest) -> None:
        """Withdraws attempts of which no byte is written, whether or not backends support cancellation."""
        for call in request.calls:
            # Guards against a retry at another site: the site learns that no client waits only from a closed
            # connection.
            if call is not None and not call.withdraw() and call.pool.name.startswith("site:"):
                call.abandon(Outcome.CANCELLED)

    def forget(self, request: ProxiedRequest) -> None:
        """Removes a closed request that has no attempt in progress."""
        if self.in_progress.pop(request.id, None) is not None:
            del self.by_request_id[request.request_id]
            # Guards against an effect that happens again, as the id comes again from another client.
            if request.client_left and request.may_have_run and not request.is_idempotent:
                self.abandoned_ids.add(request.request_id, now())
            # Guards against requests that keep their memory until the garbage collector finds them.
            for call in request.calls:
                if call is not None:
                    call.drop_callbacks()
            if request.upload is not None:
                request.upload.drop_callbacks()
            if request.spilled:
                self.links.sites.in_progress -= 1

    # Called by attempts and health checks.

    def is_still_needed(self, request: ProxiedRequest, attempt_number: int) -> bool:
        """Returns whether an attempt may still be written: its client waits, and its time has not passed."""
        # Guards against sending for a client that has disconnected unnoticed: the node was suspended, or
        # reading from this client is paused.
        if request.open and request.client.has_disconnected():
            self.loop.call_soon(request.client.abort)
            return False
        # Guards against an attempt that waited for a connection until the node's view was outdated.
        if not self.may_forward_requests():
            return False
        # Guards against a retry that waited for a connection until its deduplication window had passed.
        return request.open and self.balancer.may_start_attempt(now(), request.id, attempt_number)

    def on_attempt_ended(
        self,
        request: ProxiedRequest,
        attempt_number: int,
        started_at: int,
        outcome: Outcome,
        response: Message | None,
    ) -> None:
        """Answers the client if the attempt was successful, and reports the outcome to the balancer.

        `started_at`: when the attempt was started.
        """
        duration = now() - started_at
        request.attempts_in_progress -= 1
        request.may_have_run |= outcome not in NEVER_RAN
        report = parse_load_report(response.get(b"server-load")) if response is not None else None
        answered = not request.open or request.stream is not None or outcome == Outcome.COMPLETED
        if request.upload is not None and request.upload.arrived_at is not None:
            # Excludes the time in which the client was still sending the body.
            duration = min(duration, now() - request.upload.arrived_at)
        if request.open and request.stream is not None:
            request.client.end_stream(complete=outcome == Outcome.COMPLETED)
        elif request.open and answered:
            extra_headers = [(b"server-load", self.site_load())] if request.spilled else []
            request.client.answer(200, response.end_to_end(NODE_HEADERS) + extra_headers, response.body)
        if answered:
            self.close(request)
        handler = self.balancer.on_attempt_ended
        reported = self.guard.call(handler, request.id, attempt_number, outcome, duration, answered, report)
        if not reported and request.open:
            self.end_failed(request)

    def on_response_start(
        self, request: ProxiedRequest, attempt_number: int, response: Message, length: int | None
    ) -> BodySink | None:
        """Starts streaming a response to the client and returns the callback for its body.

        Returns None if the request is answered, or another attempt's response is being streamed.
        """
        if not request.open or request.stream is not None:
            return None
        request.timer.stop()
        request.stream = request.calls[attempt_number]
        self.guard.call(self.balancer.on_response_started, request.id, attempt_number)
        return request.client.start_stream(response.end_to_end(NODE_HEADERS), length)

    def on_health_check_ended(
        self, backend: str, started_at: int, outcome: Outcome, response: Message | None
    ) -> None:
        """Reports a health check's outcome and the load report from its headers or body to the balancer."""
        report = None
        if response is not None:
            report = parse_load_report(response.get(b"server-load"))
            report = report or parse_load_report(bytes(response.body[:MAX_REPORT_BYTES]))
        self.guard.call(self.balancer.on_health_check_ended, backend, outcome, now() - started_at, report)

    # Events of discovery, operators and peers.

    def on_endpoint_list(self, endpoints: list[Endpoint], complete: bool) -> None:
        """Passes endpoints to the balancer; to a complete list, adds the links to other sites."""
        links = self.links.endpoints() if complete and self.links is not None else []
        self.guard.call(self.balancer.on_endpoint_list, endpoints + links, complete)

    def on_endpoint_list_failed(self) -> None:
        """Reports to the balancer that discovery returned no endpoint list."""
        self.guard.call(self.balancer.on_endpoint_list_failed)

    def on_maintenance(self, name: str, banned: bool) -> None:
        """Begins or ends a ban of a backend; discards its idle connections and waiting calls."""
        self.guard.call(self.balancer.on_maintenance, name, banned)
        self.upstream.discard_connections(name)

    def on_quota(self, tenant: int, quota: float | None) -> None:
        """Changes a tenant's quota, in requests per second over the fleet; None removes the tenant."""
        self.guard.call(self.balancer.on_quota, tenant, quota)

    def on_route(self, route: int, objective: int, timeout: int, value: float) -> None:
        """Changes a route's latency objective and timeout (both in 0.1 ms) and its priority weight."""
        self.guard.call(self.balancer.on_route, route, objective, timeout, value)

    def on_rate_limit(self, tenant: int, limit: object) -> None:
        """Changes a tenant's rate limit."""
        # Not through the guard: the shadow would use up the tokens of the limit that it shares with its node.
        self.balancer.on_rate_limit(now(), tenant, limit)

    def on_gossip(self, peer: int, messages: list[GossipMessage]) -> None:
        """Passes a peer's messages to the balancer."""
        self.guard.call(self.balancer.on_gossip, peer, messages)

    # `BalancerHost`. A decision about a request that has ended meanwhile is ignored.

    def send(self, number: int, backend: str, timeout: int) -> None:
        """Starts the next attempt of a request, at this backend."""
        request = self.find_open(number)
        if request is None:
            return
        attempt_number, started_at = len(request.calls), now()
        on_outcome = partial(self.on_attempt_ended, request, attempt_number, started_at)
        request.attempts_in_progress += 1
        on_response_start = partial(self.on_response_start, request, attempt_number)
        site_headers, backend_timeout = b"", timeout
        if self.links is not None:
            site_headers, backend_timeout = self.links.headers_for(backend, timeout)
        # Guards against a timeout sent to the backend that includes the time spent waiting for a connection.
        until = started_at + backend_timeout
        link_time = timeout - backend_timeout
        request_chunks = partial(
            self.chunks_of_attempt, request, attempt_number, until, link_time, site_headers
        )
        call = None
        body_consumed = request.upload is not None and request.upload.consumed
        # Guards against a process that was suspended and would send by an outdated view.
        if not body_consumed and self.may_forward_requests():
            call = self.upstream.call(
                backend,
                request_chunks,
                timeout,
                on_outcome,
                on_response_start,
                is_streaming=request.is_streaming,
                upload=request.upload,
                is_still_needed=partial(self.is_still_needed, request, attempt_number),
            )
        if call is None:
            self.loop.call_soon(on_outcome, Outcome.NOT_SENT, None)
        request.calls.append(call)

    @staticmethod
    def chunks_of_attempt(
        request: ProxiedRequest, attempt_number: int, until: int, link_time: int, site_headers: bytes
    ) -> list[bytes]:
        """Returns the buffers of an attempt as it is written now. `until`, `link_time`: see `send`."""
        # Guards against a timeout from before the body had arrived, while the attempt waited to be written.
        if request.upload is not None and request.upload.arrived_at is not None:
            until = min(until, request.deadline - link_time)
        return request.request_chunks(attempt_number, until, site_headers)

    def shed(self, number: int, retry_after: int) -> None:
        """Answers 503, with a Retry-After header unless `retry_after` is 0."""
        if (request := self.find_open(number)) is not None:
            headers = [(b"retry-after", b"%.3f" % (retry_after / SECOND))] if retry_after > 0 else []
            if request.spilled and not request.may_have_run and not request.attempts_in_progress:
                # The other site may retry elsewhere.
                headers.append((b"not-started", b"1"))
            request.client.answer(503, headers)
            self.close(request)

    def fail(self, number: int) -> None:
        """Answers 504 from shortly before the deadline on, 502 earlier."""
        if (request := self.find_open(number)) is not None:
            timed_out = now() >= request.deadline - 2 * OVERDUE_ANSWER_DELAY
            request.client.answer(504 if timed_out else 502)
            self.close(request)

    def cancel(self, number: int, attempt_number: int) -> None:
        """Cancels an attempt, even if it has been written."""
        request = self.in_progress.get(number)
        if (
            request is not None
            and attempt_number < len(request.calls)
            and request.calls[attempt_number] is not None
        ):
            request.calls[attempt_number].abandon(Outcome.CANCELLED)

    def withdraw(self, number: int, attempt_number: int) -> bool:
        """Withdraws an attempt of which no byte is written. Returns whether that was so."""
        request = self.in_progress.get(number)
        call = (
            request.calls[attempt_number]
            if request is not None and attempt_number < len(request.calls)
            else None
        )
        return call is not None and call.withdraw()

    def find_open(self, number: int) -> ProxiedRequest | None:
        """Returns a request that is not answered yet, or None."""
        request = self.in_progress.get(number)
        return request if request is not None and request.open else None

    def health_check(self, backend: str) -> None:
        """Starts a health check of a backend, or reports it as not sent if health checks are disabled."""
        on_outcome = partial(self.on_health_check_ended, backend, now())
        call = self.upstream.call
        chunks, timeout = self.health_check_chunks, self.health_check_timeout
        if not self.health_checks_enabled or (
            call(backend, chunks, timeout, on_outcome, is_health_check=True) is None
        ):
            self.loop.call_soon(on_outcome, Outcome.NOT_SENT, None)

    def gossip(self, messages: list[GossipMessage], peers: list[int]) -> None:
        """Sends messages to peers."""
        self.send_gossip(messages, peers)

    def subscribe(self) -> None:
        """Does nothing: the discovery client watches the endpoint list without being requested to."""

    def wake(self, after: int, tag: str) -> None:
        """Sets a timer that calls `Balancer.on_wake`."""
        self.timers.after(after, partial(self.on_wake, tag))

    def on_wake(self, tag: str) -> None:
        """Calls `Balancer.on_wake`; if that fails, repeats it 1 ms later."""
        # Guards against losing events that are due and were not reached because of the exception.
        if not self.guard.call(self.balancer.on_wake, tag) and tag != "tick":
            self.wake(10, tag)
