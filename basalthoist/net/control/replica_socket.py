"""A replica of the fleet on a UDP socket: envelopes between incarnations, and the hint file.

Base of a node's `Fleet` (`fleet.py`) and of a relay process's `RegisterVoter` (`relay_process.py`).
"""

import asyncio
import os
from collections import Counter

from basalthoist.configuration import FleetDocument, address_of
from basalthoist.decisions.random_numbers import Lcg
from basalthoist.fleet.bounds import Bounds
from basalthoist.fleet.handshakes import Handshakes
from basalthoist.fleet.replica import Replica
from basalthoist.fleet.verdicts import VerdictSet
from basalthoist.fleet.wire import Envelope, Message, decode, encode
from basalthoist.net.control.hint_file import HintFile, RunOnDisk
from basalthoist.net.runtime.log import Log
from basalthoist.net.runtime.timers import SECOND, Timers, boot_time_now

MAX_DROP_REASONS = 8  # Further reasons in a report period are counted together, as "others".
REPORT_PERIOD = 10 * SECOND
INCARNATION_BYTES = 7
UNKNOWN_INCARNATION = 0


class ReplicaSocket(asyncio.DatagramProtocol):
    """Carries a replica's messages. Subclasses create `replica` and implement the rest of its host."""

    replica: Replica

    def __init__(
        self,
        document: FleetDocument,
        me: str,
        folder: str,
        bounds: Bounds,
        timers: Timers,
        log: Log,
        run_on_disk: RunOnDisk,
    ) -> None:
        self.document: FleetDocument = document
        self.me: str = me
        self.timers: Timers = timers
        self.log: Log = log
        self.key: bytes = document.key()
        self.addresses: dict[str, tuple[str, int]] = {
            name: address_of(text) for name, text in document.nodes.items()
        }
        self.names: dict[tuple[str, int], str] = {
            address: name for name, address in self.addresses.items() if name != me
        }
        self.hint_file: HintFile = HintFile(document.fleet, folder, run_on_disk, log)
        incarnation = int.from_bytes(os.urandom(INCARNATION_BYTES), "big")
        self.rng: Lcg = Lcg(int.from_bytes(os.urandom(INCARNATION_BYTES), "big"))
        self.handshakes: Handshakes = Handshakes(me, incarnation, self.rng, bounds.heartbeat_interval)
        self.transport: asyncio.DatagramTransport | None = None
        # Counts of datagrams since the last report.
        self.drops_by_reason: Counter[str] = Counter()
        self.unsent: int = 0
        timers.every(REPORT_PERIOD, self.report)

    # The socket.

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Stores the open socket's transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handles a datagram that another node of this fleet has sent to this node; drops any other."""
        name = self.names.get(sender[:2])
        if name is None:
            return self.drop(f"unknown sender {sender[0]}:{sender[1]}")
        try:
            envelope = decode(self.key, data)
        except ValueError as error:
            return self.drop(f"from {name}: {error}")
        if (envelope.sender, envelope.recipient) != (name, self.me):
            # The address of one node with the name of another means that their configurations differ.
            return self.drop(
                f"from {name}: expected {name!r} to {self.me!r},"
                f" got {envelope.sender!r} to {envelope.recipient!r}"
            )
        self.receive(boot_time_now(), envelope)

    def receive(self, at: int, envelope: Envelope) -> None:
        """Checks an envelope's incarnations, runs the handshake if needed, and delivers the message."""
        name = envelope.sender
        known = self.handshakes.incarnations.get(name)
        receipt = self.handshakes.receive(envelope)
        if receipt.reply is not None:
            self.post(name, envelope.incarnation, receipt.reply)
        if receipt.needs_handshake:
            self.request_handshake(at, name, envelope.incarnation)
        if self.handshakes.incarnations.get(name) != known:
            self.log(f"fleet: {name} has {'started again' if known else 'answered the handshake'}")
            self.on_incarnation(at, name, envelope.incarnation)
        if receipt.accepted:
            self.deliver(at, name, envelope.message)
            self.after_message(at)

    def deliver(self, at: int, name: str, message: Message) -> None:
        """Delivers a message; any exception drops only this message and is logged."""
        try:
            self.on_message(at, name, message)
        except Exception as error:
            self.drop(f"from {name}, {type(message).__name__} failed: {error!r}")

    def on_message(self, at: int, name: str, message: Message) -> None:
        """Passes a message of a peer's current incarnation on to the replica."""
        self.replica.on_message(at, name, message)

    def on_incarnation(self, at: int, name: str, incarnation: int) -> None:
        """Informs the replica that a peer has a new incarnation."""
        self.replica.on_incarnation(name)

    def after_message(self, at: int) -> None:
        """Called after each delivered message. Does nothing here."""

    def error_received(self, exc: OSError) -> None:
        """Counts a datagram that could not be sent."""
        self.unsent += 1

    def request_handshake(self, at: int, name: str, incarnation: int) -> None:
        """Requests a peer's current incarnation, unless a request was sent a moment ago."""
        request = self.handshakes.request(at, name)
        if request is not None:
            self.post(name, incarnation, request)

    def post(self, name: str, incarnation: int, message: Message) -> None:
        """Sends a message to an incarnation of a peer. The datagram may be lost."""
        if self.transport is None or self.transport.is_closing():
            return
        envelope = Envelope(self.me, self.handshakes.incarnation, name, incarnation, message)
        try:
            self.transport.sendto(encode(self.key, envelope), self.addresses[name])
        except (OSError, ValueError):
            self.unsent += 1

    def drop(self, reason: str) -> None:
        """Logs the first datagram dropped for a reason since the last report; counts the others."""
        if len(self.drops_by_reason) >= MAX_DROP_REASONS and reason not in self.drops_by_reason:
            reason = "others"
        elif reason not in self.drops_by_reason:
            self.log(f"fleet: a datagram dropped: {reason}")
        self.drops_by_reason[reason] += 1

    def report(self) -> None:
        """Logs the counts since the last report, if there are any, and resets them."""
        for reason, times in self.drops_by_reason.items():
            if times > 1:
                self.log(f"fleet: dropped in 10 s, {times} times: {reason}")
        if self.unsent:
            self.log(f"fleet: {self.unsent} messages not sent")
        self.drops_by_reason, self.unsent = Counter(), 0

    def close(self) -> None:
        """Closes the socket."""
        if self.transport is not None:
            self.transport.close()

    # The replica's host.

    def send(self, name: str, message: Message) -> None:
        """Sends a message to a peer, or a handshake request if the peer's incarnation is not known."""
        incarnation = self.handshakes.incarnations.get(name)
        if incarnation is None:
            return self.request_handshake(boot_time_now(), name, UNKNOWN_INCARNATION)
        self.post(name, incarnation, message)

    def store(self, verdicts: VerdictSet) -> None:
        """Stores the verdict set as a hint for this node's next incarnation."""
        self.hint_file.store(verdicts)
