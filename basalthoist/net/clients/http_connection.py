"""HTTP/1 connections of clients: an asyncio protocol that reads requests and writes responses."""

import asyncio
import select
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from basalthoist.net.clients.request_reading import RequestReading
from basalthoist.net.clients.response_stream import ResponseStream
from basalthoist.net.clients.responses import CONTINUE, RETRY_AFTER, Header, response_head
from basalthoist.net.delivery import DeliveryProgress
from basalthoist.net.framing import BadMessage, Message, Reader
from basalthoist.net.proxied_request import ProxiedRequest
from basalthoist.net.runtime.bounded_reads import BoundedReadProtocol
from basalthoist.net.runtime.descriptors import descriptor_of, has_ended, is_ready
from basalthoist.net.runtime.memory_budget import BufferAccount
from basalthoist.net.runtime.timers import SECOND, now

if TYPE_CHECKING:
    from basalthoist.net.clients.front_end import FrontEnd

# After what time a client may be evicted for another: since its last progress within a request, and since its
# last response. In tenths of a millisecond.
PARTIAL_REQUEST_GRACE = SECOND
RESPONSE_GRACE = SECOND // 4


class HttpClientConnection(BoundedReadProtocol):
    """One HTTP/1 connection of a client. Serves one request at a time; later ones wait in `reader`."""

    def __init__(self, front_end: "FrontEnd", admitted: bool) -> None:
        limits = front_end.limits
        super().__init__(front_end.read_buffer)
        self.front_end: FrontEnd = front_end
        # False if the descriptor budget is exhausted: each request is then answered 503.
        self.admitted: bool = admitted
        self.transport: asyncio.Transport | None = None
        self.reading: RequestReading | None = None
        self.reader: Reader = Reader(
            False, limits.head_bytes, limits.body_bytes, limits.long_bytes, limits.head_fields
        )
        self.reader.on_long_body = self.start_upload
        self.request: ProxiedRequest | None = None  # in progress
        self.has_sent_request: bool = False  # whether a request has ever been received and started
        self.invalid_requests: int = 0
        self.discarded_bytes: int = 0  # received after the last response
        self.keep_alive: bool = True  # whether the connection stays open after the current response
        self.finished: bool = False  # no further request is served
        self.finished_at: int = 0  # when the last response was written, if it is
        self.connected_at: int = now()
        self.last_progress_at: int = self.connected_at  # set by `record_progress`
        self.account: BufferAccount = BufferAccount(front_end.memory_budget)
        # State of writing.
        self.write_buffer_full: bool = False
        self.delivery: DeliveryProgress = DeliveryProgress()
        self.http_version: str = "1.1"
        self.stream: ResponseStream | None = None  # the response in progress, if it is streamed

    # Called by the dispatcher; `abort` also by `PausedClientMonitor` while reading is paused.

    def has_disconnected(self) -> bool:
        """Returns whether the client has closed its connection, even if the end of file is still unread."""
        return has_ended(self.transport, select.POLLRDHUP)

    def abort(self) -> None:
        """Aborts the connection and cancels its request."""
        self.connection_ended()
        self.transport.abort()

    def connection_ended(self) -> None:
        """Cancels the request in progress, if any, as no client waits for its response."""
        self.finished = True
        if self.request is not None:
            request, self.request = self.request, None
            self.front_end.dispatcher.client_disconnected(request)

    # Called by the event loop.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Registers the connection with the front end."""
        self.transport = transport
        self.reading = RequestReading(self, transport)
        # With any byte unwritten, no further request starts: responses are written one at a time.
        transport.set_write_buffer_limits(high=0)
        self.front_end.clients[self] = None

    def connection_lost(self, error: Exception | None) -> None:
        """Unregisters the connection, releases its descriptor and cancels its request."""
        self.front_end.clients.pop(self, None)
        self.front_end.idle_clients.pop(self, None)
        self.front_end.paused_client_monitor.unwatch(self)
        self.front_end.descriptors.release()
        self.connection_ended()
        self.reader.close()
        self.reading.close()
        self.account.close()
        self.front_end.check_drained()

    def data_received(self, data: bytes) -> None:
        """Feeds the reader and starts the next request if none is in progress."""
        self.reading.turns.on_read(len(data), len(data) == self.read_bytes)
        if self.finished:
            return self.discard(data)
        if self.reader.idle() and self.request is None:
            self.record_progress()
            self.front_end.idle_clients.pop(self, None)
        try:
            self.reader.feed(data, self.reading.arrival_time())
            if self.reading.upload is not None and (message := self.reader.next()) is not None:
                self.reading.end_upload(message.arrived_at)
        except Exception as error:
            return self.reject_invalid(error)
        if self.finished:
            return self.release_input()
        self.reading.observe_late_body()
        if self.request is not None or self.write_buffer_full:
            self.reading.limit_pipeline(behind_request=True)
        else:
            self.start_next_request()
        self.count_buffers()
        if self.front_end.memory_budget.is_exceeded() and self.has_partial_request():
            self.front_end.connection_limits.on_memory_exceeded(self)

    def pause_writing(self) -> None:
        """Pauses reading from the backend, as the write buffer is full."""
        self.write_buffer_full = True
        self.record_progress()
        self.pause_backend(True)

    def resume_writing(self) -> None:
        """Resumes reading from the backend and starts the next request, as the write buffer has drained."""
        self.write_buffer_full = False
        self.record_progress()
        self.pause_backend(False)
        self.start_next_request()
        self.count_buffers()

    # Reading.

    def release_input(self) -> None:
        """Discards what is buffered of requests, as none is served any more."""
        self.reader.clear()
        self.count_buffers()

    def discard(self, data: bytes) -> None:
        """Drops bytes received after the last response, and stops reading above `long_bytes`."""
        # Guards against reading without limit, for example the rest of a rejected body of many megabytes.
        self.discarded_bytes += len(data)
        self.record_progress()
        if self.discarded_bytes > self.front_end.limits.long_bytes:
            self.reading.turns.pause()

    def record_progress(self) -> None:
        """Sets `last_progress_at` and keeps `FrontEnd.clients` in its order, the oldest first."""
        self.last_progress_at = now()
        if self.front_end.clients.pop(self, self) is None:
            self.front_end.clients[self] = None

    def start_upload(self, message: Message, length: int | None) -> Callable | None:
        """Starts a request whose body exceeds the buffer limit, to stream the body.

        Returns the callback for the parts of the body.
        """
        upload = self.reading.start_upload(length)
        self.start_request(message)
        if self.request is None:
            self.reading.abandon_upload()  # the request is answered already; the rest of its body is dropped
        return upload.take

    # Starting and rejecting requests.

    def start_next_request(self) -> None:
        """Starts the next complete request in `reader`, if any."""
        if self.request is not None or self.write_buffer_full or self.finished:
            return
        try:
            message = self.reader.next()
        except Exception as error:
            return self.reject_invalid(error)
        if self.finished:
            return  # reading it started an upload that was answered at once
        # Guards against a connection that is never read again, as all that was buffered is taken now.
        self.reading.limit_pipeline(behind_request=message is not None)
        if message is not None and self.reading.upload is not None:
            return self.reading.end_upload(message.arrived_at)
        if message is not None:
            return self.start_request(message)
        if self.reader.expects_continue:
            self.reader.expects_continue = False
            self.transport.write(CONTINUE)

    def start_request(self, message: Message) -> None:
        """Passes a request to the front end; an exception there affects this request only."""
        self.keep_alive = message.keep_alive and self.admitted
        self.has_sent_request = True
        self.http_version = message.version
        try:
            self.front_end.accept_request(self, message)
        except BadMessage as error:
            self.invalid_requests += 1
            self.keep_alive = self.keep_alive and self.invalid_requests < self.front_end.limits.client_errors
            self.answer(error.status)
        except Exception as error:
            # Guards against an exception that would end the other requests of this connection.
            self.front_end.log(f"request failed: {error!r}")
            if self.request is None:
                self.answer(500)
            else:
                self.front_end.dispatcher.end_failed(self.request)

    def reject_invalid(self, error: Exception) -> None:
        """Answers the exception that the reader raised: the status of a BadMessage, or 500."""
        if isinstance(error, BadMessage):
            self.reject(error.status)
        else:
            self.front_end.log(f"request not read: {error!r}")
            self.reject(500)

    def reject(self, status: int, headers: Iterable[Header] = ()) -> None:
        """Answers with the status and closes: as the end of the message is unknown, no other can follow."""
        if self.reading.upload is not None and self.request is not None:
            request, self.request = self.request, None
            # Its body will never be complete.
            self.front_end.dispatcher.client_disconnected(request)
            if request.stream is not None:
                return self.transport.abort()
        if self.request is None:
            self.keep_alive = False
            self.answer(status, headers)

    def reject_partial_request(self) -> None:
        """Rejects the incomplete request and releases its buffer."""
        self.reject(503, [RETRY_AFTER])
        self.release_input()

    def time_out(self) -> None:
        """Ends a connection that is too slow, with 408 if a response can still be written."""
        if self.write_buffer_full or self.finished:
            self.transport.abort()
        else:
            self.reject(408)

    # Complete responses.

    def answer(self, status: int, headers: Iterable[Header] = (), body: bytes = b"") -> None:
        """Writes a complete response to the request in progress."""
        self.request = None
        if self.finished or self.transport.is_closing():
            return
        self.abandon_upload()
        # Guards against a write that raises from within a decision of the balancer.
        try:
            self.write(status, headers, body)
        except Exception as error:
            self.front_end.log(f"answer not written: {error!r}")
            self.transport.abort()

    def abandon_upload(self) -> None:
        """Has the connection close after a response that precedes the end of the request body."""
        if self.reading.upload is not None or self.reader.message is not None:
            self.reading.abandon_upload()
            self.keep_alive = False

    def write(self, status: int, headers: Iterable[Header], body: bytes) -> None:
        """Writes head and body in one call."""
        self.keep_alive = self.keep_alive and not self.is_last_response()
        head = response_head(status, [(b"Content-Length", b"%d" % len(body)), *headers], self.keep_alive)
        self.transport.writelines([head, body] if len(body) else [head])
        self.after_response()
        self.count_buffers()

    def is_last_response(self) -> bool:
        """Returns whether to close after this response: the node drains and no other request has arrived."""
        if not self.front_end.draining or not self.reader.idle():
            return False
        return self.front_end.shutdown.answer_time_over or not self.has_unread_input()

    def after_response(self) -> None:
        """Closes the connection, starts its next request, or marks it as idle."""
        self.record_progress()
        if not self.keep_alive:
            self.finish()
        elif not self.reader.idle():
            # Deferred: this may run within a decision of the balancer, and decisions are not reentrant.
            self.front_end.loop.call_soon(self.start_next_request)
        else:
            self.front_end.add_idle(self)

    # Streamed responses.

    def start_stream(self, headers: Iterable[Header], length: int | None) -> Callable:
        """Writes the head of a streamed response. Returns the callback for the parts of its body."""
        if self.reading.upload is not None:
            self.keep_alive = False  # the response may end before the request body does
        self.stream = stream = ResponseStream(self, length, self.http_version)
        self.keep_alive = self.keep_alive and not self.is_last_response() and stream.framed
        self.transport.write(response_head(200, stream.with_framing(headers), self.keep_alive))
        return stream.write

    def end_stream(self, complete: bool) -> None:
        """Ends a streamed response; if incomplete, aborts the connection so that the client detects it."""
        self.request = None
        self.abandon_upload()
        stream, self.stream = self.stream, None
        if not complete:
            stream.abort()
        elif not self.finished and not self.transport.is_closing():
            stream.end()
            self.after_response()

    def pause_backend(self, paused: bool) -> None:
        """Applies backpressure to the backend connection of a streamed response."""
        call = self.request.stream if self.request is not None else None
        if call is not None and call.connection is not None:
            call.connection.apply_backpressure(paused)

    # Closing.

    def finish(self) -> None:
        """Closes the sending side. Received bytes are discarded until the client closes, too."""
        # A close with unread bytes would send a reset, which may overtake the last response.
        self.finished = True
        self.finished_at = now()
        self.record_progress()
        self.reading.turns.resume()
        self.transport.write_eof()

    def close(self) -> None:
        """Closes at once. Only for a connection with nothing in progress."""
        self.finished = True
        self.transport.close()

    def close_for_shutdown(self, close_grace_over: bool) -> None:
        """Answers an unanswered request now, as the process ends, and closes the connection.

        `close_grace_over`: the time that a client has to close after its response has passed, so the
        connection is aborted.
        """
        if self.transport.is_closing():
            return
        if self.request is not None:
            # Guards against no response to a request whose timeout exceeds that of every route.
            self.front_end.dispatcher.end_unanswered(self.request)
        elif self.transport.get_write_buffer_size():
            pass  # a response is being written
        elif self.finished:
            if close_grace_over:
                self.transport.abort()
        elif self.has_partial_request():
            # Guards against a request whose last byte arrives as its connection is closed.
            self.reject(503, [RETRY_AFTER])
        elif self.is_idle():
            self.close()
        # Otherwise unread bytes have arrived; they are read in the next turn of the event loop, and answered.

    # The state of the connection.

    def is_idle(self) -> bool:
        """Returns whether no request is in progress, partly read or unread, so that closing loses none."""
        if self.request is not None or not self.reader.idle() or self.write_buffer_full or self.finished:
            return False
        if self.transport.is_closing():
            return False
        return not self.has_unread_input()

    def has_unread_input(self) -> bool:
        """Returns whether the kernel's receive buffer holds unread bytes."""
        return is_ready(descriptor_of(self.transport), select.POLLIN)

    def has_partial_request(self) -> bool:
        """Returns whether part of a request has been read that is not started yet."""
        return self.request is None and not (self.finished or self.write_buffer_full or self.reader.idle())

    def is_evictable(self, at: int) -> bool:
        """Returns whether its descriptor can be freed at the time `at`: it is done, or stopped half way."""
        # Guards against evicting a client whose response is being written, or that has sent unread bytes.
        if self.finished:
            return self.has_had_response(at)
        stands_still = at - self.last_progress_at > PARTIAL_REQUEST_GRACE
        return stands_still and self.has_partial_request() and not self.has_unread_input()

    def has_had_response(self, at: int) -> bool:
        """Returns whether the last response is written, and there was time to read it, at the time `at`."""
        # Guards against a client that goes on sending the body of a rejected request, and is never idle.
        return at - self.finished_at > RESPONSE_GRACE and not self.transport.get_write_buffer_size()

    def count_buffers(self) -> None:
        """Counts what is buffered of requests and responses; connections to backends count their own."""
        size = self.reader.buffered_bytes() + self.transport.get_write_buffer_size()
        if self.reading.upload is not None:
            size += len(self.reading.upload.buffer)
        if self.request is not None:
            size += self.request.buffered_bytes()
        self.account.set(size)
