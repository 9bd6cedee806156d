"""Tests of handshakes: an incarnation is accepted only after it has answered the pending request."""

import pytest

from basalthoist.decisions.random_numbers import Lcg
from basalthoist.fleet.handshakes import Handshakes
from basalthoist.fleet.wire import Envelope, HandshakeReply, HandshakeRequest, VoteReleased

MIN_INTERVAL = 2_000


@pytest.fixture
def handshakes():
    return Handshakes("n0", 1, Lcg(7), MIN_INTERVAL)


def from_peer(message, incarnation=5, recipient_incarnation=1):
    return Envelope("n1", incarnation, "n0", recipient_incarnation, message)


def test_messages_accepted_after_handshake_only(handshakes):
    receipt = handshakes.receive(from_peer(VoteReleased(3)))
    assert not receipt.accepted and receipt.needs_handshake and receipt.reply is None
    nonce = handshakes.request(0, "n1").nonce
    receipt = handshakes.receive(from_peer(HandshakeReply(nonce)))
    assert not receipt.accepted and not receipt.needs_handshake and handshakes.incarnations == {"n1": 5}
    assert handshakes.receive(from_peer(VoteReleased(3))).accepted
    assert not handshakes.receive(from_peer(VoteReleased(3), incarnation=4)).accepted
    assert not handshakes.receive(from_peer(VoteReleased(3), recipient_incarnation=2)).accepted


def test_request_not_repeated_within_min_interval(handshakes):
    first = handshakes.request(0, "n1")
    assert handshakes.request(MIN_INTERVAL - 1, "n1") is None
    assert handshakes.request(MIN_INTERVAL, "n1").nonce != first.nonce


def test_request_answered_with_its_nonce(handshakes):
    receipt = handshakes.receive(from_peer(HandshakeRequest(77), recipient_incarnation=0))
    assert receipt.reply == HandshakeReply(77) and not receipt.accepted


def test_unsolicited_reply_ignored(handshakes):
    handshakes.receive(from_peer(HandshakeReply(0)))
    handshakes.request(0, "n1")
    handshakes.receive(from_peer(HandshakeReply(0)))
    assert handshakes.incarnations == {}
