"""Which incarnation of each peer is the present one."""

from typing import NamedTuple

from basalthoist.decisions.random_numbers import Lcg

from .wire import Envelope, HandshakeReply, HandshakeRequest, Message

NONCE_LIMIT = 1 << 52


class PendingHandshake(NamedTuple):
    """A handshake request that has not been answered."""

    nonce: int
    sent_at: int


class Receipt(NamedTuple):
    """What follows from an envelope that has come."""

    accepted: bool  # the message is of the peer's present incarnation, to ours
    unknown: bool  # the sender's incarnation is still to be asked for
    reply: Message | None  # to be sent at once


class Handshakes:
    """Tracks peers' present incarnations. Messages of any other incarnation are not delivered.

    Guards against messages that were long under way, or that somebody repeats: an incarnation counts only
    once it has answered a request that was sent a moment ago.
    """

    def __init__(self, me: str, incarnation: int, random: Lcg, min_interval: int) -> None:
        self.me: str = me
        self.incarnation: int = incarnation
        self.random: Lcg = random
        self.min_interval: int = min_interval  # between two requests to the same peer
        self.incarnations: dict[str, int] = {}
        self.pending: dict[str, PendingHandshake] = {}

    def request(self, now: int, name: str) -> HandshakeRequest | None:
        """The request to send to that peer, unless one was sent a moment ago."""
        pending = self.pending.get(name)
        if pending is not None and now - pending.sent_at < self.pause:
            return None
        nonce = 1 + int(self.random.uniform() * NONCE_LIMIT)
        self.pending[name] = PendingHandshake(nonce, now)
        return HandshakeRequest(nonce)

    def receive(self, envelope: Envelope) -> Receipt:
        """Whether the message is to be delivered, and what the handshake needs in turn."""
        sender, message = envelope.sender, envelope.message
        known = self.incarnations.get(sender) == envelope.incarnation
        if type(message) is HandshakeRequest:
            return Receipt(False, not known, HandshakeReply(message.nonce))
        if envelope.recipient_incarnation != self.incarnation:
            return Receipt(False, not known, None)
        if type(message) is HandshakeReply:
            if not known:
                self.confirm(envelope, message.nonce)
            return Receipt(False, False, None)
        return Receipt(known, not known, None)

    def confirm(self, envelope: Envelope, nonce: int) -> None:
        """Takes the incarnation that has answered the pending request."""
        pending = self.pending.get(envelope.sender)
        if pending is not None and pending.nonce == nonce:
            self.incarnations[envelope.sender] = envelope.incarnation
            del self.pending[envelope.sender]
