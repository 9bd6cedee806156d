"""What pauses reading from an HTTP client, and what is known meanwhile of the bytes that lie unread."""

import asyncio
from typing import TYPE_CHECKING

from basalthoist.net.framing import Reader
from basalthoist.net.runtime.descriptors import receive_buffer_delay, time_since_received, unread_bytes
from basalthoist.net.runtime.memory_budget import MemoryBudget
from basalthoist.net.runtime.read_turns import ReadTurns
from basalthoist.net.runtime.timers import now
from basalthoist.net.uploads import Upload

if TYPE_CHECKING:
    from basalthoist.net.clients.http_connection import HttpClientConnection
    from basalthoist.net.clients.paused_clients import PausedClientMonitor

# Of a streamed body until an attempt takes it. The rest has to fit into the kernel's receive buffer, so that
# the end of a client that leaves is seen behind it.
MAX_BUFFERED_BODY_BYTES = 160 * 1024


class RequestReading:
    """Pauses and resumes reading from one client. Times are in tenths of a millisecond.

    Reading is paused while the backend takes no more of a body, and while too much is buffered behind the
    request in progress. The client is watched by `PausedClientMonitor` until both have ended.
    """

    def __init__(self, client: "HttpClientConnection", transport: asyncio.Transport) -> None:
        self.client: HttpClientConnection | None = client  # None once its connection is closed
        self.transport: asyncio.Transport = transport
        self.reader: Reader = client.reader
        self.memory_budget: MemoryBudget = client.front_end.memory_budget
        self.monitor: PausedClientMonitor = client.front_end.paused_client_monitor
        self.turns: ReadTurns = ReadTurns(client.front_end.loop, transport)
        # A request body that is streamed to a backend, until its last byte is read.
        self.upload: Upload | None = None
        self.is_paused: bool = False
        self.pipeline_full: bool = False  # too many bytes are buffered behind the request in progress
        self.body_paused: bool = False  # the backend takes no more of the request body for now

    def close(self) -> None:
        """Ends the reading, as the connection is closed."""
        # Guards against closed connections that keep their memory until the garbage collector finds them.
        self.client = self.upload = None

    def arrival_time(self) -> int:
        """Returns when the data arrived that is read now."""
        return now() - receive_buffer_delay(self.transport)

    def unread_for(self) -> int:
        """Returns for how long the last bytes from the client have waited unread."""
        return receive_buffer_delay(self.transport) if self.is_paused else 0

    # Pausing.

    def limit_pipeline(self, behind_request: bool) -> None:
        """Pauses reading if too much is buffered; `behind_request`: behind a request in progress.

        Up to the limit reading continues, so that a disconnect is detected.
        """
        # Guards against a client that sends without limit while its response is awaited.
        most = min(self.reader.head_bytes + self.reader.body_bytes, self.memory_budget.max_sent_ahead())
        self.pipeline_full = behind_request and len(self.reader.pending) > most
        self.update()

    def max_buffered_body(self) -> int:
        """Returns how many bytes of a body may be buffered until an attempt takes them."""
        return min(MAX_BUFFERED_BODY_BYTES, self.memory_budget.max_sent_ahead())

    def pause_body(self, paused: bool) -> None:
        """Pauses or resumes reading the body, for backpressure from the backend."""
        if self.upload is not None:
            self.body_paused = paused
            self.update()

    def update(self) -> None:
        """Pauses or resumes reading, as the reasons to pause demand."""
        pause = self.pipeline_full or self.upload is not None and self.body_paused
        if pause == self.is_paused or self.client is None or self.client.finished:
            return
        self.is_paused = pause
        if pause:
            self.turns.pause()
            self.monitor.watch(self.client)
            self.observe_unread()
        else:
            self.turns.resume()
            self.monitor.unwatch(self.client)

    def count_buffers(self) -> None:
        """Counts what is buffered for the client, as a part of it has been handed on."""
        if self.client is not None:
            self.client.count_buffers()

    # Bodies that are streamed.

    def start_upload(self, length: int | None) -> Upload:
        """Starts to stream a body of `length` bytes, or of unknown length."""
        self.upload = Upload(self, length)
        self.body_paused = False
        return self.upload

    def end_upload(self, arrived_at: int) -> None:
        """Completes the body, the last byte of which is read now and arrived at `arrived_at`."""
        self.pause_body(False)
        upload, self.upload = self.upload, None
        upload.end(arrived_at)

    def abandon_upload(self) -> None:
        """Streams the body no further, as its request is answered."""
        self.pause_body(False)
        if self.upload is not None:
            self.upload.abandon()
            self.upload = None

    # Unread bytes.

    def observe_late_body(self) -> None:
        """Observes what is left unread after a read, of a body whose last byte may have been sent."""
        if self.upload is not None and self.upload.arrival.possible_since is not None:
            self.observe_unread()

    def observe_unread(self) -> None:
        """Records when the bytes arrived that lie unread, as reading is paused."""
        unread, waited = unread_bytes(self.transport), time_since_received(self.transport)
        if unread:
            self.reader.arrivals.observe_unread(unread, now() - waited)
        if self.upload is not None and self.upload.arrived_at is None:
            self.check_unread_body(self.upload, unread, waited)

    def check_unread_body(self, upload: Upload, unread: int, waited: int) -> None:
        """Has the request's time begin once the rest of its body is sent, though it is unread.

        `unread`: bytes in the receive buffer, the last of which arrived `waited` ago.
        """
        # Guards against a request without an answer, as its backend hangs and its last byte is never read.
        missing = self.reader.missing_bytes()
        arrived_at = upload.arrival.observe(now(), unread, waited, missing, upload.timeout)
        if arrived_at is not None:
            upload.arrive(arrived_at)
