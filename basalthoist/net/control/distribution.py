"""A node's side of the distributed configuration: its connection to a relay, the file that stores its
entries, and the application of entries to routes, tenants and bans.

The protocol's decisions are made in `distribution/`. No request waits for anything in this module.
"""

import asyncio
import os
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import msgspec

from basalthoist.configuration import Configuration, DistributionDocument, RouteBody
from basalthoist.decisions.random_numbers import Lcg
from basalthoist.distribution.bounds import UNCONFIRMED_AGE
from basalthoist.distribution.catalogue import Entry
from basalthoist.distribution.store import to_bytes
from basalthoist.distribution.subscriber import Subscriber
from basalthoist.distribution.wire import Message, OperatorCall, OperatorReply, key_of
from basalthoist.net.clients.front_end import FrontEnd
from basalthoist.net.control.bans import Bans, VerdictSource
from basalthoist.net.control.catalogue_files import read_node_file
from basalthoist.net.control.configuration_calls import ConfigurationCalls
from basalthoist.net.control.message_stream import OutgoingConnection, new_incarnation, run_guarded
from basalthoist.net.control.pending_calls import Answer, PendingCalls
from basalthoist.net.dispatcher import RequestDispatcher
from basalthoist.net.runtime.atomic_files import write_atomically
from basalthoist.net.runtime.descriptors import DescriptorBudget
from basalthoist.net.runtime.disk_worker import DiskWorker, TaskError
from basalthoist.net.runtime.log import Log
from basalthoist.net.runtime.timers import SECOND, Timers, boot_time_now
from basalthoist.settings_codec import to_tenths_of_ms

TICK = SECOND // 10
SAVE_INTERVAL = SECOND
SWEEP_INTERVAL = 10 * SECOND
CALL_GRACE_S = 3.0  # A call is given up this long after the timeout within which the leader answers it.
NO_ANSWER = "FAILURE no answer, not known whether the change is kept"


class RelayLink(OutgoingConnection):
    """The connection to a relay, host of the subscriber, and owner of the file with the subscriber's entries.

    Subclasses decide how entries and tenants are applied.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: DistributionDocument,
        name: str,
        folder: str,
        timers: Timers,
        log: Log,
        disk_worker: DiskWorker,
        descriptors: DescriptorBudget | None = None,
    ) -> None:
        super().__init__(loop, key_of(settings.fleet), log, descriptors)
        self.settings = settings
        self.timers = timers
        self.disk_worker = disk_worker
        self.path = os.path.join(folder, "distribution.msgpack") if folder else None
        # A file that was written for another fleet or for other scopes must not be used.
        self.file_tag = "\0".join((settings.fleet, *sorted({"", *settings.scopes})))
        self.is_saving = False
        self.must_save = False
        self.saved_version = -1
        self.calls = PendingCalls()
        own = name, new_incarnation(), settings.region, settings.scopes, settings.seeds
        now, rng = boot_time_now(), Lcg(int.from_bytes(os.urandom(7), "big"))
        hint = read_node_file(self.path, self.file_tag, log)
        self.subscriber = Subscriber(self, *own, settings.bounds(), rng, now, hint)
        self.session = self.subscriber

    # The connection.

    def on_message(self, message: Message) -> None:
        """Answers an operator's call, or passes any other message of the relay to the subscriber."""
        if type(message) is OperatorReply:
            return self.calls.answer(message.call_id, message.text)
        super().on_message(message)
        self.on_view_checked()

    def close(self) -> None:
        """Closes the connection and fails the pending calls, whose answers can no longer arrive."""
        super().close()
        self.calls.answer_all(NO_ANSWER)

    def tick(self) -> None:
        """Drives the subscriber's timers."""
        now = boot_time_now()
        if self.calls:
            # The subscriber must not move to its preferred relay before the pending calls are answered.
            self.subscriber.preferred_at = max(self.subscriber.preferred_at, now + 2 * TICK)
        run_guarded(self.subscriber.on_tick, self.log, now)
        self.on_view_checked()

    # Overridden by subclasses.

    def on_view_checked(self) -> None:
        """Called after each message and each tick."""

    def apply_entries(self, entries: list[Entry], version: int) -> None:
        """Marks the file as outdated if entries have changed. Called by the subscriber."""
        self.must_save = self.must_save or bool(entries)

    def apply_tenant(self, name: str, body: dict | None) -> None:
        """Does nothing here. Called by the subscriber with a tenant's entry, or None if there is none."""

    # Operators' calls.

    def call(self, entries: list[Entry], answer: Answer) -> None:
        """Sends an operator's call to the leader by way of the relay."""
        if self.stream is None or not self.subscriber.connection.is_established:
            return answer("FAILURE no relay in reach")
        call_id = self.calls.add(answer)
        self.send(OperatorCall(call_id, entries, 0))
        # The caller gets an answer even if the relay never sends one.
        timeout = int((self.settings.answer_s + CALL_GRACE_S) * SECOND)
        self.timers.after(timeout, partial(self.calls.answer, call_id, NO_ANSWER))

    def here(self) -> str:
        """Returns the answer to `config-here`: version, age of the view, relay and number of entries."""
        subscriber, now = self.subscriber, boot_time_now()
        age, relay = subscriber.age(now), subscriber.connection.address or "no relay"
        view = f"{age / SECOND:.1f} s old" if age < UNCONFIRMED_AGE else "never confirmed"
        size = f"{len(subscriber.catalogue.entries)} entries {len(subscriber.tenants.cached)} tenants"
        return f"SUCCESS version {subscriber.acting_version} {view} by {relay}, {size}"

    # The file.

    def save(self) -> None:
        """Writes changed entries to the file, off the event loop, one write at a time.

        The file is only a hint for the next process: entries are trusted once a relay's digest matches them.
        """
        version, catalogue = self.subscriber.version, self.subscriber.catalogue
        if self.path is None or self.is_saving or not self.must_save or version == self.saved_version:
            return
        entries, digest = catalogue.all_entries(), catalogue.digest()
        self.is_saving, self.must_save = True, False

        def write() -> None:
            write_atomically(self.path, to_bytes(self.file_tag, version, entries, digest))

        self.disk_worker(write, partial(self.saved, version))

    def saved(self, version: int, error: TaskError | None) -> None:
        """Ends a write of the file; `error` is None if it succeeded."""
        self.is_saving, self.saved_version = False, version
        if error:
            self.log(f"distribution: not kept: version {version} in {self.path}: {error}")


