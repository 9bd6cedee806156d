"""The discovery client: keeps a watch on changes since the known revision for the life of the process.

It requests the complete list first if there is no revision to continue from, as after a change of address.
"""

import asyncio
from collections.abc import Callable

from basalthoist.addresses import address_of
from basalthoist.configuration import Configuration, Limits
from basalthoist.decisions.interface import Endpoint
from basalthoist.decisions.random_numbers import Lcg
from basalthoist.endpoint_list import EndpointList, ListedEndpoint
from basalthoist.net.discovery.address_owners import AddressOwners
from basalthoist.net.discovery.connection import DiscoveryConnection
from basalthoist.net.discovery.polling import PollSchedule, PollTimes
from basalthoist.net.discovery.translation import GONE, Translator
from basalthoist.net.dispatcher import RequestDispatcher
from basalthoist.net.runtime.log import Log
from basalthoist.net.runtime.timers import SECOND, Timer, Timers, now
from basalthoist.net.upstream.upstream import Upstream


def poll_times(configuration: Configuration) -> PollTimes:
    """Returns the times from the node's configuration, in tenths of a millisecond."""
    limits = configuration.limits
    return PollTimes(
        silence_timeout=int(limits.watch_silent_s * SECOND),
        known_within=int(limits.watch_told_s * SECOND),
        backoff=int(limits.watch_retry_s * SECOND),
        max_backoff=int(limits.watch_retry_most_s * SECOND),
        slot_cycle=int(configuration.slot_cycle_s * SECOND),
        move_allowance=int(limits.watch_moved_s * SECOND),
    )


