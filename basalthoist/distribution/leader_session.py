"""Keeps a store on a relay's machine in step with the leader. Times are those of the machine's own clock."""

from typing import Protocol

from basalthoist.decisions.random_numbers import Lcg

from .bounds import DISTANT_PAST, UNCONFIRMED_AGE, Bounds
from .catalogue import Entry
from .peer_connection import ConnectionHost, PeerConnection
from .sessions import RelayState
from .store import Store
from .wire import (
    CommitNotice,
    Delta,
    HandshakeReply,
    HandshakeRequest,
    Heartbeat,
    HeartbeatReply,
    Message,
    OperatorCall,
    OperatorReply,
    Proposal,
    Redirect,
    ResyncRequest,
    Snapshot,
)

RESYNCS_PER_HEARTBEAT = 4  # at most
CALL_GRACE_HEARTBEATS = 2  # after a call's timeout until it is given up here


class LeaderSessionHost(ConnectionHost, Protocol):
    """What a leader session makes happen on its machine."""

    def on_commit(self, entries: list[Entry]) -> None:
        """The store has a later version, by these entries."""

    def on_proposal(self) -> None:
        """The store has another pending change: `Store.pending_record` goes to its file."""

    def on_answer(self, call_id: int, text: str) -> None:
        """To an operator here."""

    def relay_state(self) -> RelayState:
        """Of the relay here."""


class PendingCall:
    """An operator's call that has no answer yet."""

    def __init__(self, entries: list[Entry], deadline: int) -> None:
        self.entries = entries
        self.deadline = deadline
        self.sent_at = DISTANT_PAST


