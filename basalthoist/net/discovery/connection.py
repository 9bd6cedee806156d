"""One connection to discovery: a response with the complete list, then a watch on changes."""

import asyncio
import re
from typing import TYPE_CHECKING

import httptools
import msgspec

from basalthoist.endpoint_list import EndpointList
from basalthoist.net.runtime.timers import now

if TYPE_CHECKING:
    from basalthoist.net.discovery.client import Discovery
    from basalthoist.net.discovery.polling import PollSchedule

LIST_PATH = "/v1/endpoints"
WATCH_PATH = "/v1/endpoints?stream=1&index={revision}"
DECODER = msgspec.json.Decoder(EndpointList)
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')  # JSON strings never span lines


class UnexpectedAnswerError(ValueError):
    """Discovery has sent neither an endpoint list nor a watch."""


def nesting_of(line: bytes) -> int:
    """Returns how many more braces and brackets a line opens than it closes."""
    without_strings = STRING.sub(b"", line)
    return (
        without_strings.count(b"{")
        + without_strings.count(b"[")
        - without_strings.count(b"}")
        - without_strings.count(b"]")
    )


class DiscoveryConnection(asyncio.Protocol):
    """Requests the list and then the watch, or only the watch.

    If discovery closes the connection after the list, the next connection starts with the watch.
    """

    def __init__(self, discovery: "Discovery") -> None:
        self.discovery: Discovery = discovery
        self.schedule: PollSchedule = discovery.schedule
        self.max_bytes: int = discovery.limits.list_bytes
        self.address: tuple[str, int] = discovery.address
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser = httptools.HttpResponseParser(self)
        self.watching: bool = False
        self.reading_head: bool = False
        self.answer_begun: bool = False  # a response with a status other than 429 and 5xx has begun
        self.text: bytearray = bytearray()  # received part of the list, or of the last line of the watch
        self.lines: list[bytes] = []  # lines of an incomplete object
        self.nesting: int = 0  # open braces and brackets at the end of these lines

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Requests the list, or the watch if the list is known."""
        self.transport = transport
        if self.is_abandoned():
            self.abort()
        elif self.schedule.has_list:
            self.request_watch()
        else:
            self.request(LIST_PATH)

    def request_watch(self) -> None:
        """Requests the changes since the known revision."""
        self.watching = True
        self.request(WATCH_PATH.format(revision=self.schedule.revision))

    def request(self, path: str) -> None:
        """Sends a GET request."""
        host = "{}:{}".format(*self.address)
        self.transport.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        """Parses received data; the callbacks below handle the complete parts."""
        if self.is_abandoned():
            return
        self.schedule.on_input(now())
        try:
            self.parser.feed_data(data)
            if len(self.text) + sum(map(len, self.lines)) > self.max_bytes:
                raise UnexpectedAnswerError(f"list larger than {self.max_bytes} bytes")
        except (httptools.HttpParserError, ValueError) as error:
            cause = error.__context__ or error
            return self.fail(f"not understood: {cause}", revision_lost=self.watching and self.answer_begun)
        if not self.has_partial_input():
            self.schedule.on_input_complete(now())

    def has_partial_input(self) -> bool:
        """Returns whether an incomplete message has been received."""
        return self.reading_head or bool(self.text or self.lines)

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the poll after the connection was closed."""
        self.fail(f"ended: {error or 'closed'}")

    def is_abandoned(self) -> bool:
        """Returns whether the poll on this connection was given up, so that its data is ignored."""
        return self.discovery.connection is not self

    def abort(self) -> None:
        """Closes the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def fail(self, reason: str, revision_lost: bool = False) -> None:
        """Ends the poll. `revision_lost`: discovery cannot continue from the known revision."""
        if not self.is_abandoned():
            self.discovery.drop(reason)
            self.schedule.on_failed(now(), revision_lost)

    # Called by httptools.

    def on_message_begin(self) -> None:
        """Handles the start of a response head."""
        self.reading_head = True

    def on_headers_complete(self) -> None:
        """Handles a complete head. Raises UnexpectedAnswerError for any status but 200."""
        self.reading_head = False
        status = self.parser.get_status_code()
        self.answer_begun = status != 429 and status < 500
        if status != 200:
            raise UnexpectedAnswerError(f"expected status 200, got {status}")

    def on_body(self, data: bytes) -> None:
        """Handles a part of the list or of the watch; complete lines of the watch are applied."""
        self.text += data
        # Guards against a line that comes in many small chunks and would be searched and copied for each.
        if not self.watching or b"\n" not in data:
            return
        *lines, self.text = self.text.split(b"\n")
        for line in lines:
            if line.strip():
                self.take_line(bytes(line))
            if not self.lines:
                self.discovery.on_watch_line()

    def take_line(self, line: bytes) -> None:
        """Applies an object once it is complete; indented objects span several lines."""
        self.lines.append(line)
        self.nesting += nesting_of(line)
        if self.nesting <= 0:
            text, self.lines, self.nesting = b"\n".join(self.lines), [], 0
            self.discovery.apply(DECODER.decode(text))

    def on_message_complete(self) -> None:
        """Applies the complete list. Raises UnexpectedAnswerError if the watch has ended."""
        if self.watching:
            raise UnexpectedAnswerError("expected an open watch, got its end")
        text, self.text = self.text, bytearray()
        self.discovery.on_full_list(DECODER.decode(text))
        if self.parser.should_keep_alive():
            self.request_watch()
        else:
            self.fail("closes the connection after the list")
