"""The JSON-RPC front end: accepts connections on its own address and starts the calls of clients."""

import asyncio
from collections.abc import Callable
from functools import partial

from basalthoist.configuration import Configuration
from basalthoist.configuration.jsonrpc import JsonRpcDocument
from basalthoist.net.dispatcher import RequestDispatcher
from basalthoist.net.lifecycle.shutdown import Shutdown
from basalthoist.net.listener import Listener, listening_socket
from basalthoist.net.runtime.bounded_reads import ReadBuffer
from basalthoist.net.runtime.descriptors import DescriptorBudget
from basalthoist.net.runtime.log import Log
from basalthoist.net.runtime.timers import SECOND, Timers, now

from .caller import Caller
from .client_connection import JsonRpcClientConnection
from .messages import SHED, JsonRpcCall, encode_error_member, encode_response
from .upstream import CallLine, JsonConnection, JsonProxiedRequest

SWEEP_PERIOD = SECOND // 4  # in tenths of a millisecond


class JsonRpcFrontEnd:
    """Serves JSON-RPC clients. The node speaks JSON-RPC to its backends as well."""

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
        self.read_buffer: ReadBuffer = dispatcher.upstream.read_buffer
        routes = {route.name: (number, route) for number, route in enumerate(configuration.routes)}
        self.methods: dict[str, tuple] = {  # number and settings of the route by method
            method: routes[route] for method, route in document.methods.items()
        }
        tenants = configuration.customers
        self.tenant: int = tenants.index(document.customer) if document.customer in tenants else 0
        self.max_open_calls: int = document.most_open  # maximum calls in progress on a connection
        self.max_batch_calls: int = document.most_batch  # maximum calls in a batch
        self.connections: dict[JsonRpcClientConnection, None] = {}
        self.notifications: int = 0
        self.listener: Listener | None = None
        # The longest timeout of any route, in tenths of a millisecond.
        self.longest_timeout: int = int(configuration.longest_timeout_s * SECOND)
        self.shutdown: Shutdown = Shutdown(self)
        self.drained: asyncio.Future = self.shutdown.drained
        self.check_drained: Callable[[], None] = self.shutdown.check_drained
        dispatcher.upstream.connection_type = JsonConnection
        dispatcher.health_check_chunks = partial(CallLine, "probe", document.load_method, b"")
        timers.every(SWEEP_PERIOD, self.sweep)

    async def listen(self, address: tuple[str, int]) -> None:
        """Starts to accept connections. Raises OSError if the address cannot be used."""
        sock = listening_socket(address, self.limits.backlog)
        release_descriptor = self.descriptors.release
        self.listener = Listener(self.loop, self.timers, self.log, sock, self.open, release_descriptor)
        self.listener.on_connection_set_up = self.check_drained
        self.log(f"listening for JSON-RPC on {address[0]}:{address[1]}")

    def open(self) -> asyncio.Protocol:
        """Returns the protocol of a new connection. The connection is rejected if no descriptor is left."""
        if not self.descriptors.acquire(lambda: False):
            self.descriptors.acquire_over_limit()
            return RejectedConnection(self)
        return JsonRpcClientConnection(self)

    def deadline_of(self, caller: Caller, call: JsonRpcCall) -> int:
        """Returns by when a call has to be answered."""
        _, route = self.methods[call.method]
        timeout = route.overall_timeout // 100 or SECOND
        # Counts from arrival: the client also waits while the call is behind others.
        return self.dispatcher.cap_deadline(caller.arrived_at + timeout)

    def time_left(self, caller: Caller, call: JsonRpcCall) -> int:
        """Returns how many tenths of a millisecond are left to answer a call, 0 if none are."""
        return max(self.deadline_of(caller, call) - now(), 0)

    def start(self, caller: Caller, call: JsonRpcCall) -> None:
        """Starts the request of a call."""
        route_number, _ = self.methods[call.method]
        number, params = self.dispatcher.next_number(), bytes(call.params)
        request = JsonProxiedRequest(number, caller, call.method, params, self.deadline_of(caller, call))
        request.arrived_at = caller.arrived_at
        caller.request = request
        self.dispatcher.begin(request, route_number, self.tenant, False)

    def sweep(self) -> None:
        """Enforces the timeouts of connections."""
        at = now()
        for connection in list(self.connections):
            connection.check_time(at)

    # Graceful shutdown.

    def begin_shutdown(self) -> None:
        """Begins to drain, as over HTTP: connections are accepted for a while, and all calls are answered."""
        self.shutdown.begin()

    def close_idle_connections(self) -> None:
        """Closes connections without a call in progress."""
        for connection in list(self.connections):
            connection.end_if_done()

    def listener_shared(self) -> bool:
        """Returns False: no other process accepts from this listening socket."""
        return False


class RejectedConnection(asyncio.Protocol):
    """A connection that is answered with an error and closed because no descriptor is left."""

    def __init__(self, front_end: JsonRpcFrontEnd) -> None:
        self.front_end: JsonRpcFrontEnd = front_end

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Writes the error and closes."""
        transport.write(encode_response(b"null", encode_error_member(SHED)) + b"\n")
        transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Returns the descriptor."""
        self.front_end.descriptors.release()
