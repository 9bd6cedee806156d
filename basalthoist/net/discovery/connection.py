"""One connection to discovery: an answer with the whole list, then a watch on changes that stays open."""

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
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')  # within a line: in JSON none goes over the end of one


class UnexpectedAnswerError(ValueError):
    """What discovery has sent is no list and no watch."""


def nesting_of(line: bytes) -> int:
    """How many more braces and brackets a line opens than it closes."""
    bare = STRING.sub(b"", line)
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")


class DiscoveryConnection(asyncio.Protocol):
    """Asks for the list and then for the watch, or for the watch alone.

    Where discovery closes after the list, the next connection begins with the watch.
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
        self.answer_begun: bool = False  # what is wrong with it is then more than that it was refused
        self.text: bytes = b""  # of the list, or of the last line of the watch
        self.lines: list[bytes] = []  # of an object that is not complete yet
        self.nesting: int = 0  # at the end of these lines

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Asks for the list, or for the watch where the list is known."""
        self.transport = transport
        if self.is_abandoned():
            self.abort()
        elif self.schedule.has_list:
            self.request_watch()
        else:
            self.request(LIST_PATH)

    def request_watch(self) -> None:
        """Asks for the changes from the revision that is known."""
        self.watching = True
        self.request(WATCH_PATH.format(revision=self.schedule.revision))

    def request(self, path: str) -> None:
        """Sends a request."""
        host = "{}:{}".format(*self.address)
        self.transport.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        """Reads on; the callbacks below take what is complete."""
        if self.is_abandoned():
            return
        self.schedule.on_input(now())
        try:
            self.parser.feed_data(data)
            if len(self.text) + sum(map(len, self.lines)) > self.max_bytes:
                raise UnexpectedAnswerError("a list too large")
        except (httptools.HttpParserError, ValueError) as error:
            cause = error.__context__ or error
            return self.fail(f"not understood: {cause}", revision_lost=self.watching and self.answer_begun)
        if not self.has_partial_input():
            self.schedule.on_input_complete(now())

    def has_partial_input(self) -> bool:
        """Whether something has begun to come that is not complete yet."""
        return self.reading_head or bool(self.text or self.lines)

    def connection_lost(self, error: Exception | None) -> None:
        """The poll has ended."""
        self.fail(f"ended: {error or 'closed'}")

    def is_abandoned(self) -> bool:
        """Whether it has been given up, or discovery has moved: what comes here counts no more."""
        return self.discovery.connection is not self

    def abort(self) -> None:
        """Closes at once."""
        if self.transport is not None:
            self.transport.abort()

    def fail(self, reason: str, revision_lost: bool = False) -> None:
        """Ends the poll. `revision_lost`: from this revision discovery does not go on."""
        if not self.is_abandoned():
            self.discovery.drop(reason)
            self.schedule.on_failed(now(), revision_lost)

    # Called by httptools.

    def on_message_begin(self) -> None:
        """The head of an answer begins."""
        self.reading_head = True

    def on_headers_complete(self) -> None:
        """Raises UnexpectedAnswerError for any status but 200."""
        self.reading_head = False
        status = self.parser.get_status_code()
        self.answer_begun = status != 429 and status < 500
        if status != 200:
            raise UnexpectedAnswerError(f"status {status}")

    def on_body(self, data: bytes) -> None:
        """A piece of the list, or of the watch, whose complete lines are taken."""
        self.text += data
        if not self.watching:
            return
        *lines, self.text = self.text.split(b"\n")
        for line in lines:
            if line.strip():
                self.take_line(line)
            if not self.lines:
                self.discovery.on_watch_line()

    def take_line(self, line: bytes) -> None:
        """One object a line, or an object over several, as indented ones are: applied whole or not at all."""
        self.lines.append(line)
        self.nesting += nesting_of(line)
        if self.nesting <= 0:
            text, self.lines, self.nesting = b"\n".join(self.lines), [], 0
            self.discovery.apply(DECODER.decode(text))

    def on_message_complete(self) -> None:
        """The whole list has come. Raises UnexpectedAnswerError where it was the watch that ended."""
        if self.watching:
            raise UnexpectedAnswerError("the watch was ended")
        text, self.text = self.text, b""
        self.discovery.on_full_list(DECODER.decode(text))
        if self.parser.should_keep_alive():
            self.request_watch()
        else:
            self.fail("closes after the list")
