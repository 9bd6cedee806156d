"""Handshakes that find out the current incarnation of each peer."""

from typing import NamedTuple

from basalthoist.decisions.random_numbers import Lcg

from .wire import Envelope, HandshakeReply, HandshakeRequest, Message

NONCE_LIMIT = 1 << 52


class PendingHandshake(NamedTuple):
    """A handshake request without a reply so far."""

    nonce: int
    sent_at: int


class Receipt(NamedTuple):
    """What the node does with a received envelope."""

    accepted: bool  # whether to deliver the message: both incarnations in the envelope are current
    needs_handshake: bool  # whether the sender's incarnation has not completed a handshake
    reply: Message | None  # a message to send back at once


class Handshakes:
    """Tracks the current incarnation of each peer. Messages of any other incarnation are not delivered.

    Guards against delayed and replayed messages: an incarnation is accepted only after it has answered the
    latest request to the peer, with the nonce of that request.
    """

    def __init__(self, own_name: str, incarnation: int, rng: Lcg, min_interval: int) -> None:
        self.own_name: str = own_name
        self.incarnation: int = incarnation
        self.rng: Lcg = rng
        self.min_interval: int = min_interval  # between two requests to the same peer
        self.incarnations: dict[str, int] = {}
        self.pending: dict[str, PendingHandshake] = {}

    def request(self, now: int, name: str) -> HandshakeRequest | None:
        """Returns a new request to send to the peer `name`; None within `min_interval` of the last one."""
        pending = self.pending.get(name)
        if pending is not None and now - pending.sent_at < self.min_interval:
            return None
        nonce = 1 + int(self.rng.uniform() * NONCE_LIMIT)
        self.pending[name] = PendingHandshake(nonce, now)
        return HandshakeRequest(nonce)

    def receive(self, envelope: Envelope) -> Receipt:
        """Returns whether to deliver the message, and what the handshake requires of this node."""
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
        """Records the sender's incarnation as current if the nonce is that of the pending request."""
        pending = self.pending.get(envelope.sender)
        if pending is not None and pending.nonce == nonce:
            self.incarnations[envelope.sender] = envelope.incarnation
            del self.pending[envelope.sender]
