"""Discovery: a watch on changes from the revision that is known, kept up for as long as the node lives.

The whole list comes first where there is no revision to go on from, as after a move.
"""

import asyncio
from collections.abc import Callable

from basalthoist.addresses import address_of
from basalthoist.configuration import Configuration, Limits
from basalthoist.decisions.interface import Endpoint
from basalthoist.decisions.random_numbers import Lcg
from basalthoist.endpoint_list import EndpointList, ListedEndpoint
from basalthoist.net.discovery.connection import DiscoveryConnection
from basalthoist.net.discovery.polling import PollSchedule, PollTimes
from basalthoist.net.discovery.translation import Translator
from basalthoist.net.dispatcher import RequestDispatcher
from basalthoist.net.runtime.log import Log
from basalthoist.net.runtime.timers import SECOND, Timer, Timers, now
from basalthoist.net.upstream.upstream import Upstream


def poll_times(configuration: Configuration) -> PollTimes:
    """The times of a node's file, in tenths of a millisecond."""
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
    """Carries out what `PollSchedule` decides, and hands on what comes, to the pools and the decisions."""

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
        # Guards against a whole tier that comes back to discovery in step.
        random = Lcg(configuration.seed).uniform
        self.schedule: PollSchedule = PollSchedule(self, random, poll_times(configuration))
        self.connection: DiscoveryConnection | None = None  # of the poll that goes on
        self.connecting: asyncio.Task | None = None
        self.timer: Timer | None = None
        self.confirmed_at: int | None = None  # when what is known was last confirmed
        self.on_confirmed: Callable[[], None] = lambda: None  # a list, or a line of the watch
        self.on_names: Callable[[list[str]], None] = lambda names: None  # of each list and change

    def start(self, saved: EndpointList) -> None:
        """Begins with the saved list, until discovery has answered."""
        saved.complete = True
        self.apply(saved)
        self.schedule.on_start(now(), saved.revision, bool(saved.endpoints))

    def move(self, address: tuple[str, int]) -> None:
        """Another agent, as planned. The old one, and a connect on its way, count no more."""
        self.disconnect()
        self.address = address
        self.log("discovery moves to {}:{}".format(*address))
        self.schedule.on_move(now())

    # What `PollSchedule` asks for.

    def start_poll(self) -> None:
        """Connects; the connection asks by itself."""
        connection = self.connection = DiscoveryConnection(self)
        connecting = self.loop.create_connection(lambda: connection, *self.address)
        self.connecting = self.loop.create_task(connecting)
        self.connecting.add_done_callback(lambda task: self.on_connected(connection, task))

    def on_connected(self, connection: DiscoveryConnection, task: asyncio.Task) -> None:
        """The connect has ended, well or not."""
        if not task.cancelled() and task.exception() is not None:
            connection.fail(f"not reached: {task.exception()!r}")

    def give_up(self) -> None:
        """Ends a poll that hangs or has fallen silent."""
        within = f"{self.limits.watch_silent_s:.1f} s"
        if self.connection.transport is None:
            self.drop(f"not reached: no connection in {within}")
        elif self.connection.has_partial_input():
            self.drop(f"not whole in {within}")
        else:
            self.drop(f"silent for {within}")

    def wake_at(self, at: int) -> None:
        """Wakes the schedule at this time, and at no other."""
        if self.timer is not None:
            self.timer.stop()
        self.timer = self.timers.after(max(at - now(), 0), lambda: self.schedule.on_wake(now()))

    # What happens on the poll.

    def disconnect(self) -> None:
        """Ends the poll; what still comes on its connection counts no more."""
        connection, self.connection = self.connection, None
        if self.connecting is not None:
            self.connecting.cancel()
            self.connecting = None
        if connection is not None:
            connection.abort()

    def drop(self, reason: str) -> None:
        """Ends a poll that has failed."""
        self.log(f"discovery {reason}")
        self.disconnect()
        self.dispatcher.on_endpoint_list_failed()

    def on_full_list(self, endpoint_list: EndpointList) -> None:
        """A list that was asked for has come."""
        began_at = self.schedule.last_progress_at  # of the poll: the list is no older
        self.apply(endpoint_list)
        self.schedule.on_endpoint_list(endpoint_list.revision)
        self.confirmed_at = began_at
        self.on_confirmed()

    def on_watch_line(self) -> None:
        """A heartbeat or a change has come, complete."""
        self.schedule.on_watch_line(now())
        self.confirmed_at = self.schedule.last_progress_at
        self.on_confirmed()

    def apply(self, update: EndpointList) -> None:
        """Hands a list, or changes, to the pools and the decisions."""
        self.schedule.revision = update.revision
        self.on_names([entry.id for entry in update.endpoints])
        endpoints: list[Endpoint] = []
        present: set[str] = set()
        removed: set[str] = set()
        for entry in update.endpoints:
            endpoint = self.translator.translate(entry, self.confirmed_at)
            if endpoint.state == "gone":
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

    def update_pool(self, entry: ListedEndpoint, endpoint: Endpoint) -> bool:
        """Tells the pool of a backend. False: the entry makes no sense and is left out."""
        pool = self.upstream.pools.get(entry.id)
        healthy = endpoint.state == "healthy"
        try:
            address = address_of(entry.host_port)
        except ValueError as error:
            # Guards against one entry that makes no sense and costs the node all the others. That a
            # backend drains makes sense wherever it is.
            if pool is None or healthy:
                self.log(f"{entry.id} left out: {error}")
                return False
            address = pool.address
        self.upstream.learn(entry.id, address, endpoint.started, healthy)
        return True
