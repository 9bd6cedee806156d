"""Tenants at a node: the filter of all tenants' names, and a cache of entries.

Requests never wait for an entry to arrive. The Bloom filter (1970) derives all its bit positions from two
hashes (Kirsch and Mitzenmacher 2006). The filter may report a name that does not exist as existing, never the
reverse.
"""

from collections import OrderedDict
from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple, Protocol

from .bounds import Bounds
from .catalogue import TENANT
from .wire import TenantDemand, TenantFilter, TenantUpdate

BITS_PER_NAME, HASHES = 10, 7
MIN_FILTER_BYTES = 128
MAX_REMOVED_NAMES = 10_000  # names remembered as removed since the filter was built
# A filter is rebuilt once more than a tenth of its names, and more than 100 names, were added or removed.
REBUILD_DIVISOR = 10
MIN_CHANGES_TO_REBUILD = 100


class BloomFilter:
    """A Bloom filter of names."""

    def __init__(self, bits: bytearray, hashes: int) -> None:
        self.bits = bits
        self.hashes = hashes
        self.built_for = 0  # the number of names when the filter was built
        self.changes = 0  # the number of names added or removed since

    @staticmethod
    def of_names(names: Iterable[str]) -> "BloomFilter":
        """Returns a filter of these names, with `BITS_PER_NAME` bits for each."""
        names = list(names)
        bloom_filter = BloomFilter(bytearray(max(len(names) * BITS_PER_NAME // 8, MIN_FILTER_BYTES)), HASHES)
        bloom_filter.built_for = len(names)
        for name in names:
            bloom_filter.add(name)
        return bloom_filter

    def positions(self, name: str) -> Iterable[int]:
        """Returns the positions of the bits that represent a name."""
        data = blake2b(name.encode(), digest_size=16).digest()
        first, step = int.from_bytes(data[:8], "big"), int.from_bytes(data[8:], "big") | 1
        size = 8 * len(self.bits)
        return [(first + number * step) % size for number in range(self.hashes)]

    def add(self, name: str) -> None:
        """Adds a name."""
        for position in self.positions(name):
            self.bits[position >> 3] |= 1 << (position & 7)

    def __contains__(self, name: str) -> bool:
        return all(self.bits[position >> 3] >> (position & 7) & 1 for position in self.positions(name))

    def record(self, name: str, exists: bool, existed: bool) -> None:
        """Records that a name was added or removed. The bits of a removed name stay set."""
        if exists and not existed:
            self.add(name)
        self.changes += exists != existed

    def is_outdated(self) -> bool:
        """Returns whether enough names were added or removed to rebuild the filter."""
        return self.changes > max(self.built_for // REBUILD_DIVISOR, MIN_CHANGES_TO_REBUILD)


class TenantCacheHost(Protocol):
    """The environment of a cache: its subscriber."""

    def send_demand(self, message: TenantDemand) -> None:
        """Sends a demand to the relay."""

    def apply_tenant(self, name: str, body: dict | None) -> None:
        """Applies a tenant's entry; `body` None if it is no longer cached or the tenant does not exist."""


class TenantLookup(NamedTuple):
    """Whether a tenant may exist, and its cached body; with None the default quota applies."""

    may_exist: bool
    body: dict | None


class CachedTenant:
    """A cached entry; `body` None if no tenant of that name exists."""

    __slots__ = (
        "body",
        "last_used",
    )

    def __init__(self, body: dict | None, last_used: int) -> None:
        self.body = body
        self.last_used = last_used


class TenantCache:
    """The tenants known to a node. The only operation on the path of a request is `look_up`."""

    def __init__(self, host: TenantCacheHost, bounds: Bounds) -> None:
        self.host = host
        self.bounds = bounds
        self.filter: BloomFilter | None = None
        self.removed_names: OrderedDict[str, None] = OrderedDict()  # since the filter was built
        self.cached: OrderedDict[str, CachedTenant] = OrderedDict()  # least recently used first
        self.awaited: dict[str, int] = {}  # names whose entries have not arrived, and since when
        self.to_demand: list[str] = []  # awaited names that are not requested yet
        self.to_release: list[str] = []
        self.unconfirmed: set[str] = set()  # cached names whose entries the current relay has not sent yet
        self.relay_was_behind = False  # the relay sent older entries, which have to be requested again

    def look_up(self, now: int, name: str) -> TenantLookup:
        """Looks up a tenant; requests its entry if the tenant may exist and is not cached."""
        cached = self.cached.get(name)
        if cached is not None:
            cached.last_used = now
            self.cached.move_to_end(name)
            return TenantLookup(cached.body is not None, cached.body)
        if not self.may_exist(name):
            return TenantLookup(False, None)
        # Guards against a flood of names that pass the filter: the number of awaited names is limited.
        if name not in self.awaited and len(self.awaited) < 4 * self.bounds.max_demand:
            self.awaited[name] = now
            self.to_demand.append(name)
        return TenantLookup(True, None)

    def may_exist(self, name: str) -> bool:
        """Returns whether a tenant of that name may exist; true for any name until the filter has arrived."""
        return self.filter is None or name not in self.removed_names and name in self.filter

    # Messages of the relay.

    def on_filter(self, message: TenantFilter) -> None:
        """Replaces the filter of names."""
        if message.bits and message.hashes > 0:
            self.filter = BloomFilter(bytearray(message.bits), message.hashes)
            self.removed_names = OrderedDict()

    def on_name(self, now: int, name: str, exists: bool) -> None:
        """Handles a tenant that was added to the catalogue or removed from it."""
        if exists:
            self.add_name(name)
        else:
            self.remove_name(now, name)

    def add_name(self, name: str) -> None:
        """Records that the tenant exists."""
        self.removed_names.pop(name, None)
        if self.filter is not None:
            self.filter.add(name)
        if name in self.cached and self.cached[name].body is None:
            del self.cached[name]  # the tenant exists again, so its entry has to be requested
            self.unconfirmed.discard(name)
            self.to_release.append(name)

    def remove_name(self, now: int, name: str) -> None:
        """Records that the tenant does not exist."""
        self.removed_names[name] = None
        if len(self.removed_names) > MAX_REMOVED_NAMES:
            self.removed_names.popitem(last=False)
        if name in self.cached:
            self.store(now, name, None)

    def on_update(self, now: int, message: TenantUpdate, version: int) -> bool:
        """Stores entries that were requested; returns whether the update was accepted.

        An update older than the node's version is not: its entries are requested again later.
        """
        if message.version < version:
            self.relay_was_behind = True
            return False
        for entry in message.entries:
            self.unconfirmed.discard(entry.name)
            was_awaited = self.awaited.pop(entry.name, None) is not None
            if entry.kind == TENANT and (was_awaited or entry.name in self.cached):
                self.store(now, entry.name, entry.body if entry.on else None)
        return True

    def store(self, now: int, name: str, body: dict | None) -> None:
        """Caches an entry, and evicts the least recently used ones beyond `max_tenants`."""
        previous = self.cached.get(name)
        self.cached[name] = CachedTenant(body, previous.last_used if previous is not None else now)
        if previous is None or previous.body != body:
            self.host.apply_tenant(name, body)
        while len(self.cached) > self.bounds.max_tenants:
            self.evict(next(iter(self.cached)))

    def evict(self, name: str) -> None:
        """Removes an entry from the cache."""
        del self.cached[name]
        self.unconfirmed.discard(name)
        self.to_release.append(name)
        self.host.apply_tenant(name, None)

    # The timer, and connections.

    def on_tick(self, now: int, is_connected: bool) -> None:
        """Evicts idle tenants, and sends a demand if there are names to request or release."""
        while self.cached:
            name, cached = next(iter(self.cached.items()))
            if now - cached.last_used < self.bounds.tenant_idle:
                break
            self.evict(name)
        if is_connected and (self.to_demand or self.to_release):
            self.send_demand()

    def send_demand(self) -> None:
        """Requests up to `max_demand` names, and releases those that are no longer needed."""
        limit = self.bounds.max_demand
        released = [name for name in self.to_release if name not in self.cached and name not in self.awaited]
        message = TenantDemand(self.to_demand[:limit], released)
        self.to_demand, self.to_release = self.to_demand[limit:], []
        self.host.send_demand(message)

    def demand_all(self) -> None:
        """Requests all cached and awaited names, as another relay does not know them."""
        self.to_demand, self.to_release = [], []
        self.unconfirmed = set(self.cached)
        self.relay_was_behind = False
        if self.cached or self.awaited:
            self.host.send_demand(TenantDemand([*self.cached, *self.awaited], []))
