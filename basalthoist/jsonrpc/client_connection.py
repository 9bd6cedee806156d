"""Connections of JSON-RPC clients: many calls in progress on each, batches, notifications."""

import asyncio
import os
import select
from typing import TYPE_CHECKING

from basalthoist.net.framing import Arrivals
from basalthoist.net.runtime.descriptors import descriptor_of, has_ended, is_ready, receive_buffer_delay
from basalthoist.net.runtime.timers import SECOND, now

from .messages import (
    FAILED,
    INVALID_REQUEST,
    METHOD_NOT_FOUND,
    SHED,
    TIMED_OUT,
    TOO_MANY,
    InvalidCallError,
    encode_error_member,
    encode_response,
    parse_call,
    split_batch,
)
from .upstream import JsonProxiedRequest

if TYPE_CHECKING:
    from .front_end import JsonRpcFrontEnd

QUEUED_AFTER = 10  # tenths of a millisecond; a call that has waited so long asks its client before an attempt


class Caller:
    """One call: the client of its request. The response to a notification is dropped."""

    __slots__ = ("connection", "call_id", "batch", "request")

    def __init__(self, connection: "JsonRpcClientConnection", call_id: bytes, batch: "Batch | None") -> None:
        self.connection: JsonRpcClientConnection = connection
        self.call_id: bytes = call_id  # empty for a notification
        self.batch: Batch | None = batch
        self.request: JsonProxiedRequest | None = None

    def has_disconnected(self) -> bool:
        """Whether the client has left. One that sent a notification may close without being gone."""
        was_queued = self.request.calls or now() - self.request.came_at > QUEUED_AFTER
        return (
            self.connection.has_disconnected() if self.call_id and was_queued else self.connection.is_broken()
        )

    def abort(self) -> None:
        """Aborts the connection of a client that has left."""
        self.connection.transport.abort()

    def answer(
        self, status: int, headers: list[tuple[bytes, bytes]] | tuple = (), body: bytes | memoryview = b""
    ) -> None:
        """Ends the call by the response that means the same as this one over HTTP."""
        self.request = None
        if status == 200:
            member = bytes(body)
        elif status == 503:
            retry_after = dict(headers).get(b"retry-after")
            data = {"retry_after": float(retry_after)} if retry_after else None
            member = encode_error_member(SHED, data)
        else:
            member = encode_error_member(TIMED_OUT if status == 504 else FAILED)
        self.connection.end_call(self, member)


class Batch:
    """The responses of a batch, written as one array once all its calls have ended."""

    __slots__ = ("calls_left", "responses")

    def __init__(self, count: int) -> None:
        self.calls_left: int = count
        self.responses: list[bytes] = []


