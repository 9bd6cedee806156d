"""The store of a relay process: the committed catalogue, at most one pending change, and the history."""

from collections.abc import Iterable, Iterator
from contextlib import suppress
from hashlib import blake2b

import msgspec

from .catalogue import TENANT, AppliedEntry, Call, Catalogue, Change, Entry, History, Key
from .tenants import BloomFilter
from .wire import Delta, EncodedMessage, OperatorCallVersion, Snapshot, TenantFilter

LENGTH_BYTES, CHECKSUM_BYTES = 4, 16  # the header of a record in a file
MAX_REMEMBERED_CALLS = 1024  # committed calls of operators
ESTIMATED_TENANT_BYTES = 40  # the size of a tenant in a snapshot
Scopes = tuple[str, ...]


class StoredCatalogue(msgspec.Struct, array_like=True):
    """The first record of a file. Only the digest of a committed head proves that it is committed."""

    fleet: str
    version: int
    digest: bytes
    entries: list[Entry]
    calls: list[OperatorCallVersion] = []
    term: int = 0
    pending: Change | None = None


class StoredChange(msgspec.Struct, array_like=True):
    """A later record: a change that became pending after the file was written."""

    term: int
    change: Change


ENCODE = msgspec.msgpack.Encoder().encode
DECODE_CATALOGUE = msgspec.msgpack.Decoder(StoredCatalogue).decode
DECODE_CHANGE = msgspec.msgpack.Decoder(StoredChange).decode


def checksum_of(data: bytes) -> bytes:
    """Returns the checksum of a record's data."""
    return blake2b(data, digest_size=CHECKSUM_BYTES).digest()


def to_record(data: bytes) -> bytes:
    """Returns the record of the data: its length, its checksum and the data."""
    return len(data).to_bytes(LENGTH_BYTES, "big") + checksum_of(data) + data


def records_of(data: bytes) -> Iterator[bytes]:
    """Yields the data of a file's records up to the first one that is damaged or incomplete."""
    position = 0
    while position + LENGTH_BYTES + CHECKSUM_BYTES <= len(data):
        checksum_at = position + LENGTH_BYTES
        start = checksum_at + CHECKSUM_BYTES
        end = start + int.from_bytes(data[position:checksum_at], "big")
        record = data[start:end]
        if end > len(data) or checksum_of(record) != data[checksum_at:start]:
            return
        yield record
        position = end


def to_bytes(fleet: str, version: int, entries: list[Entry], digest: bytes) -> bytes:
    """Returns the content of a node's file."""
    return to_record(ENCODE(StoredCatalogue(fleet, version, digest, entries)))


def read_catalogue(fleet: str, data: bytes) -> tuple[Catalogue, StoredCatalogue] | None:
    """Reads the first record of a file.

    Returns None if the record is damaged, belongs to another fleet or does not match its digest.
    """
    try:
        stored = DECODE_CATALOGUE(next(iter(records_of(data)), b""))
    except (msgspec.DecodeError, RecursionError):
        return None
    catalogue = Catalogue(stored.version, stored.entries)
    return (catalogue, stored) if stored.fleet == fleet and catalogue.digest() == stored.digest else None


def from_bytes(fleet: str, data: bytes) -> Catalogue | None:
    """Returns the catalogue of a node's file, or None as `read_catalogue` does."""
    result = read_catalogue(fleet, data)
    return result[0] if result is not None else None


