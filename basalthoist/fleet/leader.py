"""The leader: proposals, commits, heartbeats, and the state of each peer as its replies report it."""

from .bounds import DISTANT_PAST, Bounds
from .host import ReplicaHost
from .lease import Promises, Voter, own_voter
from .operator_calls import UNTIL_IN_TOUCH, CallsInProgress
from .outlier_reports import MAX_REPORTED, agreed_outliers
from .quota_leases import Demand, QuotaLeaseGranter, QuotaLeaseHolder, rates_of
from .replication import MAX_DELTA_BYTES, SECOND, Replication
from .verdicts import ENCODE, Verdict, VerdictSet
from .wire import Heartbeat, HeartbeatReply


class Peer:
    """The state of a peer in its current incarnation, from its latest reply."""

    def __init__(self) -> None:
        self.stored_version: int = -1  # the version of this term that the peer has stored; -1: none
        self.applied_version: int = -1
        self.intact: bool = False  # whether the peer still has everything that it acknowledged
        self.reply_sent_at: int = 0  # when the peer sent its latest reply, on its own clock; 0: no reply yet
        self.confirmed: bool = False  # whether that reply shows that the peer applies the committed version
        self.view_until: int = DISTANT_PAST  # the latest time at which the peer may act on its view
        self.reply_received_at: int = DISTANT_PAST
        self.outliers: list[str] = []


