"""This node's part in a fleet on sockets: datagrams, one timer, the file with the hint, operators' calls.

What is decided is decided in `fleet/`; here messages are carried, and verdicts are handed to the decisions.
"""

import asyncio
import os
from collections.abc import Callable
from typing import TYPE_CHECKING

from basalthoist.configuration import Configuration, FleetDocument
from basalthoist.fleet.members import Members
from basalthoist.fleet.outlier_reports import outliers_to_report
from basalthoist.fleet.quota_leases import Bucket, Limit, QuotaLeaseHolder
from basalthoist.fleet.replica import Replica
from basalthoist.fleet.verdicts import BAN, OUTLIER, QUOTA, TENANT_BAN, Verdict, VerdictKind, VerdictSet
from basalthoist.fleet.wire import Ack, MemberState, Message, Ping
from basalthoist.net.control.bans import Bans, VerdictSource
from basalthoist.net.control.hint_file import RunOnDisk
from basalthoist.net.control.replica_socket import ReplicaSocket
from basalthoist.net.runtime.log import Log
from basalthoist.net.runtime.timers import SECOND, Timers, boot_time_now, now

if TYPE_CHECKING:
    from basalthoist.net.dispatcher import RequestDispatcher

NEVER = 1 << 60  # a time that does not come
MIN_TICK = 50  # tenths of a millisecond
TICKS_PER_HEARTBEAT = 4


class LocalRateLimit:
    """This node's part of a limit, for the decisions, by the clock that counts while a machine sleeps."""

    def __init__(self, bucket: Bucket) -> None:
        self.bucket: Bucket = bucket

    def take(self, now: int) -> bool:
        """Whether one more request is within it."""
        return self.bucket.take(boot_time_now())


