"""The session of a relay process with the leader. Times are those of the local clock."""

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

MAX_RESYNCS_PER_HEARTBEAT = 4
CALL_GRACE_HEARTBEATS = 2  # heartbeats after a call's timeout in which the leader's answer may still arrive


class LeaderSessionHost(ConnectionHost, Protocol):
    """The environment of a leader session: its connection, its relay and its operators."""

    def on_commit(self, entries: list[Entry]) -> None:
        """Called when the store has committed a later version with these entries."""

    def on_proposal(self) -> None:
        """Called when another change is pending; the host appends `Store.pending_record` to its file."""

    def on_answer(self, call_id: int, text: str) -> None:
        """Returns the answer to the operator who made the call."""

    def relay_state(self) -> RelayState:
        """Returns the state of the relay in this process, as it is reported to the leader."""


class PendingCall:
    """An operator's call that has not been answered yet."""

    def __init__(self, entries: list[Entry], deadline: int) -> None:
        self.entries = entries
        self.deadline = deadline
        self.sent_at = DISTANT_PAST


class LeaderSession:
    """Synchronizes a store with the leader over one connection.

    `voters` are the voters' addresses, one of which is the leader's.
    """

    def __init__(
        self,
        host: LeaderSessionHost,
        name: str,
        incarnation: int,
        region: str,
        voters: list[str],
        bounds: Bounds,
        store: Store,
        rng: Lcg,
        now: int,
    ) -> None:
        self.host = host
        self.name = name
        self.incarnation = incarnation
        self.region = region
        self.voters = voters
        self.bounds = bounds
        self.store = store
        self.connection = PeerConnection(host, bounds, rng, now)
        self.confirmed_at = DISTANT_PAST  # the latest time at which the view is known to have been current
        self.leader = ""  # the leader's address as a voter has named it; empty if unknown
        self.next_voter = int(rng.uniform() * len(voters))
        self.max_sessions = 0  # the leader's limit for the relay of this process; 0 stands for no limit
        self.calls: dict[int, PendingCall] = {}

    def age(self, now: int) -> int:
        """Returns the age of the view: the store's version was the latest at some time within it."""
        return min(now - self.confirmed_at, UNCONFIRMED_AGE)

    # Timer.

    def on_tick(self, now: int) -> None:
        """Connects, disconnects from a silent leader, sends heartbeats, and sends or gives up calls."""
        connection = self.connection
        if connection.may_open(now):
            address, self.leader = self.leader or self.voters[self.next_voter % len(self.voters)], ""
            connection.open(now, address)
        elif connection.address and connection.is_silent(now):
            self.disconnect(now)
        elif connection.is_heartbeat_due(now):
            self.send_heartbeat(now)
        for call_id, call in list(self.calls.items()):
            if now > call.deadline + CALL_GRACE_HEARTBEATS * self.bounds.heartbeat:
                self.finish_call(call_id, "FAILURE no author, not known whether the change is kept")
            else:
                self.forward_call(now, call_id)

    def send_heartbeat(self, now: int) -> None:
        """Reports the state of the store and the relay to the leader."""
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

    def disconnect(self, now: int) -> None:
        """Closes the connection; the next attempt goes to another voter."""
        self.host.close()
        self.on_disconnected(now)

    def on_connected(self, now: int) -> None:
        """Requests a session on the open connection."""
        self.connection.last_received_at = now
        identity = self.name, self.incarnation, "relay", self.region
        self.host.send(HandshakeRequest(*identity, [], self.store.version, self.store.digest))

    def on_disconnected(self, now: int) -> None:
        """Selects the next voter after the connection has ended or could not be opened."""
        self.next_voter += 1
        self.connection.on_disconnected(now)

    # Messages of the leader.

    def on_message(self, now: int, message: Message) -> None:
        """Handles a message of the peer."""
        self.connection.last_received_at = now
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
                self.finish_call(message.call_id, message.text)

    def on_accepted(self, now: int) -> None:
        """Reports to the leader and sends all calls again, as this may be another leader."""
        self.connection.on_accepted()
        self.send_heartbeat(now)
        for call_id in self.calls:
            self.forward_call(now, call_id, again=True)

    def on_redirect(self, now: int, message: Redirect) -> None:
        """Disconnects from a voter that is not the leader; connects to the leader if the voter names it."""
        self.disconnect(now)
        if message.relays:
            self.leader = message.relays[0]
            self.connection.retry_soon(now)

    def on_heartbeat_reply(self, now: int, message: HeartbeatReply) -> None:
        """Confirms the view if the store has the leader's version and digest; otherwise requests a resync."""
        store = self.store
        if (message.version, message.digest) == store.head:
            self.confirmed_at = max(self.confirmed_at, message.sent_at - message.age)
            self.max_sessions = message.max_sessions
        elif message.version > store.version:
            self.request_resync(now, store.version)
        elif message.version == store.version:
            self.request_resync(now, -1)

    def on_proposal(self, now: int, message: Proposal) -> None:
        """Stores the proposed change and acknowledges it to the leader by a heartbeat."""
        store = self.store
        before = store.term, store.pending_version
        if store.propose(message.term, message.change):
            if before != (store.term, store.pending_version):
                self.host.on_proposal()
            self.send_heartbeat(now)
        elif store.version < message.change.version - 1:
            self.request_resync(now, store.version)

    def on_commit_notice(self, now: int, message: CommitNotice) -> None:
        """Commits the pending change, unless the store already has that version or a later one."""
        store = self.store
        if message.version >= store.version and (message.version, message.digest) != store.head:
            entries = store.commit(message.version, message.digest)
            self.after_update(now, entries, resync_from=store.version)

    def on_update(self, now: int, message: Delta | Snapshot) -> None:
        """Applies changes that this store has missed."""
        store = self.store
        # Guards against endless resync requests for an update that is not newer than the committed version.
        if message.version < store.version or (message.version, message.digest) == store.head:
            return
        # Guards against applying an update whose content has another digest than it declares: if it starts
        # from the right version, only a snapshot can replace it.
        needs_snapshot = isinstance(message, Snapshot) or message.base_version == store.version
        resync_from = -1 if needs_snapshot else store.version
        self.after_update(now, store.take_update(message), resync_from)

    def after_update(self, now: int, entries: list[Entry] | None, resync_from: int) -> None:
        """Reports the changed entries; requests a resync if `entries` is None: the update did not apply."""
        if entries is None:
            return self.request_resync(now, resync_from)
        self.host.on_commit(entries)
        self.send_heartbeat(now)

    def request_resync(self, now: int, version: int) -> None:
        """Requests the changes after `version` from the leader, or a snapshot (-1)."""
        self.connection.request_resync(now, version, self.bounds.heartbeat // MAX_RESYNCS_PER_HEARTBEAT)

    def on_resync_request(self, message: ResyncRequest) -> None:
        """Sends a new leader the changes that it misses, and the pending change, which may be committed."""
        store = self.store
        update = store.update_for(None, message.version)
        if update is not None:
            self.host.send(update)
        if store.pending is not None:
            self.host.send(Proposal(store.term, store.pending))

    # Calls of local operators.

    def on_call(self, now: int, call_id: int, entries: list[Entry]) -> None:
        """Starts a call; `on_answer` gets the result within `call_timeout` and the grace time."""
        self.calls[call_id] = PendingCall(entries, now + self.bounds.call_timeout)
        self.forward_call(now, call_id)

    def forward_call(self, now: int, call_id: int, again: bool = False) -> None:
        """Sends a call to the leader, unless that was done within the last heartbeat interval.

        `again` skips that check.
        """
        call = self.calls[call_id]
        if self.connection.is_established and (again or now - call.sent_at >= self.bounds.heartbeat):
            call.sent_at = now
            self.host.send(OperatorCall(call_id, call.entries, max(call.deadline - now, 0)))

    def finish_call(self, call_id: int, text: str) -> None:
        """Answers a call; a second answer to it is dropped."""
        if self.calls.pop(call_id, None) is not None:
            self.host.on_answer(call_id, text)
