"""Connections of the distribution: messages in frames over TCP, one protocol class for both ends."""

import asyncio
import os
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from basalthoist.addresses import address_of
from basalthoist.distribution.wire import MAX_FRAME_BYTES, EncodedMessage, FrameDecoder, Message, encode
from basalthoist.net.runtime.descriptors import DescriptorBudget
from basalthoist.net.runtime.timers import boot_time_now

UNIDENTIFIED_FRAME_BYTES = 64 * 1024  # at most, from a peer that has not said who it is
LINGER_S = 2.0  # how long the peer of a closed connection has to take what was written
UNBOUNDED_BYTES = 1 << 30


class MessageStreamOwner(Protocol):
    """Whoever holds the connection."""

    def stream_opened(self, stream: "MessageStream") -> None:
        """It is connected."""

    def message_received(self, stream: "MessageStream", message: Message) -> None:
        """A message has come."""

    def stream_ended(self, stream: "MessageStream", reason: str) -> None:
        """Once, whoever ended it."""


class MessageStream(asyncio.Protocol):
    """A connection, as messages each way."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        key: bytes,
        owner: MessageStreamOwner,
        max_frame_bytes: int = UNIDENTIFIED_FRAME_BYTES,
    ) -> None:
        self.loop = loop
        self.key = key
        self.owner = owner
        self.decoder = FrameDecoder(key, max_frame_bytes)
        self.transport: asyncio.Transport | None = None
        self.is_closed = False
        self.end_reason = ""
        self.bytes_in = 0
        self.bytes_out = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """From the event loop."""
        self.transport = transport
        # What waits is counted by `unsent_bytes`; a peer that is too slow is ended.
        transport.set_write_buffer_limits(high=UNBOUNDED_BYTES)
        if self.is_closed:
            return transport.abort()
        self.owner.stream_opened(self)

    def data_received(self, data: bytes) -> None:
        """From the event loop."""
        self.bytes_in += len(data)
        try:
            messages = self.decoder.feed(data)
        except ValueError as error:
            # Guards against a peer of another fleet, and damage: neither gets an answer.
            return self.close(str(error), at_once=True)
        for message in messages:
            if self.is_closed:
                break
            self.owner.message_received(self, message)

    def connection_lost(self, error: Exception | None) -> None:
        """From the event loop."""
        self.end(self.end_reason or (str(error) if error is not None else "ended by the other end"))

    def end(self, reason: str) -> None:
        """There is no connection any more, or none came about."""
        if not self.is_closed:
            self.is_closed = True
            self.owner.stream_ended(self, reason)

    def send(self, message: Message | EncodedMessage) -> None:
        """Nothing happens on a connection that has ended."""
        if not self.is_closed and self.transport is not None and not self.transport.is_closing():
            data = encode(self.key, message)
            self.bytes_out += len(data)
            self.transport.write(data)

    def unsent_bytes(self) -> int:
        """Written, and not taken by the peer."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def close(self, reason: str = "", at_once: bool = False) -> None:
        """It is closed before anybody is told; the owner learns of it later, not from in here."""
        if self.is_closed:
            return
        self.is_closed, self.end_reason = True, reason
        if at_once and self.transport is not None:
            self.transport.abort()
        else:
            self.close_transport()
        self.loop.call_soon(self.owner.stream_ended, self, reason)

    def close_transport(self) -> None:
        """Guards against a peer that reads nothing more: what waits for it would wait for good."""
        if self.transport is not None:
            self.transport.close()
            self.loop.call_later(LINGER_S, self.transport.abort)


class PeerSession(Protocol):
    """What decides what goes over an outgoing connection."""

    def on_connected(self, now: int) -> None:
        """The connection is open."""

    def on_message(self, now: int, message: Message) -> None:
        """From the peer."""

    def on_disconnected(self, now: int) -> None:
        """It has ended, or none came about; not after `OutgoingConnection.close`."""


