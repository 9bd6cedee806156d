"""One node: builds its parts, serves until it is drained, and closes the parts in order."""

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
from basalthoist.net.runtime.bounded_reads import ReadBuffer
from basalthoist.net.runtime.descriptors import DescriptorBudget
from basalthoist.net.runtime.disk_worker import DiskWorker
from basalthoist.net.runtime.log import Log
from basalthoist.net.runtime.memory_budget import MemoryBudget
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
    from basalthoist.net.lifecycle.shared_ids import SharedIds

FILE_WRITES_TIMEOUT_S = 0.1  # how long the end of the process waits for files that are being written
BIND_RETRY_DELAY_S = 0.05

# File descriptors that a process uses on Linux besides those for clients and backends: event loop, log,
# listeners, handover, discovery, a second discovery connection while one ends as the next begins, a link to
# another process, and a file that is being written.
OWN_DESCRIPTORS = 20

BindResult = TypeVar("BindResult")


class Service:
    """The parts of one node. A part that is None is not configured."""

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
        self.memory_budget: MemoryBudget = MemoryBudget(
            self.limits.memory_mb, self.limits.sockets - self.limits.reserve
        )
        self.read_buffer: ReadBuffer = ReadBuffer(self.memory_budget)
        self.upstream: Upstream = Upstream(
            loop,
            self.timers,
            self.log,
            self.descriptors,
            self.limits,
            self.read_buffer,
            configuration.connect_timeout_s,
            configuration.upstream_idle_s,
        )
        self.dispatcher: RequestDispatcher = RequestDispatcher(
            configuration, loop, self.timers, self.upstream, self.log
        )
        self.front_end: FrontEnd = FrontEnd(
            configuration, loop, self.timers, self.dispatcher, self.descriptors, self.read_buffer, self.log
        )
        self.discovery: Discovery = Discovery(
            configuration, loop, self.timers, self.dispatcher, self.upstream, self.log
        )
        self.disk_worker: DiskWorker = DiskWorker(loop)
        self.configuration_reload: ConfigurationReload = ConfigurationReload(
            configuration, DiskWorker(loop), self.log, self.apply_configuration
        )
        self.bans: Bans = Bans(self.dispatcher.on_maintenance)
        self.blocked_tenants: dict[VerdictSource, set[str]] = {}  # names
        self.admin: Admin | None = None
        self.operator_calls: OperatorCalls | None = None
        self.maintenance: Maintenance | None = None
        self.handover: Handover | None = None
        self.shared_ids: SharedIds | None = None  # with other processes of this node
        self.jsonrpc_front_end: JsonRpcFrontEnd | None = None
        self.fleet: Fleet | None = None
        self.distribution: Distribution | None = None
        self.gossip_postponed: bool = False  # until the predecessor process releases the gossip address
        # References that keep the tasks from being garbage-collected.
        self.background_tasks: set[asyncio.Task] = set()
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
        """Logs an uncaught exception; called by the event loop."""
        self.log(f"event loop: {context.get('message')}: {context.get('exception')!r}")

    # From start to end.

    async def serve(self) -> None:
        """Serves until the node is drained. Raises OSError if an address cannot be bound."""
        listener = await self.start()
        if listener is not None:
            await self.run(listener)
        await self.close()

    async def start(self) -> Listener | None:
        """Starts discovery, then listens for clients. Returns None if the node was shut down before that."""
        if self.admin is not None:
            await self.bind_with_retries(lambda: self.admin.listen(self.loop, self.configuration.admin))
        has_predecessor, inherited = False, None
        if self.handover is not None:
            has_predecessor, inherited = await self.handover.request()
            self.gossip_postponed = has_predecessor and self.handover.predecessor is not None
        self.discovery.on_confirmed = self.become_ready
        self.discovery.start(self.configuration.known)
        self.timers.after(int(self.limits.first_list_s * SECOND), self.become_ready)
        if not self.gossip_postponed:
            await optional_parts.add_gossip(self)
        if self.fleet is not None:
            self.start_task(self.join_fleet())
        if has_predecessor:
            # Until this process is ready, the predecessor accepts the clients' connections.
            await self.first_ready
        return await self.bind_with_retries(lambda: self.listen(inherited))

    async def run(self, listener: Listener) -> None:
        """Serves clients until every front end is drained."""
        host, port = self.configuration.listen
        self.log(f"listening on {host}:{port}")
        if self.handover is not None:
            self.handover.listening_socket = listener.sock
            self.handover.announce_ready()
        jsonrpc = self.jsonrpc_front_end
        if jsonrpc is not None:
            await self.bind_with_retries(lambda: jsonrpc.listen(jsonrpc.document.address()))
        await self.front_end.drained
        if jsonrpc is not None:
            await jsonrpc.drained
        listener.close()

    async def close(self) -> None:
        """Waits for files that are being written, then closes the connections to backends and the parts."""
        await self.disk_worker.wait_until_idle(FILE_WRITES_TIMEOUT_S)
        self.upstream.close_all()
        for part in (self.admin, self.handover, self.fleet, self.distribution):
            if part is not None:
                part.close()
        if self.dispatcher.guard.shadow is not None:
            self.log(self.dispatcher.guard.shadow.line())
        self.log("all answered, the process ends")

    def shut_down(self) -> None:
        """Begins the graceful shutdown, at SIGTERM. Further calls do nothing."""
        if self.front_end.shutting_down:
            return
        self.log(f"draining started, {len(self.dispatcher.in_progress)} requests in progress")
        self.front_end.begin_shutdown()
        if self.handover is not None:
            self.on_processes_changed()
        if self.jsonrpc_front_end is not None:
            self.jsonrpc_front_end.begin_shutdown()

    def become_ready(self) -> None:
        """Marks the node as ready: discovery has returned a list, or `first_list_s` is over."""
        if not self.front_end.ready:
            self.memory_budget.measure_baseline()
            self.descriptors.limit_by_memory(self.memory_budget.max_connections)
        self.front_end.ready = True
        if not self.first_ready.done():
            self.first_ready.set_result(None)

    # Sockets.

    async def listen(self, sock: socket.socket | None) -> Listener:
        """Listens for clients. `sock`: the listening socket that the predecessor has handed over, if any."""
        is_inherited = sock is not None
        if self.handover is not None:
            self.front_end.listener_shared = lambda: is_inherited or self.handover.other_processes() > 0
        if sock is None:
            shared = self.handover is not None
            sock = listening_socket(self.configuration.listen, self.limits.backlog, shared)
        return self.front_end.listen(sock)

    async def bind_with_retries(self, bind: Callable[[], Awaitable[BindResult]]) -> BindResult | None:
        """Awaits `bind` and returns its result; retries for up to `bind_s` while the address is in use.

        Returns None if the node was drained before. Raises OSError.
        """
        deadline = now() + int(self.limits.bind_s * SECOND)
        while not self.front_end.drained.done():
            try:
                return await bind()
            except OSError as error:
                # The predecessor process may not have released the address yet.
                if error.errno != errno.EADDRINUSE or now() > deadline:
                    raise
            await asyncio.sleep(BIND_RETRY_DELAY_S)

    async def open_datagrams(self, protocol: asyncio.DatagramProtocol, address: tuple[str, int]) -> None:
        """Opens a datagram socket at the address. Raises OSError."""
        # Not by `local_addr`: the error that the loop raises for an address in use has another errno.
        sock = socket.socket(family_of(address), socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.bind(address)
            await self.loop.create_datagram_endpoint(lambda: protocol, sock=sock)
        except OSError:
            sock.close()
            raise

    async def join_fleet(self) -> None:
        """Opens the fleet's socket.

        If the socket cannot be opened, the node serves by its last view, and drains while that view is stale.
        """
        address = self.fleet.addresses[self.configuration.name]
        try:
            await self.bind_with_retries(lambda: self.open_datagrams(self.fleet, address))
        except OSError as error:
            self.log(f"fleet: not joined: {error}")

    def start_task(self, work: Awaitable[None]) -> None:
        """Runs `work` as a background task."""
        task = self.loop.create_task(work)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    # Changes while the node serves.

    def on_processes_changed(self) -> None:
        """Handles that another process of this node has started, become ready or ended.

        All processes of the node share its budgets.
        """
        processes = 1 + self.handover.other_processes()
        self.shared_ids.on_processes_changed()
        self.memory_budget.set_process_count(processes)
        self.descriptors.set_process_count(processes)
        self.descriptors.limit_by_memory(self.memory_budget.max_connections)
        if self.handover.predecessor is None and self.gossip_postponed:
            self.gossip_postponed = False
            # The predecessor may release the gossip address a moment later.
            self.start_task(optional_parts.add_gossip(self, retry_bind=True))
        listener = self.front_end.listener
        if self.front_end.shutting_down and listener is not None:
            if self.handover.has_ready_successor():
                listener.pause()
            else:
                listener.resume()

    def block_tenants(self, source: VerdictSource, names: set[str]) -> None:
        """Sets the names of the tenants that one source blocks."""
        self.blocked_tenants[source] = names
        self.front_end.set_blocked_tenants(set().union(*self.blocked_tenants.values()))

    def reload(self) -> None:
        """Reads the configuration file again, at SIGHUP."""
        self.configuration_reload.request()

    def apply_configuration(self, configuration: Configuration) -> None:
        """Takes over a new discovery address at once; other changes take effect at the next start."""
        self.configuration = configuration
        if configuration.discovery != self.discovery.address:
            self.discovery.move(configuration.discovery)
