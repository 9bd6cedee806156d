"""Request bodies too long to buffer, which are streamed from the client to a backend."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from basalthoist.net.body_arrival import BodyArrival
from basalthoist.net.framing import LAST_CHUNK, chunk_of
from basalthoist.net.runtime.timers import now

if TYPE_CHECKING:
    from basalthoist.net.clients.request_reading import RequestReading
    from basalthoist.net.upstream.connection import Connection


class Upload:
    """The streamed body of one request, from the client's connection to a single attempt.

    Until there is an attempt the body is buffered, as far as `reading` allows.
    `on_forwarding_started` is called when the body is attached to a backend connection, after which it cannot
    be sent again. `on_arrived` is called once, with the time from which the request's timeout counts: that of
    its last byte, which may not be read yet.
    """

    def __init__(self, reading: "RequestReading", length: int | None) -> None:
        self.reading: RequestReading = reading
        self.length: int | None = length  # in bytes; None: unknown, so the body is sent in chunks
        self.buffer: bytearray = bytearray()
        self.arrival: BodyArrival = BodyArrival()
        # When the last byte arrived or counts as sent, in tenths of a millisecond, once that is known.
        self.arrived_at: int | None = None
        self.complete: bool = False  # whether the last byte is read
        self.connection: Connection | None = None
        self.abandoned: bool = False  # whether the rest of the body is dropped
        self.consumed: bool = False  # whether the body was attached to an attempt, so it cannot be sent again
        # The request's timeout, counted from the last byte of its body, in tenths of a millisecond.
        self.timeout: int = 0
        self.on_forwarding_started: Callable[[], None] = lambda: None
        self.on_arrived: Callable[[int], None] = lambda arrived_at: None

    def take(self, data: bytes | memoryview | bytearray) -> None:
        """Forwards, buffers or drops bytes of the body that the client's connection has read."""
        if self.abandoned:
            return
        if self.connection is not None:
            return self.connection.forward(self.framed(data))
        self.buffer += data
        if len(self.buffer) > self.reading.max_buffered_body():
            self.reading.pause_body(True)

    def timeout_for_backend(self) -> int:
        """Returns the request's timeout as a backend counts it, from when it gets the last byte of the body.

        While reading is paused, the client may have sent its last byte, and its time may have begun.
        """
        if self.arrival.possible_since is not None:
            # Guards against time that counts from bytes which came late, as they had waited at the client.
            return self.timeout - (now() - self.arrival.possible_since)
        return self.timeout - self.reading.unread_for()

    def arrive(self, at: int) -> None:
        """Records that the last byte of the body, read or not, arrived or counts as sent at `at`."""
        if self.arrived_at is None:
            self.arrived_at = at
            self.on_arrived(at)

    def end(self, arrived_at: int) -> None:
        """Records that the last byte of the body is read, which arrived at this machine at `arrived_at`."""
        self.complete = True
        if self.connection is not None:
            self.finish()
        self.arrive(self.arrival.sent_at(arrived_at))

    def framed(self, data: bytes | memoryview | bytearray) -> list:
        """Returns bytes of the body with their framing, as written to the backend."""
        return [data] if self.length is not None else chunk_of(data)

    def finish(self) -> None:
        """Writes the last chunk, if the body is sent in chunks."""
        if self.length is None:
            self.connection.forward([LAST_CHUNK])

    def attach(self, connection: "Connection") -> None:
        """Starts forwarding to a backend connection on which the attempt's head has been written."""
        self.connection = connection
        self.consumed = True
        buffered, self.buffer = bytes(self.buffer), bytearray()
        if buffered:
            connection.forward(self.framed(buffered))
        if self.complete:
            self.finish()
        self.on_forwarding_started()
        self.reading.count_buffers()
        if not connection.writing:
            self.reading.pause_body(False)

    def abandon(self) -> None:
        """Drops what is buffered and the rest of the body, as its request is answered."""
        self.abandoned = True
        self.buffer = bytearray()

    def drop_callbacks(self) -> None:
        """Drops all references to the request, which has ended."""
        self.on_forwarding_started = lambda: None
        self.on_arrived = lambda arrived_at: None

    def detach(self) -> None:
        """Stops forwarding, as the attempt has ended."""
        self.connection = None

    def apply_backpressure(self, active: bool) -> None:
        """Pauses reading the body from the client while the backend takes no more of it; resumes after."""
        self.reading.pause_body(active)
