"""A connection to a backend: an asyncio protocol that writes requests and reads responses."""

import asyncio
import select
import socket
from contextlib import suppress
from functools import partial
from typing import TYPE_CHECKING

from basalthoist.decisions.interface import Outcome
from basalthoist.net.framing import BadMessage, Message, Reader
from basalthoist.net.runtime.bounded_reads import BoundedReadProtocol
from basalthoist.net.runtime.descriptors import is_ready
from basalthoist.net.runtime.memory_budget import BufferAccount
from basalthoist.net.runtime.read_turns import ReadTurns
from basalthoist.net.runtime.timers import SECOND, now
from basalthoist.net.upstream.call import BodySink, Call
from basalthoist.net.upstream.load_report import outcome_of

if TYPE_CHECKING:
    from basalthoist.net.upstream.pool import ConnectionPool

# The limit from a request's first byte to its last. A request counts as written at its first byte.
MAX_WRITE_TIME = SECOND // 10
# While memory is short, longer responses are streamed instead of buffered.
SHORT_MEMORY_BODY_BYTES = 4 * 1024


class Connection(BoundedReadProtocol):
    """One connection to a backend. It carries one call at a time."""

    def __init__(self, pool: "ConnectionPool", sock: socket.socket) -> None:
        limits = pool.upstream.limits
        super().__init__(pool.upstream.read_buffer)
        self.pool: ConnectionPool = pool
        self.sock: socket.socket = sock
        self.reader: Reader = Reader(True, limits.head_bytes, limits.body_bytes, limits.long_bytes)
        self.transport: asyncio.Transport | None = None
        self.read_turns: ReadTurns | None = None
        self.call: Call | None = None
        self.reader.on_head = self.on_response_head
        self.reader.on_long_body = self.on_long_response
        self.reading_paused: bool = False  # the client reads the response too slowly
        # Whether a response of unknown length is being buffered, which is done briefly as it may be short.
        self.buffers_response: bool = False
        self.writing: bool = False  # the event loop still holds bytes of the request
        self.aborted: bool = False
        self.account: BufferAccount = BufferAccount(pool.upstream.memory_budget)
        self.idle_since: int = now()
        self.last_received_at: int = now()

    # Called by the event loop.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Makes the event loop report whenever bytes are unwritten."""
        self.transport = transport
        self.read_turns = ReadTurns(self.pool.upstream.loop, transport)
        transport.set_write_buffer_limits(high=0)  # `pause_writing` is called as soon as bytes are unwritten

    def pause_writing(self) -> None:
        """Called by the event loop when it could not write everything."""
        self.writing = True
        self.apply_upload_backpressure(True)

    def resume_writing(self) -> None:
        """Called by the event loop when it has written everything."""
        self.writing = False
        self.apply_upload_backpressure(False)
        self.count_buffers()

    def apply_upload_backpressure(self, active: bool) -> None:
        """Pauses or resumes the client whose body is streamed here."""
        if self.call is not None and self.call.upload is not None:
            self.call.upload.apply_backpressure(active)

    def data_received(self, data: bytes) -> None:
        """Feeds the reader and ends the call once its response is complete."""
        self.read_turns.on_read(len(data), len(data) == self.read_bytes)
        if self.aborted:
            return
        self.pool.last_received_at = self.last_received_at = now()
        if self.call is None:
            return self.abort()  # the backend sent data without a request
        try:
            self.reader.feed(data, now())
            response = self.reader.next()
        except BadMessage as error:
            self.pool.upstream.log(f"{self.pool.name} sent an invalid response: {error}")
            return self.fail(Outcome.ERROR)
        if response is not None:
            self.on_response_complete(response)
        elif not self.buffers_response and self.reader.has_body_of_unknown_length():
            self.buffers_response = True
            upstream = self.pool.upstream
            upstream.timers.after(upstream.response_buffer_time, partial(self.stop_buffering, self.call))
        elif self.pool.upstream.memory_budget.is_short():
            self.stream_for_short_memory()
        self.count_buffers()

    def stream_for_short_memory(self) -> None:
        """Streams an incomplete response that would be buffered, unless it is short."""
        # Guards against many responses that are buffered at once, and then wait for clients that read slowly.
        reader = self.reader
        if reader.may_start_streaming() and (reader.length() or 0) > SHORT_MEMORY_BODY_BYTES:
            reader.start_streaming(required=False)

    def stop_buffering(self, call: Call) -> None:
        """Streams a response of unknown length that is still incomplete."""
        # Guards against a deadline that cuts off a long response written slowly by the backend.
        if self.call is call and not self.aborted and self.reader.has_body_of_unknown_length():
            self.reader.start_streaming(required=False)

    def on_response_head(self, response: Message, length: int | None) -> BodySink | None:
        """Called by the reader with the head of each response; returns what takes a streamed body."""
        if self.call is None or not self.call.is_streaming:
            return None
        return self.on_long_response(response, length)

    def on_long_response(self, response: Message, length: int | None) -> BodySink | None:
        """Called by the reader with a response too long to buffer; returns what takes its body."""
        call = self.call
        if call is None or call.on_response_start is None or response.status != 200:
            return None
        sink = call.on_response_start(response, length)
        if sink is not None:
            call.timer.stop()  # a response that has started has no deadline
            self.pool.upstream.streaming.add(self)
        return sink

    def eof_received(self) -> None:
        """Ends the call if its response lasts until the end of the connection."""
        if self.call is not None and not self.aborted and (response := self.reader.end()) is not None:
            self.on_response_complete(response)

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the call in progress."""
        self.pool.on_connection_lost(self)
        self.reader.close()
        self.account.close()
        if self.call is not None:
            self.call.finish(Outcome.CONNECT_FAILED if self.has_unwritten_bytes() else Outcome.RESET)

    def count_buffers(self) -> None:
        """Counts what is buffered of the response and of a streamed request body."""
        size = self.reader.buffered_bytes()
        if self.call is not None and self.call.upload is not None:
            size += self.transport.get_write_buffer_size()
        self.account.set(size)

    # Called by the pool and by calls.

    def has_unwritten_bytes(self) -> bool:
        """Returns whether bytes of the request are unwritten, so that the backend cannot have run it."""
        return self.writing or self.call.upload is not None and not self.call.upload.complete

    def forward(self, chunks: list[bytes]) -> None:
        """Writes chunks of a request body. `connection_lost` reports a broken connection."""
        if not self.aborted and not self.transport.is_closing():
            self.transport.writelines(chunks)
            self.count_buffers()

    def apply_backpressure(self, active: bool) -> None:
        """Pauses reading the response while its client reads too slowly, and resumes it."""
        if not self.aborted and active != self.reading_paused:
            self.reading_paused = active
            self.last_received_at = now()
            (self.read_turns.pause if active else self.read_turns.resume)()

    def is_healthy(self) -> bool:
        """Returns whether an idle connection is still open."""
        # Guards against writing to a connection that the backend has closed if the end is not read yet.
        if self.aborted or self.transport.is_closing():
            return False
        try:
            return not is_ready(self.sock.fileno(), select.POLLIN | select.POLLRDHUP)
        except (OSError, ValueError):
            return False  # the socket is already closed

    def chunks_to_write(self, call: Call) -> list[bytes]:
        """Returns the bytes of the request; called once, directly before they are written."""
        return call.request_chunks()

    def send(self, call: Call) -> None:
        """Writes the request of a call."""
        self.call = call
        call.connection = self
        self.buffers_response = False
        call.first_byte_at = now()
        # Guards against an exception that interrupts the caller half-way: part of the request may be sent.
        try:
            self.transport.writelines(self.chunks_to_write(call))
            if call.upload is not None:
                call.upload.attach(self)
            elif self.writing:
                # The loop writes at the end of this turn; most requests are complete by the next.
                self.pool.upstream.loop.call_soon(self.check_written, call)
        except Exception as error:
            self.pool.upstream.log(f"not written to {self.pool.name}: {error!r}")
            self.abort()
            call.finish_soon(Outcome.RESET)

    def check_written(self, call: Call) -> None:
        """Limits the time for writing a large request."""
        if self.is_still_writing(call):
            remaining = max(call.first_byte_at + MAX_WRITE_TIME - now(), 0)
            self.pool.upstream.timers.after(remaining, partial(self.abandon_unwritten, call))

    def abandon_unwritten(self, call: Call) -> None:
        """Abandons a request that could not be written in time; the backend has not run it."""
        # Guards against a backend that works for a client that has given up: the timeout in the request's
        # head would start long before its last byte arrives.
        if self.is_still_writing(call):
            call.abandon(Outcome.NOT_SENT)

    def is_still_writing(self, call: Call) -> bool:
        """Returns whether this call is in progress here and not completely written."""
        return self.call is call and self.writing and not self.aborted

    def on_response_complete(self, response: Message) -> None:
        """Ends the call, and returns the connection to the pool if it is reusable."""
        call = self.call
        is_unwritten = self.has_unwritten_bytes()
        # Guards against a next response that is not read, as the client of this one reads slowly.
        self.apply_backpressure(False)
        call.release()
        if response.keep_alive and self.reader.idle() and not is_unwritten:
            self.pool.release(self)
        else:
            self.abort()
        call.on_outcome(outcome_of(response), response)

    def fail(self, outcome: Outcome) -> None:
        """Ends the connection and its call."""
        self.abort()
        self.call.finish(outcome)

    def abort(self) -> None:
        """Closes the connection at once."""
        if self.aborted:
            return
        self.aborted = True
        self.pool.forget(self)
        # Guards against sending the next attempt before this connection ends: closing a transport waits for
        # the event loop's next turn.
        with suppress(OSError):  # the backend has already closed it
            self.sock.shutdown(socket.SHUT_RDWR)
        if not self.transport.is_closing():
            self.transport.abort()
