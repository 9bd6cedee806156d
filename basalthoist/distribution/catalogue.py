"""The catalogue: the nodes' configuration, as entries with scopes, with a version and a digest.

The digest is the sum of the entries' hashes (Bellare and Micciancio 1997), so that a change updates it
without rehashing the other entries.
"""

from collections import deque
from collections.abc import Iterable
from hashlib import blake2b
from typing import Literal, NamedTuple

import msgspec

Kind = Literal["service", "route", "tenant", "backends", "limit", "verdict", "relay"]
Key = tuple[Kind, str]  # an entry's kind and name
Call = tuple[str, int]  # identifies an operator's call: the caller's name and the call's id
DIGEST_MODULUS = 1 << 256
DIGEST_BYTES = 32
TENANT: Kind = "tenant"
TENANT_NAMES, TENANT_ENTRIES = "\0names", "\0tenants"  # pseudo-scopes that only the history uses
STEP_OVERHEAD_BYTES = 64  # counted for each step of the history in addition to its entries


class EntryError(ValueError):
    """An entry that cannot be distributed. The text names the entry's key and is returned to the operator."""


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One item of configuration.

    `scope` is the service whose nodes need the entry; empty if all nodes need it. `body` holds the settings
    as JSON-like data, which `configuration` validates before a change is assigned a version. `on` False
    removes the entry with this key.
    """

    kind: Kind
    name: str
    scope: str = ""
    body: dict = {}
    on: bool = True

    @property
    def key(self) -> Key:
        """The kind and name; the catalogue has at most one entry for each key."""
        return self.kind, self.name


class Change(msgspec.Struct, frozen=True, array_like=True):
    """The change to one version: the entries in order, and the catalogue's digests before and after it."""

    version: int
    entries: list[Entry]
    digest_before: bytes
    digest_after: bytes
    # The operators' calls that this change carries out, so that no later leader carries one out again.
    calls: list[Call] = []


class AppliedEntry(NamedTuple):
    """An entry, and the entry that it replaced."""

    entry: Entry
    previous: Entry | None


ENCODE = msgspec.msgpack.Encoder(order="sorted").encode


def hash_encoded(data: bytes) -> int:
    """Returns the hash of an encoded entry, as it is summed in a digest."""
    return int.from_bytes(blake2b(data, digest_size=DIGEST_BYTES).digest(), "big")


def hash_of(entry: Entry | None) -> int:
    """Returns the hash of an entry, as it is summed in a digest; 0 for None and for a removal."""
    return hash_encoded(ENCODE(entry)) if entry is not None and entry.on else 0


def digest_bytes(hash_sum: int) -> bytes:
    """Returns the digest for a sum of hashes."""
    return (hash_sum % DIGEST_MODULUS).to_bytes(DIGEST_BYTES, "big")


def is_identical(entry: Entry | None, other: Entry) -> bool:
    """Returns whether two entries are equal and also have the same encoding.

    A body with 1 and one with 1.0 compare equal but are encoded differently.
    """
    return entry == other and ENCODE(entry) == ENCODE(other)


def removal_of(entry: Entry) -> Entry:
    """Returns the entry that removes this one."""
    return Entry(entry.kind, entry.name, entry.scope, {}, False)


