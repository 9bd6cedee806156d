"""At a node: chooses a relay, keeps the entries of its scopes, proves them by digest, and knows their age."""

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

RESYNCS_PER_HEARTBEAT = 2  # at most
MAX_STALE_DOUBLINGS = 3  # of the time for which a relay's view may be stale
MAX_PREFERRED_DOUBLINGS = 5  # of the time between two returns to the preferred relay


class SubscriberHost(ConnectionHost, Protocol):
    """What a subscriber makes happen at its node."""

    def apply_entries(self, entries: list[Entry], version: int) -> None:
        """These changed; from now on the node acts on that version."""

    def apply_tenant(self, name: str, body: dict | None) -> None:
        """This is the tenant's entry from now on; None: it is not cached any more, or does not exist."""

    def log(self, line: str) -> None:
        """For operators."""


class Subscriber:
    """A node's copy of its entries, kept in step by one relay.

    `seeds`: relays' addresses to begin with. `hint`: what an earlier process had, of the same scopes.
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
        random: Lcg,
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
        self.random = random
        self.catalogue = hint or Catalogue(-1)
        self.connection = PeerConnection(host, bounds, random, now)
        self.confirmed_at = DISTANT_PAST  # the view is as if the leader had confirmed it just then
        self.tenants = TenantCache(self, bounds)
        self.acting_version = self.version  # with the tenants that are cached, as of it
        self.knows_tenants = False  # the filter of their names has come
        self.fresh_at = now  # the view was fresh, or the session new
        self.stale_checks = 0  # in a row in which a relay was left because its view was stale
        self.avoided: dict[str, int] = {}  # relays, and until when they are not tried
        self.suggested: list[str] = []  # relays to be tried next
        self.preferred_at = now + self.draw_preferred_interval()  # the preferred relay is tried
        self.preferred_failures = 0
        self.has_hint = hint is not None
        if hint is not None:
            host.apply_entries(hint.all_entries(), hint.version)

    # Its view.

    @property
    def version(self) -> int:
        """Of the entries here; -1: none have come yet."""
        return self.catalogue.version

    def digest(self) -> bytes:
        """Of the entries here, without tenants."""
        return digest_bytes(self.catalogue.sum_of_scopes())

    def age(self, now: int) -> int:
        """In tenths of a millisecond: the version here was the latest at some moment within it."""
        return min(now - self.confirmed_at, UNCONFIRMED_AGE)

    def may_forward_requests(self, now: int) -> bool:
        """Whether the node may act on what is here."""
        if not self.bounds.strict:
            return self.has_hint or self.confirmed_at != DISTANT_PAST
        return self.age(now) <= self.bounds.stale

    # Which relay.

    def relays(self) -> list[str]:
        """Those of the own region first, each part in this node's own order (Thaler and Ravishankar 1998)."""
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
        """Suggested ones come first: a node that knows only the seeds has to hear of the others."""
        self.avoided = {address: until for address, until in self.avoided.items() if until > now}
        relays = self.relays()
        candidates = [address for address in [*self.suggested, *relays] if address not in self.avoided]
        return (candidates or sorted(relays, key=lambda address: self.avoided[address]))[0]

    def leave(self, now: int, reason: str) -> None:
        """Another relay is tried."""
        address = self.connection.address
        self.host.log(f"distribution: left {address}, {reason}")
        self.avoided[address] = now + self.bounds.max_backoff
        self.disconnect(now)

    def disconnect(self, now: int) -> None:
        """Ends the connection from here."""
        self.host.close()
        self.on_disconnected(now)

    def on_disconnected(self, now: int) -> None:
        """The connection has ended, or none came about."""
        if self.connection.address:
            self.avoided.setdefault(self.connection.address, now + self.bounds.max_backoff)
        self.connection.lost(now)

    def draw_preferred_interval(self) -> int:
        """Until the preferred relay is tried: spread, so that not all nodes move at once."""
        return int(self.bounds.preferred_relay_interval * (0.5 + self.random.uniform()))

    def return_to_preferred(self, now: int) -> None:
        """To a relay that comes before this one: less and less often where these are full."""
        self.preferred_at = now + (self.draw_preferred_interval() << self.preferred_failures)
        relays, address = self.relays(), self.connection.address
        preferred = relays[: relays.index(address)] if address in relays else relays
        if not preferred:
            self.preferred_failures = 0
        elif self.avoided.get(preferred[0], now) <= now:
            self.preferred_failures = min(self.preferred_failures + 1, MAX_PREFERRED_DOUBLINGS)
            self.suggested = preferred
            self.disconnect(now)
            del self.avoided[address]  # it may come back here at once

    # Time.

    def on_tick(self, now: int) -> None:
        """Connects, leaves a relay that is silent or behind, sends heartbeats."""
        connection = self.connection
        if connection.may_open(now):
            connection.open(now, self.choose_relay(now))
        elif connection.address and connection.is_silent(now):
            self.leave(now, "silent")
        elif connection.is_established and not self.keep_session(now):
            return
        self.tenants.on_tick(now, connection.is_established)

    def keep_session(self, now: int) -> bool:
        """Sends a heartbeat if it is due; False where the relay is looked at instead, and perhaps left."""
        if self.age(now) <= self.bounds.fresh:
            self.fresh_at, self.stale_checks = now, 0
        elif now - self.fresh_at > self.bounds.silent << min(self.stale_checks, MAX_STALE_DOUBLINGS):
            # Guards against a relay that answers and is cut off or behind itself. Where all are, relays are
            # left less and less often.
            self.stale_checks += 1
            self.leave(now, "behind")
            return False
        if now >= self.preferred_at:
            self.return_to_preferred(now)
            return False
        if self.connection.is_heartbeat_due(now):
            self.send_heartbeat(now)
        return True

    def send_heartbeat(self, now: int) -> None:
        """Tells the relay what is acted on here."""
        self.connection.send_heartbeat(Heartbeat(now, self.acting_version, self.digest()))

    # From the relay.

    def on_connected(self, now: int) -> None:
        """The connection is open; the session is not accepted yet."""
        self.connection.heard_at = now
        own = self.name, self.incarnation, "node", self.region, self.scopes
        self.host.send(HandshakeRequest(*own, self.version, self.digest(), self.knows_tenants))

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
            case Delta():
                self.on_delta(now, message)
            case Snapshot():
                self.on_snapshot(now, message)
            case TenantFilter():
                self.on_tenant_filter(message)
            case TenantUpdate():
                self.on_tenant_update(now, message)

    def on_accepted(self, now: int) -> None:
        """The session is open. Tenants are asked for before a heartbeat says what is acted on here."""
        self.connection.accepted()
        self.fresh_at, self.suggested = now, []
        self.tenants.demand_all()
        self.send_heartbeat(now)

    def on_redirect(self, now: int, message: Redirect) -> None:
        """The relay takes no session now: it names others, or when to come back."""
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
        """Confirms the view if all that is here is as it says; asks for what is missing otherwise."""
        if message.version == self.version and message.digest == self.digest():
            if self.tenants.relay_was_behind:
                self.tenants.demand_all()
                self.send_heartbeat(now)
            elif not self.tenants.unconfirmed:
                self.confirmed_at = max(self.confirmed_at, message.sent_at - message.age)
        elif message.version >= self.version:
            self.request_resync(now, -1 if message.version == self.version else self.version)

    def request_resync(self, now: int, version: int) -> None:
        """Asks the relay for what came after that version."""
        self.connection.request_resync(now, version, self.bounds.heartbeat // RESYNCS_PER_HEARTBEAT)

    def on_delta(self, now: int, message: Delta) -> None:
        """Entries that changed, and names of tenants."""
        if message.version <= self.version:
            return
        if message.base_version != self.version:
            return self.request_resync(now, self.version)
        entries = [entry for entry in message.entries if entry.kind != TENANT]
        # Guards against a change put onto what it does not fit: all is asked for anew.
        if self.catalogue.digest_with(entries) != message.digest:
            return self.request_resync(now, -1)
        for entry in message.entries:
            if entry.kind == TENANT:
                self.tenants.on_name(now, entry.name, entry.on)
        self.apply(now, entries, message.version)

    def on_snapshot(self, now: int, message: Snapshot) -> None:
        """All entries."""
        # Guards against a snapshot that was long on its way: no version goes back.
        if message.version < self.version:
            return
        other = Catalogue(message.version, message.entries)
        if digest_bytes(other.sum_of_scopes()) != message.digest:
            return self.request_resync(now, -1)
        self.apply(now, self.catalogue.difference_to(other), message.version)

    def apply(self, now: int, entries: list[Entry], version: int) -> None:
        """The node acts on that version, and says so."""
        self.catalogue.apply(entries, version)
        # Guards against a version said to be acted on while a tenant's entry here may still be an older one.
        self.acting_version = self.acting_version if self.tenants.unconfirmed else version
        self.host.apply_entries(entries, version)
        self.send_heartbeat(now)

    # Tenants.

    def on_tenant_filter(self, message: TenantFilter) -> None:
        """Which tenants exist; not from a relay that is behind."""
        if message.version >= self.version:
            self.knows_tenants = True
            self.tenants.on_filter(message)

    def on_tenant_update(self, now: int, message: TenantUpdate) -> None:
        """Once the last of the cached ones has come, the version is acted on with all of them."""
        some_unconfirmed = bool(self.tenants.unconfirmed)
        if not self.tenants.on_update(now, message, self.version):
            return
        if some_unconfirmed and not self.tenants.unconfirmed:
            self.acting_version = self.version
            self.send_heartbeat(now)

    def send_demand(self, message: TenantDemand) -> None:
        """As host of the tenants' cache."""
        self.host.send(message)

    def apply_tenant(self, name: str, body: dict | None) -> None:
        """As host of the tenants' cache."""
        self.host.apply_tenant(name, body)