class OutgoingConnection:
    """The one connection that a node or a relay's process keeps to its peer, and host of its `session`."""

    session: PeerSession  # set by whoever makes it

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        key: bytes,
        log: Callable[[str], None],
        descriptors: DescriptorBudget | None = None,
    ) -> None:
        self.loop = loop
        self.key = key
        self.log = log
        self.descriptors = descriptors
        self.stream: MessageStream | None = None
        self.attempt: asyncio.Task | None = None
        self.has_descriptor = False  # of the budget
        self.bytes_in_before = 0  # of the streams before
        self.bytes_out_before = 0

    def connect(self, address: str) -> None:
        """The connection before ends."""
        try:
            host_port = address_of(address)
        except ValueError:
            # Guards against a relay's entry that names no address: it counts as one that does not answer.
            self.loop.call_soon(self.session.on_disconnected, boot_time_now())
            return
        self.close()
        stream = self.stream = MessageStream(self.loop, self.key, self, MAX_FRAME_BYTES)
        if self.descriptors is not None and not self.has_descriptor:
            self.has_descriptor = True
            self.descriptors.acquire_over_limit()
        self.attempt = self.loop.create_task(self.open(stream, host_port))

    async def open(self, stream: MessageStream, address: tuple[str, int]) -> None:
        """Whoever waits for it says when it has had its time."""
        try:
            await self.loop.create_connection(lambda: stream, *address)
        except OSError as error:
            stream.end(str(error))

    def close(self) -> None:
        """Also one that is still being opened."""
        stream, self.stream = self.stream, None
        if self.attempt is not None and not self.attempt.done():
            self.attempt.cancel()
        if stream is not None:
            self.bytes_in_before += stream.bytes_in
            self.bytes_out_before += stream.bytes_out
            stream.is_closed = True
            stream.close_transport()
        if self.has_descriptor:
            self.has_descriptor = False
            self.descriptors.release()

    def send(self, message: Message | EncodedMessage) -> None:
        """Nothing happens without a connection."""
        if self.stream is not None:
            self.stream.send(message)

    def traffic(self) -> tuple[int, int]:
        """Bytes in and out so far."""
        stream = self.stream
        bytes_in, bytes_out = (stream.bytes_in, stream.bytes_out) if stream is not None else (0, 0)
        return self.bytes_in_before + bytes_in, self.bytes_out_before + bytes_out

    # As owner of the stream. An earlier one that ends later is nothing to the session.

    def stream_opened(self, stream: MessageStream) -> None:
        """The peer takes messages."""
        if stream is self.stream:
            self.session.on_connected(boot_time_now())

    def message_received(self, stream: MessageStream, message: Message) -> None:
        """From the peer."""
        if stream is self.stream:
            self.on_message(message)

    def stream_ended(self, stream: MessageStream, reason: str) -> None:
        """By the peer, or none came about."""
        if stream is self.stream:
            self.close()
            self.session.on_disconnected(boot_time_now())

    def on_message(self, message: Message) -> None:
        """Hands it to the session."""
        run_guarded(self.session.on_message, self.log, boot_time_now(), message)


def new_incarnation() -> int:
    """Of a process that begins: greater than those of this machine before it, also where its clock was set.

    By the time since the machine began, which no step of the wall clock moves. After a restart of the machine
    it begins anew: then the process counts as earlier for as long as a session of the one before is open.
    """
    return (
        time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000 << 10 | int.from_bytes(os.urandom(2), "big") & 1023
    )


def run_guarded(act: Callable[..., None], log: Callable[[str], None], *arguments: object) -> None:
    """Guards against a message that breaks something here: it ends no more than itself."""
    try:
        act(*arguments)
    except Exception as error:
        with suppress(Exception):
            step = error.__traceback__
            while step.tb_next is not None:
                step = step.tb_next
            place = f"{step.tb_frame.f_code.co_name} {step.tb_lineno}"
            log(f"distribution: {act.__name__} failed: {error!r} at {place}")