class Leader:
    """A replica's state as leader, which remains after the lease is lost, until the replica leads again."""

    def __init__(
        self,
        host: ReplicaHost,
        own_name: str,
        nodes: list[str],
        voters: list[str],
        bounds: Bounds,
        voter: Voter | None,
        sets: Replication,
        holder: QuotaLeaseHolder | None,
        calls: CallsInProgress,
    ) -> None:
        self.host: ReplicaHost = host
        self.own_name: str = own_name
        self.nodes: list[str] = nodes
        self.voters: list[str] = voters
        self.bounds: Bounds = bounds
        self.voter: Voter | None = voter
        self.sets: Replication = sets
        self.holder: QuotaLeaseHolder | None = holder
        self.calls: CallsInProgress = calls
        self.term: int = 0
        self.promises: Promises = Promises(bounds, len(voters))
        self.peers: dict[str, Peer] = {}
        self.committed: int = -1  # the committed version; -1: not known yet in this term
        self.began_at: int = DISTANT_PAST
        self.heartbeat_at: int = DISTANT_PAST
        self.queue: list[Verdict] = []  # changes for the next proposal
        self.granter: QuotaLeaseGranter | None = None

    def start(self, now: int, term: int, promises: Promises, verdicts: VerdictSet) -> None:
        """Begins a term with `verdicts`, the latest set among the voters, as its first proposal."""
        self.term = term
        self.promises = promises
        own_voter(self.voter).intact = True
        self.began_at = now
        self.heartbeat_at = DISTANT_PAST
        self.committed = -1
        self.peers = {name: Peer() for name in self.nodes if name != self.own_name}
        self.queue = []
        self.calls.clear()
        self.granter = None
        if self.holder is not None:
            self.granter = QuotaLeaseGranter(self.holder.limits, len(self.nodes), self.bounds, now)
        self.sets.store(now, verdicts.in_term(term))

    def renew(self, now: int) -> bool:
        """Renews this voter's own promise. Returns whether the lease, a quorum's promises, still runs."""
        own_voter(self.voter).accept_leader(now, self.term)
        self.promises.add(self.own_name, now)
        return self.promises.has_quorum(now)

    def advance(self, now: int) -> None:
        """Commits the proposal if a quorum has stored it, and sends heartbeats if they are due."""
        self.commit(now)
        if now - self.heartbeat_at >= self.bounds.heartbeat_interval:
            self.send_heartbeats(now)
            self.propose_outliers(now)

    def stop(self) -> None:
        """Drops the queued changes and the calls in progress after the lease is lost."""
        self.calls.waiting, self.queue = [], []

    def send_heartbeats(self, now: int) -> None:
        """Sends a heartbeat to each peer, with the peer's grants."""
        self.heartbeat_at = now
        if self.granter is not None and self.holder is not None:
            self.plan_grants(now, self.granter, self.holder)
        stored = self.sets.stored
        for name, peer in self.peers.items():
            grants = None
            if self.granter is not None and peer.reply_sent_at:
                grants = self.granter.grants(now, name)
            heartbeat = Heartbeat(
                self.term,
                now,
                stored.version,
                stored.digest,
                self.committed,
                peer.reply_sent_at,
                peer.confirmed,
                grants,
            )
            self.host.send(name, heartbeat)

    def plan_grants(self, now: int, granter: QuotaLeaseGranter, holder: QuotaLeaseHolder) -> None:
        """Plans the grants of all nodes, and applies those of this node."""
        granter.on_demand(now, self.own_name, holder.report(now), now)
        granter.plan(now, rates_of(holder.limits, self.sets.applied))
        holder.on_grants(now, granter.grants(now, self.own_name), now)

    def commit(self, now: int) -> None:
        """Commits the proposal if a quorum has stored it, then proposes the queued changes."""
        stored = self.sets.stored
        if self.committed != stored.version:
            if self.stored_by(stored.version) < self.promises.quorum:
                return
            self.committed = stored.version
            for peer in self.peers.values():
                peer.confirmed = peer.confirmed and peer.applied_version >= stored.version
            self.sets.apply(now, stored)
            self.send_heartbeats(now)
        if self.queue:
            changes, self.queue = self.queue, []
            self.propose(now, changes)

    def stored_by(self, version: int) -> int:
        """Returns how many intact voters have stored `version`, this one included."""
        peers = [self.peers[name] for name in self.voters if name in self.peers]
        stored = sum(peer.intact and peer.stored_version >= version for peer in peers)
        return stored + own_voter(self.voter).intact

    def propose(self, now: int, changes: list[Verdict]) -> None:
        """Proposes a version with these changes, unless together they change nothing."""
        changes = self.sets.stored.effective(changes)
        if not changes:
            return self.calls.nothing_changed(self.sets.stored.version)
        after, delta = self.sets.propose(self.term, changes)
        self.sets.store(now, after)
        if len(ENCODE(changes)) < MAX_DELTA_BYTES:
            for name in self.peers:
                self.host.send(name, delta)
        self.commit(now)  # A single voter is a quorum by itself.
        self.send_heartbeats(now)

    def remove_expired(self, now: int) -> None:
        """Removes verdicts whose duration has passed since this node stored them.

        This node stored a verdict when it was proposed or later, so a removal is never early.
        """
        self.queue += self.sets.expired(now)
        if self.queue:
            self.commit(now)

    def propose_outliers(self, now: int) -> None:
        """Proposes to eject the outliers that enough nodes in touch have each detected themselves."""
        stored = self.sets.stored
        if not self.bounds.outlier_quorum or self.committed != stored.version or self.queue:
            return
        reports = self.outlier_reports(now)
        room = self.bounds.max_verdicts - len(stored.verdicts)
        agreed = agreed_outliers(reports, self.host.backend_count(), stored, self.bounds)
        for verdict in agreed[: max(room, 0)]:
            self.host.log(f"fleet: {verdict.subject} sick, {verdict.why}: {verdict.who}")
            self.queue.append(verdict)
        self.commit(now)

    def outlier_reports(self, now: int) -> dict[str, list[str]]:
        """Returns the outliers by node: this node, and peers in touch that apply the committed version."""
        reports = {
            name: peer.outliers
            for name, peer in self.peers.items()
            if peer.applied_version == self.committed and now - peer.reply_received_at <= self.bounds.fresh
        }
        reports[self.own_name] = self.host.detected_outliers()
        return reports

    def may_apply_older(self, now: int, version: int) -> dict[str, int]:
        """Returns the peers that may still apply a version below `version`, each with the longest time left.

        The time is UNTIL_IN_TOUCH in a fleet that is not strict, where a stale view does not end.
        """
        found = {}
        for name, peer in self.peers.items():
            if peer.applied_version < version:
                until = self.view_until(peer)
                if not self.bounds.strict:
                    found[name] = UNTIL_IN_TOUCH
                elif until > now:
                    found[name] = until - now
        return found

    def view_until(self, peer: Peer) -> int:
        """Returns when the peer's view ends at the latest, including one that an earlier leader confirmed."""
        return max(peer.view_until, self.began_at + self.bounds.max_remote_view_duration())

    def on_heartbeat_reply(self, now: int, name: str, reply: HeartbeatReply) -> bool:
        """Processes a peer's reply to a heartbeat. Returns whether the reply was used and the lease runs."""
        if reply.term != self.term or name not in self.peers:
            return False
        peer = self.peers[name]
        if reply.sent_at < peer.reply_sent_at:
            return False  # A later reply has arrived before this one.
        if reply.voting and name in self.voters:
            self.promises.add(name, reply.heartbeat_sent_at)
        self.record_reply(now, peer, reply)
        if self.granter is not None:
            demand = Demand(reply.demand, reply.returns_grants, reply.lends)
            self.granter.on_demand(now, name, demand, reply.heartbeat_sent_at)
        return self.promises.has_quorum(now)

    def record_reply(self, now: int, peer: Peer, reply: HeartbeatReply) -> None:
        """Updates the peer's state from its reply."""
        peer.stored_version = reply.stored_version
        peer.applied_version = reply.applied_version
        peer.intact = reply.intact
        peer.reply_sent_at = reply.sent_at
        peer.confirmed = 0 <= self.committed == reply.applied_version
        peer.reply_received_at = now
        peer.outliers = reply.outliers[:MAX_REPORTED]
        if peer.confirmed:
            peer.view_until = now + self.bounds.max_remote_view_duration()

    def on_incarnation(self, name: str) -> None:
        """Resets the peer after a restart, except for the end of the view of its previous incarnation."""
        if name in self.peers:
            until = self.peers[name].view_until
            self.peers[name] = Peer()
            self.peers[name].view_until = until

    def status(self, now: int) -> str:
        """Returns the version that each node applies, for operators."""
        rows = [f"{self.own_name} {self.sets.applied.version}"]
        rows += [self.peer_status(now, name, self.peers[name]) for name in sorted(self.peers)]
        return ", ".join(rows)

    def peer_status(self, now: int, name: str, peer: Peer) -> str:
        """Returns the version that one peer applies, for operators."""
        version = str(peer.applied_version) if peer.applied_version >= 0 else "unheard"
        if peer.confirmed and now - peer.reply_received_at <= self.bounds.fresh:
            return f"{name} {version}"
        left = max(self.view_until(peer) - now, 0)
        return f"{name} {version} out of touch {left / SECOND:.1f} s left"