class LeaderSession:
    """Keeps a store in step with the leader over one connection. `voters`: addresses, one the leader's."""

    def __init__(
        self,
        host: LeaderSessionHost,
        name: str,
        incarnation: int,
        region: str,
        voters: list[str],
        bounds: Bounds,
        store: Store,
        random: Lcg,
        now: int,
    ) -> None:
        self.host = host
        self.name = name
        self.incarnation = incarnation
        self.region = region
        self.voters = voters
        self.bounds = bounds
        self.store = store
        self.connection = PeerConnection(host, bounds, random, now)
        self.confirmed_at = DISTANT_PAST  # the view here is as if it had been confirmed just then
        self.leader = ""  # the address that a voter named
        self.next_voter = int(random.uniform() * len(voters))
        self.max_sessions = 0  # that the leader allows the relay here; 0: as many as come
        self.calls: dict[int, PendingCall] = {}

    def age(self, now: int) -> int:
        """In tenths of a millisecond: the store's version was the latest at some moment within it."""
        return min(now - self.confirmed_at, UNCONFIRMED_AGE)

    # Time.

    def on_tick(self, now: int) -> None:
        """Connects, leaves a leader that is silent, sends heartbeats and calls."""
        connection = self.connection
        if connection.may_open(now):
            address, self.leader = self.leader or self.voters[self.next_voter % len(self.voters)], ""
            connection.open(now, address)
        elif connection.address and connection.is_silent(now):
            self.leave(now)
        elif connection.is_heartbeat_due(now):
            self.send_heartbeat(now)
        for call_id, call in list(self.calls.items()):
            if now > call.deadline + CALL_GRACE_HEARTBEATS * self.bounds.heartbeat:
                self.settle(call_id, "FAILURE no author, not known whether the change is kept")
            else:
                self.pass_on(now, call_id)

    def send_heartbeat(self, now: int) -> None:
        """Tells the leader of the store and the relay here."""
        store, relay = self.store, self.host.relay_state()
        heartbeat = Heartbeat(
            now,
            store.version,
            store.digest,
            oldest_version=min(relay.oldest_version, store.version),
            nodes=relay.nodes,
            inactive_nodes=relay.inactive_nodes,
            pending_version=store.pending_version,
            term=store.term,
            redirected_nodes=relay.redirected_nodes,
        )
        self.connection.send_heartbeat(heartbeat)

    def leave(self, now: int) -> None:
        """Another voter is tried."""
        self.host.close()
        self.on_disconnected(now)

    def on_connected(self, now: int) -> None:
        """The connection is open; the session is not accepted yet."""
        self.connection.heard_at = now
        own = self.name, self.incarnation, "relay", self.region
        self.host.send(HandshakeRequest(*own, [], self.store.version, self.store.digest))

    def on_disconnected(self, now: int) -> None:
        """The connection has ended, or none came about."""
        self.next_voter += 1
        self.connection.lost(now)

    # From the leader.

    def on_message(self, now: int, message: Message) -> None:
        """One that came on the connection."""
        self.connection.heard_at = now
        match message:
            case HandshakeReply():
                self.on_accepted(now)
            case Redirect():
                self.on_redirect(now, message)
            case HeartbeatReply():
                self.on_heartbeat_reply(now, message)
            case Proposal():
                self.on_proposal(now, message)
            case CommitNotice():
                self.on_commit_notice(now, message)
            case Delta() | Snapshot():
                self.on_update(now, message)
            case ResyncRequest():
                self.on_resync_request(message)
            case OperatorReply():
                self.settle(message.call_id, message.text)

    def on_accepted(self, now: int) -> None:
        """The session is open: calls go out again, as this may be another leader."""
        self.connection.accepted()
        self.send_heartbeat(now)
        for call_id in self.calls:
            self.pass_on(now, call_id, again=True)

    def on_redirect(self, now: int, message: Redirect) -> None:
        """It is not the leader, and may know who is."""
        self.leave(now)
        if message.relays:
            self.leader = message.relays[0]
            self.connection.retry_soon(now)

    def on_heartbeat_reply(self, now: int, message: HeartbeatReply) -> None:
        """Confirms the view, if the store is at just this version; asks for what is missing otherwise."""
        store = self.store
        if (message.version, message.digest) == store.head:
            self.confirmed_at = max(self.confirmed_at, message.sent_at - message.age)
            self.max_sessions = message.max_sessions
        elif message.version > store.version:
            self.request_resync(now, store.version)
        elif message.version == store.version:
            self.request_resync(now, -1)

    def on_proposal(self, now: int, message: Proposal) -> None:
        """The leader learns by a heartbeat that the change is pending here."""
        store = self.store
        before = store.term, store.pending_version
        if store.propose(message.term, message.change):
            if before != (store.term, store.pending_version):
                self.host.on_proposal()
            self.send_heartbeat(now)
        elif store.version < message.change.version - 1:
            self.request_resync(now, store.version)

    def on_commit_notice(self, now: int, message: CommitNotice) -> None:
        """Commits the pending change, unless that version is older or already here."""
        store = self.store
        if message.version >= store.version and (message.version, message.digest) != store.head:
            entries = store.commit(message.version, message.digest)
            self.after_update(now, entries, resync_from=store.version)

    def on_update(self, now: int, message: Delta | Snapshot) -> None:
        """Changes that this store has missed."""
        store = self.store
        # Guards against asking again and again for what is not new, or older than what is committed here.
        if message.version < store.version or (message.version, message.digest) == store.head:
            return
        # Guards against keeping content that has another digest than it says: then all of it is asked for.
        from_the_start = isinstance(message, Snapshot) or message.base_version == store.version
        resync_from = -1 if from_the_start else store.version
        self.after_update(now, store.take_update(message), resync_from)

    def after_update(self, now: int, entries: list[Entry] | None, resync_from: int) -> None:
        """The store has changed by these entries; None: the update did not fit."""
        if entries is None:
            return self.request_resync(now, resync_from)
        self.host.on_commit(entries)
        self.send_heartbeat(now)

    def request_resync(self, now: int, version: int) -> None:
        """Asks the leader for what came after that version."""
        self.connection.request_resync(now, version, self.bounds.heartbeat // RESYNCS_PER_HEARTBEAT)

    def on_resync_request(self, message: ResyncRequest) -> None:
        """A new leader misses something that is committed, or may be."""
        store = self.store
        update = store.update_for(None, message.version)
        if update is not None:
            self.host.send(update)
        if store.pending is not None:
            self.host.send(Proposal(store.term, store.pending))

    # Operators here.

    def on_call(self, now: int, call_id: int, entries: list[Entry]) -> None:
        """`on_answer` gets what became of it, within its timeout and some heartbeats."""
        self.calls[call_id] = PendingCall(entries, now + self.bounds.call_timeout)
        self.pass_on(now, call_id)

    def pass_on(self, now: int, call_id: int, again: bool = False) -> None:
        """To the leader, once in a heartbeat's interval until there is an answer."""
        call = self.calls[call_id]
        if self.connection.is_established and (again or now - call.sent_at >= self.bounds.heartbeat):
            call.sent_at = now
            self.host.send(OperatorCall(call_id, call.entries, max(call.deadline - now, 0)))

    def settle(self, call_id: int, text: str) -> None:
        """The call has its answer; a second one is dropped."""
        if self.calls.pop(call_id, None) is not None:
            self.host.on_answer(call_id, text)
