"""The HTTP front end: admits connections and requests, and drains them at shutdown."""

import asyncio
import socket
from collections.abc import Callable
from enum import StrEnum

from basalthoist.configuration import Configuration, Limits, Route
from basalthoist.net.clients.connection_limits import ConnectionLimits
from basalthoist.net.clients.disconnects import DisconnectMonitor
from basalthoist.net.clients.http_connection import HttpClientConnection
from basalthoist.net.clients.responses import RETRY_AFTER
from basalthoist.net.clients.timeouts import SWEEP_INTERVAL
from basalthoist.net.dispatcher import RequestDispatcher
from basalthoist.net.framing import BadMessage, Message
from basalthoist.net.lifecycle.shutdown import Shutdown
from basalthoist.net.listener import Listener
from basalthoist.net.runtime.descriptors import DescriptorBudget
from basalthoist.net.runtime.log import Log
from basalthoist.net.runtime.memory_budget import MemoryBudget
from basalthoist.net.runtime.timers import SECOND, Timers, now

METHODS = frozenset((b"GET", b"POST", b"PUT", b"PATCH", b"DELETE"))
LOAD_PATHS = (b"/health", b"/status/load")  # where other sites ask a gateway for its load
ABSOLUTE_FORM = (b"http://", b"https://")
MAX_HOPS_DIGITS = 3
MAX_TIMEOUT_DIGITS = 9
DEFAULT_TIMEOUT_MS = 1000


class DrainReason(StrEnum):
    """What has this node drain."""

    OPERATOR = "operator"  # an operator's call, or the shutdown
    FLEET = "fleet"  # the view of the fleet is stale
    CONFIGURATION = "configuration"  # the view of the distributed configuration is stale


