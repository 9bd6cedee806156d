"""The UDP socket for gossip between the nodes of one service, which share a list of peers."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from basalthoist.decisions.interface import GossipKind
from basalthoist.gossip_codec import decode, encode
from basalthoist.net.runtime.log import Log
from basalthoist.net.runtime.timers import SECOND, Timers

Address = tuple[str, int]
GossipMessages = list[tuple[GossipKind, int, int]]

REPORT_INTERVAL = 10 * SECOND


class GossipSocket(asyncio.DatagramProtocol):
    """A socket bound to `peer_listen`. A datagram may arrive late, twice or never, and none is answered."""

    def __init__(
        self,
        peers: list[Address],
        own_address: Address,
        on_messages: Callable[[int, GossipMessages], None],
        timers: Timers,
        log: Log,
    ) -> None:
        self.peers: list[Address] = peers
        self.own_address: Address = own_address
        self.numbers: dict[Address, int] = {address: number for number, address in enumerate(peers)}
        self.on_messages: Callable[[int, GossipMessages], None] = on_messages
        self.log: Log = log
        self.transport: asyncio.DatagramTransport | None = None
        # Counts of datagrams since the last report.
        self.malformed: int = 0
        self.from_unknown_senders: int = 0
        self.unsent: int = 0
        timers.every(REPORT_INTERVAL, self.report)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Stores the open socket's transport."""
        self.transport = transport

    def send(self, messages: GossipMessages, peers: list[int]) -> None:
        """Sends the messages to the peers with these numbers, except to this node itself."""
        if self.transport is None or self.transport.is_closing():
            return
        data = encode(messages)
        for peer in peers:
            if peer < len(self.peers) and self.peers[peer] != self.own_address:
                try:
                    self.transport.sendto(data, self.peers[peer])
                except OSError:
                    self.unsent += 1  # Gossip is never sent again.

    def datagram_received(self, data: bytes, sender: tuple) -> None:
        """Passes on the messages of a peer; drops and counts any other datagram."""
        number = self.numbers.get(sender[:2])
        if number is None:
            # Only the configured peers may influence this node's decisions.
            self.from_unknown_senders += 1
            return self.log_dropped(f"a stranger, {sender[0]}:{sender[1]}")
        try:
            messages = decode(data)
        except ValueError:
            self.malformed += 1
            return self.log_dropped(f"malformed, {len(data)} bytes from {sender[0]}:{sender[1]}")
        self.on_messages(number, messages)

    def error_received(self, error: OSError) -> None:
        """Counts a datagram that could not be sent."""
        self.unsent += 1

    def log_dropped(self, reason: str) -> None:
        """Logs a datagram, just counted as dropped, while few were dropped since the last report.

        Logs the first dropped datagram, and every one while exactly one came from an unknown sender; any
        other datagram is only counted.
        """
        if self.malformed + self.from_unknown_senders < 2 or self.from_unknown_senders == 1:
            self.log(f"peers: a datagram dropped: {reason}")

    def report(self) -> None:
        """Logs the counts since the last report, if there are any, and resets them."""
        if self.malformed or self.from_unknown_senders or self.unsent:
            counts = (
                f"{self.malformed} malformed, {self.from_unknown_senders} from unknown senders,"
                f" {self.unsent} unsent"
            )
            self.log(f"peers: {counts}")
            self.malformed = self.from_unknown_senders = self.unsent = 0

    def close(self) -> None:
        """Closes the socket."""
        if self.transport is not None:
            with suppress(OSError):
                self.transport.close()
