"""The HTTP front end: admits connections and requests, and drains them at shutdown."""

import asyncio
import socket
from collections.abc import Callable
from enum import StrEnum

from basalthoist.configuration import Configuration, Limits, Route
from basalthoist.net.clients.connection_limits import ConnectionLimits
from basalthoist.net.clients.http_connection import HttpClientConnection
from basalthoist.net.clients.paused_clients import PausedClientMonitor
from basalthoist.net.clients.responses import RETRY_AFTER
from basalthoist.net.clients.timeouts import SWEEP_INTERVAL
from basalthoist.net.dispatcher import RequestDispatcher
from basalthoist.net.framing import BadMessage, Message
from basalthoist.net.lifecycle.shutdown import Shutdown
from basalthoist.net.listener import Listener
from basalthoist.net.runtime.bounded_reads import ReadBuffer
from basalthoist.net.runtime.descriptors import DescriptorBudget
from basalthoist.net.runtime.event_counts import EventCount
from basalthoist.net.runtime.log import Log
from basalthoist.net.runtime.memory_budget import MemoryBudget
from basalthoist.net.runtime.timers import SECOND, Timers, now

METHODS = frozenset((b"GET", b"POST", b"PUT", b"PATCH", b"DELETE"))
LOAD_PATHS = (b"/health", b"/status/load")  # where other sites poll a gateway's load
ABSOLUTE_FORM = (b"http://", b"https://")
MAX_HOPS_DIGITS = 3
MAX_TIMEOUT_DIGITS = 9
DEFAULT_TIMEOUT_MS = 1000


class DrainReason(StrEnum):
    """Why this node drains."""

    OPERATOR = "operator"  # an operator's call, or the graceful shutdown
    FLEET = "fleet"  # the view of the fleet is stale
    CONFIGURATION = "configuration"  # the view of the distributed configuration is stale