class Catalogue:
    """The entries at a version. Tenants count in the catalogue's digest, but not in that of any scope."""

    def __init__(self, version: int = 0, entries: Iterable[Entry] = ()) -> None:
        self.version = version
        self.scopes: dict[str, dict[Key, Entry]] = {}
        self.scope_hash_sums: dict[str, int] = {}  # the sum of the entries' hashes for each scope
        self.scope_bytes: dict[str, int] = {}  # the size of the encoded entries for each scope
        self.entries: dict[Key, Entry] = {}  # all entries except tenants
        self.tenants: dict[str, Entry] = {}
        self.tenants_hash_sum = 0
        for entry in entries:
            self.put(entry)

    def copy(self) -> "Catalogue":
        """Returns an independent copy."""
        duplicate = Catalogue(self.version)
        duplicate.scopes = {scope: dict(entries) for scope, entries in self.scopes.items()}
        duplicate.scope_hash_sums, duplicate.scope_bytes = dict(self.scope_hash_sums), dict(self.scope_bytes)
        duplicate.entries, duplicate.tenants = dict(self.entries), dict(self.tenants)
        duplicate.tenants_hash_sum = self.tenants_hash_sum
        return duplicate

    def get(self, key: Key) -> Entry | None:
        """Returns the entry with this key, or None."""
        return self.tenants.get(key[1]) if key[0] == TENANT else self.entries.get(key)

    def all_entries(self) -> list[Entry]:
        """Returns all entries, tenants last."""
        return [*self.entries.values(), *self.tenants.values()]

    def entries_in(self, scopes: Iterable[str]) -> list[Entry]:
        """Returns the entries of these scopes and those that all nodes need."""
        return [entry for scope in sorted({"", *scopes}) for entry in self.scopes.get(scope, {}).values()]

    def digest_of(self, scopes: Iterable[str]) -> bytes:
        """Returns the digest of the entries that `entries_in` returns for these scopes."""
        return digest_bytes(sum(self.scope_hash_sums.get(scope, 0) for scope in {"", *scopes}))

    def scopes_hash_sum(self) -> int:
        """Returns the sum of the hashes of all entries except tenants."""
        return sum(self.scope_hash_sums.values())

    def digest(self) -> bytes:
        """Returns the digest of the whole catalogue, tenants included."""
        return digest_bytes(self.scopes_hash_sum() + self.tenants_hash_sum)

    def digest_with(self, entries: Iterable[Entry]) -> bytes:
        """Returns the digest that the catalogue would have with these entries, which have distinct keys."""
        hash_sum = self.scopes_hash_sum() + self.tenants_hash_sum
        for entry in entries:
            hash_sum += hash_of(entry) - hash_of(self.get(entry.key))
        return digest_bytes(hash_sum)

    def put(self, entry: Entry) -> Entry | None:
        """Adds, replaces or removes an entry, without a new version; returns the entry that was replaced."""
        if entry.kind == TENANT:
            return self.put_tenant(entry)
        previous = self.entries.get(entry.key)
        if previous is not None:
            self.remove(previous)
        if entry.on:
            self.entries[entry.key] = self.scopes.setdefault(entry.scope, {})[entry.key] = entry
            self.update_sums(entry, 1)
        return previous

    def put_tenant(self, entry: Entry) -> Entry | None:
        """Adds, replaces or removes a tenant; returns the entry that was replaced."""
        previous = self.tenants.get(entry.name)
        self.tenants_hash_sum += hash_of(entry) - hash_of(previous)
        if entry.on:
            self.tenants[entry.name] = entry
        else:
            self.tenants.pop(entry.name, None)
        return previous

    def remove(self, entry: Entry) -> None:
        """Removes an entry that is in the catalogue and is not a tenant."""
        self.update_sums(entry, -1)
        scope = entry.scope
        del self.entries[entry.key], self.scopes[scope][entry.key]
        if not self.scopes[scope]:
            del self.scopes[scope], self.scope_hash_sums[scope], self.scope_bytes[scope]

    def update_sums(self, entry: Entry, sign: int) -> None:
        """Adds an entry to the sums of its scope (`sign` 1), or subtracts it (`sign` -1)."""
        data, scope = ENCODE(entry), entry.scope
        self.scope_hash_sums[scope] = (
            self.scope_hash_sums.get(scope, 0) + sign * hash_encoded(data)
        ) % DIGEST_MODULUS
        self.scope_bytes[scope] = self.scope_bytes.get(scope, 0) + sign * len(data)

    def effective_entries(self, entries: Iterable[Entry]) -> list[Entry]:
        """Returns the last entry for each key, leaving out those that change nothing."""
        effective = []
        for entry in {entry.key: entry for entry in entries}.values():
            previous = self.get(entry.key)
            if entry.on and not is_identical(previous, entry):
                effective.append(entry)
            elif not entry.on and previous is not None:
                effective.append(removal_of(previous))
        return effective

    def make_change(self, entries: Iterable[Entry], calls: list[Call] | None = None) -> Change | None:
        """Returns the change to the next version by these entries; None if they change nothing."""
        effective = self.effective_entries(entries)
        if not effective:
            return None
        return Change(self.version + 1, effective, self.digest(), self.digest_with(effective), calls or [])

    def accepts(self, change: Change) -> bool:
        """Returns whether the change follows this version and its entries lead to its declared digest."""
        by_key = {entry.key: entry for entry in change.entries}
        if change.version != self.version + 1 or change.digest_before != self.digest():
            return False
        return len(by_key) == len(change.entries) and self.digest_with(by_key.values()) == change.digest_after

    def apply(self, entries: Iterable[Entry], version: int) -> list[AppliedEntry]:
        """Applies the entries and sets the version; returns each entry with the one that it replaced."""
        self.version = version
        return [AppliedEntry(entry, self.put(entry)) for entry in entries]

    def difference_to(self, other: "Catalogue") -> list[Entry]:
        """Returns the entries that turn this catalogue into the other."""
        difference = [entry for entry in other.all_entries() if not is_identical(self.get(entry.key), entry)]
        difference += [removal_of(entry) for key, entry in self.entries.items() if key not in other.entries]
        difference += [Entry(TENANT, name, on=False) for name in self.tenants if name not in other.tenants]
        return difference


