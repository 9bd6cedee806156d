"""The catalogue: what nodes are told, as entries with a scope, at a version, with a digest that adds up."""

from hashlib import blake2b
from typing import Literal

import msgspec

Kind = Literal["service", "route", "tenant", "backends", "limit", "verdict", "relay"]
MODULUS = 1 << 256


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


ENCODE = msgspec.msgpack.Encoder(order="sorted").encode


def weight_of(entry: Entry) -> int:
    """What an entry adds to a digest (Bellare and Micciancio 1997). Tenants stand apart: see `Digests`."""
    return int.from_bytes(blake2b(ENCODE(entry), digest_size=32).digest(), "big")


def as_bytes(total: int) -> bytes:
    return (total % MODULUS).to_bytes(32, "big")
