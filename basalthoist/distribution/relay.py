"""A relay: serves a store to the sessions of nodes.

Each node gets the entries of its scopes, the tenants that it requests, and every new version.
"""

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

SECOND = 10_000  # in tenths of a millisecond
MAX_BURST = SECOND // 2  # units that take this long at the allowed rate are allowed at once
NAMES_UNKNOWN = -2  # stands for a version, and is lower than any
SILENCE_FACTOR = 2  # a relay ends a silent session after this multiple of the node's own silence timeout


class RelayHost(SessionHost, Protocol):
    """The environment of a relay: its sessions, and the leader session of the same process."""

    def unsent_bytes(self, session: int) -> int:
        """Returns the number of bytes written to the session and not yet accepted by its peer."""

    def age(self, now: int) -> int:
        """Returns the age of the store's view, in tenths of a millisecond."""

    def max_sessions(self) -> int:
        """Returns the leader's limit of sessions for this relay; 0 stands for no limit."""

    def on_all_nodes_current(self, now: int) -> None:
        """Called when no node of this relay may act on a version older than the store's."""


class NodeSession:
    """The state of a connected node at its relay."""

    def __init__(self, number: int, message: HandshakeRequest, now: int) -> None:
        self.number = number
        self.name = message.name
        self.incarnation = message.incarnation
        self.region = message.region
        self.scopes: tuple[str, ...] = tuple(sorted({"", *message.scopes}))
        self.sent_version = message.version  # the latest version sent to the node
        self.acting_version = message.version  # the version on which the node reports to act
        # The latest version of which the node knows the names of all tenants.
        self.names_version = message.version if message.knows_tenants else NAMES_UNKNOWN
        self.views = ConfirmedViews()
        self.last_received_at = now
        self.large_bytes = 0  # bytes of snapshots and filters that the node may not have received yet
        self.tenants: set[str] = set()


class RateLimiter:
    """Allows `per_s` units per second, and spreads out the retries of those over the limit."""

    def __init__(self, per_s: float, now: int) -> None:
        self.time_per_unit: float = SECOND / per_s
        self.free_at = float(now)
        self.next_turn = float(now)

    def delay(self, now: int, longest: int) -> int:
        """Reserves the next free time for a retry; returns the delay until then, 0 if allowed at once.

        Once a delay would exceed `longest`, delays start again at the earliest free time.
        """
        if self.free_at <= now + MAX_BURST:
            return 0
        self.next_turn = max(self.next_turn, self.free_at)
        if self.next_turn > now + longest:
            self.next_turn = self.free_at
        self.next_turn += self.time_per_unit
        return max(int(self.next_turn) - now, 1)

    def consume(self, now: int, units: float = 1.0) -> None:
        """Consumes `units` of the allowed rate."""
        self.free_at = max(self.free_at, now) + units * self.time_per_unit


