"""The JSON-RPC front end: accepts connections on its own address and starts the calls that come."""

import asyncio
from collections.abc import Callable
from functools import partial

from basalthoist.configuration import Configuration
from basalthoist.configuration.jsonrpc import JsonRpcDocument
from basalthoist.net.dispatcher import RequestDispatcher
from basalthoist.net.lifecycle.shutdown import Shutdown
from basalthoist.net.listener import Listener, listening_socket
from basalthoist.net.runtime.descriptors import DescriptorBudget
from basalthoist.net.runtime.log import Log
from basalthoist.net.runtime.timers import SECOND, Timers, now

from .client_connection import Caller, JsonRpcClientConnection
from .messages import SHED, JsonRpcCall, encode_error_member, encode_response
from .upstream import CallLine, JsonConnection, JsonProxiedRequest

SWEEP_PERIOD = SECOND // 4  # in tenths of a millisecond


class JsonRpcFrontEnd:
    """Serves JSON-RPC clients; the backends of this node speak JSON-RPC as well."""

    def __init__(
        self,
        document: JsonRpcDocument,
        configuration: Configuration,
        loop: asyncio.AbstractEventLoop,
        timers: Timers,
        dispatcher: RequestDispatcher,
        descriptors: DescriptorBudget,
        log: Log,
    ) -> None:
        self.document: JsonRpcDocument = document
        self.loop: asyncio.AbstractEventLoop = loop
        self.timers: Timers = timers
        self.dispatcher: RequestDispatcher = dispatcher
        self.log: Log = log
        self.descriptors: DescriptorBudget = descriptors
        self.limits = configuration.limits
        routes = {route.name: (number, route) for number, route in enumerate(configuration.routes)}
        self.methods: dict[str, tuple] = {  # each with its route's number and settings
            method: routes[route] for method, route in document.methods.items()
        }
        tenants = configuration.customers
        self.tenant: int = tenants.index(document.customer) if document.customer in tenants else 0
        self.most_open: int = document.most_open  # calls in progress on a connection
        self.most_batch: int = document.most_batch
        self.connections: dict[JsonRpcClientConnection, None] = {}
        self.notifications: int = 0
        self.listener: Listener | None = None
        self.longest_timeout: int = int(configuration.longest_timeout_s * SECOND)  # deadline of any route
        self.shutdown: Shutdown = Shutdown(self)
        self.drained: asyncio.Future = self.shutdown.drained
        self.check_drained: Callable[[], None] = self.shutdown.check_drained
        dispatcher.upstream.connection_type = JsonConnection
        dispatcher.health_check_chunks = partial(CallLine, "probe", document.load_method, b"")
        timers.every(SWEEP_PERIOD, self.sweep)

    async def listen(self, address: tuple[str, int]) -> None:
        """Raises OSError where the address cannot be used."""
        sock = listening_socket(address, self.limits.backlog)
        gives_back = self.descriptors.release
        self.listener = Listener(self.loop, self.timers, self.log, sock, self.open, gives_back)
        self.listener.on_connection_set_up = self.check_drained
        self.log(f"listening for JSON-RPC on {address[0]}:{address[1]}")

    def open(self) -> asyncio.Protocol:
        """The protocol of a new connection, which is rejected where no descriptor is left."""
        if not self.descriptors.acquire(lambda: False):
            self.descriptors.acquire_over_limit()
            return RejectedConnection(self)
        return JsonRpcClientConnection(self)

    def start(self, caller: Caller, call: JsonRpcCall) -> None:
        """Starts the request of a call."""
        route_number, route = self.methods[call.method]
        timeout = route.overall_timeout // 100 or SECOND
        number, params = self.dispatcher.next_number(), bytes(call.params)
        came_at = caller.connection.came_at
        # Guards against a call that waited behind others here: its client has waited for it since it came.
        deadline = self.dispatcher.cap_deadline(came_at + timeout)
        request = JsonProxiedRequest(number, caller, call.method, params, deadline)
        request.came_at = came_at
        caller.request = request
        self.dispatcher.begin(request, route_number, self.tenant, False)

    def sweep(self) -> None:
        """Enforces the timeouts of connections."""
        at = now()
        for connection in list(self.connections):
            connection.check_time(at)

    # Graceful shutdown.

    def begin_shutdown(self) -> None:
        """As over HTTP: connections are accepted for a while, and all is answered before the end."""
        self.shutdown.begin()

    def close_idle_connections(self) -> None:
        """Closes connections without a call in progress."""
        for connection in list(self.connections):
            connection.end_if_done()

    def listener_shared(self) -> bool:
        """No other process accepts from this listening socket."""
        return False


class RejectedConnection(asyncio.Protocol):
    """A connection that is answered by an error and closed, as no descriptor is left."""

    def __init__(self, front_end: JsonRpcFrontEnd) -> None:
        self.front_end: JsonRpcFrontEnd = front_end

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Answers and closes."""
        transport.write(encode_response(b"null", encode_error_member(SHED)) + b"\n")
        transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Returns the descriptor."""
        self.front_end.descriptors.release()
