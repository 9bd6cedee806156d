"""Takes requests from clients and carries out what the balancer decides about them."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from basalthoist.configuration import Configuration
from basalthoist.decisions.balancer import Balancer
from basalthoist.decisions.interface import NEVER_RAN, Endpoint, GossipMessage, Outcome
from basalthoist.net.decision_guard import DecisionGuard
from basalthoist.net.framing import BadMessage, Message, head_of
from basalthoist.net.proxied_request import ProxiedRequest, RequestClient, forwarded_head
from basalthoist.net.runtime.log import Log
from basalthoist.net.runtime.timers import SECOND, Timers, now
from basalthoist.net.uploads import Upload
from basalthoist.net.upstream.call import BodySink, RequestChunks
from basalthoist.net.upstream.load_report import parse_load_report
from basalthoist.net.upstream.upstream import Upstream

if TYPE_CHECKING:
    from basalthoist.gateway.links import Links

NODE_HEADERS = frozenset((b"server-load", b"not-started"))  # of responses, for the node and not its clients
ANSWER_OVERDUE = 20  # 2 ms after its deadline a request is answered, whatever has become of it
MAX_REPORT_BYTES = 256  # of a health check's body


class RequestDispatcher:
    """Implements `BalancerHost`. Times: tenths of a millisecond.

    Events go to the balancer through `guard`, save rate limits and `may_start_attempt`.
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
        self.by_request_id: dict[bytes, ProxiedRequest] = {}
        self.last_number: int = 0
        self.links: Links | None = None  # to other sites
        self.ends_at: int | None = None  # when the process has to have answered everything
        health_check = head_of(b"GET %b HTTP/1.1" % self.health_check_path, [(b"Host", b"basalthoist")])
        health_check += b"\r\n"
        self.health_check_chunks: RequestChunks = lambda: [health_check]
        self.send_gossip: Callable[[list[GossipMessage], list[int]], None] = lambda messages, peers: None
        self.may_forward_requests: Callable[[], bool] = lambda: True
        self.guard: DecisionGuard = DecisionGuard(timers, log)
        began_at = now()
        self.balancer: Balancer = Balancer(self, configuration.seed, configuration.settings, began_at)
        if configuration.shadow_settings is not None:
            from basalthoist.shadow import Shadow

            shadow = Shadow(self.balancer, configuration.seed, configuration.shadow_settings, began_at)
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

        Raises BadMessage where its Request-Id is in use.
        """
        request_id = message.get(b"request-id") or b""
        # Guards against a second copy of a request that is open, or of which an attempt may still run.
        if request_id in self.by_request_id:
            raise BadMessage(409, "an open request has this Request-Id")
        deadline = self.cap_deadline(message.came_at + timeout_ms * 10 - self.client_transit)
        head = forwarded_head(message, upload)
        request = ProxiedRequest(self.next_number(), request_id, client, head, message.body, deadline)
        request.is_streaming = self.streaming_routes[route]
        request.spilled = spilled
        request.came_at = message.came_at
        if upload is not None:
            self.stream_body(request, upload, timeout_ms)
        if spilled:
            self.links.sites.in_progress += 1
        client.request = request
        self.begin(request, route, tenant, is_client_retry)
        return request

    def cap_deadline(self, deadline: int) -> int:
        """Shortens a deadline to the end of the process."""
        return deadline if self.ends_at is None else min(deadline, self.ends_at)

    def next_number(self) -> int:
        """The number of a new request."""
        self.last_number += 1
        return self.last_number

    def begin(self, request: ProxiedRequest, route: int, tenant: int, is_client_retry: bool) -> None:
        """Begins a request of any protocol: from here on it is answered."""
        timeout = max(request.deadline - now(), 1)
        self.in_progress[request.id] = self.by_request_id[request.request_id] = request
        # Guards against a request that the decisions lost by failing: it is answered all the same.
        request.timer = self.timers.after(timeout + ANSWER_OVERDUE, partial(self.answer_overdue, request))
        handler = self.balancer.on_request
        if not self.guard.call(handler, request.id, route, tenant, timeout, is_client_retry, request.spilled):
            self.end_failed(request)

    def client_disconnected(self, request: ProxiedRequest) -> None:
        """Cancels a request whose client has closed its connection."""
        self.close(request)
        self.guard.call(self.balancer.on_client_gone, request.id)
        if request.stream is not None:
            request.stream.abandon(Outcome.CANCELLED)  # the decisions cannot cancel a begun response
        if request.upload is not None and not request.upload.complete:
            for call in [call for call in request.calls if call is not None]:
                call.abandon(Outcome.CANCELLED)  # nor an attempt whose body will never be complete

    def end_failed(self, request: ProxiedRequest) -> None:
        """Ends a request that failed in this program."""
        for call in request.calls:
            if call is not None:
                call.abandon(Outcome.CANCELLED)
        if request.open:
            request.client.answer(500)
            self.close(request)
            self.guard.call(self.balancer.on_client_gone, request.id)

    def end_unanswered(self, request: ProxiedRequest) -> None:
        """Answers a request as the process ends, unless its response is being streamed."""
        if not request.open or request.stream is not None:
            return
        never_ran = not request.may_have_run and all(
            call is None or call.finished or call.withdraw() for call in request.calls
        )
        request.client.answer(503 if never_ran else 504)
        self.close(request)
        self.guard.call(self.balancer.on_client_gone, request.id)

    def site_load(self) -> bytes:
        """The load report to another site: requests in progress for each usable backend."""
        return b"inflight=%.2f" % (len(self.in_progress) / max(self.links.usable(), 1))

    # Bodies that are streamed.

    def stream_body(self, request: ProxiedRequest, upload: Upload, timeout_ms: int) -> None:
        """Has the timeout count from the body's last byte; until then the client may take its time."""
        request.upload = upload
        timeout = timeout_ms * 10 - self.client_transit
        bytes_to_come = (upload.length or self.limits.long_bytes) - len(upload.buffer)
        request.deadline += int(bytes_to_come / self.limits.client_bytes_per_s * SECOND) + SECOND
        upload.timeout = max(timeout, 1)
        upload.on_forwarding_started = partial(self.on_forwarding_started, request)
        upload.on_complete = partial(self.on_body_complete, request)

    def on_forwarding_started(self, request: ProxiedRequest) -> None:
        """Reports the body to the balancer, after the decision that sends it."""
        self.loop.call_soon(self.report_body, request)

    def on_body_complete(self, request: ProxiedRequest) -> None:
        """Sets the deadline anew, and reports it if the body is being sent."""
        request.deadline = self.cap_deadline(now() + request.upload.timeout)
        if request.open:
            request.timer.stop()
            left = max(request.deadline - now(), 1)
            request.timer = self.timers.after(left + ANSWER_OVERDUE, partial(self.answer_overdue, request))
        if request.upload.consumed:
            self.loop.call_soon(self.report_body, request)

    def report_body(self, request: ProxiedRequest) -> None:
        """Tells the balancer how much time is left and whether the body is complete."""
        if request.open:
            left = max(request.deadline - now(), 1)
            self.guard.call(self.balancer.on_body_forwarded, request.id, left, request.upload.complete)

    # The end of a request.

    def answer_overdue(self, request: ProxiedRequest) -> None:
        """Answers a request that the decisions did not."""
        # Guards against a late wake of the decisions, which counts from when it was asked for: what they
        # would answer in the next moment goes first.
        self.guard.call(self.balancer.on_wake, "due")
        if request.open:
            self.log(f"request {request.id} was left unanswered")
            self.end_failed(request)

    def close(self, request: ProxiedRequest) -> None:
        """Marks a request as answered or cancelled; it stays known until its last attempt has ended."""
        request.open = False
        request.timer.stop()
        if request.attempts_in_progress:
            self.withdraw_all(request)
        else:
            self.forget(request)

    def withdraw_all(self, request: ProxiedRequest) -> None:
        """Withdraws attempts that are not written, whether or not backends support cancellation."""
        for call in request.calls:
            # Guards against a retry at another site, which learns only by the connection that nobody waits.
            if call is not None and not call.withdraw() and call.pool.name.startswith("site:"):
                call.abandon(Outcome.CANCELLED)

    def forget(self, request: ProxiedRequest) -> None:
        """Removes a request of which nothing is in progress."""
        if self.in_progress.pop(request.id, None) is not None:
            del self.by_request_id[request.request_id]
            if request.spilled:
                self.links.sites.in_progress -= 1

    # Called by attempts and health checks.

    def is_wanted(self, request: ProxiedRequest, attempt_number: int) -> bool:
        """Whether an attempt may still be written: its client waits, and its time has not passed."""
        # Guards against sending for a client that has left: its end may lie unread, as after the node
        # stood still, or while nothing is read from that client.
        if request.open and request.client.has_disconnected():
            self.loop.call_soon(request.client.abort)
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
        """Answers the client if the attempt was successful, and reports the outcome to the balancer."""
        duration = now() - started_at
        request.attempts_in_progress -= 1
        request.may_have_run |= outcome not in NEVER_RAN
        report = parse_load_report(response.get(b"server-load")) if response is not None else None
        answered = not request.open or request.stream is not None or outcome == Outcome.COMPLETED
        if request.upload is not None and request.upload.complete:
            # Without the time that the client took.
            duration = min(duration, now() - (request.deadline - request.upload.timeout))
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
        """Begins to stream a response to the client, unless another attempt was first."""
        if not request.open or request.stream is not None:
            return None
        request.timer.stop()
        request.stream = request.calls[attempt_number]
        self.guard.call(self.balancer.on_response_started, request.id, attempt_number)
        return request.client.start_stream(response.end_to_end(NODE_HEADERS), length)

    def on_health_check_ended(
        self, backend: str, started_at: int, outcome: Outcome, response: Message | None
    ) -> None:
        """Reports a health check's outcome and the load report in its headers or body."""
        report = None
        if response is not None:
            report = parse_load_report(response.get(b"server-load"))
            report = report or parse_load_report(bytes(response.body[:MAX_REPORT_BYTES]))
        self.guard.call(self.balancer.on_health_check_ended, backend, outcome, now() - started_at, report)

    # Events of discovery, operators and peers.

    def on_endpoint_list(self, endpoints: list[Endpoint], complete: bool) -> None:
        """Passes on listed backends; a complete list also has the links to other sites."""
        links = self.links.endpoints() if complete and self.links is not None else []
        self.guard.call(self.balancer.on_endpoint_list, endpoints + links, complete)

    def on_endpoint_list_failed(self) -> None:
        """Discovery gave no list."""
        self.guard.call(self.balancer.on_endpoint_list_failed)

    def on_maintenance(self, name: str, banned: bool) -> None:
        """A maintenance ban of a backend begins or ends."""
        self.guard.call(self.balancer.on_maintenance, name, banned)
        self.upstream.discard_connections(name)

    def on_quota(self, tenant: int, quota: float | None) -> None:
        """Changes a tenant's quota, in requests a second over the fleet; None removes the tenant."""
        self.guard.call(self.balancer.on_quota, tenant, quota)

    def on_route(self, route: int, objective: int, timeout: int, value: float) -> None:
        """Changes a route's latency objective, timeout and priority weight."""
        self.guard.call(self.balancer.on_route, route, objective, timeout, value)

    def on_rate_limit(self, tenant: int, limit: object) -> None:
        """Changes a tenant's rate limit."""
        # Guards against a shadow that uses up what its node may admit: it sees no rate limits.
        self.balancer.on_rate_limit(now(), tenant, limit)

    def on_gossip(self, peer: int, messages: list[GossipMessage]) -> None:
        """Passes on what a peer has sent."""
        self.guard.call(self.balancer.on_gossip, peer, messages)

    # `BalancerHost`; a request that has ended meanwhile is no error.

    def send(self, number: int, backend: str, timeout: int) -> None:
        """Starts the next attempt of a request."""
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
        # Guards against telling a backend of time that has passed while the attempt waited for a connection.
        until = started_at + backend_timeout
        request_chunks = partial(request.request_chunks, attempt_number, until, site_headers)
        call = None
        body_consumed = request.upload is not None and request.upload.consumed
        # Guards against a process that stood still and sends by what it knew before.
        if not body_consumed and self.may_forward_requests():
            call = self.upstream.call(
                backend,
                request_chunks,
                timeout,
                on_outcome,
                on_response_start,
                is_streaming=request.is_streaming,
                upload=request.upload,
                is_wanted=partial(self.is_wanted, request, attempt_number),
            )
        if call is None:
            self.loop.call_soon(on_outcome, Outcome.NOT_SENT, None)
        request.calls.append(call)

    def shed(self, number: int, retry_after: int) -> None:
        """Answers 503, with the time after which to retry."""
        if (request := self.find_open(number)) is not None:
            headers = [(b"retry-after", b"%.3f" % (retry_after / SECOND))] if retry_after > 0 else []
            if request.spilled and not request.may_have_run and not request.attempts_in_progress:
                headers.append((b"not-started", b"1"))  # so that the other site may retry elsewhere
            request.client.answer(503, headers)
            self.close(request)

    def fail(self, number: int) -> None:
        """Answers 504 near the deadline or after it, 502 before."""
        if (request := self.find_open(number)) is not None:
            timed_out = now() >= request.deadline - 2 * ANSWER_OVERDUE
            request.client.answer(504 if timed_out else 502)
            self.close(request)

    def cancel(self, number: int, attempt_number: int) -> None:
        """Cancels an attempt."""
        request = self.in_progress.get(number)
        if (
            request is not None
            and attempt_number < len(request.calls)
            and request.calls[attempt_number] is not None
        ):
            request.calls[attempt_number].abandon(Outcome.CANCELLED)

    def withdraw(self, number: int, attempt_number: int) -> bool:
        """Withdraws an attempt; whether none of it was written."""
        request = self.in_progress.get(number)
        call = (
            request.calls[attempt_number]
            if request is not None and attempt_number < len(request.calls)
            else None
        )
        return call is not None and call.withdraw()

    def find_open(self, number: int) -> ProxiedRequest | None:
        """A request that is not answered yet."""
        request = self.in_progress.get(number)
        return request if request is not None and request.open else None

    def health_check(self, backend: str) -> None:
        """Starts a health check."""
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
        """Does nothing: discovery is followed for as long as the node lives."""

    def wake(self, after: int, tag: str) -> None:
        """Sets a timer for `Balancer.on_wake`."""
        self.timers.after(after, partial(self.on_wake, tag))

    def on_wake(self, tag: str) -> None:
        """Wakes the balancer."""
        # Guards against a failing wake that takes those behind it along: what is due is looked at again.
        if not self.guard.call(self.balancer.on_wake, tag) and tag != "tick":
            self.wake(10, tag)
