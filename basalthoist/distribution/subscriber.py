"""The subscriber of a node: chooses a relay, and keeps the entries of the node's scopes up to date.

Digests verify the entries, and confirmations from the leader bound their age.
"""

from typing import Protocol

from basalthoist.decisions.random_numbers import Lcg

from .bounds import DISTANT_PAST, UNCONFIRMED_AGE, Bounds, rank
from .catalogue import TENANT, Catalogue, Entry, digest_bytes
from .peer_connection import ConnectionHost, PeerConnection
from .tenants import TenantCache
from .wire import (
    Delta,
    HandshakeReply,
    HandshakeRequest,
    Heartbeat,
    HeartbeatReply,
    Message,
    Redirect,
    Snapshot,
    TenantDemand,
    TenantFilter,
    TenantUpdate,
)

MAX_RESYNCS_PER_HEARTBEAT = 2
MAX_STALE_DOUBLINGS = 3  # doublings of the time for which a relay's view may be stale
MAX_PREFERRED_DOUBLINGS = 5  # doublings of the time between two returns to the preferred relay


class SubscriberHost(ConnectionHost, Protocol):
    """The environment of a subscriber: its connection and its node."""

    def apply_entries(self, entries: list[Entry], version: int) -> None:
        """Applies changed entries; the node acts on this version from now on."""

    def apply_tenant(self, name: str, body: dict | None) -> None:
        """Applies a tenant's entry; `body` None if it is no longer cached or the tenant does not exist."""

    def log(self, line: str) -> None:
        """Logs a line for operators."""


