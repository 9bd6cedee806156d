"""The fleet's verdicts: a set with a version, snapshots of it, and the changelog between versions."""

from collections import deque
from hashlib import blake2b
from typing import Literal, NamedTuple

import msgspec

from .bounds import DISTANT_PAST

VerdictKind = Literal["ban", "sick", "customer", "quota", "head"]
BAN: VerdictKind = "ban"  # an operator has banned the backend
OUTLIER: VerdictKind = "sick"  # several nodes have detected the backend as an outlier
TENANT_BAN: VerdictKind = "customer"  # an operator has banned the tenant
QUOTA: VerdictKind = "quota"  # an operator has set the tenant's rate
HEAD: VerdictKind = "head"  # the latest version of the catalogue, see docs/distribution.md

CHANGELOG_VERSIONS = 64
CHUNK_BYTES = 1024
MAX_CHUNKS_PER_SNAPSHOT = 4096
MAX_CHUNKS_PER_REQUEST = 16
DIGEST_BYTES = 16

VerdictKey = tuple[VerdictKind, str]  # kind and subject


class Verdict(msgspec.Struct, frozen=True, array_like=True):
    """One verdict, or its removal. Encoded as an array, so the order of the fields is part of the format."""

    kind: VerdictKind
    subject: str
    on: bool = True  # False removes the verdict with this kind and subject
    figure: float = 0.0  # for a quota: requests per second over the fleet
    who: str = ""  # the nodes that made or reported the verdict
    why: str = ""
    duration_s: float = 0.0  # 0: until the verdict is removed


ENCODE = msgspec.msgpack.Encoder().encode
DECODE = msgspec.msgpack.Decoder(list[Verdict]).decode


def digest_of(version: int, data: bytes) -> bytes:
    """Returns the digest of an encoded set at a version."""
    return blake2b(data, digest_size=DIGEST_BYTES, salt=version.to_bytes(16, "big")).digest()


class VerdictSet:
    """An immutable set of verdicts, with its version and the term in which it was proposed."""

    __slots__ = ("term", "version", "verdicts", "data", "digest")

    def __init__(self, term: int, version: int, verdicts: dict[VerdictKey, Verdict]) -> None:
        self.term: int = term
        self.version: int = version
        self.verdicts: dict[VerdictKey, Verdict] = verdicts
        self.data: bytes = ENCODE([verdicts[key] for key in sorted(verdicts)])
        self.digest: bytes = digest_of(version, self.data)

    def in_term(self, term: int) -> "VerdictSet":
        """Returns the same set, as proposed in another term."""
        copy = VerdictSet.__new__(VerdictSet)
        copy.term = term
        copy.version = self.version
        copy.verdicts = self.verdicts
        copy.data = self.data
        copy.digest = self.digest
        return copy

    def with_changes(self, term: int, changes: list[Verdict]) -> "VerdictSet":
        """Returns the next version, with these changes."""
        verdicts = dict(self.verdicts)
        for change in changes:
            if change.on:
                verdicts[change.kind, change.subject] = change
            else:
                verdicts.pop((change.kind, change.subject), None)
        return VerdictSet(term, self.version + 1, verdicts)

    def effective(self, changes: list[Verdict]) -> list[Verdict]:
        """Returns those changes that have an effect when they are applied in order; repeats are left out."""
        found = []
        verdicts: dict[VerdictKey, Verdict | None] = dict(self.verdicts)
        for change in changes:
            key = change.kind, change.subject
            if is_effective(verdicts.get(key), change):
                found.append(change)
                verdicts[key] = change if change.on else None
        return found

    def order(self) -> tuple[int, int]:
        """Returns the key for comparing sets: the set with the higher key replaces the other."""
        return self.term, self.version

    def chunk_count(self) -> int:
        """Returns the number of chunks of the snapshot."""
        return max(-(-len(self.data) // CHUNK_BYTES), 1)

    def chunk(self, index: int) -> bytes:
        """Returns one chunk of the snapshot."""
        return self.data[index * CHUNK_BYTES : (index + 1) * CHUNK_BYTES]


def is_effective(before: Verdict | None, change: Verdict) -> bool:
    """Returns whether the change has an effect on `before`, the verdict with the same key, or None."""
    if not change.on:
        return before is not None
    return before is None or before.figure != change.figure or before.duration_s != change.duration_s


def decode_set(term: int, version: int, digest: bytes, data: bytes) -> VerdictSet | None:
    """Returns the set encoded in `data`, or None if `data` does not match the digest or cannot be decoded."""
    if digest_of(version, data) != digest:
        return None
    try:
        verdicts = DECODE(data)
    except msgspec.DecodeError:
        return None
    decoded = VerdictSet(term, version, {(verdict.kind, verdict.subject): verdict for verdict in verdicts})
    return decoded if decoded.digest == digest else None


class ChangelogEntry(NamedTuple):
    """The changes that led to one version."""

    before: bytes  # digest of the previous version
    after: bytes  # digest of the new version
    changes: list[Verdict]


class Changelog:
    """The changes of the last versions, which a replica that is behind can receive instead of a snapshot."""

    def __init__(self) -> None:
        self.entries: deque[ChangelogEntry] = deque(maxlen=CHANGELOG_VERSIONS)

    def add(self, before: VerdictSet, after: VerdictSet, changes: list[Verdict]) -> None:
        """Adds a version. Drops all entries if `before` is not the last version in the changelog."""
        if self.entries and self.entries[-1].after != before.digest:
            self.entries.clear()
        self.entries.append(ChangelogEntry(before.digest, after.digest, changes))

    def between(self, base: bytes, target: bytes) -> list[list[Verdict]] | None:
        """Returns the changes of each version from one digest to the other, or None if they are not here."""
        found: list[list[Verdict]] | None = None
        for entry in self.entries:
            if entry.before == base:
                found = []
            if found is not None:
                found.append(entry.changes)
                if entry.after == target:
                    return found
        return None


class SnapshotFetch:
    """A snapshot being fetched. Its chunks may arrive in any order, and more than once."""

    def __init__(self, version: int, digest: bytes, source: str) -> None:
        self.version: int = version
        self.digest: bytes = digest
        self.source: str = source
        self.chunks: dict[int, bytes] = {}
        self.count: int = 0  # 0: not known yet
        self.requested_at: int = DISTANT_PAST

    def missing(self) -> list[int]:
        """Returns the indexes of the chunks to request next."""
        return [index for index in range(self.count) if index not in self.chunks][:MAX_CHUNKS_PER_REQUEST]

    def add(self, index: int, count: int, data: bytes, term: int) -> VerdictSet | None:
        """Adds a chunk. Returns the set if it is complete. A chunk with another count restarts the fetch."""
        if not 1 <= count <= MAX_CHUNKS_PER_SNAPSHOT or not 0 <= index < count or len(data) > CHUNK_BYTES:
            return None
        if count != self.count:
            self.chunks, self.count = {}, count
        self.chunks[index] = data
        if len(self.chunks) < count:
            return None
        complete = b"".join(self.chunks[index] for index in range(count))
        decoded = decode_set(term, self.version, self.digest, complete)
        if decoded is None:
            # The digest does not show which chunk is corrupt, so all are requested again.
            self.chunks = {}
        return decoded