class FrontEnd:
    """Admits clients' connections and requests; handles route and tenant lookup, readiness and draining."""

    def __init__(
        self,
        configuration: Configuration,
        loop: asyncio.AbstractEventLoop,
        timers: Timers,
        dispatcher: RequestDispatcher,
        descriptors: DescriptorBudget,
        read_buffer: ReadBuffer,
        log: Log,
    ) -> None:
        self.loop: asyncio.AbstractEventLoop = loop
        self.timers: Timers = timers
        self.log: Log = log
        self.dispatcher: RequestDispatcher = dispatcher
        self.descriptors: DescriptorBudget = descriptors
        self.limits: Limits = configuration.limits
        self.routes: dict[bytes, tuple[int, Route]] = {
            route.name.encode(): (number, route) for number, route in enumerate(configuration.routes)
        }
        self.tenants: dict[bytes, int] = {
            name.encode(): number for number, name in enumerate(configuration.customers)
        }
        self.blocked_tenants: set[bytes] = set()
        self.tenant_number: Callable[[bytes | None], int | None] = self.configured_tenant_number
        self.may_forward_requests: Callable[[], bool] = lambda: True
        self.read_buffer: ReadBuffer = read_buffer
        self.memory_budget: MemoryBudget = read_buffer.memory_budget
        self.connection_limits: ConnectionLimits = ConnectionLimits(
            self.limits, descriptors, self.memory_budget, log
        )
        self.refused_for_memory: EventCount = EventCount(
            log, "memory budget exceeded: {} complete requests answered 503".format
        )
        # Aliases that save one attribute look-up for each request.
        self.clients: dict[HttpClientConnection, None] = self.connection_limits.clients
        self.idle_clients: dict[HttpClientConnection, None] = self.connection_limits.idle_clients
        self.add_idle: Callable[[HttpClientConnection], None] = self.connection_limits.add_idle
        self.paused_client_monitor: PausedClientMonitor = PausedClientMonitor(timers)
        self.listener: Listener | None = None
        # Returns whether another process may accept connections from the same listening socket.
        self.listener_shared: Callable[[], bool] = lambda: False
        self.longest_timeout: int = int(configuration.longest_timeout_s * SECOND)  # of any route, in 0.1 ms
        self.ready: bool = False
        # While draining, idle connections are closed, and others after their response unless the next request
        # has begun to arrive.
        self.draining: bool = False
        self.drain_reasons: set[DrainReason] = set()
        self.close_idle_from: int = 0  # while draining: from when on idle connections are closed
        self.shutting_down: bool = False
        self.shutdown: Shutdown = Shutdown(self)
        self.drained: asyncio.Future = self.shutdown.drained
        self.check_drained: Callable[[], None] = self.shutdown.check_drained
        descriptors.reclaimers.append(self.connection_limits.evict_one)
        timers.every(SWEEP_INTERVAL, self.enforce_limits)

    # Requests.

    def accept_request(self, client: HttpClientConnection, message: Message) -> None:
        """Validates a request and passes it to the dispatcher, or answers it at once.

        Raises BadMessage, with the status to answer, if the request is invalid.
        """
        if not client.admitted:
            return client.answer(503)
        if message.target.startswith(ABSOLUTE_FORM):
            # Clients that are configured to use a proxy send the absolute form of the target.
            message.target = b"/" + b"/".join(message.target.split(b"/", 3)[3:])
        path = message.target.partition(b"?")[0]
        if self.answer_own_path(client, path):
            return
        if message.method not in METHODS:
            raise BadMessage(405, "expected method GET, POST, PUT, PATCH or DELETE")
        route_number, route = self.route_of(message, path)
        # Guards against a request with two ids, of which one belongs to another request in progress.
        if len([v for k, v in message.headers if k == b"request-id" and v]) != 1:
            raise BadMessage(400, "expected exactly one Request-Id")
        tenant_number = self.tenant_of(message)
        if self.memory_budget.is_exceeded():
            self.refused_for_memory.add()
            return client.answer(503, [RETRY_AFTER])
        if not self.may_forward_requests():
            return client.answer(503, [RETRY_AFTER])
        is_retry = message.get(b"client-retry") == b"1"
        links = self.dispatcher.links
        spilled = links is not None and message.get(b"site-hops") is not None
        if spilled and not links.sites.accepts(hops_of(message)):
            return client.answer(503, [(b"not-started", b"1")])
        timeout_ms = timeout_of(message, route)
        self.dispatcher.start(
            client, message, route_number, tenant_number, timeout_ms, is_retry, spilled, client.reading.upload
        )

    def answer_own_path(self, client: HttpClientConnection, path: bytes) -> bool:
        """Answers a readiness check, or another site's request for this site's load.

        Returns whether the request was one of these.
        """
        if path == b"/ready":
            client.answer(200 if self.serving() else 503)
            return True
        links = self.dispatcher.links
        if links is not None and path == b"/site":
            client.answer(200, [(b"content-type", b"application/json")], links.report())
            return True
        if links is not None and path in LOAD_PATHS:
            client.answer(200, [(b"server-load", self.dispatcher.site_load())])
            return True
        return False

    def route_of(self, message: Message, path: bytes) -> tuple[int, Route]:
        """Returns the number and the settings of the route that the first segment of the path names."""
        name = path.split(b"/")[1] if path.startswith(b"/") else b""
        header = message.get(b"request-class")
        # Guards against a request that names two routes, of which one is idempotent and the other is not.
        if header is not None and header != name:
            raise BadMessage(400, "Request-Class differs from the first segment of the path")
        if name not in self.routes:
            raise BadMessage(404, "first segment of the path names no route")
        return self.routes[name]

    def tenant_of(self, message: Message) -> int:
        """Returns the number of a request's tenant. Raises BadMessage if it is unknown or blocked."""
        name = message.get(b"tenant")
        number = self.tenant_number(name)
        if number is None:
            # Without a tenant, a request would be subject to no quota.
            raise BadMessage(400, "Tenant missing or unknown")
        if name in self.blocked_tenants:
            raise BadMessage(403, "tenant blocked")
        return number

    def configured_tenant_number(self, name: bytes | None) -> int | None:
        """Returns the number of a configured tenant, or None for an unknown name.

        Returns 0 for every name if no tenants are configured.
        """
        return self.tenants.get(name) if self.tenants else 0

    def set_blocked_tenants(self, names: set[str]) -> None:
        """Sets the tenants whose requests are rejected."""
        self.blocked_tenants = {name.encode() for name in names}

    # Draining, temporarily or before the end: connections are still admitted and every request is answered.

    def serving(self) -> bool:
        """Returns whether the node is ready for new clients."""
        return self.ready and not self.draining

    def start_draining(self, reason: DrainReason = DrainReason.OPERATOR) -> None:
        """Starts draining, or adds a reason to drain."""
        if not self.draining:
            self.close_idle_from = now() + int(self.limits.linger_s * SECOND)
        self.drain_reasons.add(reason)
        self.draining = True

    def stop_draining(self, reason: DrainReason = DrainReason.OPERATOR) -> None:
        """Removes a reason to drain; draining stops when no reason is left."""
        self.drain_reasons.discard(reason)
        self.draining = self.shutting_down or bool(self.drain_reasons)

    def begin_shutdown(self) -> None:
        """Starts the graceful shutdown."""
        self.start_draining()
        self.shutting_down = True
        self.shutdown.begin()

    @property
    def connections(self) -> dict[HttpClientConnection, None]:
        """Returns the open connections, for the graceful shutdown."""
        return self.clients

    def close_idle_connections(self) -> None:
        """Closes every idle connection, however short it has been idle."""
        self.connection_limits.close_idle(-1)

    def enforce_limits(self) -> None:
        """Enforces timeouts and limits; while draining, closes idle connections."""
        at = now()
        self.connection_limits.enforce(at)
        if self.draining and at >= self.close_idle_from:
            self.connection_limits.close_idle(self.connection_limits.first_request_grace)

    # Connections.

    def listen(self, sock: socket.socket) -> Listener:
        """Starts accepting connections from the socket."""
        self.listener = Listener(
            self.loop, self.timers, self.log, sock, self.admit, self.connection_dropped, self.is_full
        )
        self.listener.on_connection_set_up = self.check_drained
        return self.listener

    def is_full(self) -> bool:
        """Returns whether the descriptor budget allows no further connection; if so, evicts some."""
        if not self.descriptors.is_exhausted():
            return False
        if not self.connection_limits.evict_finished():
            self.descriptors.reclaim(self.connection_limits.evict_one)
        return True

    def admit(self) -> HttpClientConnection:
        """Creates the protocol of an accepted connection. Without a free descriptor, its requests get 503."""
        reserved_for_upstream = int(self.descriptors.limit * self.limits.upstream_part)
        admitted = self.descriptors.acquire(self.connection_limits.evict_one, reserved_for_upstream)
        if not admitted:
            self.descriptors.acquire_over_limit()
        return HttpClientConnection(self, admitted)

    def connection_dropped(self) -> None:
        """Releases the descriptor of an accepted connection that could not be set up."""
        self.descriptors.release()


def hops_of(message: Message) -> int:
    """Returns how many sites the request has passed through. Raises BadMessage."""
    text = message.get(b"site-hops")
    if not text.isdigit() or len(text) > MAX_HOPS_DIGITS:
        raise BadMessage(400, f"expected Site-Hops of up to {MAX_HOPS_DIGITS} digits")
    return int(text)


def timeout_of(message: Message, route: Route) -> int:
    """Returns the request's timeout in milliseconds. Raises BadMessage."""
    text = message.get(b"request-timeout-ms")
    if text is None:
        return route.overall_timeout // 1000 or DEFAULT_TIMEOUT_MS
    if not text.isdigit() or len(text) > MAX_TIMEOUT_DIGITS:
        raise BadMessage(400, f"expected Request-Timeout-Ms of up to {MAX_TIMEOUT_DIGITS} digits")
    return int(text)
