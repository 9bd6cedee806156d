"""A keyed checksum before an encoded message: detects corruption and messages of other fleets."""

from hashlib import blake2b
from typing import TypeVar

import msgspec

CHECKSUM_BYTES = 8

MessageT = TypeVar("MessageT")


class MessageError(ValueError):
    """A message that cannot be sent, or that was not written by a process of this fleet."""


def seal(key: bytes, payload: bytes) -> bytes:
    """Returns the checksum followed by `payload`."""
    return blake2b(payload, digest_size=CHECKSUM_BYTES, key=key).digest() + payload


def open_sealed(key: bytes, sealed: bytes, decoder: msgspec.msgpack.Decoder[MessageT]) -> MessageT:
    """Returns the message in `sealed`. Raises MessageError for a wrong checksum or an unknown format."""
    checksum, payload = sealed[:CHECKSUM_BYTES], sealed[CHECKSUM_BYTES:]
    if blake2b(payload, digest_size=CHECKSUM_BYTES, key=key).digest() != checksum:
        raise MessageError(
            "wrong checksum: damaged, or of another fleet, or of a node with another fleet file"
        )
    try:
        return decoder.decode(payload)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MessageError(f"payload cannot be decoded, perhaps of another version: {error}") from None
