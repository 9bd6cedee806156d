"""This node's part in distribution/: its connection to a relay, the file with its entries, what it acts on.

What is decided is decided in `distribution/`; entries go on to the node's decisions. No request waits here.
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
from basalthoist.settings_codec import tenths

TICK = SECOND // 10
SAVE_INTERVAL = SECOND  # between two writings of the file
SWEEP_INTERVAL = 10 * SECOND
CALL_GRACE_S = 3.0  # after a call's timeout until it is given up here
NO_ANSWER = "FAILURE no answer, not known whether the change is kept"


class RelayLink(OutgoingConnection):
    """The connection to a relay: host of the subscriber, and keeper of its file.

    Who extends it says what is done with entries and tenants.
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
        # The entries of another fleet's node, or of other scopes, are not this one's.
        self.file_tag = "\0".join((settings.fleet, *sorted({"", *settings.scopes})))
        self.is_saving = False
        self.must_save = False
        self.saved_version = -1
        self.calls = PendingCalls()
        own = name, new_incarnation(), settings.region, settings.scopes, settings.seeds
        now, random = boot_time_now(), Lcg(int.from_bytes(os.urandom(7), "big"))
        hint = read_node_file(self.path, self.file_tag, log)
        self.subscriber = Subscriber(self, *own, settings.bounds(), random, now, hint)
        self.session = self.subscriber

    # The connection.

    def on_message(self, message: Message) -> None:
        """From the relay."""
        if type(message) is OperatorReply:
            return self.calls.answer(message.call_id, message.text)
        super().on_message(message)
        self.look()

    def close(self) -> None:
        """Guards against a call whose answer would go to a connection that has ended."""
        super().close()
        self.calls.answer_all(NO_ANSWER)

    def tick(self) -> None:
        """The subscriber's time."""
        now = boot_time_now()
        if self.calls:  # it stays at this relay until these are answered
            self.subscriber.preferred_at = max(self.subscriber.preferred_at, now + 2 * TICK)
        run_guarded(self.subscriber.on_tick, self.log, now)
        self.look()

    # Who extends this says what is done with what has come.

    def look(self) -> None:
        """After each message and each tick."""

    def apply_entries(self, entries: list[Entry], version: int) -> None:
        """As host of the subscriber."""
        self.must_save = self.must_save or bool(entries)

    def apply_tenant(self, name: str, body: dict | None) -> None:
        """As host of the subscriber."""

    # Operators.

    def call(self, entries: list[Entry], answer: Answer) -> None:
        """By the relay to the leader."""
        if self.stream is None or not self.subscriber.connection.is_established:
            return answer("FAILURE no relay in reach")
        call_id = self.calls.add(answer)
        self.send(OperatorCall(call_id, entries, 0))
        # Guards against a relay that says nothing of it.
        given_up = int((self.settings.answer_s + CALL_GRACE_S) * SECOND)
        self.timers.after(given_up, partial(self.calls.answer, call_id, NO_ANSWER))

    def here(self) -> str:
        """`config-here`."""
        subscriber, now = self.subscriber, boot_time_now()
        age, relay = subscriber.age(now), subscriber.connection.address or "no relay"
        view = f"{age / SECOND:.1f} s old" if age < UNCONFIRMED_AGE else "never confirmed"
        size = f"{len(subscriber.catalogue.entries)} entries {len(subscriber.tenants.cached)} tenants"
        return f"SUCCESS version {subscriber.acting_version} {view} by {relay}, {size}"

    # The file.

    def save(self) -> None:
        """Beside the event loop, where entries have changed; one at a time. Never proof: a digest is."""
        version, catalogue = self.subscriber.version, self.subscriber.catalogue
        if self.path is None or self.is_saving or not self.must_save or version == self.saved_version:
            return
        entries, digest = catalogue.all_entries(), catalogue.digest()
        self.is_saving, self.must_save = True, False

        def write() -> None:
            write_atomically(self.path, to_bytes(self.file_tag, version, entries, digest))

        self.disk_worker(write, partial(self.saved, version))

    def saved(self, version: int, error: TaskError | None) -> None:
        """`error` is None where all went well."""
        self.is_saving, self.saved_version = False, version
        if error:
            self.log(f"distribution: version {version} not kept: {error}")


class ConfiguredRoute(NamedTuple):
    """A route as the node's file has it."""

    number: int
    record: object  # of the front end
    overall_timeout_us: int
    objective: int  # tenths of a millisecond, as `timeout`
    timeout: int
    value: float


