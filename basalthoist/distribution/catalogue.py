"""The catalogue: what nodes are configured with, as entries with a scope, at a version, with a digest.

A digest is the sum of its entries' weights (Bellare and Micciancio 1997), so it is kept up change by change.
"""

from collections import deque
from collections.abc import Iterable
from hashlib import blake2b
from typing import Literal, NamedTuple

import msgspec

Kind = Literal["service", "route", "tenant", "backends", "limit", "verdict", "relay"]
Key = tuple[Kind, str]  # kind and name
Call = tuple[str, int]  # an operator's: the caller's name and the call's id
DIGEST_MODULUS = 1 << 256
DIGEST_BYTES = 32
TENANT: Kind = "tenant"
TENANT_NAMES, TENANT_ENTRIES = "\0names", "\0tenants"  # scopes in the history alone
STEP_BYTES = 64  # of a step in the history, beside its entries


class EntryError(ValueError):
    """An entry that cannot be distributed; the text names its key and reaches the operator."""


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One thing that is configured.

    `scope`: the service whose nodes need it, or empty for what all need. `body`: its settings, as JSON-like
    data, checked by `configuration` before a change has a version. `on` False takes the entry out.
    """

    kind: Kind
    name: str
    scope: str = ""
    body: dict = {}
    on: bool = True

    @property
    def key(self) -> Key:
        """What the catalogue has at most one entry of."""
        return self.kind, self.name


class Change(msgspec.Struct, frozen=True, array_like=True):
    """One version: entries in order, and the digests of the whole catalogue before and after it."""

    version: int
    entries: list[Entry]
    digest_before: bytes
    digest_after: bytes
    calls: list[Call] = []  # that it carries out: each becomes one change, also under another leader


class AppliedEntry(NamedTuple):
    """An entry, and what stood in its place before."""

    entry: Entry
    previous: Entry | None


ENCODE = msgspec.msgpack.Encoder(order="sorted").encode


def weigh(data: bytes) -> int:
    """What an entry in this encoding adds to a digest."""
    return int.from_bytes(blake2b(data, digest_size=DIGEST_BYTES).digest(), "big")


def weight_of(entry: Entry | None) -> int:
    """What an entry adds to a digest; nothing where there is none, or it is taken out."""
    return weigh(ENCODE(entry)) if entry is not None and entry.on else 0


def digest_bytes(total: int) -> bytes:
    """The digest that a sum of weights comes to."""
    return (total % DIGEST_MODULUS).to_bytes(DIGEST_BYTES, "big")


def is_same(one: Entry | None, other: Entry) -> bool:
    """Guards against bodies that are equal and yet have another digest, as 1 and 1.0 do."""
    return one == other and ENCODE(one) == ENCODE(other)


def removal_of(entry: Entry) -> Entry:
    """The entry that takes this one out."""
    return Entry(entry.kind, entry.name, entry.scope, {}, False)


class Catalogue:
    """Entries at a version. Tenants stand apart: they are in the digest of the whole, in no scope's."""

    def __init__(self, version: int = 0, entries: Iterable[Entry] = ()) -> None:
        self.version = version
        self.scopes: dict[str, dict[Key, Entry]] = {}
        self.scope_hash_sums: dict[str, int] = {}  # of weights
        self.scope_bytes: dict[str, int] = {}  # of encoded entries
        self.entries: dict[Key, Entry] = {}  # all but tenants
        self.tenants: dict[str, Entry] = {}
        self.tenants_sum = 0
        for entry in entries:
            self.put(entry)

    def copy(self) -> "Catalogue":
        """One that changes by itself from now on."""
        made = Catalogue(self.version)
        made.scopes = {scope: dict(entries) for scope, entries in self.scopes.items()}
        made.scope_hash_sums, made.scope_bytes = dict(self.scope_hash_sums), dict(self.scope_bytes)
        made.entries, made.tenants = dict(self.entries), dict(self.tenants)
        made.tenants_sum = self.tenants_sum
        return made

    def get(self, key: Key) -> Entry | None:
        """The entry of that key."""
        return self.tenants.get(key[1]) if key[0] == TENANT else self.entries.get(key)

    def all_entries(self) -> list[Entry]:
        """Tenants come last."""
        return [*self.entries.values(), *self.tenants.values()]

    def entries_in(self, scopes: Iterable[str]) -> list[Entry]:
        """The entries of these scopes, and those that all need."""
        return [entry for scope in sorted({"", *scopes}) for entry in self.scopes.get(scope, {}).values()]

    def digest_of(self, scopes: Iterable[str]) -> bytes:
        """The digest of `entries_in` these scopes."""
        return digest_bytes(sum(self.scope_hash_sums.get(scope, 0) for scope in {"", *scopes}))

    def sum_of_scopes(self) -> int:
        """The sum of weights of all but tenants."""
        return sum(self.scope_hash_sums.values())

    def digest(self) -> bytes:
        """The digest of the whole."""
        return digest_bytes(self.sum_of_scopes() + self.tenants_sum)

    def digest_with(self, entries: Iterable[Entry]) -> bytes:
        """The digest of the whole with these entries, each key at most once."""
        total = self.sum_of_scopes() + self.tenants_sum
        for entry in entries:
            total += weight_of(entry) - weight_of(self.get(entry.key))
        return digest_bytes(total)

    def put(self, entry: Entry) -> Entry | None:
        """Returns what stood there before. The version is the caller's to set."""
        if entry.kind == TENANT:
            return self.put_tenant(entry)
        previous = self.entries.get(entry.key)
        if previous is not None:
            self.remove(previous)
        if entry.on:
            self.entries[entry.key] = self.scopes.setdefault(entry.scope, {})[entry.key] = entry
            self.count(entry, 1)
        return previous

    def put_tenant(self, entry: Entry) -> Entry | None:
        """Returns what stood there before."""
        previous = self.tenants.get(entry.name)
        self.tenants_sum += weight_of(entry) - weight_of(previous)
        if entry.on:
            self.tenants[entry.name] = entry
        else:
            self.tenants.pop(entry.name, None)
        return previous

    def remove(self, entry: Entry) -> None:
        """Takes out an entry that is here and no tenant."""
        self.count(entry, -1)
        scope = entry.scope
        del self.entries[entry.key], self.scopes[scope][entry.key]
        if not self.scopes[scope]:
            del self.scopes[scope], self.scope_hash_sums[scope], self.scope_bytes[scope]

    def count(self, entry: Entry, sign: int) -> None:
        """Adds an entry to the sums of its scope, or takes it out of them."""
        data, scope = ENCODE(entry), entry.scope
        self.scope_hash_sums[scope] = (
            self.scope_hash_sums.get(scope, 0) + sign * weigh(data)
        ) % DIGEST_MODULUS
        self.scope_bytes[scope] = self.scope_bytes.get(scope, 0) + sign * len(data)

    def effective(self, entries: Iterable[Entry]) -> list[Entry]:
        """The last of each key, where it changes anything."""
        found = []
        for entry in {entry.key: entry for entry in entries}.values():
            previous = self.get(entry.key)
            if entry.on and not is_same(previous, entry):
                found.append(entry)
            elif not entry.on and previous is not None:
                found.append(removal_of(previous))
        return found

    def make_change(self, entries: Iterable[Entry], calls: list[Call] | None = None) -> Change | None:
        """The next version with these, or None where they change nothing."""
        effective = self.effective(entries)
        if not effective:
            return None
        return Change(self.version + 1, effective, self.digest(), self.digest_with(effective), calls or [])

    def accepts(self, change: Change) -> bool:
        """Whether the change builds on this version, and its entries have the digest that it gives."""
        by_key = {entry.key: entry for entry in change.entries}
        if change.version != self.version + 1 or change.digest_before != self.digest():
            return False
        return len(by_key) == len(change.entries) and self.digest_with(by_key.values()) == change.digest_after

    def apply(self, entries: Iterable[Entry], version: int) -> list[AppliedEntry]:
        """Puts the entries in; this is that version from now on."""
        self.version = version
        return [AppliedEntry(entry, self.put(entry)) for entry in entries]

    def difference_to(self, other: "Catalogue") -> list[Entry]:
        """The entries that make this one the other."""
        found = [entry for entry in other.all_entries() if not is_same(self.get(entry.key), entry)]
        found += [removal_of(entry) for key, entry in self.entries.items() if key not in other.entries]
        found += [Entry(TENANT, name, on=False) for name in self.tenants if name not in other.tenants]
        return found