class Fleet(ReplicaSocket):
    """The host of the replica. `stands_by` is told whether this node's view has become stale."""

    def __init__(
        self,
        document: FleetDocument,
        configuration: Configuration,
        timers: Timers,
        log: Log,
        bans: Bans,
        shut_out: Callable[[set[str]], None],
        dispatcher: "RequestDispatcher",
        stands_by: Callable[[bool], None],
        run_on_disk: RunOnDisk,
        is_idle: Callable[[], bool],
    ) -> None:
        bounds = document.bounds()
        super().__init__(document, configuration.name, configuration.folder, bounds, timers, log, run_on_disk)
        self.bans: Bans = bans
        self.is_idle: Callable[[], bool] = is_idle
        self.shut_out: Callable[[set[str]], None] = shut_out
        self.dispatcher: RequestDispatcher = dispatcher
        self.stands_by: Callable[[bool], None] = stands_by
        self.customers: list[str] = configuration.customers
        self.fleet_quotas: dict[str, float] = {}  # by customer, where the fleet sets one
        self.quotas: list[float | None] = [
            customer.quota for customer in dispatcher.balancer.quotas.tenants.values()
        ]
        self.callers: dict[int, Callable[[str], None]] = {}
        self.last_call_id: int = int.from_bytes(os.urandom(5), "big") << 20
        at = boot_time_now()
        voters = sorted(document.voters)
        nodes = sorted(document.nodes)
        hint = self.hint_file.read()
        self.holder: QuotaLeaseHolder | None = self.open_limits(at) if document.limits else None
        self.replica: Replica = Replica(self, self.me, nodes, voters, bounds, self.rng, at, hint, self.holder)
        period = int(document.probe_s * SECOND)
        incarnation = self.handshakes.incarnation
        self.members: Members = Members(self, self.me, incarnation, nodes, period, self.rng, at)
        self.is_standing_by: bool = not self.replica.may_forward_requests(at)
        stands_by(self.is_standing_by)
        timers.every(max(bounds.heartbeat_interval // TICKS_PER_HEARTBEAT, MIN_TICK), self.tick)

    # The socket.

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """The socket is open: this process is the only one of its node."""
        super().connection_made(transport)
        if self.holder is not None:
            self.holder.lend(boot_time_now())  # the process before this one may have lent it just now

    def on_incarnation(self, at: int, name: str, incarnation: int) -> None:
        """A peer has a new incarnation."""
        super().on_incarnation(at, name, incarnation)
        self.members.on_incarnation(at, name, incarnation)

    def on_message(self, at: int, name: str, message: Message) -> None:
        """Takes a message for the members or the replica."""
        if type(message) is Ping:
            self.members.on_ping(at, name, message)
        elif type(message) is Ack:
            self.members.on_ack(at, name, message)
        else:
            super().on_message(at, name, message)

    def after_message(self, at: int) -> None:
        """The message may have confirmed the view."""
        self.check_view(at)

    # Time.

    def tick(self) -> None:
        """Does what is due."""
        at = boot_time_now()
        self.close_or_open_limits(at, self.is_idle())
        self.replica.on_tick(at)
        self.members.on_tick(at)
        self.check_view(at)

    def check_view(self, at: int) -> None:
        """Stands by while this node may not act on what it knows."""
        if self.is_standing_by != self.replica.may_forward_requests(at):
            return
        self.is_standing_by = not self.is_standing_by
        version = self.replica.sets.applied.version
        if self.is_standing_by:
            self.log(f"view stale, version {version}: stands by")
        else:
            self.log(f"view confirmed, version {version}")
        self.stands_by(self.is_standing_by)

    def may_forward_requests(self) -> bool:
        """Asked before every send. Guards against a process that stood still and has met no timer yet."""
        return self.replica.may_forward_requests(boot_time_now())

    # Rate limits.

    def open_limits(self, at: int) -> QuotaLeaseHolder:
        """Hands this node's part of each limit to the decisions."""
        limits = [Limit(limit.customer, limit.rate, limit.burst) for limit in self.document.limits]
        holder = QuotaLeaseHolder(limits, len(self.document.nodes), self.document.bounds(), at)
        # Guards against two processes of one node that both use its share: it has none before the address.
        for limit, bucket in zip(limits, holder.buckets, strict=True):
            bucket.guaranteed_from = NEVER
            self.dispatcher.on_rate_limit(self.customers.index(limit.tenant), LocalRateLimit(bucket))
        return holder

    def close_or_open_limits(self, at: int, is_idle: bool) -> None:
        """While no client can come, what this node was granted goes back at once."""
        if self.holder is not None and is_idle != self.holder.closed:
            (self.holder.close if is_idle else self.holder.open)(at)

    # The replica's host.

    def apply(self, verdicts: VerdictSet) -> None:
        """Applies these verdicts from now on."""
        present = verdicts.verdicts.values()
        banned = (verdict.subject for verdict in present if verdict.kind in (BAN, OUTLIER))
        self.bans.set_by_source(VerdictSource.FLEET, banned)
        self.shut_out({verdict.subject for verdict in present if verdict.kind == TENANT_BAN})
        self.set_quotas({verdict.subject: verdict.figure for verdict in present if verdict.kind == QUOTA})
        self.log(f"fleet: acts on version {verdicts.version}, {len(present)} verdicts")

    def set_quotas(self, fleet_quotas: dict[str, float]) -> None:
        """Sets the fleet's quotas, and the configured ones where the fleet sets none any more."""
        for number, name in enumerate(self.customers):
            if fleet_quotas.get(name) != self.fleet_quotas.get(name):
                self.dispatcher.on_quota(number, fleet_quotas.get(name, self.quotas[number]))
        self.fleet_quotas = fleet_quotas

    def detected_outliers(self) -> list[str]:
        """The outliers that this node has detected by itself."""
        return outliers_to_report(self.dispatcher.balancer.backends.values(), now())

    def backend_count(self) -> int:
        """How many backends this node knows."""
        return len(self.dispatcher.balancer.backends)

    def answer_call(self, call_id: int, text: str) -> None:
        """Answers an operator of this node."""
        caller = self.callers.pop(call_id, None)
        if caller is not None:
            caller(text)

    # The members' host.

    def on_member_state(self, name: str, state: MemberState) -> None:
        """Nothing: membership is for operators, the leader goes by heartbeats' replies."""

    # Operators.

    def call(
        self,
        kinds: tuple[VerdictKind, ...],
        on: bool,
        subject: str,
        answer: Callable[[str], None],
        figure: float = 0.0,
    ) -> None:
        """Sets or takes back a verdict of each kind on the subject."""
        self.pass_on([Verdict(kind, subject, on, figure, self.me, "operator") for kind in kinds], answer)

    def status(self, answer: Callable[[str], None]) -> None:
        """How the fleet stands, by its leader where one is known."""
        if self.replica.leader_name:
            self.pass_on([], answer)
        else:
            answer(f"FAILURE {self.replica.status(boot_time_now())}")

    def members_status(self) -> str:
        """Which members are present."""
        return f"SUCCESS {self.members.status(boot_time_now())}"

    def pass_on(self, changes: list[Verdict], answer: Callable[[str], None]) -> None:
        """Hands a call to the replica."""
        self.last_call_id += 1
        self.callers[self.last_call_id] = answer
        self.replica.on_call(boot_time_now(), self.last_call_id, changes)
