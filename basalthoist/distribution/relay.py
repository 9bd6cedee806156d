"""The sessions of nodes at a store: each gets the entries of its scopes, its tenants, and every version."""

from typing import Protocol

from .bounds import UNCONFIRMED_AGE, Bounds, ConfirmedViews, rank
from .catalogue import TENANT, Entry
from .sessions import RelayState, SessionHost, redirect
from .store import Store
from .wire import (
    EncodedMessage,
    HandshakeReply,
    HandshakeRequest,
    Heartbeat,
    HeartbeatReply,
    Message,
    ResyncRequest,
    Snapshot,
    TenantDemand,
    TenantUpdate,
)

SECOND = 10_000  # tenths of a millisecond
BURST = SECOND // 2  # what is allowed at once, as a time at the allowed rate
NO_NAMES = -2  # in place of a version: older than any
SILENT_TIMES = 2  # the time after which a node leaves a silent relay, until the relay ends its session


class RelayHost(SessionHost, Protocol):
    """What a relay makes happen on its machine."""

    def unsent_bytes(self, session: int) -> int:
        """Written to that session, and not taken by its peer."""

    def age(self, now: int) -> int:
        """Of the store's view, in tenths of a millisecond."""

    def max_sessions(self) -> int:
        """As the leader allows here; 0: as many as come."""

    def on_all_nodes_current(self, now: int) -> None:
        """Nobody here may act on an older version any more."""


class NodeSession:
    """A node that is connected."""

    def __init__(self, number: int, message: HandshakeRequest, now: int) -> None:
        self.number = number
        self.name = message.name
        self.incarnation = message.incarnation
        self.region = message.region
        self.scopes: tuple[str, ...] = tuple(sorted({"", *message.scopes}))
        self.sent_version = message.version  # the latest
        self.acting_version = message.version  # as the node has said
        # The latest version of which the node knows all tenants' names.
        self.names_version = message.version if message.knows_tenants else NO_NAMES
        self.views = ConfirmedViews()
        self.heard_at = now
        self.large_bytes = 0  # of snapshots and filters that may still be on their way
        self.tenants: set[str] = set()


class Pace:
    """At most `per_s` units a second; a caller that is too early is told how long to wait."""

    def __init__(self, per_s: float, now: int) -> None:
        self.time_per_unit: float = SECOND / per_s
        self.free_at = float(now)
        self.next_turn = float(now)

    def wait(self, now: int, longest: int) -> int:
        """How long until it is the caller's turn; 0: at once."""
        if self.free_at <= now + BURST:
            return 0
        self.next_turn = max(self.next_turn, self.free_at)
        if self.next_turn > now + longest:
            self.next_turn = self.free_at
        self.next_turn += self.time_per_unit
        return max(int(self.next_turn) - now, 1)

    def take(self, now: int, units: float = 1.0) -> None:
        """Uses up so much."""
        self.free_at = max(self.free_at, now) + units * self.time_per_unit