class HistoryStep(NamedTuple):
    """What changed from one version to another, as scope and key, and what it counts in the history."""

    base_version: int
    version: int
    size: int  # bytes
    changed: list[tuple[str, Key]]


class History:
    """Which keys changed lately, by scope: from it a peer that is behind gets a delta. Bounded by bytes."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.size = 0  # bytes
        self.steps: deque[HistoryStep] = deque()
        self.by_scope: dict[str, deque[tuple[int, Key]]] = {}
        self.base_versions: set[int] = set()  # from which a step leads on

    def add(self, base_version: int, version: int, applied: list[AppliedEntry]) -> None:
        """Remembers a step, and forgets the earliest beyond the bound."""
        size = STEP_BYTES + sum(len(ENCODE(one.entry)) for one in applied)
        changed = [(scope, one.entry.key) for one in applied for scope in sorted(self.scopes_of(one))]
        for scope, key in changed:
            self.by_scope.setdefault(scope, deque()).append((version, key))
        self.steps.append(HistoryStep(base_version, version, size, changed))
        self.base_versions.add(base_version)
        self.size += size
        while self.size > self.max_bytes and self.steps:
            self.forget(self.steps.popleft())

    @staticmethod
    def scopes_of(applied: AppliedEntry) -> set[str]:
        """Whose subscribers an entry's change concerns."""
        entry, previous = applied
        if entry.kind != TENANT:
            return {entry.scope, previous.scope if previous is not None else entry.scope}
        if entry.on and previous is not None:
            return {TENANT_ENTRIES}
        return {TENANT_ENTRIES, TENANT_NAMES}

    def forget(self, step: HistoryStep) -> None:
        """Takes the earliest step out."""
        self.base_versions.discard(step.base_version)
        self.size -= step.size
        for scope, _ in step.changed:
            self.by_scope[scope].popleft()
            if not self.by_scope[scope]:
                del self.by_scope[scope]

    def keys_since(self, scopes: Iterable[str] | None, version: int, current: int) -> list[Key] | None:
        """Keys changed after that version until the current one; None: that is not remembered any more.

        `scopes` None: all of them.
        """
        if version == current:
            return []
        # Guards against a version that was skipped here: what came and went again on the way is not known.
        if version not in self.base_versions:
            return None
        found: dict[Key, None] = {}
        for scope in list(self.by_scope) if scopes is None else {"", TENANT_NAMES, *scopes}:
            for changed, key in reversed(self.by_scope.get(scope, ())):
                if changed <= version:
                    break
                found[key] = None
        return list(found)
