"""The messages between leader, relays and nodes on a stream: MessagePack behind a length and a checksum.

The checksum is keyed by the fleet's name: a message of another fleet counts as damaged and ends the
connection. Times are the sender's own, whole tenths of a millisecond, and only ever come back to it. On the
wire a message is an array: the order of its fields is its form, their names are free.
"""

from hashlib import blake2b

import msgspec

from basalthoist.message_envelope import CHECKSUM_BYTES, MessageError, open_sealed, seal

from .catalogue import Change, Entry

LENGTH_BYTES = 4  # of the length before a frame
MAX_FRAME_BYTES = 64 * 1024 * 1024  # a snapshot of everything
OperatorCallVersion = tuple[str, int, int]  # the caller's name, the call's id, the version that it became


class HandshakeRequest(msgspec.Struct, array_like=True, tag=0):
    """First on a connection, from whoever opens it. `role`: "node", or "relay" for a store.

    `version` and `digest` are those of the entries that it has, of its scopes, without tenants on demand.
    """

    name: str
    incarnation: int
    role: str
    region: str
    scopes: list[str]  # of a node; a relay has all
    version: int
    digest: bytes
    knows_tenants: bool = False  # it has the filter of tenants' names as of that version


class HandshakeReply(msgspec.Struct, array_like=True, tag=1):
    """The session is accepted."""

    name: str
    incarnation: int


class Redirect(msgspec.Struct, array_like=True, tag=2):
    """Not here, or not yet: come back after so many tenths of a millisecond, or try these relays first."""

    retry_after: int
    relays: list[str]
    reason: str


class Snapshot(msgspec.Struct, array_like=True, tag=3):
    """All entries of the scopes asked for, at a version; what is not in it does not exist."""

    version: int
    digest: bytes
    entries: list[Entry]
    calls: list[OperatorCallVersion] = []  # to stores: the latest operators' calls


class Delta(msgspec.Struct, array_like=True, tag=4):
    """What changed for this subscriber from one version to another: the last entry of each key.

    To a node a tenant's entry only says whether the tenant exists; its body goes by TenantUpdate.
    """

    base_version: int
    version: int
    digest: bytes  # of what the subscriber has after it, without tenants on demand
    entries: list[Entry]
    calls: list[OperatorCallVersion] = []


class TenantFilter(msgspec.Struct, array_like=True, tag=5):
    """Which tenants exist: a Bloom filter as of a version, in place of all names that came before."""

    version: int
    bits: bytes
    hashes: int


class TenantDemand(msgspec.Struct, array_like=True, tag=6):
    """Tenants whose entries a node wants from now on, and those that it no longer needs."""

    requested: list[str]
    released: list[str]


class TenantUpdate(msgspec.Struct, array_like=True, tag=7):
    """In reply to a demand, and as they change: an entry with `on` false is a tenant that does not exist."""

    version: int
    entries: list[Entry]


class Heartbeat(msgspec.Struct, array_like=True, tag=8):
    """The version acted on here. From a relay also the oldest version that any of its nodes may act on."""

    sent_at: int
    version: int
    digest: bytes
    oldest_version: int = -1
    nodes: int = 0  # connected here, with a view that lets them act
    inactive_nodes: int = 0  # connected here, and may not act until they are up to date
    pending_version: int = -1  # of the change in the store that may not be committed yet
    term: int = 0  # in which that change was proposed
    redirected_nodes: int = 0  # sent on lately because there are enough here


class HeartbeatReply(msgspec.Struct, array_like=True, tag=9):
    """Confirms a view. `sent_at` is the heartbeat's own; `age` that of the replier's view at this moment."""

    sent_at: int
    version: int
    digest: bytes
    age: int
    term: int = 0
    max_sessions: int = 0  # of a relay; 0: as many as come


class Proposal(msgspec.Struct, array_like=True, tag=10):
    """From the leader to stores: a change to keep, which is not committed yet."""

    term: int
    change: Change


class CommitNotice(msgspec.Struct, array_like=True, tag=11):
    """From the leader: the change of this version and digest is committed."""

    term: int
    version: int
    digest: bytes


class ResyncRequest(msgspec.Struct, array_like=True, tag=12):
    """Something is missing here, or fails its digest: send what came after this version, or all (-1)."""

    version: int


class OperatorCall(msgspec.Struct, array_like=True, tag=13):
    """An operator's change, passed on to the leader. Without entries it asks for the status."""

    call_id: int
    entries: list[Entry]
    timeout: int


class OperatorReply(msgspec.Struct, array_like=True, tag=14):
    """What became of an operator's call."""

    call_id: int
    text: str


Message = (
    HandshakeRequest
    | HandshakeReply
    | Redirect
    | Snapshot
    | Delta
    | TenantFilter
    | TenantDemand
    | TenantUpdate
    | Heartbeat
    | HeartbeatReply
    | Proposal
    | CommitNotice
    | ResyncRequest
    | OperatorCall
    | OperatorReply
)

ENCODE = msgspec.msgpack.Encoder().encode
DECODER = msgspec.msgpack.Decoder(Message)


class EncodedMessage:
    """A message that goes to many receivers, encoded once. Its length is that of the payload, in bytes."""

    def __init__(self, message: Message) -> None:
        self.message = message
        self.data: bytes = ENCODE(message)

    def __len__(self) -> int:
        return len(self.data)


def key_of(fleet: str) -> bytes:
    """The key of the checksums in the fleet of that name."""
    return blake2b(fleet.encode(), digest_size=16, person=b"distribution").digest()


def encode(key: bytes, message: Message | EncodedMessage) -> bytes:
    """The frame of a message. Raises MessageError for one that no receiver takes."""
    payload = message.data if type(message) is EncodedMessage else ENCODE(message)
    sealed = seal(key, payload)
    if len(sealed) > MAX_FRAME_BYTES:
        raise MessageError(f"{type(message).__name__} of {len(payload)} bytes")
    return len(sealed).to_bytes(LENGTH_BYTES, "big") + sealed


class FrameDecoder:
    """Cuts a stream into messages; `max_frame_bytes` may be changed as the sender becomes known."""

    def __init__(self, key: bytes, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self.key = key
        self.max_frame_bytes = max_frame_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """The messages that are complete. Raises MessageError for what no process of this fleet has sent."""
        self.buffer += data
        messages, position = [], 0
        while len(self.buffer) - position >= LENGTH_BYTES:
            start = position + LENGTH_BYTES
            length = int.from_bytes(self.buffer[position:start], "big")
            # Guards against a length that no message has: all of it would be waited for.
            if not CHECKSUM_BYTES < length <= self.max_frame_bytes:
                raise MessageError(f"a frame of {length} bytes")
            if len(self.buffer) < start + length:
                break
            messages.append(open_sealed(self.key, bytes(self.buffer[start : start + length]), DECODER))
            position = start + length
        del self.buffer[:position]
        return messages
