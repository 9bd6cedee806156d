"""HTTP/1 connections of clients: an asyncio protocol that reads requests and writes responses."""

import asyncio
import select
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from basalthoist.net.clients.response_stream import ResponseStream
from basalthoist.net.clients.responses import CONTINUE, RETRY_AFTER, Header, response_head
from basalthoist.net.framing import BadMessage, Message, Reader
from basalthoist.net.proxied_request import ProxiedRequest
from basalthoist.net.runtime.descriptors import descriptor_of, has_ended, is_ready, receive_buffer_delay
from basalthoist.net.runtime.timers import now
from basalthoist.net.uploads import Upload

if TYPE_CHECKING:
    from basalthoist.net.clients.front_end import FrontEnd


class HttpClientConnection(asyncio.Protocol):
    """One HTTP/1 connection of a client. It serves one request at a time; what follows waits in `reader`."""

    def __init__(self, front_end: "FrontEnd", admitted: bool) -> None:
        limits = front_end.limits
        self.front_end: FrontEnd = front_end
        self.admitted: bool = admitted  # false: the file-descriptor budget is spent and each request gets 503
        self.transport: asyncio.Transport | None = None
        self.reader: Reader = Reader(False, limits.head_bytes, limits.body_bytes, limits.long_bytes)
        self.reader.on_long_body = self.start_upload
        self.request: ProxiedRequest | None = None  # the one in progress
        self.upload: Upload | None = None  # a body streamed to a backend, until its last byte has come
        self.has_sent_request: bool = False  # whether a complete request has come yet
        self.invalid_requests: int = 0
        self.discarded_bytes: int = 0  # read after the last response
        self.keep_alive: bool = True  # whether the connection stays open after this response
        self.finished: bool = False  # no further request is served
        self.connected_at: int = now()
        self.last_progress_at: int = self.connected_at  # fell idle, began to read or to be written to
        # Of reading.
        self.reading_paused: bool = False
        self.pipeline_full: bool = False  # too much is buffered behind the request in progress
        self.body_paused: bool = False  # the backend does not take more of the body now
        # Of writing.
        self.write_buffer_full: bool = False
        self.unread_bytes: int = 0  # in the write buffer at the last sweep
        self.last_read_at: int = now()  # when the client last took some of them
        self.http_version: str = "1.1"
        self.stream: ResponseStream | None = None  # the response in progress, where it is streamed

    # Called by the dispatcher, and by `DisconnectMonitor` while reading is paused.

    def has_disconnected(self) -> bool:
        """Whether the client has closed, though its end may not have been read yet."""
        return has_ended(self.transport, select.POLLRDHUP)

    def abort(self) -> None:
        """Aborts the connection and cancels its request."""
        self.connection_ended()
        self.transport.abort()

    def connection_ended(self) -> None:
        """Cancels the request in progress: nobody waits for its response."""
        self.finished = True
        if self.request is not None:
            request, self.request = self.request, None
            self.front_end.dispatcher.client_disconnected(request)

    # Called by the event loop.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Registers the connection with the front end."""
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # responses go out at once, and one at a time
        self.front_end.clients[self] = None

    def connection_lost(self, wrong: Exception | None) -> None:
        """Releases what the connection holds."""
        self.front_end.clients.pop(self, None)
        self.front_end.idle_clients.pop(self, None)
        self.front_end.disconnect_monitor.unwatch(self)
        self.front_end.descriptors.release()
        self.connection_ended()
        self.front_end.check_drained()

    def data_received(self, data: bytes) -> None:
        """Feeds the reader, and starts the next request if none is in progress."""
        if self.finished:
            return self.discard(data)
        if self.reader.idle() and self.request is None:
            self.record_progress()
            self.front_end.idle_clients.pop(self, None)
        try:
            self.reader.feed(data, now() - receive_buffer_delay(self.transport))
            if self.upload is not None and self.reader.next() is not None:
                self.end_upload()
        except Exception as wrong:
            return self.reject_invalid(wrong)
        if self.request is not None or self.write_buffer_full:
            return self.limit_pipeline()
        self.start_next_request()
        if not self.finished and self.has_partial_request():
            budget = self.front_end.memory_budget
            budget.used += len(data)
            if budget.used > budget.limit:
                self.front_end.connection_limits.enforce_memory_budget()

    def pause_writing(self) -> None:
        """The write buffer is full: the backend is held back."""
        self.write_buffer_full = True
        self.record_progress()
        self.pause_backend(True)

    def resume_writing(self) -> None:
        """The write buffer has drained."""
        self.write_buffer_full = False
        self.record_progress()
        self.pause_backend(False)
        self.start_next_request()

    # Reading.

    def discard(self, data: bytes) -> None:
        """Drops what comes after the last response."""
        # Guards against reading on and on what nobody wants, such as a body of many megabytes.
        self.discarded_bytes += len(data)
        self.record_progress()
        if self.discarded_bytes > self.front_end.limits.long_bytes:
            self.transport.pause_reading()

    def limit_pipeline(self) -> None:
        """Reads on behind the request in progress, so that a disconnect is seen, up to a limit."""
        # Guards against a client that sends on without end while its response is awaited.
        self.pipeline_full = len(self.reader.pending) > self.reader.head_bytes + self.reader.body_bytes
        self.update_reading()

    def update_reading(self) -> None:
        """Pauses or resumes reading, for backpressure on the body or on pipelined requests."""
        pause = self.pipeline_full or self.upload is not None and self.body_paused
        if pause == self.reading_paused or self.finished:
            return
        self.reading_paused = pause
        if pause:
            self.transport.pause_reading()
            self.front_end.disconnect_monitor.watch(self)
        else:
            self.transport.resume_reading()
            self.front_end.disconnect_monitor.unwatch(self)

    def record_progress(self) -> None:
        """Keeps `clients` in the order of `last_progress_at`: the one idle for longest comes first."""
        self.last_progress_at = now()
        if self.front_end.clients.pop(self, self) is None:
            self.front_end.clients[self] = None

    def start_upload(self, message: Message, length: int | None) -> Callable | None:
        """The body exceeds the buffer limit: its request starts now and the body is streamed.

        Returns what is to be called with each part of the body; None: it is rejected.
        """
        self.upload = upload = Upload(self, length, self.front_end.limits.body_bytes)
        self.body_paused = False
        self.start_request(message)
        if self.request is None:
            self.upload = None  # it has been answered already; the rest is dropped
        return upload.take

    def end_upload(self) -> None:
        """The streamed body is complete."""
        self.pause_body(False)
        upload, self.upload = self.upload, None
        upload.end()

    def pause_body(self, paused: bool) -> None:
        """Backpressure from the backend that the body goes to."""
        if self.upload is not None:
            self.body_paused = paused
            self.update_reading()

    # Starting and rejecting requests.

    def start_next_request(self) -> None:
        """Starts the next request that has been read, if any."""
        if self.request is not None or self.write_buffer_full or self.finished:
            return
        try:
            message = self.reader.next()
        except Exception as wrong:
            return self.reject_invalid(wrong)
        if self.finished:
            return  # it has been answered before its body was complete
        if message is not None and self.upload is not None:
            return self.end_upload()
        self.limit_pipeline()
        if message is not None:
            return self.start_request(message)
        if self.reader.expects_continue:
            self.reader.expects_continue = False
            self.transport.write(CONTINUE)

    def start_request(self, message: Message) -> None:
        """Passes a request to the front end; a failure there answers this request only."""
        self.keep_alive = message.keep_alive and self.admitted
        self.has_sent_request = True
        self.http_version = message.version
        try:
            self.front_end.accept_request(self, message)
        except BadMessage as wrong:
            self.invalid_requests += 1
            self.keep_alive = self.keep_alive and self.invalid_requests < self.front_end.limits.client_errors
            self.answer(wrong.status)
        except Exception as wrong:
            # Guards against one request that breaks something here and takes the connection's others along.
            self.front_end.log(f"request failed: {wrong!r}")
            if self.request is None:
                self.answer(500)
            else:
                self.front_end.dispatcher.end_failed(self.request)

    def reject_invalid(self, wrong: Exception) -> None:
        """Answers bytes that are no valid request."""
        if isinstance(wrong, BadMessage):
            self.reject(wrong.status)
        else:
            self.front_end.log(f"request not read: {wrong!r}")
            self.reject(500)

    def reject(self, status: int, headers: Iterable[Header] = ()) -> None:
        """Answers and closes: where the message ends is unknown, so nothing more can be read."""
        if self.upload is not None and self.request is not None:
            request, self.request = self.request, None
            self.front_end.dispatcher.client_disconnected(request)  # its body will never be complete
            if request.stream is not None:
                return self.transport.abort()
        if self.request is None:
            self.keep_alive = False
            self.answer(status, headers)

    def reject_partial_request(self) -> None:
        """Rejects the request read in part and releases its bytes."""
        self.reject(503, [RETRY_AFTER])
        self.reader.restart()
        self.reader.pending = b""

    def time_out(self) -> None:
        """Ends a connection that is too slow: by 408 where a response can still be written."""
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
        # Guards against a connection that breaks as it is written to, from within a decision.
        try:
            self.write(status, headers, body)
        except Exception as wrong:
            self.front_end.log(f"answer not written: {wrong!r}")
            self.transport.abort()

    def abandon_upload(self) -> None:
        """A response before the body is complete is the last: what follows is the rest of the body."""
        if self.upload is not None or self.reader.message is not None:
            self.pause_body(False)
            self.keep_alive = False
            self.upload = None

    def write(self, status: int, headers: Iterable[Header], body: bytes) -> None:
        """Writes head and body at once."""
        self.keep_alive = self.keep_alive and not self.is_last_response()
        head = response_head(status, [(b"Content-Length", b"%d" % len(body)), *headers], self.keep_alive)
        self.transport.writelines([head, body] if len(body) else [head])
        self.after_response()

    def is_last_response(self) -> bool:
        """Whether to close after this response: the node drains and no other request has come."""
        if not self.front_end.draining or not self.reader.idle():
            return False
        return self.front_end.shutdown.time_is_up or not self.has_unread_input()

    def after_response(self) -> None:
        """Closes, goes on with the next request, or becomes idle."""
        self.record_progress()
        if not self.keep_alive:
            self.finish()
        elif not self.reader.idle():
            # Not at once: a response may come from within a decision, which the next request must not enter.
            self.front_end.loop.call_soon(self.start_next_request)
        else:
            self.front_end.add_idle(self)

    # Streamed responses.

    def start_stream(self, headers: Iterable[Header], length: int | None) -> Callable:
        """Writes the head and returns what is to be called with each part of the body."""
        if self.upload is not None:
            self.keep_alive = False  # as long as both go on it is not known which ends first
        self.stream = stream = ResponseStream(self, length, self.http_version)
        self.keep_alive = self.keep_alive and not self.is_last_response() and stream.framed
        self.transport.set_write_buffer_limits(high=self.front_end.limits.body_bytes // 2)
        self.transport.write(response_head(200, stream.with_framing(headers), self.keep_alive))
        return stream.write

    def end_stream(self, complete: bool) -> None:
        """Ends a streamed response; one that is not complete is made visible to the client as such."""
        self.request = None
        self.abandon_upload()
        stream, self.stream = self.stream, None
        if not complete:
            stream.abort()
        elif not self.finished and not self.transport.is_closing():
            stream.end()
            self.transport.set_write_buffer_limits(high=0)
            self.after_response()

    def pause_backend(self, paused: bool) -> None:
        """Passes backpressure on to the backend connection of a streamed response."""
        call = self.request.stream if self.request is not None else None
        if call is not None and call.connection is not None:
            call.connection.apply_backpressure(paused)

    # Closing.

    def finish(self) -> None:
        """Ends the sending side. What still comes is discarded until the client has closed too."""
        # Guards against a reset that overtakes the last response, as closing with bytes unread would send.
        self.finished = True
        self.record_progress()
        self.transport.resume_reading()
        self.transport.write_eof()

    def close(self) -> None:
        """Closes at once; only for a connection with nothing in progress."""
        self.finished = True
        self.transport.close()

    def close_for_shutdown(self, last: bool) -> None:
        """The process ends: what is unanswered is answered now, and the connection ends with it.

        `last`: a client that has its response and does not close has had the time for it.
        """
        if self.transport.is_closing():
            return
        if self.request is not None:
            # Guards against a request whose timeout is beyond that of every route: it would get no response.
            self.front_end.dispatcher.end_unanswered(self.request)
        elif self.transport.get_write_buffer_size():
            pass  # a response is being written
        elif self.finished:
            if last:
                self.transport.abort()
        elif self.has_partial_request():
            # Guards against a request whose last byte comes as its connection is closed.
            self.reject(503, [RETRY_AFTER])
        elif self.is_idle():
            self.close()  # otherwise what has come is read in the loop's next turn, and answered

    # The state of the connection.

    def is_idle(self) -> bool:
        """Nothing in progress, read in part or come and not yet read: closing it loses no request."""
        if self.request is not None or not self.reader.idle() or self.write_buffer_full or self.finished:
            return False
        if self.transport.is_closing():
            return False
        return not self.has_unread_input()

    def has_unread_input(self) -> bool:
        """Whether bytes lie in the machine's buffer that have not been read here."""
        return is_ready(descriptor_of(self.transport), select.POLLIN)

    def has_partial_request(self) -> bool:
        """Whether a request has been read in part and has not been started yet."""
        return self.request is None and not (self.finished or self.write_buffer_full or self.reader.idle())

    def is_evictable(self) -> bool:
        """Whether its descriptor can be freed: half-way in a request, or finished and not closing."""
        # Guards against evicting a client whose response is being written, or that has sent unread bytes.
        if self.finished:
            return not self.transport.get_write_buffer_size()
        return self.has_partial_request() and not self.has_unread_input()

    def buffered_bytes(self) -> int:
        """Bytes buffered for this connection and its request, on either side."""
        if self.transport.is_closing():
            return 0
        total = self.reader.buffered_bytes() + self.transport.get_write_buffer_size()
        if self.upload is not None:
            total += len(self.upload.buffer)
        if self.request is not None:
            total += len(self.request.body)
            for call in self.request.calls:
                if call is not None and call.connection is not None:
                    total += call.connection.reader.buffered_bytes()
        return total
