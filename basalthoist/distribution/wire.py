"""The messages between leader, relays and nodes on a stream: MessagePack after a length and a checksum.

The checksum is keyed with the fleet's name: a message of another fleet counts as damaged and ends the
connection. Times are whole tenths of a millisecond on the sender's clock, and only the sender uses them.
A message is encoded as an array: the order of its fields is fixed, their names are not sent.
"""

from hashlib import blake2b

import msgspec

from basalthoist.message_envelope import CHECKSUM_BYTES, MessageError, open_sealed, seal

from .catalogue import Change, Entry

LENGTH_BYTES = 4  # the size of the length prefix of a frame
MAX_FRAME_BYTES = 64 * 1024 * 1024  # enough for a snapshot of the whole catalogue
OperatorCallVersion = tuple[str, int, int]  # the caller's name, the call's id, the version


class HandshakeRequest(msgspec.Struct, array_like=True, tag=0):
    """The first message on a connection, from the peer that opened it.

    `role` is "node", or "relay" for the store of a relay process. `version` and `digest` are those of the
    sender's entries; those of a node leave out tenants, which it gets on demand.
    """

    name: str
    incarnation: int
    role: str
    region: str
    scopes: list[str]  # the scopes of a node; empty from a relay, which has all
    version: int
    digest: bytes
    knows_tenants: bool = False  # the node has the filter of tenants' names as of this version


class HandshakeReply(msgspec.Struct, array_like=True, tag=1):
    """Accepts the session."""

    name: str
    incarnation: int


class Redirect(msgspec.Struct, array_like=True, tag=2):
    """Rejects the session: the peer is to retry after `retry_after`, or to try `relays` first."""

    retry_after: int
    relays: list[str]
    reason: str


class Snapshot(msgspec.Struct, array_like=True, tag=3):
    """All entries of the subscriber's scopes at a version; entries that are not in it do not exist."""

    version: int
    digest: bytes
    entries: list[Entry]
    calls: list[OperatorCallVersion] = []  # the latest committed calls; sent only to stores


class Delta(msgspec.Struct, array_like=True, tag=4):
    """The changes for a subscriber from one version to another: the last entry for each changed key.

    In a delta to a node, a tenant's entry only tells whether the tenant exists; TenantUpdate has its body.
    """

    base_version: int
    version: int
    digest: bytes  # the subscriber's digest after the delta; a node's leaves out tenants
    entries: list[Entry]
    calls: list[OperatorCallVersion] = []


class TenantFilter(msgspec.Struct, array_like=True, tag=5):
    """A Bloom filter of the names of all tenants at a version; replaces all names sent before."""

    version: int
    bits: bytes
    hashes: int


class TenantDemand(msgspec.Struct, array_like=True, tag=6):
    """Tenants whose entries and changes a node requests, and those that it no longer needs."""

    requested: list[str]
    released: list[str]


class TenantUpdate(msgspec.Struct, array_like=True, tag=7):
    """Entries of requested tenants, in reply to a demand and after changes; `on` False if there is none."""

    version: int
    entries: list[Entry]


class Heartbeat(msgspec.Struct, array_like=True, tag=8):
    """Reports the version on which the sender acts; a relay also reports the state of its nodes."""

    sent_at: int
    version: int
    digest: bytes
    oldest_version: int = -1  # the oldest version on which a node of the relay may act
    nodes: int = 0  # connected nodes whose view lets them act
    inactive_nodes: int = 0  # connected nodes that may not act until they are up to date
    pending_version: int = -1  # the version of the store's pending change
    term: int = 0  # the term in which that change was proposed
    redirected_nodes: int = 0  # nodes recently redirected because the relay was at its limit of sessions


class HeartbeatReply(msgspec.Struct, array_like=True, tag=9):
    """Confirms a view. `sent_at` is copied from the heartbeat; `age` is that of the replier's view."""

    sent_at: int
    version: int
    digest: bytes
    age: int
    term: int = 0
    max_sessions: int = 0  # the limit for the relay that gets the reply; 0 stands for no limit


class Proposal(msgspec.Struct, array_like=True, tag=10):
    """Sent by the leader to stores: a change to store as pending."""

    term: int
    change: Change


class CommitNotice(msgspec.Struct, array_like=True, tag=11):
    """Sent by the leader: the change with this version and digest is committed."""

    term: int
    version: int
    digest: bytes


class ResyncRequest(msgspec.Struct, array_like=True, tag=12):
    """Requests the changes after this version, or a snapshot (-1) if entries do not match their digest."""

    version: int


class OperatorCall(msgspec.Struct, array_like=True, tag=13):
    """An operator's change, forwarded to the leader. Without entries it requests the status."""

    call_id: int
    entries: list[Entry]
    timeout: int  # how long the caller still waits, in tenths of a millisecond


class OperatorReply(msgspec.Struct, array_like=True, tag=14):
    """The answer to an operator's call."""

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
    """A message encoded once for many receivers. Its length is that of the payload in bytes."""

    def __init__(self, message: Message) -> None:
        self.message = message
        self.data: bytes = ENCODE(message)

    def __len__(self) -> int:
        return len(self.data)


def key_of(fleet: str) -> bytes:
    """Returns the key of the checksums in the fleet of that name."""
    return blake2b(fleet.encode(), digest_size=16, person=b"distribution").digest()


def encode(key: bytes, message: Message | EncodedMessage) -> bytes:
    """Returns the frame of a message. Raises MessageError for one longer than receivers accept."""
    payload = message.data if type(message) is EncodedMessage else ENCODE(message)
    sealed = seal(key, payload)
    if len(sealed) > MAX_FRAME_BYTES:
        raise MessageError(
            f"expected a frame of at most {MAX_FRAME_BYTES} bytes, "
            f"got {type(message).__name__} with a payload of {len(payload)} bytes"
        )
    return len(sealed).to_bytes(LENGTH_BYTES, "big") + sealed


class FrameDecoder:
    """Splits a stream into messages. `max_frame_bytes` may be changed once the sender is known."""

    def __init__(self, key: bytes, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self.key = key
        self.max_frame_bytes = max_frame_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Returns the messages that `data` completes.

        Raises MessageError for data that no process of this fleet has sent.
        """
        self.buffer += data
        messages, position = [], 0
        while len(self.buffer) - position >= LENGTH_BYTES:
            start = position + LENGTH_BYTES
            length = int.from_bytes(self.buffer[position:start], "big")
            # Guards against waiting for the rest of a frame whose length no message has.
            if not CHECKSUM_BYTES < length <= self.max_frame_bytes:
                raise MessageError(
                    f"expected a frame of {CHECKSUM_BYTES + 1} to {self.max_frame_bytes} bytes, got {length}"
                )
            if len(self.buffer) < start + length:
                break
            messages.append(open_sealed(self.key, bytes(self.buffer[start : start + length]), DECODER))
            position = start + length
        del self.buffer[:position]
        return messages
