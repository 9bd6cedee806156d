"""The catalogue: what nodes are told, as entries with a scope, at a version, with a digest that adds up."""

from collections import deque
from collections.abc import Iterable
from hashlib import blake2b
from typing import Literal

import msgspec

Kind = Literal["service", "route", "tenant", "backends", "limit", "verdict", "relay"]
MODULUS = 1 << 256
TENANT = "tenant"
NAMES, TENANTS = "\0names", "\0tenants"  # scopes of the history alone: which tenants exist, and all of them


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """`scope`: the service whose nodes need it, or empty for what all need. `on` False takes it out.

    `body`: what it says, as JSON-like data; checked by configuration.py before a change has a version."""

    kind: Kind
    name: str
    scope: str = ""
    body: dict = {}
    on: bool = True

    @property
    def key(self) -> tuple[str, str]:
        return self.kind, self.name


class Change(msgspec.Struct, frozen=True, array_like=True):
    """One version: entries in order, and the digests of the whole before and after."""

    version: int
    entries: list[Entry]
    before: bytes
    after: bytes
    calls: list[tuple[str, int]] = []  # operators' calls in it: each is one change, also for another author


ENCODE = msgspec.msgpack.Encoder(order="sorted").encode


def weight_of(entry: Entry) -> int:
    """What an entry adds to a digest (Bellare and Micciancio 1997)."""
    return int.from_bytes(blake2b(ENCODE(entry), digest_size=32).digest(), "big")


def as_bytes(total: int) -> bytes:
    return (total % MODULUS).to_bytes(32, "big")


def same(one: Entry | None, other: Entry) -> bool:
    """Guards against bodies that are equal and yet not alike to a digest, as 1 and 1.0 are."""
    return one == other and ENCODE(one) == ENCODE(other)


class Catalogue:
    """Entries at a version. Those of tenants stand apart: in the digest of the whole, in no scope's."""

    def __init__(self, version: int = 0, entries: Iterable[Entry] = ()) -> None:
        self.version = version
        self.scopes: dict[str, dict[tuple[str, str], Entry]] = {}
        self.sums: dict[str, int] = {}  # of weights, by scope
        self.sizes: dict[str, int] = {}  # bytes of the entries, by scope
        self.entries: dict[tuple[str, str], Entry] = {}  # all but tenants
        self.tenants: dict[str, Entry] = {}
        self.tenants_sum = 0
        for entry in entries:
            self.put(entry)

    def copy(self) -> "Catalogue":
        made = Catalogue(self.version)
        made.scopes = {scope: dict(entries) for scope, entries in self.scopes.items()}
        made.sums, made.sizes, made.entries = dict(self.sums), dict(self.sizes), dict(self.entries)
        made.tenants, made.tenants_sum = dict(self.tenants), self.tenants_sum
        return made

    def get(self, key: tuple[str, str]) -> Entry | None:
        return self.tenants.get(key[1]) if key[0] == TENANT else self.entries.get(key)

    def all(self) -> list[Entry]:
        return [*self.entries.values(), *self.tenants.values()]

    def of(self, scopes: Iterable[str]) -> list[Entry]:
        return [entry for scope in sorted({"", *scopes}) for entry in self.scopes.get(scope, {}).values()]

    def digest_of(self, scopes: Iterable[str]) -> bytes:
        """Of what one holds that has subscribed to these, and to what all need."""
        return as_bytes(sum(self.sums.get(scope, 0) for scope in {"", *scopes}))

    def digest(self) -> bytes:
        return as_bytes(sum(self.sums.values()) + self.tenants_sum)

    def after(self, entries: Iterable[Entry]) -> int:
        """The sum of the whole with these entries, each key at most once."""
        total = sum(self.sums.values()) + self.tenants_sum
        for entry in entries:
            old = self.get(entry.key)
            total += (weight_of(entry) if entry.on else 0) - (weight_of(old) if old is not None else 0)
        return total

    def put(self, entry: Entry) -> Entry | None:
        """What stood there before. The version is the caller's to set."""
        old = self.get(entry.key)
        if entry.kind == TENANT:
            self.tenants_sum += (weight_of(entry) if entry.on else 0) - (weight_of(old) if old else 0)
            if entry.on:
                self.tenants[entry.name] = entry
            else:
                self.tenants.pop(entry.name, None)
            return old
        if old is not None:
            self.weigh(old, -1)
            del self.entries[old.key], self.scopes[old.scope][old.key]
            if not self.scopes[old.scope]:
                del self.scopes[old.scope], self.sums[old.scope], self.sizes[old.scope]
        if entry.on:
            self.entries[entry.key] = self.scopes.setdefault(entry.scope, {})[entry.key] = entry
            self.weigh(entry, 1)
        return old

    def weigh(self, entry: Entry, sign: int) -> None:
        data = ENCODE(entry)
        weight = int.from_bytes(blake2b(data, digest_size=32).digest(), "big")
        self.sums[entry.scope] = (self.sums.get(entry.scope, 0) + sign * weight) % MODULUS
        self.sizes[entry.scope] = self.sizes.get(entry.scope, 0) + sign * len(data)

    def news(self, entries: Iterable[Entry]) -> list[Entry]:
        """The last of each key, where it changes anything."""
        found = []
        for entry in {entry.key: entry for entry in entries}.values():
            old = self.get(entry.key)
            if entry.on and not same(old, entry):
                found.append(entry)
            elif not entry.on and old is not None:
                found.append(Entry(entry.kind, entry.name, old.scope, {}, False))
        return found

    def change(self, entries: Iterable[Entry], calls: list[tuple[str, int]] | None = None) -> Change | None:
        """The next version with these, or None where they change nothing."""
        news = self.news(entries)
        if not news:
            return None
        return Change(self.version + 1, news, self.digest(), as_bytes(self.after(news)), calls or [])

    def fits(self, change: Change) -> bool:
        """Whether it builds on this, and comes out as it says."""
        news = {entry.key: entry for entry in change.entries}
        same = change.version == self.version + 1 and change.before == self.digest()
        same = same and len(news) == len(change.entries)
        return same and as_bytes(self.after(news.values())) == change.after

    def lay(self, entries: Iterable[Entry], version: int) -> list[tuple[Entry, Entry | None]]:
        """Each entry with what stood there before."""
        self.version = version
        return [(entry, self.put(entry)) for entry in entries]

    def unlike(self, other: "Catalogue") -> list[Entry]:
        """What makes this one the other."""
        found = [entry for entry in other.all() if not same(self.get(entry.key), entry)]
        for entry in [e for k, e in self.entries.items() if k not in other.entries]:
            found.append(Entry(entry.kind, entry.name, entry.scope, {}, False))
        found += [Entry(TENANT, name, on=False) for name in self.tenants if name not in other.tenants]
        return found