class Subscriber:
    """A node's copy of its entries, synchronized with one relay at a time.

    `seeds` are the addresses of relays to start with. `hint` is the catalogue of a previous process with the
    same scopes.
    """

    def __init__(
        self,
        host: SubscriberHost,
        name: str,
        incarnation: int,
        region: str,
        scopes: list[str],
        seeds: list[str],
        bounds: Bounds,
        rng: Lcg,
        now: int,
        hint: Catalogue | None = None,
    ) -> None:
        self.host = host
        self.name = name
        self.incarnation = incarnation
        self.region = region
        self.scopes = sorted({"", *scopes})
        self.seeds = seeds
        self.bounds = bounds
        self.rng = rng
        self.catalogue = hint or Catalogue(-1)
        self.connection = PeerConnection(host, bounds, rng, now)
        self.confirmed_at = DISTANT_PAST  # the latest time at which the view is known to have been current
        self.tenants = TenantCache(self, bounds)
        self.acting_version = self.version  # the version of all entries here, cached tenants included
        self.knows_tenants = False  # the filter of tenants' names has arrived
        self.last_fresh_at = now  # when the view was last fresh or a session was accepted
        self.consecutive_stale_relays = 0  # relays disconnected from in a row because their views were stale
        self.avoided: dict[str, int] = {}  # relays not to connect to, and until when
        self.suggested: list[str] = []  # relays to connect to next
        self.preferred_at = now + self.draw_preferred_interval()  # when to return to the preferred relay
        self.preferred_failures = 0
        self.has_hint = hint is not None
        if hint is not None:
            host.apply_entries(hint.all_entries(), hint.version)

    # The view.

    @property
    def version(self) -> int:
        """The version of the entries; -1 before any have arrived."""
        return self.catalogue.version

    def digest(self) -> bytes:
        """Returns the digest of the entries, without tenants."""
        return digest_bytes(self.catalogue.scopes_hash_sum())

    def age(self, now: int) -> int:
        """Returns the age of the view in tenths of a millisecond: the version was the latest within it."""
        return min(now - self.confirmed_at, UNCONFIRMED_AGE)

    def may_forward_requests(self, now: int) -> bool:
        """Returns whether the node may act on its view, and so forward requests to backends."""
        if not self.bounds.strict:
            return self.has_hint or self.confirmed_at != DISTANT_PAST
        return self.age(now) <= self.bounds.stale

    # The choice of a relay.

    def relays(self) -> list[str]:
        """Returns the relays' addresses, those of the node's own region first.

        Each of both groups is in the node's own order by rendezvous hashing (Thaler and Ravishankar 1998).
        """
        regions: dict[str, str | None] = {}
        for (kind, _), entry in self.catalogue.scopes.get("", {}).items():
            if kind == "relay" and entry.body.get("address"):
                regions[entry.body["address"]] = entry.body.get("region", "")
        for seed in self.seeds:
            regions.setdefault(seed, None)
        return sorted(
            regions, key=lambda address: (regions[address] != self.region, rank(self.name, address))
        )

    def choose_relay(self, now: int) -> str:
        """Returns the address of the relay to connect to.

        Suggested relays come first, as a node that knows only the seeds learns of other relays by redirects.
        """
        self.avoided = {address: until for address, until in self.avoided.items() if until > now}
        relays = self.relays()
        candidates = [address for address in [*self.suggested, *relays] if address not in self.avoided]
        return (candidates or sorted(relays, key=lambda address: self.avoided[address]))[0]

    def leave_relay(self, now: int, reason: str) -> None:
        """Disconnects from the relay and avoids it for `max_backoff`."""
        address = self.connection.address
        self.host.log(f"distribution: disconnected from relay {address}: {reason}")
        self.avoided[address] = now + self.bounds.max_backoff
        self.disconnect(now)

    def disconnect(self, now: int) -> None:
        """Closes the connection."""
        self.host.close()
        self.on_disconnected(now)

    def on_disconnected(self, now: int) -> None:
        """Avoids the relay for a while after the connection has ended or could not be opened."""
        if self.connection.address:
            self.avoided.setdefault(self.connection.address, now + self.bounds.max_backoff)
        self.connection.on_disconnected(now)

    def draw_preferred_interval(self) -> int:
        """Returns a random time after which to return to the preferred relay; spreads out the nodes."""
        return int(self.bounds.preferred_relay_interval * (0.5 + self.rng.uniform()))

    def return_to_preferred(self, now: int) -> None:
        """Moves to a relay preferred to the current one, less and less often while those are full."""
        self.preferred_at = now + (self.draw_preferred_interval() << self.preferred_failures)
        relays, address = self.relays(), self.connection.address
        preferred = relays[: relays.index(address)] if address in relays else relays
        if not preferred:
            self.preferred_failures = 0
        elif self.avoided.get(preferred[0], now) <= now:
            self.preferred_failures = min(self.preferred_failures + 1, MAX_PREFERRED_DOUBLINGS)
            self.suggested = preferred
            self.disconnect(now)
            del self.avoided[address]  # the node may return to the relay that it leaves here

    # The timer.

    def on_tick(self, now: int) -> None:
        """Connects, disconnects from a relay that is silent or behind, and sends heartbeats and demands."""
        connection = self.connection
        if connection.may_open(now):
            connection.open(now, self.choose_relay(now))
        elif connection.address and connection.is_silent(now):
            self.leave_relay(now, "silent")
        elif connection.is_established and not self.maintain_session(now):
            return
        self.tenants.on_tick(now, connection.is_established)

    def maintain_session(self, now: int) -> bool:
        """Sends a heartbeat if it is due; returns False if the choice of relay was reconsidered instead."""
        if self.age(now) <= self.bounds.fresh:
            self.last_fresh_at, self.consecutive_stale_relays = now, 0
        elif now - self.last_fresh_at > self.bounds.silent << min(
            self.consecutive_stale_relays, MAX_STALE_DOUBLINGS
        ):
            # Guards against a relay that answers but is itself cut off or behind. While all relays are,
            # the node changes its relay less and less often.
            self.consecutive_stale_relays += 1
            self.leave_relay(now, "its view is stale")
            return False
        if now >= self.preferred_at:
            self.return_to_preferred(now)
            return False
        if self.connection.is_heartbeat_due(now):
            self.send_heartbeat(now)
        return True

    def send_heartbeat(self, now: int) -> None:
        """Reports to the relay the version on which the node acts."""
        self.connection.send_heartbeat(Heartbeat(now, self.acting_version, self.digest()))

    # Messages of the relay.

    def on_connected(self, now: int) -> None:
        """Requests a session on the open connection."""
        self.connection.last_received_at = now
        identity = self.name, self.incarnation, "node", self.region, self.scopes
        self.host.send(HandshakeRequest(*identity, self.version, self.digest(), self.knows_tenants))

    def on_message(self, now: int, message: Message) -> None:
        """Handles a message of the relay."""
        self.connection.last_received_at = now
        match message:
            case HandshakeReply():
                self.on_accepted(now)
            case Redirect():
                self.on_redirect(now, message)
            case HeartbeatReply():
                self.on_heartbeat_reply(now, message)
            case Delta():
                self.on_delta(now, message)
            case Snapshot():
                self.on_snapshot(now, message)
            case TenantFilter():
                self.on_tenant_filter(message)
            case TenantUpdate():
                self.on_tenant_update(now, message)

    def on_accepted(self, now: int) -> None:
        """Requests tenants in the accepted session, before a heartbeat reports the version acted on."""
        self.connection.on_accepted()
        self.last_fresh_at, self.suggested = now, []
        self.tenants.demand_all()
        self.send_heartbeat(now)

    def on_redirect(self, now: int, message: Redirect) -> None:
        """Follows a redirect: to the relays that it names, or to the same relay after `retry_after`."""
        address = self.connection.address
        self.disconnect(now)
        self.avoided[address] = now + (message.retry_after or self.bounds.max_backoff)
        if message.relays:
            self.suggested = message.relays
            self.connection.retry_soon(now)
        elif message.retry_after:
            self.suggested = [address]
            self.connection.next_attempt_at = now + min(message.retry_after, self.bounds.max_backoff)

    def on_heartbeat_reply(self, now: int, message: HeartbeatReply) -> None:
        """Confirms the view if entries and tenants are current; otherwise requests what is missing."""
        if message.version == self.version and message.digest == self.digest():
            if self.tenants.relay_was_behind:
                self.tenants.demand_all()
                self.send_heartbeat(now)
            elif not self.tenants.unconfirmed:
                self.confirmed_at = max(self.confirmed_at, message.sent_at - message.age)
        elif message.version >= self.version:
            self.request_resync(now, -1 if message.version == self.version else self.version)

    def request_resync(self, now: int, version: int) -> None:
        """Requests the changes after `version` from the relay, or a snapshot (-1)."""
        self.connection.request_resync(now, version, self.bounds.heartbeat // MAX_RESYNCS_PER_HEARTBEAT)

    def on_delta(self, now: int, message: Delta) -> None:
        """Applies changed entries and changed names of tenants."""
        if message.version <= self.version:
            return
        if message.base_version != self.version:
            return self.request_resync(now, self.version)
        entries = [entry for entry in message.entries if entry.kind != TENANT]
        # Guards against a delta that does not fit the entries here: a snapshot replaces them.
        if self.catalogue.digest_with(entries) != message.digest:
            return self.request_resync(now, -1)
        for entry in message.entries:
            if entry.kind == TENANT:
                self.tenants.on_name(now, entry.name, entry.on)
        self.apply(now, entries, message.version)

    def on_snapshot(self, now: int, message: Snapshot) -> None:
        """Replaces all entries by those of a snapshot."""
        # Guards against a delayed snapshot: the version never goes back.
        if message.version < self.version:
            return
        other = Catalogue(message.version, message.entries)
        if digest_bytes(other.scopes_hash_sum()) != message.digest:
            return self.request_resync(now, -1)
        self.apply(now, self.catalogue.difference_to(other), message.version)

    def apply(self, now: int, entries: list[Entry], version: int) -> None:
        """Applies entries to the node and reports the version."""
        self.catalogue.apply(entries, version)
        # Guards against reporting a version while a cached tenant's entry may still be older.
        self.acting_version = self.acting_version if self.tenants.unconfirmed else version
        self.host.apply_entries(entries, version)
        self.send_heartbeat(now)

    # Tenants.

    def on_tenant_filter(self, message: TenantFilter) -> None:
        """Replaces the filter of tenants' names, unless the relay is behind."""
        if message.version >= self.version:
            self.knows_tenants = True
            self.tenants.on_filter(message)

    def on_tenant_update(self, now: int, message: TenantUpdate) -> None:
        """Caches tenants' entries; reports the version once all cached ones are up to date."""
        had_unconfirmed = bool(self.tenants.unconfirmed)
        if not self.tenants.on_update(now, message, self.version):
            return
        if had_unconfirmed and not self.tenants.unconfirmed:
            self.acting_version = self.version
            self.send_heartbeat(now)

    def send_demand(self, message: TenantDemand) -> None:
        """Sends a demand for the tenant cache."""
        self.host.send(message)

    def apply_tenant(self, name: str, body: dict | None) -> None:
        """Applies a tenant's entry for the tenant cache."""
        self.host.apply_tenant(name, body)
