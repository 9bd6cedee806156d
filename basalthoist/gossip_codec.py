"""Gossip between nodes as bytes: the one codec, for sockets and for the simulation bench.

A byte with the version, then three bytes a message: the backend's key in two, and the requests in flight
there in quarters, of which the three highest values stand for the kinds of message without such a figure.
"""

from .decisions.interface import GossipKind, GossipMessage

VERSION = 1
MAX_DATAGRAM_BYTES = 256
MESSAGE_BYTES = 3
MAX_IN_FLIGHT_QUARTERS = 252  # quarters of a request
KIND_CODES = {GossipKind.ANSWERED: 253, GossipKind.SENT: 254, GossipKind.EJECTED: 255}
KINDS_BY_CODE = {code: kind for kind, code in KIND_CODES.items()}


def encode(messages: list[GossipMessage]) -> bytes:
    """As many of `messages`, from the first on, as one datagram holds."""
    data = bytearray((VERSION,))
    for kind, key, quarters in messages[: (MAX_DATAGRAM_BYTES - 1) // MESSAGE_BYTES]:
        code = KIND_CODES.get(kind, min(max(quarters, 0), MAX_IN_FLIGHT_QUARTERS))
        data += bytes((key >> 8, key & 255, code))
    return bytes(data)


def decode(data: bytes) -> list[GossipMessage]:
    """Raises ValueError for what no node of this version has written."""
    if not data or data[0] != VERSION or len(data) % MESSAGE_BYTES != 1 or len(data) > MAX_DATAGRAM_BYTES:
        raise ValueError("not of this version or length")
    return [decode_message(data, at) for at in range(1, len(data), MESSAGE_BYTES)]


def decode_message(data: bytes, at: int) -> GossipMessage:
    """The message of which the first byte is at `at`."""
    key, code = data[at] << 8 | data[at + 1], data[at + 2]
    kind = KINDS_BY_CODE.get(code, GossipKind.IN_FLIGHT)
    return GossipMessage(kind, key, code if kind == GossipKind.IN_FLIGHT else 0)
