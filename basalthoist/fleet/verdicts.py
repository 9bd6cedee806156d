"""The fleet's verdicts: one set, complete at each version, with the changes that led to it."""

from collections import deque
from hashlib import blake2b
from typing import Literal, NamedTuple

import msgspec

from .bounds import DISTANT_PAST

VerdictKind = Literal["ban", "sick", "customer", "quota", "head"]
BAN: VerdictKind = "ban"  # an operator has taken the backend out
OUTLIER: VerdictKind = "sick"  # several nodes have detected the backend as an outlier
TENANT_BAN: VerdictKind = "customer"  # an operator has shut the tenant out
QUOTA: VerdictKind = "quota"  # an operator has set the tenant's rate
HEAD: VerdictKind = "head"  # of the catalogue, see docs/distribution.md

CHANGELOG_VERSIONS = 64
CHUNK_BYTES = 1024
MAX_CHUNKS = 4096  # of a snapshot
CHUNK_WINDOW = 16  # chunks that are asked for at once
DIGEST_BYTES = 16

VerdictKey = tuple[VerdictKind, str]  # kind and subject


class Verdict(msgspec.Struct, frozen=True, array_like=True):
    """One verdict, or its removal. The fields' order is its form on the wire and in files."""

    kind: VerdictKind
    subject: str
    on: bool = True  # False takes back what stands under this kind and subject
    figure: float = 0.0  # of a quota: requests a second over the fleet
    who: str = ""
    why: str = ""
    duration_s: float = 0.0  # 0: until it is taken back


ENCODE = msgspec.msgpack.Encoder().encode
DECODE = msgspec.msgpack.Decoder(list[Verdict]).decode


def digest_of(version: int, data: bytes) -> bytes:
    """The digest of an encoded set at a version."""
    return blake2b(data, digest_size=DIGEST_BYTES, salt=version.to_bytes(16, "big")).digest()


class VerdictSet:
    """A set of verdicts at a version, and the term in which it was proposed. It is immutable."""

    __slots__ = ("term", "version", "verdicts", "data", "digest")

    def __init__(self, term: int, version: int, verdicts: dict[VerdictKey, Verdict]) -> None:
        self.term: int = term
        self.version: int = version
        self.verdicts: dict[VerdictKey, Verdict] = verdicts
        self.data: bytes = ENCODE([verdicts[key] for key in sorted(verdicts)])
        self.digest: bytes = digest_of(version, self.data)

    def in_term(self, term: int) -> "VerdictSet":
        """The same set, proposed anew."""
        copy = VerdictSet.__new__(VerdictSet)
        copy.term = term
        copy.version = self.version
        copy.verdicts = self.verdicts
        copy.data = self.data
        copy.digest = self.digest
        return copy

    def with_changes(self, term: int, changes: list[Verdict]) -> "VerdictSet":
        """The next version, with these changes."""
        verdicts = dict(self.verdicts)
        for change in changes:
            if change.on:
                verdicts[change.kind, change.subject] = change
            else:
                verdicts.pop((change.kind, change.subject), None)
        return VerdictSet(term, self.version + 1, verdicts)

    def effective(self, changes: list[Verdict]) -> list[Verdict]:
        """Those of the changes, one after the other, that change anything. Who asks again is no change."""
        found = []
        verdicts: dict[VerdictKey, Verdict | None] = dict(self.verdicts)
        for change in changes:
            key = change.kind, change.subject
            if is_effective(verdicts.get(key), change):
                found.append(change)
                verdicts[key] = change if change.on else None
        return found

    def order(self) -> tuple[int, int]:
        """By which sets are compared: the later one replaces the earlier one."""
        return self.term, self.version

    def chunk_count(self) -> int:
        """How many chunks a snapshot has."""
        return max(-(-len(self.data) // CHUNK_BYTES), 1)

    def chunk(self, index: int) -> bytes:
        """One chunk of the snapshot."""
        return self.data[index * CHUNK_BYTES : (index + 1) * CHUNK_BYTES]


def is_effective(before: Verdict | None, change: Verdict) -> bool:
    """Whether the change makes a difference to the verdict that stands under its key."""
    if not change.on:
        return before is not None
    return before is None or before.figure != change.figure or before.duration_s != change.duration_s


def decode_set(term: int, version: int, digest: bytes, data: bytes) -> VerdictSet | None:
    """A set from its encoded form, or None where that is not what the digest says."""
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

    before: bytes  # digest
    after: bytes  # digest
    changes: list[Verdict]


class Changelog:
    """The last changes: what a replica that is behind can be given in place of a snapshot."""

    def __init__(self) -> None:
        self.entries: deque[ChangelogEntry] = deque(maxlen=CHANGELOG_VERSIONS)

    def add(self, before: VerdictSet, after: VerdictSet, changes: list[Verdict]) -> None:
        """Records a version."""
        if self.entries and self.entries[-1].after != before.digest:
            self.entries.clear()
        self.entries.append(ChangelogEntry(before.digest, after.digest, changes))

    def between(self, base: bytes, target: bytes) -> list[list[Verdict]] | None:
        """The changes of each version from one digest to the other, or None."""
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
    """A snapshot that comes in chunks, in any order and perhaps twice."""

    def __init__(self, version: int, digest: bytes, source: str) -> None:
        self.version: int = version
        self.digest: bytes = digest
        self.source: str = source
        self.chunks: dict[int, bytes] = {}
        self.count: int = 0  # 0: not known yet
        self.requested_at: int = DISTANT_PAST

    def missing(self) -> list[int]:
        """The chunks to ask for next."""
        return [index for index in range(self.count) if index not in self.chunks][:CHUNK_WINDOW]

    def add(self, index: int, count: int, data: bytes, term: int) -> VerdictSet | None:
        """The set, once it is complete. A chunk of another count begins it anew."""
        if not 1 <= count <= MAX_CHUNKS or not 0 <= index < count or len(data) > CHUNK_BYTES:
            return None
        if count != self.count:
            self.chunks, self.count = {}, count
        self.chunks[index] = data
        if len(self.chunks) < count:
            return None
        complete = b"".join(self.chunks[index] for index in range(count))
        decoded = decode_set(term, self.version, self.digest, complete)
        if decoded is None:
            # Guards against one damaged chunk among many: all are asked for again.
            self.chunks = {}
        return decoded
