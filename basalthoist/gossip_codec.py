"""Codec of the gossip between nodes, for sockets and for the simulator.

A datagram is one byte with the version, then three bytes per message: the backend's key in two bytes, and
one byte with the requests in flight in quarters. The three highest values of that byte encode the kinds of
message that have no such number.
"""

from .decisions.interface import GossipKind, GossipMessage

VERSION = 1
MAX_DATAGRAM_BYTES = 256
MESSAGE_BYTES = 3
MAX_IN_FLIGHT_QUARTERS = 252
KIND_CODES = {GossipKind.ANSWERED: 253, GossipKind.SENT: 254, GossipKind.EJECTED: 255}
KINDS_BY_CODE = {code: kind for kind, code in KIND_CODES.items()}


def encode(messages: list[GossipMessage]) -> bytes:
    """Encodes as many of `messages`, from the first on, as fit into one datagram."""
    data = bytearray((VERSION,))
    for kind, key, quarters in messages[: (MAX_DATAGRAM_BYTES - 1) // MESSAGE_BYTES]:
        code = KIND_CODES.get(kind, min(max(quarters, 0), MAX_IN_FLIGHT_QUARTERS))
        data += bytes((key >> 8, key & 255, code))
    return bytes(data)


def decode(data: bytes) -> list[GossipMessage]:
    """Decodes a datagram. Raises ValueError if its version or its length is wrong."""
    if not data or data[0] != VERSION or len(data) % MESSAGE_BYTES != 1 or len(data) > MAX_DATAGRAM_BYTES:
        raise ValueError(
            f"expected version {VERSION} and {MESSAGE_BYTES} bytes per message,"
            f" at most {MAX_DATAGRAM_BYTES} bytes in all; got {len(data)} bytes that start with {data[:1]!r}"
        )
    return [decode_message(data, at) for at in range(1, len(data), MESSAGE_BYTES)]


def decode_message(data: bytes, at: int) -> GossipMessage:
    """Decodes the message that starts at offset `at`."""
    key, code = data[at] << 8 | data[at + 1], data[at + 2]
    kind = KINDS_BY_CODE.get(code, GossipKind.IN_FLIGHT)
    return GossipMessage(kind, key, code if kind == GossipKind.IN_FLIGHT else 0)
