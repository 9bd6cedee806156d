"""The fleet's verdicts: one set, whole at each version, with the changes that led to it."""

from collections import deque
from hashlib import blake2b
from typing import Literal

import msgspec

Kind = Literal["ban", "sick", "customer", "quota", "head"]  # head: of distribution/, docs/distribution.md
KEPT = 64  # changes of so many versions are kept for those that are behind
PIECE = 1024  # bytes of a whole set in a datagram
WINDOW = 16  # pieces asked for at once


class Verdict(msgspec.Struct, frozen=True, array_like=True):
    """`on` False takes back what stands under its kind and subject. `lasts_s` 0: until it is taken back."""

    kind: Kind
    subject: str
    on: bool = True
    figure: float = 0.0  # quota: exchanges a second over the fleet
    who: str = ""
    why: str = ""
    lasts_s: float = 0.0


ENCODE = msgspec.msgpack.Encoder().encode
DECODE = msgspec.msgpack.Decoder(list[Verdict]).decode


def digest_of(version: int, data: bytes) -> bytes:
    return blake2b(data, digest_size=16, salt=version.to_bytes(16, "big")).digest()


class Held:
    """A set of verdicts at a version, and the ballot under which it was proposed. It never changes."""

    __slots__ = ("ballot", "version", "verdicts", "data", "digest")

    def __init__(self, ballot: int, version: int, verdicts: dict[tuple[str, str], Verdict]) -> None:
        self.ballot, self.version, self.verdicts = ballot, version, verdicts
        self.data = ENCODE([verdicts[key] for key in sorted(verdicts)])
        self.digest = digest_of(version, self.data)

    def under(self, ballot: int) -> "Held":
        """The same, proposed anew."""
        made = Held.__new__(Held)
        made.ballot, made.version, made.verdicts = ballot, self.version, self.verdicts
        made.data, made.digest = self.data, self.digest
        return made

    def changed(self, ballot: int, changes: list[Verdict]) -> "Held":
        verdicts = dict(self.verdicts)
        for change in changes:
            if change.on:
                verdicts[change.kind, change.subject] = change
            else:
                verdicts.pop((change.kind, change.subject), None)
        return Held(ballot, self.version + 1, verdicts)

    def news(self, changes: list[Verdict]) -> list[Verdict]:
        """Those of the changes, one after the other, that change anything. Who asks again is no change."""
        fresh, verdicts = [], dict(self.verdicts)
        for change in changes:
            key = change.kind, change.subject
            before = verdicts.get(key)
            same = before is not None and before.figure == change.figure and before.lasts_s == change.lasts_s
            if not same if change.on else before is not None:
                fresh.append(change)
                verdicts[key] = change if change.on else None
        return fresh

    def order(self) -> tuple[int, int]:
        return self.ballot, self.version

    def pieces(self) -> int:
        return max(-(-len(self.data) // PIECE), 1)

    def piece(self, index: int) -> bytes:
        return self.data[index * PIECE : (index + 1) * PIECE]


def whole(ballot: int, version: int, digest: bytes, data: bytes) -> Held | None:
    """A set from its bytes, or None where they are not what the digest says. Nothing of it counts before."""
    if digest_of(version, data) != digest:
        return None
    try:
        verdicts = DECODE(data)
    except msgspec.DecodeError:
        return None
    made = Held(ballot, version, {(v.kind, v.subject): v for v in verdicts})
    return made if made.digest == digest else None


class Trail:
    """The last changes, each with the digests before and after: what one that is behind can be given."""

    def __init__(self) -> None:
        self.steps: deque[tuple[int, bytes, bytes, list[Verdict]]] = deque(maxlen=KEPT)

    def add(self, before: Held, after: Held, changes: list[Verdict]) -> None:
        if self.steps and self.steps[-1][2] != before.digest:
            self.steps.clear()
        self.steps.append((after.version, before.digest, after.digest, changes))

    def since(self, digest: bytes, until: bytes) -> list[list[Verdict]] | None:
        """The changes of each version from that digest to the other one, or None."""
        found = None
        for _, before, after, changes in self.steps:
            if before == digest:
                found = []
            if found is not None:
                found.append(changes)
                if after == until:
                    return found
        return None


class Fetch:
    """A whole set that comes in pieces, in any order and perhaps twice."""

    def __init__(self, version: int, digest: bytes, source: str) -> None:
        self.version, self.digest, self.source = version, digest, source
        self.parts: dict[int, bytes] = {}
        self.count, self.asked_at = 0, -(1 << 60)

    def missing(self) -> list[int]:
        return [i for i in range(self.count) if i not in self.parts][:WINDOW]

    def take(self, index: int, count: int, data: bytes, ballot: int) -> Held | None:
        """The set once it is whole and sound. A piece that does not fit in begins it anew."""
        if count < 1 or count > 4096 or not 0 <= index < count or len(data) > PIECE:
            return None
        if count != self.count:
            self.parts, self.count = {}, count
        self.parts[index] = data
        if len(self.parts) < count:
            return None
        made = whole(ballot, self.version, self.digest, b"".join(self.parts[i] for i in range(count)))
        if made is None:
            # Guards against one damaged piece among many: all are asked for again.
            self.parts = {}
        return made
