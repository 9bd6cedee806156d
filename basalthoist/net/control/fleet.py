"""A node's member of the fleet on sockets: datagrams, one timer, the hint file and operators' calls.

The protocol's decisions are made in `fleet/`. This module carries its messages and applies its verdicts.
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

NEVER = 1 << 60
MIN_TICK = 50  # Like all times here, in tenths of a millisecond.
TICKS_PER_HEARTBEAT = 4


class LocalRateLimit:
    """This node's quota of a rate limit, on the clock that goes on while the machine sleeps."""

    def __init__(self, bucket: Bucket) -> None:
        self.bucket: Bucket = bucket

    def take(self, now: int) -> bool:
        """Returns whether one more request is within the quota, and counts it. Ignores `now`."""
        return self.bucket.take(boot_time_now())


class Fleet(ReplicaSocket):
    """The host of the replica and of the membership protocol.

    `block_tenants` is called with all tenants that are blocked now, `set_standing_by` with whether this node
    stands by because its view is stale. `is_idle` returns whether the node drains and has no client left.
    """

    def __init__(
        self,
        document: FleetDocument,
        configuration: Configuration,
        timers: Timers,
        log: Log,
        bans: Bans,
        block_tenants: Callable[[set[str]], None],
        dispatcher: "RequestDispatcher",
        set_standing_by: Callable[[bool], None],
        run_on_disk: RunOnDisk,
        is_idle: Callable[[], bool],
    ) -> None:
        bounds = document.bounds()
        super().__init__(document, configuration.name, configuration.folder, bounds, timers, log, run_on_disk)
        self.bans: Bans = bans
        self.is_idle: Callable[[], bool] = is_idle
        self.block_tenants: Callable[[set[str]], None] = block_tenants
        self.dispatcher: RequestDispatcher = dispatcher
        self.set_standing_by: Callable[[bool], None] = set_standing_by
        self.tenants: list[str] = configuration.customers
        self.fleet_quotas: dict[str, float] = {}
        self.configured_quotas: list[float | None] = [
            tenant.quota for tenant in dispatcher.balancer.quotas.tenants.values()
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
        set_standing_by(self.is_standing_by)
        timers.every(max(bounds.heartbeat_interval // TICKS_PER_HEARTBEAT, MIN_TICK), self.tick)

    # The socket.

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Takes the open socket, which means that no other process of this node has its address any more."""
        super().connection_made(transport)
        if self.holder is not None:
            # The predecessor may have lent the guaranteed quota a moment ago.
            self.holder.lend(boot_time_now())

    def on_incarnation(self, at: int, name: str, incarnation: int) -> None:
        """Passes a peer's new incarnation on to the replica and the members."""
        super().on_incarnation(at, name, incarnation)
        self.members.on_incarnation(at, name, incarnation)

    def on_message(self, at: int, name: str, message: Message) -> None:
        """Passes a message on to the members or the replica."""
        if type(message) is Ping:
            self.members.on_ping(at, name, message)
        elif type(message) is Ack:
            self.members.on_ack(at, name, message)
        else:
            super().on_message(at, name, message)

    def after_message(self, at: int) -> None:
        """Checks the view, which the message may have confirmed."""
        self.check_view(at)

    # Time.

    def tick(self) -> None:
        """Drives the timers of the replica, the members and the rate limits."""
        at = boot_time_now()
        self.close_or_open_limits(at, self.is_idle())
        self.replica.on_tick(at)
        self.members.on_tick(at)
        self.check_view(at)

    def check_view(self, at: int) -> None:
        """Stands by while the view is too old to forward requests, and logs each change."""
        if self.is_standing_by != self.replica.may_forward_requests(at):
            return
        self.is_standing_by = not self.is_standing_by
        version = self.replica.sets.applied.version
        if self.is_standing_by:
            self.log(f"view stale, version {version}: stands by")
        else:
            self.log(f"view confirmed, version {version}")
        self.set_standing_by(self.is_standing_by)

    def may_forward_requests(self) -> bool:
        """Returns whether the view is fresh enough to forward requests.

        Checked before every send, because a process that was suspended has not run its timers yet.
        """
        return self.replica.may_forward_requests(boot_time_now())

    # Rate limits.

    def open_limits(self, at: int) -> QuotaLeaseHolder:
        """Registers this node's quota of each rate limit with the dispatcher; returns the lease holder."""
        limits = [Limit(limit.customer, limit.rate, limit.burst) for limit in self.document.limits]
        holder = QuotaLeaseHolder(limits, len(self.document.nodes), self.document.bounds(), at)
        # Two processes of one node must not both use its guaranteed quota. This one gets it only when it
        # has bound the node's address (`connection_made`).
        for limit, bucket in zip(limits, holder.buckets, strict=True):
            bucket.guaranteed_from = NEVER
            self.dispatcher.on_rate_limit(self.tenants.index(limit.tenant), LocalRateLimit(bucket))
        return holder

    def close_or_open_limits(self, at: int, is_idle: bool) -> None:
        """Returns this node's grants at once when it has become idle, and requests them again afterwards."""
        if self.holder is not None and is_idle != self.holder.closed:
            (self.holder.close if is_idle else self.holder.open)(at)

    # The replica's host.

    def apply(self, verdicts: VerdictSet) -> None:
        """Applies a verdict set in place of the one before it."""
        present = verdicts.verdicts.values()
        banned = (verdict.subject for verdict in present if verdict.kind in (BAN, OUTLIER))
        self.bans.set_by_source(VerdictSource.FLEET, banned)
        self.block_tenants({verdict.subject for verdict in present if verdict.kind == TENANT_BAN})
        self.set_quotas({verdict.subject: verdict.figure for verdict in present if verdict.kind == QUOTA})
        self.log(f"fleet: acts on version {verdicts.version}, {len(present)} verdicts")

    def set_quotas(self, fleet_quotas: dict[str, float]) -> None:
        """Sets the fleet's quotas, and restores the configured quota of a tenant that no longer has one."""
        for number, name in enumerate(self.tenants):
            if fleet_quotas.get(name) != self.fleet_quotas.get(name):
                self.dispatcher.on_quota(number, fleet_quotas.get(name, self.configured_quotas[number]))
        self.fleet_quotas = fleet_quotas

    def detected_outliers(self) -> list[str]:
        """Returns the outliers that this node has detected itself."""
        return outliers_to_report(self.dispatcher.balancer.backends.values(), now())

    def backend_count(self) -> int:
        """Returns how many backends this node knows."""
        return len(self.dispatcher.balancer.backends)

    def answer_call(self, call_id: int, text: str) -> None:
        """Answers a call of an operator at this node; does nothing if it was answered before."""
        caller = self.callers.pop(call_id, None)
        if caller is not None:
            caller(text)

    # The members' host.

    def on_member_state(self, name: str, state: MemberState) -> None:
        """Does nothing: membership is shown to operators only; the leader relies on replies to heartbeats."""

    # Operators.

    def call(
        self,
        kinds: tuple[VerdictKind, ...],
        on: bool,
        subject: str,
        answer: Callable[[str], None],
        figure: float = 0.0,
    ) -> None:
        """Proposes to set, or to lift, a verdict of each kind on the subject."""
        self.pass_on([Verdict(kind, subject, on, figure, self.me, "operator") for kind in kinds], answer)

    def status(self, answer: Callable[[str], None]) -> None:
        """Handles `fleet-status`: the leader answers, or this node with FAILURE if it knows no leader."""
        if self.replica.leader_name:
            self.pass_on([], answer)
        else:
            answer(f"FAILURE {self.replica.status(boot_time_now())}")

    def members_status(self) -> str:
        """Returns the answer to `fleet-members`: which members are present."""
        return f"SUCCESS {self.members.status(boot_time_now())}"

    def pass_on(self, changes: list[Verdict], answer: Callable[[str], None]) -> None:
        """Passes an operator's call on to the replica; no changes means a query of the status."""
        self.last_call_id += 1
        self.callers[self.last_call_id] = answer
        self.replica.on_call(boot_time_now(), self.last_call_id, changes)