class HistoryStep(NamedTuple):
    """The scopes and keys that changed between two versions, and the size counted for them."""

    base_version: int
    version: int
    size: int  # bytes
    changed: list[tuple[str, Key]]


class History:
    """The recently changed keys of each scope, from which deltas are built. Bounded by size in bytes."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.size = 0  # in bytes
        self.steps: deque[HistoryStep] = deque()
        self.by_scope: dict[str, deque[tuple[int, Key]]] = {}
        self.base_versions: set[int] = set()  # the versions at which a step starts

    def add(self, base_version: int, version: int, applied: list[AppliedEntry]) -> None:
        """Adds a step, and drops the earliest steps beyond the size limit."""
        size = STEP_OVERHEAD_BYTES + sum(len(ENCODE(change.entry)) for change in applied)
        changed = [
            (scope, change.entry.key) for change in applied for scope in sorted(self.scopes_of(change))
        ]
        for scope, key in changed:
            self.by_scope.setdefault(scope, deque()).append((version, key))
        self.steps.append(HistoryStep(base_version, version, size, changed))
        self.base_versions.add(base_version)
        self.size += size
        while self.size > self.max_bytes and self.steps:
            self.forget(self.steps.popleft())

    @staticmethod
    def scopes_of(applied: AppliedEntry) -> set[str]:
        """Returns the scopes whose subscribers need this change."""
        entry, previous = applied
        if entry.kind != TENANT:
            return {entry.scope, previous.scope if previous is not None else entry.scope}
        if entry.on and previous is not None:
            return {TENANT_ENTRIES}
        return {TENANT_ENTRIES, TENANT_NAMES}

    def forget(self, step: HistoryStep) -> None:
        """Updates the indexes after the earliest step was removed."""
        self.base_versions.discard(step.base_version)
        self.size -= step.size
        for scope, _ in step.changed:
            self.by_scope[scope].popleft()
            if not self.by_scope[scope]:
                del self.by_scope[scope]

    def keys_since(self, scopes: Iterable[str] | None, version: int, current: int) -> list[Key] | None:
        """Returns the keys changed after `version` up to `current`; None if `version` is not remembered.

        `scopes` None stands for all scopes.
        """
        if version == current:
            return []
        # Guards against a version that this store skipped by a longer step: entries that were added and
        # removed again within that step are not recorded, so no delta can start there.
        if version not in self.base_versions:
            return None
        keys: dict[Key, None] = {}
        for scope in list(self.by_scope) if scopes is None else {"", TENANT_NAMES, *scopes}:
            for changed, key in reversed(self.by_scope.get(scope, ())):
                if changed <= version:
                    break
                keys[key] = None
        return list(keys)