class FrontEnd:
    """Admits clients' connections and requests: route and tenant lookup, readiness, draining."""

    def __init__(
        self,
        configuration: Configuration,
        loop: asyncio.AbstractEventLoop,
        timers: Timers,
        dispatcher: RequestDispatcher,
        descriptors: DescriptorBudget,
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
        self.connection_limits: ConnectionLimits = ConnectionLimits(self.limits, descriptors, log)
        # The same objects: one look-up less for each request.
        self.clients: dict[HttpClientConnection, None] = self.connection_limits.clients
        self.idle_clients: dict[HttpClientConnection, None] = self.connection_limits.idle_clients
        self.add_idle: Callable[[HttpClientConnection], None] = self.connection_limits.add_idle
        self.memory_budget: MemoryBudget = self.connection_limits.memory_budget
        self.disconnect_monitor: DisconnectMonitor = DisconnectMonitor(timers)
        self.listener: Listener | None = None
        # Whether another process may accept connections from the same listening socket.
        self.listener_shared: Callable[[], bool] = lambda: False
        self.longest_timeout: int = int(configuration.longest_timeout_s * SECOND)  # of any route, in 0.1 ms
        self.ready: bool = False
        # While draining, idle connections are closed, and each response closes its own unless more has come.
        self.draining: bool = False
        self.drain_reasons: set[DrainReason] = set()
        self.close_idle_from: int = 0  # while draining, when idle connections begin to be closed
        self.shutting_down: bool = False
        self.shutdown: Shutdown = Shutdown(self)
        self.drained: asyncio.Future = self.shutdown.drained
        self.check_drained: Callable[[], None] = self.shutdown.check_drained
        descriptors.reclaimers.append(self.connection_limits.evict_one)
        timers.every(SWEEP_INTERVAL, self.enforce_limits)

    # Requests.

    def accept_request(self, client: HttpClientConnection, message: Message) -> None:
        """Validates a request and starts it, or answers it here.

        Raises BadMessage with the status to answer where the request is not valid.
        """
        if not client.admitted:
            return client.answer(503)
        if message.target.startswith(ABSOLUTE_FORM):  # as clients send it to any proxy
            message.target = b"/" + b"/".join(message.target.split(b"/", 3)[3:])
        path = message.target.partition(b"?")[0]
        if self.answer_own_path(client, path):
            return
        if message.method not in METHODS:
            raise BadMessage(405, "method")
        route_number, route = self.route_of(message, path)
        # Guards against a request of two ids, one of which is another's that is open.
        if len([v for k, v in message.headers if k == b"request-id" and v]) != 1:
            raise BadMessage(400, "not one Request-Id")
        tenant_number = self.tenant_of(message)
        if not self.may_forward_requests():
            return client.answer(503, [RETRY_AFTER])
        is_retry = message.get(b"client-retry") == b"1"
        links = self.dispatcher.links
        spilled = links is not None and message.get(b"site-hops") is not None
        if spilled and not links.sites.accepts(hops_of(message)):
            return client.answer(503, [(b"not-started", b"1")])
        timeout_ms = timeout_of(message, route)
        self.dispatcher.start(
            client, message, route_number, tenant_number, timeout_ms, is_retry, spilled, client.upload
        )

    def answer_own_path(self, client: HttpClientConnection, path: bytes) -> bool:
        """Answers a request for readiness, or of another site for this one's load; whether it was one."""
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
        """The route of a request, by the first segment of its path, and the route's number."""
        name = path.split(b"/")[1] if path.startswith(b"/") else b""
        header = message.get(b"request-class")
        # Guards against a request of two routes, one of which may be repeated and the other not.
        if header is not None and header != name:
            raise BadMessage(400, "Request-Class is not the path's")
        if name not in self.routes:
            raise BadMessage(404, "unknown route")
        return self.routes[name]

    def tenant_of(self, message: Message) -> int:
        """The number of a request's tenant."""
        name = message.get(b"tenant")
        number = self.tenant_number(name)
        if number is None:
            raise BadMessage(400, "unknown Tenant")  # or none named, which would pass by every quota
        if name in self.blocked_tenants:
            raise BadMessage(403, "tenant blocked")
        return number

    def configured_tenant_number(self, name: bytes | None) -> int | None:
        """The number of a configured tenant, None for any other; 0 for all where none is configured."""
        return self.tenants.get(name) if self.tenants else 0

    def set_blocked_tenants(self, names: set[str]) -> None:
        """Sets the tenants whose requests are rejected."""
        self.blocked_tenants = {name.encode() for name in names}

    # Draining, for a while or at the end: new connections are still admitted and every request is answered.

    def serving(self) -> bool:
        """The readiness of the node."""
        return self.ready and not self.draining

    def start_draining(self, reason: DrainReason = DrainReason.OPERATOR) -> None:
        """Starts draining, or adds a reason for it."""
        if not self.draining:
            self.close_idle_from = now() + int(self.limits.linger_s * SECOND)
        self.drain_reasons.add(reason)
        self.draining = True

    def stop_draining(self, reason: DrainReason = DrainReason.OPERATOR) -> None:
        """Withdraws one reason for draining; it ends with the last."""
        self.drain_reasons.discard(reason)
        self.draining = self.shutting_down or bool(self.drain_reasons)

    def begin_shutdown(self) -> None:
        """Begins the graceful shutdown."""
        self.start_draining()
        self.shutting_down = True
        self.shutdown.begin()

    @property
    def connections(self) -> dict[HttpClientConnection, None]:
        """The open connections, for the shutdown."""
        return self.clients

    def close_idle_connections(self) -> None:
        """Closes every connection on which nothing is in progress."""
        self.connection_limits.close_idle(-1)

    def enforce_limits(self) -> None:
        """Enforces timeouts and limits; while draining, closes idle connections."""
        at = now()
        self.connection_limits.enforce(at)
        if self.draining and at >= self.close_idle_from:
            self.connection_limits.close_idle(self.connection_limits.first_request_grace)

    # Connections.

    def listen(self, sock: socket.socket) -> Listener:
        """Accepts connections from the socket."""
        self.listener = Listener(
            self.loop, self.timers, self.log, sock, self.admit, self.connection_dropped, self.is_full
        )
        self.listener.on_connection_set_up = self.check_drained
        return self.listener

    def is_full(self) -> bool:
        """Whether no connection can be accepted within the file-descriptor budget."""
        if not self.descriptors.is_exhausted():
            return False
        self.descriptors.reclaim(self.connection_limits.evict_one)
        return True

    def admit(self) -> HttpClientConnection:
        """Makes the protocol of an accepted connection."""
        for_upstream = int(self.descriptors.limit * self.limits.upstream_part)
        admitted = self.descriptors.acquire(self.connection_limits.evict_one, for_upstream)
        if not admitted:
            self.descriptors.acquire_over_limit()
        return HttpClientConnection(self, admitted)

    def connection_dropped(self) -> None:
        """An accepted connection could not be taken over."""
        self.descriptors.release()


def hops_of(message: Message) -> int:
    """How many sites the request has passed through."""
    text = message.get(b"site-hops")
    if not text.isdigit() or len(text) > MAX_HOPS_DIGITS:
        raise BadMessage(400, "bad Site-Hops")
    return int(text)


def timeout_of(message: Message, route: Route) -> int:
    """The request's timeout in ms."""
    text = message.get(b"request-timeout-ms")
    if text is None:
        return route.overall_timeout // 1000 or DEFAULT_TIMEOUT_MS
    if not text.isdigit() or len(text) > MAX_TIMEOUT_DIGITS:
        raise BadMessage(400, "bad Request-Timeout-Ms")
    return int(text)