class Relay:
    """Serves a store to the sessions of nodes."""

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
        self.tenant_sessions: dict[str, set[int]] = {}  # the sessions that requested each tenant
        self.lost_views: list[ConfirmedViews] = []  # the views confirmed to sessions that have ended
        self.behind: set[int] = set()  # sessions that do not act yet on a version that was sent to them
        self.session_limiter = RateLimiter(bounds.sessions_per_s, now)
        self.snapshot_limiter = RateLimiter(bounds.snapshot_bytes_per_s, now)
        self.redirected_at: dict[str, int] = {}  # when each node was last redirected
        self.checked_at = now

    # State reported to the leader.

    def oldest_version(self, now: int) -> int:
        """Returns the oldest version on which a node may act by a confirmation of this relay."""
        self.lost_views = [views for views in self.lost_views if views.oldest_version(now) is not None]
        versions = [self.store.version]
        for views in [*self.lost_views, *(session.views for session in self.sessions.values())]:
            oldest = views.oldest_version(now)
            if oldest is not None:
                versions.append(oldest)
        return min(versions)

    def state(self, now: int) -> RelayState:
        """Returns the state that is reported to the leader."""
        nodes = sum(session.views.oldest_version(now) is not None for session in self.sessions.values())
        since = now - self.bounds.heartbeat
        self.redirected_at = {name: at for name, at in self.redirected_at.items() if at > since}
        inactive_nodes = len(self.sessions) - nodes
        return RelayState(self.oldest_version(now), nodes, inactive_nodes, len(self.redirected_at))

    # Sessions.

    def on_handshake(self, now: int, number: int, message: HandshakeRequest) -> None:
        """Accepts a node's session, or redirects the node."""
        if not self.replace_session_of(now, number, message):
            return
        max_sessions = self.host.max_sessions()
        if max_sessions and len(self.sessions) >= max_sessions:
            self.redirected_at[message.name] = now
            return redirect(self.host, number, "enough are here", relays=self.other_relays(message))
        longest = self.bounds.max_backoff
        delay = max(self.session_limiter.delay(now, longest), self.snapshot_limiter.delay(now, longest))
        if delay:
            return redirect(self.host, number, "too many at once", delay)
        self.session_limiter.consume(now)
        session = self.sessions[number] = self.by_name[message.name] = NodeSession(number, message, now)
        self.host.send(number, HandshakeReply(self.name, self.incarnation))
        store = self.store
        if message.version == store.version and message.digest != store.digest_of(session.scopes):
            session.sent_version = -1
        self.bring_up_to_date(now, session)

    def replace_session_of(self, now: int, number: int, message: HandshakeRequest) -> bool:
        """Ends another session of the same node; False if that has a later incarnation."""
        other = self.by_name.get(message.name)
        if other is None:
            return True
        if other.incarnation > message.incarnation:
            redirect(self.host, number, "a later incarnation of it is connected", self.bounds.max_backoff)
            return False
        self.host.end_session(other.number, "replaced by a newer session")
        self.on_session_ended(now, other.number)
        return True

    def other_relays(self, message: HandshakeRequest) -> list[str]:
        """Returns the addresses of the other relays, those of the node's region first.

        Within a region and outside it they are in the node's own order. The node may know only its seeds.
        """
        common = self.store.catalogue.scopes.get("", {}).values()
        relays = [entry for entry in common if entry.kind == "relay" and entry.name != self.name]
        places = [(e.body.get("region") != message.region, str(e.body.get("address", ""))) for e in relays]
        places.sort(key=lambda place: (place[0], rank(message.name, place[1])))
        return [address for _, address in places]

    def bring_up_to_date(self, now: int, session: NodeSession) -> None:
        """Sends the update from the session's version; nothing to a node that is ahead of this store."""
        if session.sent_version > self.store.version:
            return
        update = self.store.update_for(session.scopes, session.sent_version)
        is_snapshot = update is not None and type(update.message) is Snapshot
        # Guards against an update that skips tenants added meanwhile: the node would reject their requests.
        if session.names_version < session.sent_version or is_snapshot:
            self.send_tenant_filter(now, session)
        if update is None:
            return
        if session.views.confirmations:
            self.behind.add(session.number)
        if is_snapshot:
            self.send_large(now, session, update)
        else:
            self.send(session, update)
        session.sent_version = session.names_version = self.store.version

    def send_tenant_filter(self, now: int, session: NodeSession) -> None:
        """Sends the Bloom filter of the names of all tenants."""
        session.names_version = self.store.version
        self.send_large(now, session, self.store.filter_message())

    def send_large(self, now: int, session: NodeSession, message: EncodedMessage) -> None:
        """Sends a snapshot or a filter at once, and counts its bytes against the limit for snapshots."""
        session.large_bytes += len(message)
        self.snapshot_limiter.consume(now, len(message))
        self.send(session, message)

    def send(self, session: NodeSession, message: Message | EncodedMessage) -> None:
        """Sends a message; ends the session instead if the node has too many unsent bytes.

        Guards against a node that reads slowly or hangs: the other nodes do not wait for it.
        """
        if self.host.unsent_bytes(session.number) > self.bounds.max_unsent_bytes + session.large_bytes:
            self.host.log(f"distribution: {session.name} reads too slowly, its session ends")
            return self.host.end_session(session.number, "reads too slowly")
        self.host.send(session.number, message)

    def on_session_ended(self, now: int, number: int) -> None:
        """Removes a session that the host has closed; its confirmed views stay known until they expire."""
        session = self.sessions.pop(number, None)
        if session is None:
            return
        if self.by_name.get(session.name) is session:
            del self.by_name[session.name]
        self.behind.discard(number)
        for name in session.tenants:
            self.release_tenant(number, name)
        if session.views.oldest_version(now) is not None:
            self.lost_views.append(session.views)

    # Messages of nodes.

    def on_message(self, now: int, number: int, message: Message) -> None:
        """Handles a message of a node."""
        session = self.sessions.get(number)
        if session is None:
            return
        session.last_received_at = now
        match message:
            case Heartbeat():
                self.on_heartbeat(now, session, message)
            case TenantDemand():
                self.on_demand(session, message)
            case ResyncRequest():
                self.on_resync_request(now, session, message)

    def on_heartbeat(self, now: int, session: NodeSession, message: Heartbeat) -> None:
        """Records the version on which the node acts, and confirms its view."""
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
        """Confirms the view with the age of this relay's own. A node at another version ignores this."""
        age, version = self.host.age(now), self.store.version
        remaining = self.bounds.stale - age
        if remaining > 0:
            session.views.confirm(version, now + self.bounds.with_drift(remaining))
        digest = self.store.digest_of(session.scopes)
        self.send(session, HeartbeatReply(message.sent_at, version, digest, min(age, UNCONFIRMED_AGE)))

    def on_demand(self, session: NodeSession, message: TenantDemand) -> None:
        """Subscribes the node to tenants, sends their entries, and unsubscribes it from released ones."""
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
        """Unsubscribes a session from a tenant."""
        sessions = self.tenant_sessions.get(name, set())
        sessions.discard(number)
        if not sessions:
            self.tenant_sessions.pop(name, None)

    def on_resync_request(self, now: int, session: NodeSession, message: ResyncRequest) -> None:
        """Sends the changes after the requested version, or a snapshot (-1)."""
        if self.snapshot_limiter.delay(now, self.bounds.max_backoff):
            return  # over the limit: the node repeats its request
        session.sent_version = session.names_version = min(message.version, self.store.version)
        self.bring_up_to_date(now, session)

    # Commits and the timer.

    def on_commit(self, now: int, entries: list[Entry]) -> None:
        """Sends a new version to all sessions.

        Tenants' entries go before the update, as a node that gets the update counts them as received.
        """
        tenants: dict[int, list[Entry]] = {}  # by session number
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
        """Ends silent sessions: their nodes may be gone without closing the connection."""
        if now - self.checked_at < self.bounds.heartbeat:
            return
        self.checked_at = now
        for number, session in list(self.sessions.items()):
            if now - session.last_received_at > SILENCE_FACTOR * self.bounds.silent:
                self.host.end_session(number, "silent")