class JsonRpcClientConnection(asyncio.Protocol):
    """One JSON-RPC connection of a client, with many calls in progress."""

    def __init__(self, front_end: "JsonRpcFrontEnd") -> None:
        self.front_end: JsonRpcFrontEnd = front_end
        self.transport: asyncio.Transport | None = None
        self.pending: bytes = b""  # read and not yet parsed
        self.last_progress_at: int = now()
        self.arrivals: Arrivals = Arrivals()
        self.came_at: int = self.last_progress_at  # arrival of the line that is parsed
        self.callers: dict[Caller, None] = {}
        self.call_ids: set[bytes] = set()  # of the calls in progress
        self.write_buffer_full: bool = False
        self.reading_paused: bool = False
        self.input_ended: bool = False  # the client sends nothing more
        self.output_ended: bool = False  # all is answered and the end written; what still comes is dropped

    # Called by the event loop.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Registers the connection with the front end."""
        self.transport = transport
        transport.set_write_buffer_limits(high=self.front_end.limits.body_bytes)
        self.front_end.connections[self] = None

    def connection_lost(self, error: Exception | None) -> None:
        """Cancels the calls in progress."""
        self.front_end.connections.pop(self, None)
        self.front_end.descriptors.release()
        for caller in list(self.callers):
            if caller.request is not None:
                self.front_end.dispatcher.client_disconnected(caller.request)
        self.callers.clear()
        self.front_end.check_drained()

    def data_received(self, data: bytes) -> None:
        """Starts the calls that have come."""
        if self.output_ended:
            return
        self.last_progress_at = now()
        self.arrivals.add(len(data), self.last_progress_at - receive_buffer_delay(self.transport))
        self.pending = self.pending + data if self.pending else data
        self.advance()

    def eof_received(self) -> bool:
        """The client sends no more calls and waits for responses."""
        self.input_ended = True
        self.end_if_done()
        return True

    def pause_writing(self) -> None:
        """The write buffer is full."""
        # Guards against a client that calls and does not read: nothing more is taken from it meanwhile.
        self.write_buffer_full = True
        self.last_progress_at = now()
        self.update_reading()

    def resume_writing(self) -> None:
        """The write buffer has drained."""
        self.write_buffer_full = False
        self.last_progress_at = now()
        self.update_reading()
        self.advance()

    def is_broken(self) -> bool:
        """Whether the connection is closed in both directions."""
        return has_ended(self.transport)

    def has_disconnected(self) -> bool:
        """Whether a client that waits for a response has closed.

        One that has only ended its sending may still read, one that has closed looks the same. It is told
        apart by a space, which JSON allows ahead of a response: the machine of one that has closed replies
        with a reset, on one machine within the write and else a round trip later.
        """
        if self.is_broken() or not has_ended(self.transport, select.POLLRDHUP):
            return self.is_broken()
        # Guards against a space in the midst of a line. What waits to be written does its work as well.
        if not self.transport.get_write_buffer_size():
            try:
                os.write(descriptor_of(self.transport), b" ")
            except BlockingIOError:
                pass  # it doesn't read, but is there
            except OSError:
                return True
        return self.is_broken()

    # Lines and calls.

    def advance(self) -> None:
        """Parses complete lines while more calls may be in progress."""
        if self.reading_paused and self.is_broken():
            # Guards against calls that are begun for a client whose end was not read meanwhile.
            return self.transport.abort()
        while not self.write_buffer_full and len(self.callers) < self.front_end.most_open:
            end = self.pending.find(b"\n")
            if (end if end >= 0 else len(self.pending)) > self.front_end.limits.body_bytes:
                return self.refuse_long_line()
            if end < 0:
                break
            line, self.pending = self.pending[:end].strip(), self.pending[end + 1 :]
            self.came_at = self.arrivals.arrival_of_last_byte(len(self.pending))
            if line:
                self.take_line(line)
        self.update_reading()

    def refuse_long_line(self) -> None:
        """Guards against a line without end: what is buffered is bounded, and it is answered once."""
        self.write_line(encode_response(b"null", encode_error_member(INVALID_REQUEST)))
        self.pending = b""
        self.input_ended = True
        self.end_if_done()

    def update_reading(self) -> None:
        """Pauses or resumes reading, by the write buffer and the number of calls."""
        pause = self.write_buffer_full or len(self.callers) >= self.front_end.most_open
        if pause != self.reading_paused and not self.transport.is_closing():
            self.reading_paused = pause
            (self.transport.pause_reading if pause else self.transport.resume_reading)()

    def take_line(self, line: bytes) -> None:
        """Begins the call or the batch of calls in a line."""
        try:
            is_batch, texts = split_batch(line)
            if len(texts) > self.front_end.most_batch:
                raise InvalidCallError(TOO_MANY)
        except InvalidCallError as error:
            return self.write_line(encode_response(error.call_id, encode_error_member(error.code)))
        batch = Batch(len(texts)) if is_batch else None
        for text in texts:
            self.begin_call(text, batch)

    def begin_call(self, text: bytes, batch: Batch | None) -> None:
        """Starts a call, or ends it by an error where it is invalid."""
        caller = Caller(self, b"", batch)
        self.callers[caller] = None
        try:
            call = parse_call(text)
            call_id = bytes(call.id)
            if call_id and call_id != b"null":
                # Guards against two responses of which the client could not tell which is whose.
                if call_id in self.call_ids:
                    raise InvalidCallError(INVALID_REQUEST)
                self.call_ids.add(call_id)
            caller.call_id = call_id
            if call.method not in self.front_end.methods:
                raise InvalidCallError(METHOD_NOT_FOUND, call_id)
        except InvalidCallError as error:
            if error.code != METHOD_NOT_FOUND:
                caller.call_id = error.call_id
            holds_id = error.code == METHOD_NOT_FOUND
            return self.end_call(caller, encode_error_member(error.code), holds_id)
        self.front_end.start(caller, call)

    def end_call(self, caller: Caller, member: bytes, holds_id: bool = True) -> None:
        """Writes the response to a call, or adds it to its batch. `holds_id`: its id is free again."""
        if self.callers.pop(caller, 0) == 0:
            return
        if holds_id:
            self.call_ids.discard(caller.call_id)
        responses = [encode_response(caller.call_id, member)] if caller.call_id else []
        if not caller.call_id:
            self.front_end.notifications += 1
        if caller.batch is not None:
            caller.batch.calls_left -= 1
            caller.batch.responses += responses
            is_complete = not caller.batch.calls_left and caller.batch.responses
            responses = [b"[" + b",".join(caller.batch.responses) + b"]"] if is_complete else []
        for response in responses:
            self.write_line(response)
        self.end_if_done()
        # Not from within a decision: what waits is looked at in the loop's next turn.
        if (self.pending or self.reading_paused) and len(self.callers) < self.front_end.most_open:
            self.front_end.loop.call_soon(self.advance)

    def write_line(self, text: bytes) -> None:
        """Writes a line, unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(text + b"\n")

    # The end.

    def end_if_done(self) -> None:
        """Ends the connection where nothing is owed and the client, or the shutdown, has ended it."""
        if self.callers or b"\n" in self.pending or self.transport.is_closing():
            return
        if self.input_ended:
            self.transport.close()
        elif self.front_end.shutdown.drain_grace_over and (
            self.front_end.shutdown.time_is_up or self.is_idle()
        ):
            self.end_output()

    def is_idle(self) -> bool:
        """Whether nothing has been read of a call, nor lies unread."""
        return not self.pending and not is_ready(descriptor_of(self.transport), select.POLLIN)

    def may_end(self) -> bool:
        """Whether the shutdown ends this connection now."""
        shutdown = self.front_end.shutdown
        return shutdown.drain_grace_over and (shutdown.time_is_up or self.is_idle())

    def end_output(self) -> None:
        """Guards against a reset that overtakes the last responses: closing with bytes unread sends one."""
        if not self.output_ended:
            self.output_ended = True
            self.transport.resume_reading()
            self.transport.write_eof()

    def close_for_shutdown(self, last: bool) -> None:
        """Answers every call, as the process ends. `last`: the client had time to close."""
        for caller in list(self.callers):
            if caller.request is not None:
                self.front_end.dispatcher.end_unanswered(caller.request)
        self.advance()
        self.end_if_done()
        if last and self.output_ended and not self.transport.get_write_buffer_size():
            self.transport.abort()

    def check_time(self, at: int) -> None:
        """Closes the connection where it exceeds one of the timeouts."""
        limits, waited = self.front_end.limits, at - self.last_progress_at
        has_left = (self.reading_paused or self.input_ended) and self.is_broken()
        reads_too_slowly = self.write_buffer_full and waited > limits.client_read_s * SECOND
        sends_too_slowly = not self.callers and self.pending and waited > limits.client_read_s * SECOND
        if has_left or reads_too_slowly or sends_too_slowly:
            self.transport.abort()
        elif not self.callers and waited > limits.client_idle_s * SECOND:
            self.transport.close()
