"""Connections of JSON-RPC clients, each with many calls in progress, batches and notifications."""

import asyncio
import os
import select
from typing import TYPE_CHECKING

from basalthoist.net.arrivals import Arrivals
from basalthoist.net.delivery import DeliveryProgress
from basalthoist.net.line_buffer import LineBuffer, LineTooLongError
from basalthoist.net.runtime.bounded_reads import BoundedReadProtocol
from basalthoist.net.runtime.descriptors import (
    descriptor_of,
    has_ended,
    is_ready,
    receive_buffer_delay,
    time_since_received,
    undelivered_bytes,
    unread_bytes,
)
from basalthoist.net.runtime.memory_budget import BufferAccount
from basalthoist.net.runtime.timers import SECOND, now

from .caller import Batch, Caller
from .messages import (
    INVALID_REQUEST,
    METHOD_NOT_FOUND,
    TOO_MANY,
    InvalidCallError,
    JsonRpcCall,
    encode_error_member,
    encode_response,
    parse_call,
    split_batch,
)
from .waiting_calls import WaitingCalls

if TYPE_CHECKING:
    from .front_end import JsonRpcFrontEnd

MAX_LINES_PER_TURN = 100  # lines of one connection parsed in a turn of the event loop


class JsonRpcClientConnection(BoundedReadProtocol):
    """One connection of a JSON-RPC client."""

    def __init__(self, front_end: "JsonRpcFrontEnd") -> None:
        super().__init__(front_end.read_buffer)
        self.front_end: JsonRpcFrontEnd = front_end
        self.account: BufferAccount = BufferAccount(front_end.read_buffer.memory_budget)
        self.transport: asyncio.Transport | None = None
        self.pending: LineBuffer = LineBuffer(front_end.limits.body_bytes)  # read and not yet parsed
        self.advance_scheduled: bool = False  # `advance` goes on in the next turn of the event loop
        self.last_progress_at: int = now()
        self.arrivals: Arrivals = Arrivals()
        self.arrived_at: int = self.last_progress_at  # arrival time of the line that is being parsed
        self.callers: dict[Caller, None] = {}  # of the calls in progress and of those that wait
        self.waiting: WaitingCalls = WaitingCalls(
            front_end.timers, front_end.limits.body_bytes, self.shed_waiting_call
        )
        self.call_ids: set[bytes] = set()  # ids of the calls in progress
        self.write_buffer_full: bool = False
        self.delivery: DeliveryProgress = DeliveryProgress()
        self.reading_paused: bool = False
        self.input_ended: bool = False  # The client sends nothing more.
        self.output_ended: bool = False  # All is answered and the end is written; further input is dropped.

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
        self.waiting.clear()
        self.pending.clear()
        self.account.close()
        self.front_end.check_drained()

    def data_received(self, data: bytes) -> None:
        """Parses the data and starts the calls in it."""
        if self.output_ended:
            return
        self.last_progress_at = now()
        self.arrivals.add(len(data), self.last_progress_at - receive_buffer_delay(self.transport))
        self.pending.append(data)
        self.advance()
        self.count_buffers()
        # Guards against many clients that each send a part of a line.
        if self.pending and not self.advance_scheduled and self.account.budget.is_exceeded():
            self.refuse_input()

    def eof_received(self) -> bool:
        """Records that the client sends no more calls. Keeps the connection open for responses."""
        self.input_ended = True
        self.end_if_done()
        return True

    def pause_writing(self) -> None:
        """Pauses reading while the write buffer is full."""
        # Guards against a client that sends calls and does not read the responses.
        self.write_buffer_full = True
        self.last_progress_at = now()
        self.update_reading()

    def resume_writing(self) -> None:
        """Resumes reading after the write buffer has drained."""
        self.write_buffer_full = False
        self.last_progress_at = now()
        self.update_reading()
        self.advance()
        self.count_buffers()

    def count_buffers(self) -> None:
        """Counts the lines that are read and not started, and the responses that the client has not read."""
        self.account.set(len(self.pending) + self.waiting.bytes + self.transport.get_write_buffer_size())

    def is_broken(self) -> bool:
        """Whether the connection is closed in both directions."""
        return has_ended(self.transport)

    def has_disconnected(self) -> bool:
        """Whether a client that waits for a response has closed the connection.

        A client that only ended its sending direction may still read, and looks the same. To tell them apart,
        a space is written, which JSON allows before a response: if the client has closed, its machine replies
        with a reset, within the write on the same machine, else one round trip later.
        """
        if self.is_broken() or not has_ended(self.transport, select.POLLRDHUP):
            return self.is_broken()
        # Guards against a space in the middle of a line. Buffered data makes the space unnecessary: it draws
        # the same reset.
        if not self.transport.get_write_buffer_size():
            try:
                os.write(descriptor_of(self.transport), b" ")
            except BlockingIOError:
                pass  # The client does not read, but is connected.
            except OSError:
                return True
        return self.is_broken()

    # Lines and calls.

    def advance(self) -> None:
        """Starts waiting calls and parses complete lines, as far as the limits allow."""
        if self.reading_paused and self.is_broken():
            # Guards against calls started for a client that closed while reading was paused.
            return self.transport.abort()
        self.start_waiting_calls()
        try:
            self.parse_lines()
        except LineTooLongError:
            return self.refuse_input()
        self.update_reading()

    def parse_lines(self) -> None:
        """Parses at most MAX_LINES_PER_TURN lines; the next turns parse the rest. Raises LineTooLongError."""
        for _ in range(MAX_LINES_PER_TURN):
            if self.write_buffer_full or self.waiting.is_full():
                return
            line = self.pending.next_line()
            if line is None:
                return
            self.arrived_at = self.arrivals.arrival_of_last_byte(len(self.pending))
            line = line.strip()
            if line:
                self.handle_line(line)
        # Guards against a read with many short lines that holds up every other connection.
        self.schedule_advance()

    def schedule_advance(self) -> None:
        """Has `advance` called in the next turn of the event loop; reading is paused until then."""
        if not self.advance_scheduled:
            self.advance_scheduled = True
            self.front_end.loop.call_soon(self.advance_as_scheduled)

    def advance_as_scheduled(self) -> None:
        """Goes on with the lines that are left, and ends the connection if nothing is left to do."""
        self.advance_scheduled = False
        if not self.transport.is_closing():
            self.advance()
            self.end_if_done()

    def refuse_input(self) -> None:
        """Answers an incomplete line with an error and ends the input, so that the buffer is bounded."""
        self.write_line(encode_response(b"null", encode_error_member(INVALID_REQUEST)))
        self.pending.clear()
        self.input_ended = True
        self.end_if_done()

    def update_reading(self) -> None:
        """Pauses reading while responses or lines wait, or too many calls do; else resumes."""
        pause = self.write_buffer_full or self.waiting.is_full() or self.advance_scheduled
        if pause != self.reading_paused and not self.transport.is_closing():
            self.reading_paused = pause
            self.last_progress_at = now()
            (self.transport.pause_reading if pause else self.transport.resume_reading)()

    def observe_unread(self) -> None:
        """Records when the bytes arrived that lie unread, as reading is paused."""
        if unread := unread_bytes(self.transport):
            self.arrivals.observe_unread(unread, now() - time_since_received(self.transport))

    def handle_line(self, line: bytes) -> None:
        """Starts the call or the batch of calls in a line."""
        try:
            is_batch, texts = split_batch(line)
            if len(texts) > self.front_end.max_batch_calls:
                raise InvalidCallError(TOO_MANY)
        except InvalidCallError as error:
            return self.write_line(encode_response(error.call_id, encode_error_member(error.code)))
        batch = Batch(len(texts)) if is_batch else None
        for text in texts:
            self.begin_call(text, batch)

    def begin_call(self, text: bytes, batch: Batch | None) -> None:
        """Starts a call, or answers it with an error if it is invalid."""
        caller = Caller(self, b"", batch)
        self.callers[caller] = None
        try:
            call = parse_call(text)
            call_id = bytes(call.id)
            if call_id and call_id != b"null":
                # Guards against two responses with one id, which the client could not tell apart.
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
        self.start_or_queue(caller, call)

    def start_or_queue(self, caller: Caller, call: JsonRpcCall) -> None:
        """Starts a call, or has it wait while the maximum number of calls is in progress."""
        if self.front_end.read_buffer.memory_budget.is_exceeded():
            return caller.answer(503)
        if self.waiting or self.calls_in_progress() > self.front_end.max_open_calls:
            # Guards against a call whose time passes in a line that is not read.
            self.waiting.add(caller, call, self.front_end.time_left(caller, call))
        else:
            self.front_end.start(caller, call)

    def calls_in_progress(self) -> int:
        """Returns the number of calls that are started, or about to be."""
        return len(self.callers) - len(self.waiting)

    def start_waiting_calls(self) -> None:
        """Starts waiting calls until the maximum number of calls is in progress."""
        while (
            self.waiting
            and not self.write_buffer_full
            and self.calls_in_progress() < self.front_end.max_open_calls
        ):
            self.front_end.start(*self.waiting.take_first())

    @staticmethod
    def shed_waiting_call(caller: Caller) -> None:
        """Answers a call that was never started."""
        caller.answer(503)

    def end_call(self, caller: Caller, member: bytes, holds_id: bool = True) -> None:
        """Writes the response to a call, or adds it to its batch. `holds_id`: the call's id is released."""
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
        # Called back from the event loop, since `end_call` may run within a decision of the balancer.
        if self.waiting or self.pending or self.reading_paused:
            self.schedule_advance()

    def write_line(self, text: bytes) -> None:
        """Writes a line, unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(text + b"\n")
            self.count_buffers()

    # Closing.

    def end_if_done(self) -> None:
        """Ends the connection if every call is answered and the client, or the shutdown, has ended it."""
        if self.callers or self.pending.has_line() or self.transport.is_closing():
            return
        if self.input_ended:
            self.transport.close()
        elif self.may_end():
            self.end_output()

    def is_idle(self) -> bool:
        """Whether there is no unparsed input, neither here nor in the socket."""
        return not self.pending and not is_ready(descriptor_of(self.transport), select.POLLIN)

    def may_end(self) -> bool:
        """Whether the shutdown can end this connection now."""
        shutdown = self.front_end.shutdown
        return shutdown.drain_grace_over and (shutdown.answer_time_over or self.is_idle())

    def end_output(self) -> None:
        """Ends the sending direction and drops further input until the client closes.

        Closing with unread input would send a reset, which may overtake the last responses.
        """
        if not self.output_ended:
            self.output_ended = True
            self.transport.resume_reading()
            self.transport.write_eof()

    def close_for_shutdown(self, close_grace_over: bool) -> None:
        """Answers every call because the process ends. `close_grace_over`: the client had time to close."""
        for caller in list(self.callers):
            if caller.request is not None:
                self.front_end.dispatcher.end_unanswered(caller.request)
            elif caller in self.waiting.calls:
                self.waiting.time_out(caller)
        self.advance()
        self.end_if_done()
        if close_grace_over and self.output_ended and not self.transport.get_write_buffer_size():
            self.transport.abort()

    def check_time(self, at: int) -> None:
        """Closes the connection if it exceeds one of its timeouts."""
        self.count_buffers()
        if self.reading_paused:
            self.observe_unread()
        if self.has_left() or self.reads_nothing(at) or self.sends_too_slowly(at):
            self.transport.abort()
        elif self.is_unused(at):
            self.transport.close()

    def has_left(self) -> bool:
        """Whether the client has closed the connection, which no read reports."""
        return (self.reading_paused or self.input_ended) and self.is_broken()

    def reads_nothing(self, at: int) -> bool:
        """Whether the client has read nothing of its responses for too long. It may read slowly."""
        undelivered = undelivered_bytes(self.transport) if self.write_buffer_full else 0
        return self.delivery.time_stalled(undelivered, at) > self.front_end.limits.client_read_s * SECOND

    def sends_too_slowly(self, at: int) -> bool:
        """Whether the client takes too long to end a line."""
        # Guards against blame for lines that wait to be parsed, or lie unread as reading is paused.
        is_within_line = bool(self.pending) and not self.callers and not self.reading_paused
        return is_within_line and self.has_waited(at, self.front_end.limits.client_read_s)

    def is_unused(self, at: int) -> bool:
        """Whether the client has made no call for too long."""
        is_idle = not self.callers and not self.reading_paused
        return is_idle and self.has_waited(at, self.front_end.limits.client_idle_s)

    def has_waited(self, at: int, seconds: float) -> bool:
        """Whether nothing was read, and reading neither paused nor resumed, for longer than `seconds`."""
        return at - self.last_progress_at > seconds * SECOND