class Store:
    """The catalogue and the pending change of a relay process.

    `history_bytes` limits the size of the recent changes that are remembered.
    """

    def __init__(self, history_bytes: int, catalogue: Catalogue | None = None) -> None:
        self.catalogue = catalogue or Catalogue()
        self.history = History(history_bytes)
        self.digest: bytes = self.catalogue.digest()
        self.term = 0  # the term in which the pending change was proposed
        self.pending: Change | None = None
        self.calls: dict[Call, int] = {}  # the versions of the latest committed calls
        self.must_rewrite = True  # the records of the file do not lead to the committed version
        self.appended_bytes = 0  # the size of the records appended since the file was written
        self.tenant_filter: BloomFilter | None = None
        self.encoded: dict[tuple, EncodedMessage] = {}  # cached messages of the committed version
        self.scope_digests: dict[Scopes, bytes] = {}

    @property
    def version(self) -> int:
        """The committed version."""
        return self.catalogue.version

    @property
    def head(self) -> tuple[int, bytes]:
        """The committed version and its digest."""
        return self.version, self.digest

    @property
    def pending_version(self) -> int:
        """The version of the pending change; -1 if there is none."""
        return self.pending.version if self.pending is not None else -1

    # Changes from the leader.

    def propose(self, term: int, change: Change) -> bool:
        """Makes the change pending; returns whether it was accepted.

        A change of an earlier term, or one that does not follow the committed version, is refused.
        """
        if term < self.term or not self.catalogue.accepts(change):
            return False
        self.term, self.pending = term, change
        return True

    def commit(self, version: int, digest: bytes) -> list[Entry] | None:
        """Commits the pending change and returns its entries; None if it has another version or digest."""
        change = self.pending
        if change is None or (change.version, change.digest_after) != (version, digest):
            return None
        self.apply(change.entries, version)
        self.remember_calls((name, call_id, version) for name, call_id in change.calls)
        return change.entries

    def remember_calls(self, calls: Iterable[OperatorCallVersion]) -> None:
        """Remembers committed calls, so that no call is carried out twice, even by another leader."""
        for name, call_id, version in calls:
            self.calls.setdefault((name, call_id), version)
        while len(self.calls) > MAX_REMEMBERED_CALLS:
            del self.calls[next(iter(self.calls))]

    def remembered_calls(self) -> list[OperatorCallVersion]:
        """Returns the remembered calls in the form used in messages and files."""
        return [(*call, version) for call, version in self.calls.items()]

    def take_update(self, message: Snapshot | Delta) -> list[Entry] | None:
        """Applies an update and returns the entries that it changed.

        Returns None for a delta that is not newer or does not start at the committed version, for a snapshot
        that is older or is the committed version itself, and for an update whose entries do not match its
        digest. A snapshot of the committed version with another digest is applied.
        """
        entries = (
            self.changes_of_delta(message)
            if isinstance(message, Delta)
            else self.changes_of_snapshot(message)
        )
        if entries is None:
            return None
        self.apply(entries, message.version)
        self.remember_calls(message.calls)
        self.must_rewrite = True
        return entries

    def changes_of_delta(self, message: Delta) -> list[Entry] | None:
        """Returns the entries that a delta changes, or None as `take_update` does."""
        if message.base_version != self.version or message.version <= self.version:
            return None
        entries = list({entry.key: entry for entry in message.entries}.values())
        return entries if self.catalogue.digest_with(entries) == message.digest else None

    def changes_of_snapshot(self, message: Snapshot) -> list[Entry] | None:
        """Returns the entries that a snapshot changes, or None as `take_update` does."""
        # Guards against a delayed snapshot: the version never goes back.
        if message.version < self.version or (message.version, message.digest) == self.head:
            return None
        other = Catalogue(message.version, message.entries)
        return self.catalogue.difference_to(other) if other.digest() == message.digest else None

    def apply(self, entries: list[Entry], version: int) -> None:
        """Applies committed entries and sets the committed version."""
        base_version = self.version
        applied = self.catalogue.apply(entries, version)
        self.history.add(base_version, version, applied)
        self.digest = self.catalogue.digest()
        if self.pending is not None and not self.catalogue.accepts(self.pending):
            self.pending = None
        self.update_tenant_filter(applied)
        self.encoded, self.scope_digests = {}, {}

    def update_tenant_filter(self, applied: list[AppliedEntry]) -> None:
        """Records added and removed tenants in the filter of tenants' names."""
        for entry, previous in applied:
            if entry.kind == TENANT and self.tenant_filter is not None:
                self.tenant_filter.record(entry.name, entry.on, previous is not None)

    # Updates for subscribers that are behind. `scopes` is None for the store of another relay, which has
    # all scopes.

    def digest_of(self, scopes: Scopes | None) -> bytes:
        """Returns the digest that a subscriber of these scopes has at the committed version."""
        if scopes is None:
            return self.digest
        digest = self.scope_digests.get(scopes)
        if digest is None:
            digest = self.scope_digests[scopes] = self.catalogue.digest_of(scopes)
        return digest

    def update_for(self, scopes: Scopes | None, version: int) -> EncodedMessage | None:
        """Returns the update from `version` to the committed one: a delta or a snapshot.

        The update is a snapshot if that is smaller or the history no longer reaches back to `version`.

        Returns None for a subscriber that is up to date or ahead.
        """
        if version >= self.version:
            return None
        key = scopes, version
        if key not in self.encoded:
            delta = self.delta(scopes, version)
            self.encoded[key] = delta if delta is not None else self.snapshot(scopes)
        return self.encoded[key]

    def delta(self, scopes: Scopes | None, version: int) -> EncodedMessage | None:
        """Returns the delta from `version`; None if `version` is not remembered or a snapshot is smaller."""
        keys = self.history.keys_since(scopes, version, self.version)
        if keys is None:
            return None
        entries = [self.current_entry(key, scopes) for key in keys]
        names_bytes, snapshot_bytes = self.estimated_snapshot_bytes(scopes)
        calls = self.remembered_calls() if scopes is None else []
        delta = EncodedMessage(Delta(version, self.version, self.digest_of(scopes), entries, calls))
        if len(delta) > snapshot_bytes and len(self.snapshot(scopes)) + names_bytes < len(delta):
            return None
        return delta

    def estimated_snapshot_bytes(self, scopes: Scopes | None) -> tuple[int, int]:
        """Returns the size of the filter sent with a snapshot, and the estimated size of both, in bytes."""
        catalogue = self.catalogue
        if scopes is None:
            return 0, sum(catalogue.scope_bytes.values()) + ESTIMATED_TENANT_BYTES * len(catalogue.tenants)
        # A node's snapshot does not contain the names of tenants, so the filter is sent with it.
        names_bytes = len(self.filter_message()) if catalogue.tenants else 0
        return names_bytes, names_bytes + sum(catalogue.scope_bytes.get(scope, 0) for scope in {"", *scopes})

    def current_entry(self, key: Key, scopes: Scopes | None) -> Entry:
        """Returns the entry that a subscriber of these scopes gets for a changed key."""
        entry = self.catalogue.get(key)
        if scopes is None:
            return entry or Entry(*key, on=False)
        if key[0] == TENANT:
            return Entry(*key, on=entry is not None)
        return entry if entry is not None and entry.scope in ("", *scopes) else Entry(*key, on=False)

    def snapshot(self, scopes: Scopes | None) -> EncodedMessage:
        """Returns the snapshot of all entries of the scopes."""
        key = scopes, -1
        if key not in self.encoded:
            catalogue = self.catalogue
            entries = catalogue.all_entries() if scopes is None else catalogue.entries_in(scopes)
            calls = self.remembered_calls() if scopes is None else []
            message = Snapshot(self.version, self.digest_of(scopes), entries, calls)
            self.encoded[key] = EncodedMessage(message)
        return self.encoded[key]

    def filter_message(self) -> EncodedMessage:
        """Returns the message with the filter of tenants' names."""
        if self.tenant_filter is None or self.tenant_filter.is_outdated():
            self.tenant_filter = BloomFilter.of_names(self.catalogue.tenants)
        key = "names", -1
        if key not in self.encoded:
            message = TenantFilter(self.version, bytes(self.tenant_filter.bits), self.tenant_filter.hashes)
            self.encoded[key] = EncodedMessage(message)
        return self.encoded[key]

    def tenant_entries(self, names: Iterable[str]) -> list[Entry]:
        """Returns the tenants' entries; one with `on` False for each tenant that does not exist."""
        tenants = self.catalogue.tenants
        return [tenants.get(name) or Entry(TENANT, name, on=False) for name in names]

    # The file: the catalogue, rewritten now and then, followed by the changes that became pending since.

    def to_bytes(self, fleet: str) -> bytes:
        """Returns the content to rewrite the file with."""
        self.must_rewrite, self.appended_bytes = False, 0
        entries, calls = self.catalogue.all_entries(), self.remembered_calls()
        return to_record(ENCODE(StoredCatalogue(fleet, *self.head, entries, calls, self.term, self.pending)))

    def pending_record(self) -> bytes:
        """Returns the record of the latest pending change, to be appended to the file."""
        # The publisher calls this even if its change was refused because a later term is known. `pending` may
        # then be None. Such a record cannot be decoded, so `replay` ends at it.
        record = to_record(ENCODE(StoredChange(self.term, self.pending)))  # type: ignore[arg-type]
        self.appended_bytes += len(record)
        return record

    def needs_rewrite(self) -> bool:
        """Returns whether the file lacks the committed version or has grown too long to replay."""
        return self.must_rewrite or self.appended_bytes > self.history.max_bytes

    @classmethod
    def from_bytes(cls, fleet: str, data: bytes, history_bytes: int) -> "Store":
        """Returns the store of a file, up to its first damaged record; empty if the first one is invalid.

        A change is committed if the change of a later record builds on it. Whether the last change is
        committed, only the register's head tells.
        """
        result = read_catalogue(fleet, data)
        store = cls(history_bytes, result[0] if result is not None else None)
        if result is None:
            return store
        stored = result[1]
        store.remember_calls(stored.calls)
        if stored.pending is not None:
            store.propose(stored.term, stored.pending)
        with suppress(msgspec.DecodeError, RecursionError):
            store.replay(list(records_of(data))[1:])
        return store

    def replay(self, records: list[bytes]) -> None:
        """Replays the changes of a file's later records.

        Raises DecodeError or RecursionError for a record that cannot be decoded.
        """
        for record in records:
            step, previous = DECODE_CHANGE(record), self.pending
            if previous is not None and previous.digest_after == step.change.digest_before:
                self.commit(previous.version, previous.digest_after)
            if not self.propose(step.term, step.change):
                break
