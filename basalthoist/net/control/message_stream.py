"""Connections of the distributed configuration: framed messages over TCP, with one class for both ends."""

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

MAX_FRAME_BYTES_BEFORE_HANDSHAKE = 64 * 1024
LINGER_S = 2.0  # A closed connection is aborted if its peer has not read what was written by then.
UNBOUNDED_BYTES = 1 << 30


class MessageStreamOwner(Protocol):
    """Receives the events of a stream."""

    def stream_opened(self, stream: "MessageStream") -> None:
        """Called when the stream is connected."""

    def message_received(self, stream: "MessageStream", message: Message) -> None:
        """Called with each message that was received."""

    def stream_ended(self, stream: "MessageStream", reason: str) -> None:
        """Called once when the stream has ended, whichever side ended it.

        Not called if the owner itself has set `is_closed`, as `OutgoingConnection.close` does.
        """


class MessageStream(asyncio.Protocol):
    """A connection that carries messages in both directions."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        key: bytes,
        owner: MessageStreamOwner,
        max_frame_bytes: int = MAX_FRAME_BYTES_BEFORE_HANDSHAKE,
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
        """Starts the stream. Called by the event loop."""
        self.transport = transport
        # Writing is never paused: the owner checks `unsent_bytes` and ends a peer that reads too slowly.
        transport.set_write_buffer_limits(high=UNBOUNDED_BYTES)
        if self.is_closed:
            return transport.abort()
        self.owner.stream_opened(self)

    def data_received(self, data: bytes) -> None:
        """Passes on each complete message. Called by the event loop."""
        self.bytes_in += len(data)
        try:
            messages = self.decoder.feed(data)
        except ValueError as error:
            # Neither a peer of another fleet nor one that sends damaged frames gets an answer.
            return self.close(str(error), at_once=True)
        for message in messages:
            if self.is_closed:
                break
            self.owner.message_received(self, message)

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the stream. Called by the event loop."""
        self.end(self.end_reason or (str(error) if error is not None else "closed by the peer"))

    def end(self, reason: str) -> None:
        """Informs the owner that the connection was lost or could not be opened."""
        if not self.is_closed:
            self.is_closed = True
            self.owner.stream_ended(self, reason)

    def send(self, message: Message | EncodedMessage) -> None:
        """Sends a message; does nothing if the connection has ended."""
        if not self.is_closed and self.transport is not None and not self.transport.is_closing():
            data = encode(self.key, message)
            self.bytes_out += len(data)
            self.transport.write(data)

    def unsent_bytes(self) -> int:
        """Returns how many written bytes are still in the write buffer."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def close(self, reason: str = "", at_once: bool = False) -> None:
        """Closes the connection; `at_once` discards what has not been sent yet.

        The owner's `stream_ended` is called later from the event loop, never from within this method.
        """
        if self.is_closed:
            return
        self.is_closed, self.end_reason = True, reason
        if at_once and self.transport is not None:
            self.transport.abort()
        else:
            self.close_transport()
        self.loop.call_soon(self.owner.stream_ended, self, reason)

    def close_transport(self) -> None:
        """Closes the transport, and aborts it after LINGER_S if the peer has not read everything by then."""
        if self.transport is not None:
            self.transport.close()
            self.loop.call_later(LINGER_S, self.transport.abort)


class PeerSession(Protocol):
    """The protocol logic behind an outgoing connection."""

    def on_connected(self, now: int) -> None:
        """Called when the connection is open."""

    def on_message(self, now: int, message: Message) -> None:
        """Called with each message of the peer."""

    def on_disconnected(self, now: int) -> None:
        """Called when the connection was lost or could not be opened, but not after a call of `close`."""


class OutgoingConnection:
    """The only connection of a node or a relay process to its peer, and the host of its `session`.

    The creator of the object must set `session`.
    """

    session: PeerSession

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
        self.connect_task: asyncio.Task | None = None
        self.has_acquired_descriptor = False
        # Traffic of earlier streams.
        self.bytes_in_before = 0
        self.bytes_out_before = 0

    def connect(self, address: str) -> None:
        """Closes the connection if there is one, and starts to open a connection to the address.

        For a malformed address an existing connection stays open, and `session.on_disconnected` is called
        later.
        """
        try:
            host_port = address_of(address)
        except ValueError:
            # A relay's entry may contain a malformed address: treated like a relay that does not answer.
            self.loop.call_soon(self.session.on_disconnected, boot_time_now())
            return
        self.close()
        stream = self.stream = MessageStream(self.loop, self.key, self, MAX_FRAME_BYTES)
        if self.descriptors is not None and not self.has_acquired_descriptor:
            self.has_acquired_descriptor = True
            self.descriptors.acquire_over_limit()
        self.connect_task = self.loop.create_task(self.open(stream, host_port))

    async def open(self, stream: MessageStream, address: tuple[str, int]) -> None:
        """Opens the stream's connection. Has no timeout: the session calls `close` when it stops waiting."""
        try:
            await self.loop.create_connection(lambda: stream, *address)
        except OSError as error:
            stream.end(str(error))

    def close(self) -> None:
        """Closes the connection, or cancels the attempt to open it."""
        stream, self.stream = self.stream, None
        if self.connect_task is not None and not self.connect_task.done():
            self.connect_task.cancel()
        if stream is not None:
            self.bytes_in_before += stream.bytes_in
            self.bytes_out_before += stream.bytes_out
            stream.is_closed = True
            stream.close_transport()
        if self.has_acquired_descriptor:
            self.has_acquired_descriptor = False
            self.descriptors.release()

    def send(self, message: Message | EncodedMessage) -> None:
        """Sends a message; does nothing if there is no connection."""
        if self.stream is not None:
            self.stream.send(message)

    def traffic(self) -> tuple[int, int]:
        """Returns the bytes received and sent since the process started."""
        stream = self.stream
        bytes_in, bytes_out = (stream.bytes_in, stream.bytes_out) if stream is not None else (0, 0)
        return self.bytes_in_before + bytes_in, self.bytes_out_before + bytes_out

    # MessageStreamOwner. Events of an earlier stream are ignored.

    def stream_opened(self, stream: MessageStream) -> None:
        """Informs the session that the peer can be sent messages."""
        if stream is self.stream:
            self.session.on_connected(boot_time_now())

    def message_received(self, stream: MessageStream, message: Message) -> None:
        """Handles a message of the peer."""
        if stream is self.stream:
            self.on_message(message)

    def stream_ended(self, stream: MessageStream, reason: str) -> None:
        """Informs the session that the connection was lost or could not be opened."""
        if stream is self.stream:
            self.close()
            self.session.on_disconnected(boot_time_now())

    def on_message(self, message: Message) -> None:
        """Passes a message on to the session."""
        run_guarded(self.session.on_message, self.log, boot_time_now(), message)


def new_incarnation() -> int:
    """Returns the incarnation of a process: greater than any earlier one since this machine booted.

    The number is the time since boot in microseconds, which steps of the wall clock do not change, followed
    by 10 random bits. After a reboot the numbers start again, so the process counts as older than its
    predecessor while the predecessor's session is still open.
    """
    return (
        time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000 << 10 | int.from_bytes(os.urandom(2), "big") & 1023
    )


def run_guarded(function: Callable[..., None], log: Callable[[str], None], *arguments: object) -> None:
    """Calls the function and logs any exception, so that a faulty message ends only its own handling."""
    try:
        function(*arguments)
    except Exception as error:
        with suppress(Exception):
            traceback = error.__traceback__
            while traceback.tb_next is not None:
                traceback = traceback.tb_next
            location = f"{traceback.tb_frame.f_code.co_name} {traceback.tb_lineno}"
            log(f"distribution: {function.__name__} failed: {error!r} at {location}")