class Distribution(RelayLink, ConfigurationCalls):
    """Acts in service on routes, tenants and verdicts. `front_end`: looks routes and tenants up.

    `block_customers` takes the customers that are shut out, `set_standing_by` whether the node stands by.
    """

    def __init__(
        self,
        settings: DistributionDocument,
        configuration: Configuration,
        loop: asyncio.AbstractEventLoop,
        timers: Timers,
        log: Log,
        bans: Bans,
        block_customers: Callable[[set[str]], None],
        dispatcher: RequestDispatcher,
        front_end: FrontEnd,
        set_standing_by: Callable[[bool], None],
        disk_worker: DiskWorker,
        descriptors: DescriptorBudget,
    ) -> None:
        balancer = dispatcher.balancer
        self.bans = bans
        self.block_customers = block_customers
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
        self.numbers: dict[bytes, int] = {}  # of tenants that are not configured
        self.awaited_since: dict[bytes, int] = {}  # of these, whose entry has not come
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
        """What a route is before any entry, and again without one."""
        route = self.dispatcher.balancer.routes[number]
        return ConfiguredRoute(
            number, record, record.overall_timeout, route.objective, route.timeout, route.value
        )

    # Its view.

    def may_forward_requests(self) -> bool:
        """Asked before every send: a process that stood still has not looked at its timers yet."""
        return self.subscriber.may_forward_requests(boot_time_now())

    def look(self) -> None:
        """Stands by, or serves again, as the view has become stale or fresh."""
        if self.is_standing_by == self.may_forward_requests():
            self.is_standing_by = not self.is_standing_by
            view = "stale: stands by" if self.is_standing_by else "confirmed"
            self.log(f"distribution: version {self.subscriber.acting_version}, view {view}")
            self.set_standing_by(self.is_standing_by)

    # What is acted on.

    def apply_entries(self, entries: list[Entry], version: int) -> None:
        """As host of the subscriber."""
        super().apply_entries(entries, version)
        for entry in entries:
            if entry.kind == "route":
                self.apply_route(entry)
        verdicts = [entry for entry in entries if entry.kind == "verdict"]
        if verdicts:
            self.apply_verdicts(verdicts)
        if entries:
            self.log(f"distribution: acts on version {version}, {len(entries)} entries of it are other ones")

    def apply_verdicts(self, entries: list[Entry]) -> None:
        """Bans of backends, and customers that are shut out."""
        for entry in entries:
            self.verdicts.pop(entry.name, None)
            if entry.on:
                self.verdicts[entry.name] = entry.body
        bodies = list(self.verdicts.values())
        banned = (body["subject"] for body in bodies if body["kind"] == "ban")
        self.bans.set_by_source(VerdictSource.CONFIGURATION, banned)
        self.block_customers({body["subject"] for body in bodies if body["kind"] == "customer"})

    def apply_route(self, entry: Entry) -> None:
        """What an entry leaves out, or one that is taken out, is as configured."""
        if entry.name not in self.routes:
            return  # a route that this node's file does not have
        configured = self.routes[entry.name]
        overall_timeout_us = configured.overall_timeout_us
        objective, timeout, value = configured.objective, configured.timeout, configured.value
        if entry.on:
            body = msgspec.convert(entry.body, RouteBody)
            if body.overall_timeout:
                overall_timeout_us = body.overall_timeout
                timeout = tenths(body.overall_timeout)
                objective = min(objective, timeout)
            objective, value = tenths(body.latency_objective) or objective, body.value
        configured.record.overall_timeout = overall_timeout_us
        self.front_end.longest_timeout = max(self.front_end.longest_timeout, timeout)
        self.dispatcher.on_route(configured.number, objective, timeout, value)

    def tenant_number(self, name: bytes | None) -> int | None:
        """By which number the decisions know a tenant; None: there is no such tenant."""
        if name is None:
            names = self.subscriber.tenants.filter
            any_named = self.configured_tenants or names is not None and any(names.bits)
            return None if any_named else 0
        may_exist, _ = self.subscriber.tenants.look_up(boot_time_now(), name.decode("latin-1"))
        if name in self.configured_tenants:
            return self.configured_tenants[name]
        if not may_exist:
            return None
        number = self.numbers.get(name)
        if number is None:
            number = self.add_tenant(name, self.settings.usual_quota)
            self.awaited_since[name] = boot_time_now()
        return number

    def add_tenant(self, name: bytes, quota: float) -> int:
        """Returns its number."""
        self.last_number += 1
        self.numbers[name] = self.last_number
        self.dispatcher.on_quota(self.last_number, quota)
        return self.last_number

    def apply_tenant(self, name: str, body: dict | None) -> None:
        """As host of the subscriber."""
        key = name.encode("latin-1", "replace")
        self.awaited_since.pop(key, None)
        if key in self.configured_tenants:
            number = self.configured_tenants[key]
            quota = body["quota_per_s"] if body is not None else self.configured_quotas[number]
            self.dispatcher.on_quota(number, quota)
        elif body is None:
            number = self.numbers.pop(key, None)
            if number is not None:
                self.dispatcher.on_quota(number, None)
        elif key in self.numbers:
            self.dispatcher.on_quota(self.numbers[key], body["quota_per_s"])
        else:
            self.add_tenant(key, body["quota_per_s"])

    def sweep(self) -> None:
        """Guards against tenants added while no relay was in reach that would stay for good."""
        before = boot_time_now() - int(self.settings.idle_s * SECOND)
        for name in [name for name, since in self.awaited_since.items() if since < before]:
            self.apply_tenant(name.decode("latin-1"), None)