class Relay:
    """Serves a store to nodes."""

    def __init__(
        self, host: RelayHost, name: str, incarnation: int, bounds: Bounds, store: Store, now: int
    ) -> None:
        self.host = host
        self.name = name
        self.incarnation = incarnation
        self.bounds = bounds
        self.store = store
        self.sessions: dict[int, NodeSession] = {}
        self.by_name: dict[str, NodeSession] = {}
        self.tenant_sessions: dict[str, set[int]] = {}  # tenants, and the sessions that want them
        self.lost_views: list[ConfirmedViews] = []  # of sessions that have ended
        self.behind: set[int] = set()  # sessions that were sent a version and have not acted on it yet
        self.session_pace = Pace(bounds.sessions_per_s, now)
        self.byte_pace = Pace(bounds.snapshot_bytes_per_s, now)
        self.redirected_at: dict[str, int] = {}  # nodes
        self.checked_at = now

    # For the leader.

    def oldest_version(self, now: int) -> int:
        """The least version that anybody may act on by what was confirmed here."""
        self.lost_views = [views for views in self.lost_views if views.oldest(now) is not None]
        found = [self.store.version]
        for views in [*self.lost_views, *(session.views for session in self.sessions.values())]:
            oldest = views.oldest(now)
            if oldest is not None:
                found.append(oldest)
        return min(found)

    def state(self, now: int) -> RelayState:
        """What the leader is told."""
        nodes = sum(session.views.oldest(now) is not None for session in self.sessions.values())
        since = now - self.bounds.heartbeat
        self.redirected_at = {name: at for name, at in self.redirected_at.items() if at > since}
        inactive_nodes = len(self.sessions) - nodes
        return RelayState(self.oldest_version(now), nodes, inactive_nodes, len(self.redirected_at))

    # Sessions.

    def on_handshake(self, now: int, number: int, message: HandshakeRequest) -> None:
        """A node wants a session."""
        if not self.replace_session_of(now, number, message):
            return
        max_sessions = self.host.max_sessions()
        if max_sessions and len(self.sessions) >= max_sessions:
            self.redirected_at[message.name] = now
            return redirect(self.host, number, "enough are here", relays=self.other_relays(message))
        longest = self.bounds.max_backoff
        wait = max(self.session_pace.wait(now, longest), self.byte_pace.wait(now, longest))
        if wait:
            return redirect(self.host, number, "too many at once", wait)
        self.session_pace.take(now)
        session = self.sessions[number] = self.by_name[message.name] = NodeSession(number, message, now)
        self.host.send(number, HandshakeReply(self.name, self.incarnation))
        store = self.store
        if message.version == store.version and message.digest != store.digest_of(session.scopes):
            session.sent_version = -1
        self.bring_up_to_date(now, session)

    def replace_session_of(self, now: int, number: int, message: HandshakeRequest) -> bool:
        """Ends another session of that name; False where it is of a later incarnation."""
        other = self.by_name.get(message.name)
        if other is None:
            return True
        if other.incarnation > message.incarnation:
            redirect(self.host, number, "a later incarnation of it is connected", self.bounds.max_backoff)
            return False
        self.host.end_session(other.number, "another session of it")
        self.on_session_ended(now, other.number)
        return True

    def other_relays(self, message: HandshakeRequest) -> list[str]:
        """Those of its region first, each part in the node's own order: it may not know any of them."""
        common = self.store.catalogue.scopes.get("", {}).values()
        relays = [entry for entry in common if entry.kind == "relay" and entry.name != self.name]
        places = [(e.body.get("region") != message.region, str(e.body.get("address", ""))) for e in relays]
        places.sort(key=lambda place: (place[0], rank(message.name, place[1])))
        return [address for _, address in places]

    def bring_up_to_date(self, now: int, session: NodeSession) -> None:
        """Sends what leads on from its version; nothing where it is ahead of the store here."""
        if session.sent_version > self.store.version:
            return
        update = self.store.update_for(session.scopes, session.sent_version)
        is_snapshot = update is not None and type(update.message) is Snapshot
        # Guards against a leap over tenants that came meanwhile: they would be refused.
        if session.names_version < session.sent_version or is_snapshot:
            self.send_tenant_filter(now, session)
        if update is None:
            return
        if session.views.confirmed:
            self.behind.add(session.number)
        if is_snapshot:
            self.send_large(now, session, update)
        else:
            self.send(session, update)
        session.sent_version = session.names_version = self.store.version

    def send_tenant_filter(self, now: int, session: NodeSession) -> None:
        """Which tenants exist."""
        session.names_version = self.store.version
        self.send_large(now, session, self.store.filter_message())

    def send_large(self, now: int, session: NodeSession, message: EncodedMessage) -> None:
        """Sends at once, and counts the bytes against the pace of snapshots."""
        session.large_bytes += len(message)
        self.byte_pace.take(now, len(message))
        self.send(session, message)

    def send(self, session: NodeSession, message: Message | EncodedMessage) -> None:
        """Guards against a node that reads slowly or stands still: the others do not wait for it."""
        if self.host.unsent_bytes(session.number) > self.bounds.max_unsent_bytes + session.large_bytes:
            self.host.log(f"distribution: {session.name} reads too slowly, its session ends")
            return self.host.end_session(session.number, "too slow")
        self.host.send(session.number, message)

    def on_session_ended(self, now: int, number: int) -> None:
        """The carrier has no such session any more."""
        session = self.sessions.pop(number, None)
        if session is None:
            return
        if self.by_name.get(session.name) is session:
            del self.by_name[session.name]
        self.behind.discard(number)
        for name in session.tenants:
            self.release_tenant(number, name)
        if session.views.oldest(now) is not None:
            self.lost_views.append(session.views)

    # From nodes.

    def on_message(self, now: int, number: int, message: Message) -> None:
        """One of a session's."""
        session = self.sessions.get(number)
        if session is None:
            return
        session.heard_at = now
        match message:
            case Heartbeat():
                self.on_heartbeat(now, session, message)
            case TenantDemand():
                self.on_demand(session, message)
            case ResyncRequest():
                self.on_resync_request(now, session, message)

    def on_heartbeat(self, now: int, session: NodeSession, message: Heartbeat) -> None:
        """The node says what it acts on; its view is confirmed."""
        session.views.acknowledge(message.version)
        session.acting_version = max(session.acting_version, message.version)
        if message.version >= session.sent_version:
            session.large_bytes = 0
        if session.sent_version < self.store.version:
            self.bring_up_to_date(now, session)
        self.confirm(now, session, message)
        if session.number in self.behind and session.acting_version >= self.store.version:
            self.behind.discard(session.number)
            if not self.behind and not self.lost_views:
                self.host.on_all_nodes_current(now)

    def confirm(self, now: int, session: NodeSession, message: Heartbeat) -> None:
        """As old as the view here. It has effect only at a node that is at just this version."""
        age, version = self.host.age(now), self.store.version
        remaining = self.bounds.stale - age
        if remaining > 0:
            session.views.confirm(version, now + self.bounds.with_drift(remaining))
        digest = self.store.digest_of(session.scopes)
        self.send(session, HeartbeatReply(message.sent_at, version, digest, min(age, UNCONFIRMED_AGE)))

    def on_demand(self, session: NodeSession, message: TenantDemand) -> None:
        """The tenants that the node wants entries of, now and as they change."""
        for name in message.released:
            if name in session.tenants:
                session.tenants.discard(name)
                self.release_tenant(session.number, name)
        for name in message.requested:
            session.tenants.add(name)
            self.tenant_sessions.setdefault(name, set()).add(session.number)
        if message.requested:
            entries = self.store.tenant_entries(message.requested)
            self.send(session, TenantUpdate(self.store.version, entries))

    def release_tenant(self, number: int, name: str) -> None:
        """The session does not want it any more."""
        sessions = self.tenant_sessions.get(name, set())
        sessions.discard(number)
        if not sessions:
            self.tenant_sessions.pop(name, None)

    def on_resync_request(self, now: int, session: NodeSession, message: ResyncRequest) -> None:
        """The node misses something, or all."""
        if self.byte_pace.wait(now, self.bounds.max_backoff):
            return  # it asks again
        session.sent_version = session.names_version = min(message.version, self.store.version)
        self.bring_up_to_date(now, session)

    # Time, and the store.

    def on_commit(self, now: int, entries: list[Entry]) -> None:
        """The store has a later version: all are sent it, tenants first, so that it says they have come."""
        tenants: dict[int, list[Entry]] = {}  # by session
        for entry in entries:
            if entry.kind == TENANT:
                for number in self.tenant_sessions.get(entry.name, ()):
                    tenants.setdefault(number, []).append(entry)
        for number, session in list(self.sessions.items()):
            if number in tenants:
                self.send(session, TenantUpdate(self.store.version, tenants[number]))
            self.bring_up_to_date(now, session)
        if not self.behind:
            self.host.on_all_nodes_current(now)

    def on_tick(self, now: int) -> None:
        """Guards against sessions whose peer has gone without a message."""
        if now - self.checked_at < self.bounds.heartbeat:
            return
        self.checked_at = now
        for number, session in list(self.sessions.items()):
            if now - session.heard_at > SILENT_TIMES * self.bounds.silent:
                self.host.end_session(number, "silent")
