"""The state of the single connection from a node to its relay, or from a relay process to the leader."""

from typing import Protocol

from basalthoist.decisions.random_numbers import Lcg

from .bounds import DISTANT_PAST, Bounds
from .wire import EncodedMessage, Heartbeat, Message, ResyncRequest

MAX_BACKOFF_DOUBLINGS = 10


class ConnectionHost(Protocol):
    """Opens, closes and writes to the connection, of which there is at most one at a time."""

    def connect(self, address: str) -> None:
        """Opens a connection and ends the previous one."""

    def close(self) -> None:
        """Ends the connection, even while it is being opened."""

    def send(self, message: Message | EncodedMessage) -> None:
        """Sends a message on the connection; does nothing if there is none."""


class PeerConnection:
    """Decides when to connect and when to send heartbeats. Times are those of the local clock."""

    def __init__(self, host: ConnectionHost, bounds: Bounds, rng: Lcg, now: int) -> None:
        self.host = host
        self.bounds = bounds
        self.rng = rng
        self.address = ""  # the peer's address from the start of the attempt; empty without a connection
        self.is_established = False  # the peer has accepted the session
        self.consecutive_failures = 0
        self.next_attempt_at = now
        self.last_received_at = now
        self.heartbeat_at = DISTANT_PAST
        self.resync_at = DISTANT_PAST

    def may_open(self, now: int) -> bool:
        """Returns whether there is no connection and the backoff has elapsed."""
        return not self.address and now >= self.next_attempt_at

    def open(self, now: int, address: str) -> None:
        """Starts to connect to `address`."""
        self.address, self.last_received_at = address, now
        self.host.connect(address)

    def on_accepted(self) -> None:
        """Records that the peer has accepted the session."""
        self.is_established, self.consecutive_failures = True, 0

    def is_silent(self, now: int) -> bool:
        """Returns whether the peer has sent nothing for too long.

        Detects a peer that hangs, or was cut off by the network without closing the connection.
        """
        return now - self.last_received_at > self.bounds.silent

    def is_heartbeat_due(self, now: int) -> bool:
        """Returns whether the session is accepted and its last heartbeat is at least one interval old."""
        return self.is_established and now - self.heartbeat_at >= self.bounds.heartbeat

    def send_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Sends a heartbeat; the next is due one interval later."""
        self.heartbeat_at = heartbeat.sent_at
        self.host.send(heartbeat)

    def request_resync(self, now: int, version: int, interval: int) -> None:
        """Requests the changes after `version`, or a snapshot (-1), at most once per `interval`."""
        if now - self.resync_at >= interval:
            self.resync_at = now
            self.host.send(ResyncRequest(version))

    def on_disconnected(self, now: int) -> None:
        """Schedules the next attempt with exponential backoff and full jitter (Brooker 2015)."""
        self.is_established, self.address = False, ""
        longest = min(
            self.bounds.backoff << min(self.consecutive_failures, MAX_BACKOFF_DOUBLINGS),
            self.bounds.max_backoff,
        )
        self.consecutive_failures += 1
        self.next_attempt_at = now + int(longest * self.rng.uniform())

    def retry_soon(self, now: int) -> None:
        """Schedules the next attempt after the shortest backoff, as a redirect has named the peer to use."""
        self.next_attempt_at = now + int(self.bounds.backoff * self.rng.uniform())
