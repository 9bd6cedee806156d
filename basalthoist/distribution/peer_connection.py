"""The one connection that a node or a store keeps to its peer: attempts, backoff, heartbeats, loss."""

from typing import Protocol

from basalthoist.decisions.random_numbers import Lcg

from .bounds import DISTANT_PAST, Bounds
from .wire import EncodedMessage, Heartbeat, Message, ResyncRequest

MAX_DOUBLINGS = 10  # of the backoff


class ConnectionHost(Protocol):
    """Carries the messages. There is one connection at a time."""

    def connect(self, address: str) -> None:
        """Opens a connection; the one before ends."""

    def close(self) -> None:
        """Ends the connection, also one that is being opened."""

    def send(self, message: Message | EncodedMessage) -> None:
        """On the connection, if there is one."""


class PeerConnection:
    """When it is opened, and what is known of it. Times are those of the own clock."""

    def __init__(self, host: ConnectionHost, bounds: Bounds, random: Lcg, now: int) -> None:
        self.host = host
        self.bounds = bounds
        self.random = random
        self.address = ""  # of the peer, from the attempt on
        self.is_established = False  # the peer has accepted the session
        self.failures = 0  # in a row
        self.next_attempt_at = now
        self.heard_at = now
        self.heartbeat_at = DISTANT_PAST
        self.resync_at = DISTANT_PAST

    def may_open(self, now: int) -> bool:
        """Whether there is none, and the backoff is over."""
        return not self.address and now >= self.next_attempt_at

    def open(self, now: int, address: str) -> None:
        """Begins an attempt."""
        self.address, self.heard_at = address, now
        self.host.connect(address)

    def accepted(self) -> None:
        """The peer has accepted the session."""
        self.is_established, self.failures = True, 0

    def is_silent(self, now: int) -> bool:
        """Guards against a peer that stands still, or is cut off without an end to its connection."""
        return now - self.heard_at > self.bounds.silent

    def is_heartbeat_due(self, now: int) -> bool:
        """Whether the last one was long ago."""
        return self.is_established and now - self.heartbeat_at >= self.bounds.heartbeat

    def send_heartbeat(self, heartbeat: Heartbeat) -> None:
        """The next one is due an interval later."""
        self.heartbeat_at = heartbeat.sent_at
        self.host.send(heartbeat)

    def request_resync(self, now: int, version: int, interval: int) -> None:
        """Asks for what came after that version, at most once in an interval."""
        if now - self.resync_at >= interval:
            self.resync_at = now
            self.host.send(ResyncRequest(version))

    def lost(self, now: int) -> None:
        """It has ended, or none came about. The wait has full jitter (Brooker 2015) and a bound."""
        self.is_established, self.address = False, ""
        longest = min(self.bounds.backoff << min(self.failures, MAX_DOUBLINGS), self.bounds.max_backoff)
        self.failures += 1
        self.next_attempt_at = now + int(longest * self.random.uniform())

    def retry_soon(self, now: int) -> None:
        """The next attempt goes to a peer that was named, so it needs no longer backoff."""
        self.next_attempt_at = now + int(self.bounds.backoff * self.random.uniform())