class ConfiguredRoute(NamedTuple):
    """A route as the node's configuration file sets it. `record` is the front end's own record of the route.

    `overall_timeout_us` is in microseconds, `objective` and `timeout` are in tenths of a millisecond.
    """

    number: int
    record: object
    overall_timeout_us: int
    objective: int
    timeout: int
    value: float


class Distribution(RelayLink, ConfigurationCalls):
    """Applies the distributed routes, tenants and verdicts to a serving node.

    `front_end` looks up routes and tenants. `block_tenants` is called with all tenants that are blocked now,
    `set_standing_by` with whether the node stands by because its view is stale.
    """

    def __init__(
        self,
        settings: DistributionDocument,
        configuration: Configuration,
        loop: asyncio.AbstractEventLoop,
        timers: Timers,
        log: Log,
        bans: Bans,
        block_tenants: Callable[[set[str]], None],
        dispatcher: RequestDispatcher,
        front_end: FrontEnd,
        set_standing_by: Callable[[bool], None],
        disk_worker: DiskWorker,
        descriptors: DescriptorBudget,
    ) -> None:
        balancer = dispatcher.balancer
        self.bans = bans
        self.block_tenants = block_tenants
        self.set_standing_by = set_standing_by
        self.dispatcher = dispatcher
        self.front_end = front_end
        self.configured_tenants: dict[bytes, int] = dict(front_end.tenants)
        self.configured_quotas = {number: tenant.quota for number, tenant in balancer.quotas.tenants.items()}
        self.routes = {
            name.decode(): self.configured_route(number, record)
            for name, (number, record) in front_end.routes.items()
        }
        self.verdicts: dict[str, dict] = {}
        self.numbers_of_unconfigured_tenants: dict[bytes, int] = {}
        # Unconfigured tenants whose entry has not arrived, with the time of their first request.
        self.awaited_since: dict[bytes, int] = {}
        self.last_number = len(configuration.customers)
        own = configuration.name, configuration.folder
        super().__init__(loop, settings, *own, timers, log, disk_worker, descriptors)
        self.is_standing_by = not self.may_forward_requests()
        set_standing_by(self.is_standing_by)
        front_end.tenant_number = self.tenant_number
        timers.every(TICK, self.tick)
        timers.every(SAVE_INTERVAL, self.save)
        timers.every(SWEEP_INTERVAL, self.sweep)

    def configured_route(self, number: int, record: object) -> ConfiguredRoute:
        """Returns a route's configured values, which are in force while there is no entry for it."""
        route = self.dispatcher.balancer.routes[number]
        return ConfiguredRoute(
            number, record, record.overall_timeout, route.objective, route.timeout, route.value
        )

    # The view.

    def may_forward_requests(self) -> bool:
        """Returns whether the view is fresh enough to forward requests.

        Checked before every send, because a process that was suspended has not run its timers yet.
        """
        return self.subscriber.may_forward_requests(boot_time_now())

    def on_view_checked(self) -> None:
        """Stands by if the view has become stale, or serves again if it has been confirmed."""
        if self.is_standing_by == self.may_forward_requests():
            self.is_standing_by = not self.is_standing_by
            view = "stale: stands by" if self.is_standing_by else "confirmed"
            self.log(f"distribution: version {self.subscriber.acting_version}, view {view}")
            self.set_standing_by(self.is_standing_by)

    # Application of entries.

    def apply_entries(self, entries: list[Entry], version: int) -> None:
        """Applies the entries that have changed up to this version. Called by the subscriber."""
        super().apply_entries(entries, version)
        for entry in entries:
            if entry.kind == "route":
                self.apply_route(entry)
        verdicts = [entry for entry in entries if entry.kind == "verdict"]
        if verdicts:
            self.apply_verdicts(verdicts)
        if entries:
            self.log(f"distribution: acts on version {version}, {len(entries)} entries changed")

    def apply_verdicts(self, entries: list[Entry]) -> None:
        """Applies changed verdicts: bans of backends and blocked tenants."""
        for entry in entries:
            self.verdicts.pop(entry.name, None)
            if entry.on:
                self.verdicts[entry.name] = entry.body
        bodies = list(self.verdicts.values())
        banned = (body["subject"] for body in bodies if body["kind"] == "ban")
        self.bans.set_by_source(VerdictSource.CONFIGURATION, banned)
        self.block_tenants({body["subject"] for body in bodies if body["kind"] == "customer"})

    def apply_route(self, entry: Entry) -> None:
        """Applies a route's entry; the configured value is used for all that the entry does not set.

        An entry that removes the route's settings brings back every configured value.
        """
        if entry.name not in self.routes:
            return  # This node's configuration file has no such route.
        configured = self.routes[entry.name]
        overall_timeout_us = configured.overall_timeout_us
        objective, timeout, value = configured.objective, configured.timeout, configured.value
        if entry.on:
            body = msgspec.convert(entry.body, RouteBody)
            if body.overall_timeout:
                overall_timeout_us = body.overall_timeout
                timeout = to_tenths_of_ms(body.overall_timeout)
                objective = min(objective, timeout)
            objective, value = to_tenths_of_ms(body.latency_objective) or objective, body.value
        configured.record.overall_timeout = overall_timeout_us
        self.front_end.longest_timeout = max(self.front_end.longest_timeout, timeout)
        self.dispatcher.on_route(configured.number, objective, timeout, value)

    def tenant_number(self, name: bytes | None) -> int | None:
        """Returns the number by which the decisions know a tenant, or None if there is no such tenant.

        A tenant that may exist but is neither configured nor cached gets a number and the usual quota.
        """
        if name is None:
            names = self.subscriber.tenants.filter
            any_named = self.configured_tenants or names is not None and any(names.bits)
            return None if any_named else 0
        may_exist, _ = self.subscriber.tenants.look_up(boot_time_now(), name.decode("latin-1"))
        if name in self.configured_tenants:
            return self.configured_tenants[name]
        if not may_exist:
            return None
        number = self.numbers_of_unconfigured_tenants.get(name)
        if number is None:
            number = self.add_tenant(name, self.settings.usual_quota)
            self.awaited_since[name] = boot_time_now()
        return number

    def add_tenant(self, name: bytes, quota: float) -> int:
        """Assigns a number to an unconfigured tenant and sets its quota; returns the number."""
        self.last_number += 1
        self.numbers_of_unconfigured_tenants[name] = self.last_number
        self.dispatcher.on_quota(self.last_number, quota)
        return self.last_number

    def apply_tenant(self, name: str, body: dict | None) -> None:
        """Applies a tenant's quota, or its removal if `body` is None. Called by the subscriber."""
        key = name.encode("latin-1", "replace")
        self.awaited_since.pop(key, None)
        if key in self.configured_tenants:
            number = self.configured_tenants[key]
            quota = body["quota_per_s"] if body is not None else self.configured_quotas[number]
            self.dispatcher.on_quota(number, quota)
        elif body is None:
            number = self.numbers_of_unconfigured_tenants.pop(key, None)
            if number is not None:
                self.dispatcher.on_quota(number, None)
        elif key in self.numbers_of_unconfigured_tenants:
            self.dispatcher.on_quota(self.numbers_of_unconfigured_tenants[key], body["quota_per_s"])
        else:
            self.add_tenant(key, body["quota_per_s"])

    def sweep(self) -> None:
        """Removes tenants whose entry has not arrived within `idle_s`.

        They were added while no relay could be reached, and nothing else would ever remove them.
        """
        before = boot_time_now() - int(self.settings.idle_s * SECOND)
        for name in [name for name, since in self.awaited_since.items() if since < before]:
            self.apply_tenant(name.decode("latin-1"), None)
