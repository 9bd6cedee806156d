"""One node: builds its parts, serves until it has drained, and closes them in order."""

import asyncio
import errno
import socket
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, TypeVar

from basalthoist.addresses import family_of
from basalthoist.configuration import Configuration, Limits
from basalthoist.net import optional_parts
from basalthoist.net.clients.front_end import FrontEnd
from basalthoist.net.control.bans import Bans, VerdictSource
from basalthoist.net.discovery.client import Discovery
from basalthoist.net.dispatcher import RequestDispatcher
from basalthoist.net.lifecycle.reload import ConfigurationReload
from basalthoist.net.listener import Listener, listening_socket
from basalthoist.net.runtime.descriptors import DescriptorBudget
from basalthoist.net.runtime.disk_worker import DiskWorker
from basalthoist.net.runtime.log import Log
from basalthoist.net.runtime.timers import SECOND, Timers, now
from basalthoist.net.upstream.upstream import Upstream

if TYPE_CHECKING:
    from basalthoist.configuration import (
        DistributionDocument,
        FleetDocument,
        GatewayDocument,
        JsonRpcDocument,
    )
    from basalthoist.jsonrpc.front_end import JsonRpcFrontEnd
    from basalthoist.net.control.admin import Admin
    from basalthoist.net.control.distribution import Distribution
    from basalthoist.net.control.fleet import Fleet
    from basalthoist.net.control.maintenance import Maintenance
    from basalthoist.net.control.operator_calls import OperatorCalls
    from basalthoist.net.lifecycle.handover import Handover

WRITES_SETTLE_S = 0.1  # at the end, for files that are being written
BIND_RETRY_S = 0.05

# Of a process on Linux: loop, log, listeners, handover and discovery, a call to discovery that ends as the
# next begins, a link to another process and a file that is written.
OWN_DESCRIPTORS = 20

Bound = TypeVar("Bound")