class History:
    """Which keys changed lately, by scope: what one that is behind can be given. Bounded by bytes."""

    def __init__(self, most: int) -> None:
        self.most, self.bytes = most, 0
        self.steps: deque[tuple[int, int, int, list[tuple[str, tuple[str, str]]]]] = deque()
        self.by_scope: dict[str, deque[tuple[int, tuple[str, str]]]] = {}
        self.begins: set[int] = set()  # versions from which a step goes on

    def add(self, before: int, version: int, laid: list[tuple[Entry, Entry | None]]) -> None:
        touched, size = [], 64
        for entry, old in laid:
            size += len(ENCODE(entry))
            if entry.kind == TENANT:
                scopes = {TENANTS} if entry.on and old is not None else {TENANTS, NAMES}
            else:
                scopes = {entry.scope, old.scope if old is not None else entry.scope}
            touched += [(scope, entry.key) for scope in sorted(scopes)]
        for scope, key in touched:
            self.by_scope.setdefault(scope, deque()).append((version, key))
        self.steps.append((before, version, size, touched))
        self.begins.add(before)
        self.bytes += size
        while self.bytes > self.most and self.steps:
            before, _, size, touched = self.steps.popleft()
            self.begins.discard(before)
            self.bytes -= size
            for scope, _ in touched:
                self.by_scope[scope].popleft()
                if not self.by_scope[scope]:
                    del self.by_scope[scope]

    def since(self, scopes: Iterable[str] | None, version: int, at: int) -> dict | None:
        """Keys changed after that version until `at`; None: that far back nothing is known any more."""
        if version == at:
            return {}
        # Guards against a version that was leapt over here: what came and went again within is not known.
        if version not in self.begins:
            return None
        found = {}
        for scope in list(self.by_scope) if scopes is None else {"", NAMES, *scopes}:
            for changed, key in reversed(self.by_scope.get(scope, ())):
                if changed <= version:
                    break
                found[key] = None
        return found
