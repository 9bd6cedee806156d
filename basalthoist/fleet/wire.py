"""The fleet's messages as datagrams: MessagePack after a keyed checksum.

The key is the digest of the fleet's file, so that a datagram of another fleet, or of a node with other voters
or bounds, is dropped like a corrupt one. Each message is sent in an envelope that names the sender, the
recipient and the incarnations of both.

All messages are arrays on the wire: the order of the fields is part of the protocol, their names are not.
Times are whole tenths of a millisecond on one node's clock; fields such as `echo` return a time to that node.
"""

from enum import IntEnum
from typing import NamedTuple

import msgspec

from basalthoist.message_envelope import CHECKSUM_BYTES, MessageError, open_sealed, seal

from .verdicts import Verdict

MAX_DATAGRAM_BYTES = 1400


class MemberState(IntEnum):
    """A member's state in the membership protocol. Of two updates with equal refutations, the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2


class MemberUpdate(NamedTuple):
    """A gossiped update on the state of one member (SWIM)."""

    name: str
    incarnation: int
    refutations: int  # number of suspicions that the member has refuted in this incarnation
    state: MemberState


class HandshakeRequest(msgspec.Struct, array_like=True, tag=0):
    """Requests the recipient's current incarnation, the only one that can still answer."""

    nonce: int


class HandshakeReply(msgspec.Struct, array_like=True, tag=1):
    """Answers a handshake request. The incarnation is in the envelope."""

    nonce: int


class VoteRequest(msgspec.Struct, array_like=True, tag=2):
    """A candidate's request for a voter's promise."""

    term: int
    sent_at: int  # on the candidate's clock


class Vote(msgspec.Struct, array_like=True, tag=3):
    """A voter's promise to a candidate, with the state of the voter's stored verdict set."""

    term: int
    requested_at: int  # `sent_at` of the request
    stored_term: int
    version: int
    digest: bytes
    intact: bool  # whether the voter still has everything that it acknowledged


class VoteRefused(msgspec.Struct, array_like=True, tag=4):
    """A voter's refusal: its promise to another candidate or leader runs, or it requires a higher term."""

    term: int  # the lowest term that the voter accepts
    remaining: int  # how long the voter's promise still runs


class VoteReleased(msgspec.Struct, array_like=True, tag=5):
    """Notice from a candidate that it has withdrawn and will not use this term again."""

    term: int


class Heartbeat(msgspec.Struct, array_like=True, tag=6):
    """The leader's proposal and committed version, with its response to the recipient's latest reply."""

    term: int
    sent_at: int  # on the leader's clock
    version: int
    digest: bytes
    committed: int  # -1: not known yet in this term
    echo: int  # `sent_at` of the recipient's latest reply
    confirmed: bool  # whether that reply showed that the recipient applies the committed version
    grants: list[tuple[int, float]] | None = None  # rates by limit; None: grants are not decided yet


class HeartbeatReply(msgspec.Struct, array_like=True, tag=7):
    """A node's reply to a heartbeat."""

    term: int
    heartbeat_sent_at: int  # `sent_at` of the heartbeat
    stored_version: int  # -1: the node has not stored a proposal of this term
    applied_version: int
    sent_at: int  # on the replying node's clock
    voting: bool  # whether the reply renews a voter's promise; false for a while after the voter's start
    intact: bool  # whether the voter still has everything that it acknowledged
    outliers: list[str] = []  # backends that this node has ejected by its own detection
    demand: list[tuple[int, float]] = []  # requested rates by limit
    returns_grants: bool = False  # the node uses no grant until a later reply
    lends: bool = False  # the node does not use its guaranteed rate for the duration of a loan


class SetRequest(msgspec.Struct, array_like=True, tag=8):
    """Requests a verdict set, or the chunks of it that are missing."""

    version: int
    digest: bytes
    known: list[bytes]  # digests of the sets that a delta may build on
    chunks: list[int]


class SetDelta(msgspec.Struct, array_like=True, tag=9):
    """The changes from one verdict set to a later one."""

    term: int
    version: int
    digest: bytes
    base: bytes  # digest of the set to which the changes are applied
    steps: list[list[Verdict]]  # one list for each version


class SetChunk(msgspec.Struct, array_like=True, tag=10):
    """One chunk of a snapshot of a verdict set."""

    version: int
    digest: bytes
    index: int
    count: int
    data: bytes


class OperatorCall(msgspec.Struct, array_like=True, tag=11):
    """An operator's call, forwarded to the leader. A call without changes requests the status."""

    call_id: int
    changes: list[Verdict]
    remaining: int  # how long the sender still waits for an answer


class OperatorReply(msgspec.Struct, array_like=True, tag=12):
    """The leader's answer to an operator's call."""

    call_id: int
    text: str


class Ping(msgspec.Struct, array_like=True, tag=13):
    """A probe. If `target` is another member, the recipient is requested to probe that member."""

    number: int
    target: str
    updates: list[MemberUpdate]


class Ack(msgspec.Struct, array_like=True, tag=14):
    """The answer to a probe of `target`."""

    number: int
    target: str
    updates: list[MemberUpdate]


Message = (
    HandshakeRequest
    | HandshakeReply
    | VoteRequest
    | Vote
    | VoteRefused
    | VoteReleased
    | Heartbeat
    | HeartbeatReply
    | SetRequest
    | SetDelta
    | SetChunk
    | OperatorCall
    | OperatorReply
    | Ping
    | Ack
)


class Envelope(msgspec.Struct, array_like=True):
    """A message with the names and incarnations of its sender and recipient."""

    sender: str
    incarnation: int
    recipient: str
    recipient_incarnation: int
    message: Message


ENCODE = msgspec.msgpack.Encoder().encode
DECODER = msgspec.msgpack.Decoder(Envelope)


def encode(key: bytes, envelope: Envelope) -> bytes:
    """Returns the datagram. Raises MessageError if the envelope does not fit into one."""
    data = seal(key, ENCODE(envelope))
    if len(data) > MAX_DATAGRAM_BYTES:
        raise MessageError(
            f"{type(envelope.message).__name__} of {len(data) - CHECKSUM_BYTES} bytes, "
            f"at most {MAX_DATAGRAM_BYTES - CHECKSUM_BYTES} fit in a datagram"
        )
    return data


def decode(key: bytes, data: bytes) -> Envelope:
    """Returns the envelope. Raises MessageError for a datagram not sent by a node with this fleet's file."""
    if not CHECKSUM_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
        # The length received is left out: callers log each reason once.
        raise MessageError(f"expected {CHECKSUM_BYTES + 1} to {MAX_DATAGRAM_BYTES} bytes")
    return open_sealed(key, data, DECODER)