class Service:
    """The parts of one node. Those that are None are not configured."""

    def __init__(
        self,
        configuration: Configuration,
        loop: asyncio.AbstractEventLoop,
        gateway: "GatewayDocument | None" = None,
        jsonrpc: "JsonRpcDocument | None" = None,
        fleet: "FleetDocument | None" = None,
        distribution: "DistributionDocument | None" = None,
    ) -> None:
        self.configuration: Configuration = configuration
        self.loop: asyncio.AbstractEventLoop = loop
        self.limits: Limits = configuration.limits
        self.log: Log = Log(configuration.name, self.limits.log_lines_per_s)
        self.timers: Timers = Timers(loop, self.log)
        self.descriptors: DescriptorBudget = DescriptorBudget(
            self.limits.sockets - self.limits.reserve, self.limits.reserve, OWN_DESCRIPTORS
        )
        self.upstream: Upstream = Upstream(
            loop,
            self.timers,
            self.log,
            self.descriptors,
            self.limits,
            configuration.connect_timeout_s,
            configuration.upstream_idle_s,
        )
        self.dispatcher: RequestDispatcher = RequestDispatcher(
            configuration, loop, self.timers, self.upstream, self.log
        )
        self.front_end: FrontEnd = FrontEnd(
            configuration, loop, self.timers, self.dispatcher, self.descriptors, self.log
        )
        self.discovery: Discovery = Discovery(
            configuration, loop, self.timers, self.dispatcher, self.upstream, self.log
        )
        self.disk_worker: DiskWorker = DiskWorker(loop)
        self.configuration_reload: ConfigurationReload = ConfigurationReload(
            configuration, DiskWorker(loop), self.log, self.apply_configuration
        )
        self.bans: Bans = Bans(self.dispatcher.on_maintenance)
        self.blocked_tenants: dict[VerdictSource, set[str]] = {}
        self.admin: Admin | None = None
        self.operator_calls: OperatorCalls | None = None
        self.maintenance: Maintenance | None = None
        self.succession: Handover | None = None
        self.jsonrpc_front_end: JsonRpcFrontEnd | None = None
        self.fleet: Fleet | None = None
        self.distribution: Distribution | None = None
        self.gossip_postponed: bool = False  # until the process before this one frees the peers' address
        self.background_tasks: set[asyncio.Task] = set()  # kept, or they could be collected
        self.first_ready: asyncio.Future = loop.create_future()
        loop.set_exception_handler(self.log_loop_exception)
        self.add_optional_parts(gateway, jsonrpc, fleet, distribution)

    def add_optional_parts(
        self,
        gateway: "GatewayDocument | None",
        jsonrpc: "JsonRpcDocument | None",
        fleet: "FleetDocument | None",
        distribution: "DistributionDocument | None",
    ) -> None:
        """Builds the parts that are configured."""
        if self.configuration.admin is not None:
            optional_parts.add_admin_interface(self)
        if gateway is not None:
            optional_parts.add_gateway(self, gateway)
        if jsonrpc is not None:
            optional_parts.add_jsonrpc(self, jsonrpc)
        if fleet is not None:
            optional_parts.add_fleet(self, fleet)
        if distribution is not None:
            optional_parts.add_distribution(self, distribution)

    def log_loop_exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """The loop's handler for exceptions that nobody caught."""
        self.log(f"event loop: {context.get('message')}: {context.get('exception')!r}")

    # From start to end.

    async def serve(self) -> None:
        """Serves until the node has drained; raises OSError where an address cannot be bound."""
        listener = await self.start()
        if listener is not None:
            await self.run(listener)
        await self.close()

    async def start(self) -> Listener | None:
        """Starts discovery, then listens for clients; None: it was shut down before."""
        if self.admin is not None:
            await self.bind_patiently(lambda: self.admin.listen(self.loop, self.configuration.admin))
        has_predecessor, listening = False, None
        if self.succession is not None:
            has_predecessor, listening = await self.succession.request()
            self.gossip_postponed = has_predecessor and self.succession.predecessor is not None
        self.discovery.on_confirmed = self.become_ready
        self.discovery.start(self.configuration.known)
        self.timers.after(int(self.limits.first_list_s * SECOND), self.become_ready)
        if not self.gossip_postponed:
            await optional_parts.add_gossip(self)
        if self.fleet is not None:
            self.start_task(self.join_fleet())
        if has_predecessor:
            await self.first_ready  # until then the process before this one accepts the clients
        return await self.bind_patiently(lambda: self.listen(listening))

    async def run(self, listener: Listener) -> None:
        """Serves clients until every front end has drained."""
        host, port = self.configuration.listen
        self.log(f"listening on {host}:{port}")
        if self.succession is not None:
            self.succession.listening = listener.sock
            self.succession.announce_ready()
        jsonrpc = self.jsonrpc_front_end
        if jsonrpc is not None:
            await self.bind_patiently(lambda: jsonrpc.listen(jsonrpc.document.address()))
        await self.front_end.drained
        if jsonrpc is not None:
            await jsonrpc.drained
        listener.close()

    async def close(self) -> None:
        """Closes what is still open."""
        await self.disk_worker.settle(WRITES_SETTLE_S)
        self.upstream.close_all()
        for part in (self.admin, self.succession, self.fleet, self.distribution):
            if part is not None:
                part.close()
        if self.dispatcher.guard.shadow is not None:
            self.log(self.dispatcher.guard.shadow.line())
        self.log("all answered")

    def shut_down(self) -> None:
        """Begins the graceful shutdown, at SIGTERM; called again it does nothing."""
        if self.front_end.shutting_down:
            return
        self.log(f"draining started, {len(self.dispatcher.in_progress)} requests in progress")
        self.front_end.begin_shutdown()
        if self.succession is not None:
            self.on_processes_changed()
        if self.jsonrpc_front_end is not None:
            self.jsonrpc_front_end.begin_shutdown()

    def become_ready(self) -> None:
        """Discovery has answered, or has had the time for it."""
        if not self.front_end.ready:
            self.front_end.memory_budget.measure_baseline()
        self.front_end.ready = True
        if not self.first_ready.done():
            self.first_ready.set_result(None)

    # Sockets.

    async def listen(self, inherited: socket.socket | None) -> Listener:
        """Listens for clients; `inherited`: the socket that the process before this one has handed over."""
        is_inherited = inherited is not None
        if self.succession is not None:
            self.front_end.listener_shared = lambda: is_inherited or self.succession.other_processes() > 0
        if inherited is None:
            shared = self.succession is not None
            inherited = listening_socket(self.configuration.listen, self.limits.backlog, shared)
        return self.front_end.listen(inherited)

    async def bind_patiently(self, bind: Callable[[], Awaitable[Bound]]) -> Bound | None:
        """What `bind` returns, tried again while its address is in use; None: the node drained before."""
        give_up_at = now() + int(self.limits.bind_s * SECOND)
        while not self.front_end.drained.done():
            try:
                return await bind()
            except OSError as wrong:
                # Guards against a process before this one that has not yet freed the address.
                if wrong.errno != errno.EADDRINUSE or now() > give_up_at:
                    raise
            await asyncio.sleep(BIND_RETRY_S)

    async def open_datagrams(self, protocol: asyncio.DatagramProtocol, address: tuple[str, int]) -> None:
        """Opens a datagram socket at the address; raises OSError."""
        # Not by `local_addr`: the loop's own error for an address in use does not have that errno.
        sock = socket.socket(family_of(address), socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.bind(address)
            await self.loop.create_datagram_endpoint(lambda: protocol, sock=sock)
        except OSError:
            sock.close()
            raise

    async def join_fleet(self) -> None:
        """Opens the fleet's socket. Without it the node serves by what it knows, or drains as stale."""
        address = self.fleet.addresses[self.configuration.name]
        try:
            await self.bind_patiently(lambda: self.open_datagrams(self.fleet, address))
        except OSError as wrong:
            self.log(f"fleet: not joined: {wrong}")

    def start_task(self, work: Awaitable[None]) -> None:
        """Runs `work` beside the rest."""
        task = self.loop.create_task(work)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    # Changes while it serves.

    def on_processes_changed(self) -> None:
        """Another process of this node has started, become ready or ended: all share the budgets."""
        processes = 1 + self.succession.other_processes()
        self.descriptors.set_process_count(processes)
        self.front_end.memory_budget.set_process_count(processes)
        if self.succession.predecessor is None and self.gossip_postponed:
            self.gossip_postponed = False
            # The predecessor may hold the peers' address for a moment more.
            self.start_task(optional_parts.add_gossip(self, patiently=True))
        listener = self.front_end.listener
        if self.front_end.shutting_down and listener is not None:
            if self.succession.has_ready_successor():
                listener.pause()
            else:
                listener.resume()

    def block_tenants(self, source: VerdictSource, names: set[str]) -> None:
        """Sets the tenants that one source blocks."""
        self.blocked_tenants[source] = names
        self.front_end.set_blocked_tenants(set().union(*self.blocked_tenants.values()))

    def reload(self) -> None:
        """Reads the configuration file again, at SIGHUP."""
        self.configuration_reload.request()

    def apply_configuration(self, configuration: Configuration) -> None:
        """A new address of discovery counts at once; the rest waits for a restart."""
        self.configuration = configuration
        if configuration.discovery != self.discovery.address:
            self.discovery.move(configuration.discovery)