class Discovery:
    """Carries out the polls of a `PollSchedule`; passes lists and changes to the pools and the decisions."""

    def __init__(
        self,
        configuration: Configuration,
        loop: asyncio.AbstractEventLoop,
        timers: Timers,
        dispatcher: RequestDispatcher,
        upstream: Upstream,
        log: Log,
    ) -> None:
        self.loop: asyncio.AbstractEventLoop = loop
        self.timers: Timers = timers
        self.log: Log = log
        self.dispatcher: RequestDispatcher = dispatcher
        self.upstream: Upstream = upstream
        self.limits: Limits = configuration.limits
        self.address: tuple[str, int] = configuration.discovery
        settings = configuration.network_settings
        self.translator: Translator = Translator(settings.zones, settings.kinds)
        # Random delays guard against all nodes of the service polling discovery at the same time.
        rng = Lcg(configuration.seed).uniform
        self.schedule: PollSchedule = PollSchedule(self, rng, poll_times(configuration))
        self.address_owners: AddressOwners = AddressOwners()
        self.connection: DiscoveryConnection | None = None  # of the current poll
        self.connecting: asyncio.Task | None = None
        self.timer: Timer | None = None
        self.confirmed_at: int | None = None  # when discovery last confirmed the known list
        self.on_confirmed: Callable[[], None] = lambda: None  # called after a list or a line of the watch
        self.on_names: Callable[[list[str]], None] = lambda names: None  # called for each list and change

    def start(self, saved: EndpointList) -> None:
        """Applies the saved list, which is used until discovery has answered, and starts polling."""
        saved.complete = True
        self.apply(saved)
        self.schedule.on_start(now(), saved.revision, bool(saved.endpoints))

    def move(self, address: tuple[str, int]) -> None:
        """Switches to discovery at another address, and drops the current poll."""
        self.disconnect()
        self.address = address
        self.log("discovery moves to {}:{}".format(*address))
        self.schedule.on_move(now())

    # The methods of `PollHost`.

    def start_poll(self) -> None:
        """Connects to discovery; the connection then sends the request itself."""
        connection = self.connection = DiscoveryConnection(self)
        connecting = self.loop.create_connection(lambda: connection, *self.address)
        self.connecting = self.loop.create_task(connecting)
        self.connecting.add_done_callback(lambda task: self.on_connected(connection, task))

    def on_connected(self, connection: DiscoveryConnection, task: asyncio.Task) -> None:
        """Ends the poll if connecting has failed."""
        if not task.cancelled() and task.exception() is not None:
            connection.fail(f"not reached: {task.exception()!r}")

    def give_up(self) -> None:
        """Ends a poll on which no complete message has arrived in time, and logs why."""
        limit = f"{self.limits.watch_silent_s:.1f} s"
        if self.connection.transport is None:
            self.drop(f"not reached: no connection within {limit}")
        elif self.connection.has_partial_input():
            self.drop(f"sent no complete message within {limit}")
        else:
            self.drop(f"sent nothing within {limit}")

    def wake_at(self, at: int) -> None:
        """Wakes the schedule at this time, instead of any requested before."""
        if self.timer is not None:
            self.timer.stop()
        self.timer = self.timers.after(max(at - now(), 0), lambda: self.schedule.on_wake(now()))

    # Events of the poll.

    def disconnect(self) -> None:
        """Ends the poll; data still received on its connection is ignored."""
        connection, self.connection = self.connection, None
        if self.connecting is not None:
            self.connecting.cancel()
            self.connecting = None
        if connection is not None:
            connection.abort()

    def drop(self, reason: str) -> None:
        """Ends a failed poll: logs the reason and notifies the decisions."""
        self.log(f"discovery {reason}")
        self.disconnect()
        self.dispatcher.on_endpoint_list_failed()

    def on_full_list(self, endpoint_list: EndpointList) -> None:
        """Applies a complete list."""
        polled_at = self.schedule.last_progress_at  # the list is no older than the start of its poll
        self.apply(endpoint_list)
        self.schedule.on_endpoint_list(endpoint_list.revision)
        self.confirmed_at = polled_at
        self.on_confirmed()

    def on_watch_line(self) -> None:
        """Handles a complete heartbeat or change."""
        self.schedule.on_watch_line(now())
        self.confirmed_at = self.schedule.last_progress_at
        self.on_confirmed()

    def apply(self, update: EndpointList) -> None:
        """Passes a list, or changes, to the pools and the decisions."""
        self.schedule.revision = update.revision
        self.on_names([entry.id for entry in update.endpoints])
        endpoints: list[Endpoint] = []
        present: set[str] = set()
        removed: set[str] = set()
        for entry in self.without_replaced(update):
            endpoint = self.translator.translate(entry, self.confirmed_at)
            if endpoint.state == GONE:
                removed.add(entry.id)
            elif self.update_pool(entry, endpoint):
                present.add(entry.id)
            else:
                continue
            endpoints.append(endpoint)
        if update.complete:
            links = self.dispatcher.links
            removed |= self.upstream.pools.keys() - present - (links.names() if links is not None else set())
        self.dispatcher.on_endpoint_list(endpoints, update.complete)
        for name in removed:
            self.upstream.remove(name)
            self.translator.forget(name)

    def without_replaced(self, update: EndpointList) -> list[ListedEndpoint]:
        """Returns the entries, with backends as gone whose address has a backend that started later."""
        # Guards against requests for a backend that has gone, which another at its address would run.
        if update.complete:
            self.address_owners = AddressOwners()
        for entry in update.endpoints:
            if entry.phase == GONE:
                self.address_owners.remove(entry.id)
            else:
                self.address_owners.add(entry)
        replaced: set[str] = set()
        for address in {entry.host_port for entry in update.endpoints}:
            replaced |= self.address_owners.replaced_at(address)
        if not replaced:
            return update.endpoints
        kept = [entry for entry in update.endpoints if entry.id not in replaced]
        return kept + [ListedEndpoint(name, phase=GONE) for name in sorted(replaced)]

    def update_pool(self, entry: ListedEndpoint, endpoint: Endpoint) -> bool:
        """Updates the pool of a backend. Returns False if the entry is invalid and left out."""
        pool = self.upstream.pools.get(entry.id)
        healthy = endpoint.state == "healthy"
        try:
            address = address_of(entry.host_port)
        except ValueError as error:
            # Guards against losing all other entries to one invalid entry. A known backend may drain whatever
            # its address.
            if pool is None or healthy:
                self.log(f"{entry.id} left out: {error}")
                return False
            address = pool.address
        self.upstream.add_or_update_backend(entry.id, address, endpoint.started, healthy)
        return True
