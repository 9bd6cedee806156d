"""Discovery: a watch on changes from the revision that is known, kept up for as long as the node lives.

The whole list comes first where there is no revision to go on from, as after a move.
"""

import asyncio
import random
import re
from collections.abc import Callable

import httptools
import msgspec

from basalthoist.configuration import Configuration

from .exchanges import Exchanges
from .log import Log
from .members import MemberList, Translator, address_of
from .timers import SECOND, Timers, now
from .upstream import Upstream

LINE = msgspec.json.Decoder(MemberList)
TEXT = re.compile(rb'"(?:[^"\\]|\\.)*"')  # within a line, as none goes over the end of one in JSON


def depth_of(line: bytes) -> int:
    """How many more braces and brackets a line opens than it closes."""
    bare = TEXT.sub(b"", line)
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")


class Watch(asyncio.Protocol):
    """One connection to discovery: an answer with the list, then a chunked one that stays open.

    Where discovery closes after the list, the next connection begins with the watch.
    """

    def __init__(self, discovery: "Discovery") -> None:
        self.discovery, self.limit = discovery, discovery.limits.list_bytes
        self.address = discovery.address
        self.transport: asyncio.Transport | None = None
        self.heard_at, self.watching, self.closed = now(), False, False
        self.begun = False  # an answer has begun; what is wrong with it is then more than that it was refused
        self.text, self.lines, self.depth = b"", [], 0  # lines: of an object that is not whole yet
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport, self.heard_at = transport, now()
        if self.left():
            self.leave()
        elif self.discovery.listed:
            self.watch()
        else:
            self.ask("/v1/endpoints")

    def watch(self) -> None:
        self.watching = True
        self.ask(f"/v1/endpoints?stream=1&index={self.discovery.revision}")

    def ask(self, path: str) -> None:
        host = "{}:{}".format(*self.address)
        self.transport.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        if self.closed or self.left():
            return
        self.heard_at = now()
        try:
            self.parser.feed_data(data)
            if len(self.text) + sum(map(len, self.lines)) > self.limit:
                raise ValueError("a list too large")
        except (httptools.HttpParserError, ValueError) as wrong:
            cause = wrong.__context__ or wrong
            # Guards against going on from a revision that discovery cannot read on from.
            self.discovery.listed &= not (self.watching and self.begun)
            self.fail(f"not understood: {cause}")

    def connection_lost(self, wrong: Exception | None) -> None:
        self.fail(f"ended: {wrong or 'closed'}")

    def left(self) -> bool:
        """Whether discovery has moved since: what the old agent says, or that it ends, counts no more."""
        return self.address is not self.discovery.address

    def leave(self) -> None:
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    def fail(self, why: str) -> None:
        if not self.closed and not self.left():
            self.closed = True
            if self.transport is not None:
                self.transport.abort()
            self.discovery.failed(self, why)

    # Called by httptools.

    def on_headers_complete(self) -> None:
        status = self.parser.get_status_code()
        self.begun = status != 429 and status < 500
        if status != 200:
            raise ValueError(f"status {status}")

    def on_body(self, data: bytes) -> None:
        self.text += data
        if self.watching:
            *lines, self.text = self.text.split(b"\n")
            for line in lines:
                if line.strip():
                    self.take(line)
                self.discovery.heard()

    def take(self, line: bytes) -> None:
        """One object a line, or an object over several, as indented ones are: learnt whole or not at all."""
        self.lines.append(line)
        self.depth += depth_of(line)
        if self.depth <= 0:
            text, self.lines, self.depth = b"\n".join(self.lines), [], 0
            self.discovery.learn(LINE.decode(text))

    def on_message_complete(self) -> None:
        if self.watching:
            raise ValueError("the watch was ended")
        text, self.text = self.text, b""
        self.discovery.learn_whole(LINE.decode(text))
        if self.parser.should_keep_alive():
            self.watch()
        else:
            self.fail("closes after the list")


class Discovery:
    """Keeps a watch up and hands on what it says, to the connections first and then to the decisions."""

    def __init__(self, configuration: Configuration, loop, timers: Timers, exchanges: Exchanges,
                 upstream: Upstream, log: Log) -> None:  # fmt: skip
        self.loop, self.timers, self.log = loop, timers, log
        self.exchanges, self.upstream = exchanges, upstream
        self.limits, self.address = configuration.limits, configuration.discovery
        self.translator = Translator(configuration.told.zones, configuration.told.kinds)
        # Guards against a whole tier that comes back to discovery in step.
        self.chance = random.Random(configuration.seed)
        self.revision, self.watch, self.opening, self.waiting = 0, None, None, None
        self.listed, self.failures = False, 0  # listed: the next thing to ask for is the watch
        self.on_first = lambda: None
        self.on_names: Callable[[list[str]], None] = lambda names: None  # of each list and change
        self.silent = int(self.limits.watch_silent_s * SECOND)
        # Guards against a large tier that asks faster than discovery, which does not grow with it, answers.
        limits = self.limits
        self.turns_s = configuration.turns_s
        self.least_wait_s = max(limits.watch_retry_s, self.turns_s / 2)
        self.most_wait_s = max(limits.watch_retry_most_s, self.turns_s)
        # Whatever the tier's size: what is missed counts as known after so long, and a call takes time too.
        self.told = int(limits.watch_told_s * SECOND)
        self.missing_from = now()
        timers.every(SECOND // 4, self.check)

    def start(self, known: MemberList) -> None:
        known.complete = True
        self.learn(known)
        self.listed = known.revision > 0  # then a watch from there brings all that a list would
        # Guards against nodes killed together that ask together: what they know serves meanwhile.
        if self.turns_s > self.limits.watch_retry_most_s and known.members:
            self.wait(min(self.turns_s, self.longest_s()) * self.chance.random())
        else:
            self.connect()

    def move(self, address: tuple[str, int]) -> None:
        """Another agent, as planned: no failure. The whole list first, as its revisions may be others."""
        self.address, self.listed, self.revision, self.failures = address, False, 0, 0
        self.missing_from = now()
        if self.opening is not None:
            self.opening.cancel()
            self.opening = None
        if self.watch is not None:
            self.watch.leave()
            self.watch = None
        self.log("discovery moves to {}:{}".format(*address))
        self.connect()

    def connect(self) -> None:
        """At once, where there is neither a watch nor one on its way."""
        if self.waiting is not None:
            self.waiting.stop()
            self.waiting = None
        if self.watch is None and self.opening is None:
            self.opening = self.loop.create_task(self.open())
            self.opening.add_done_callback(self.opened)

    async def open(self) -> Watch:
        opening = self.loop.create_connection(lambda: Watch(self), *self.address)
        return (await asyncio.wait_for(opening, self.limits.watch_silent_s))[1]

    def opened(self, task: asyncio.Task) -> None:
        if task is not self.opening:  # discovery has moved since
            if not task.cancelled() and task.exception() is None:
                task.result().leave()
            return
        self.opening = None
        if task.cancelled():
            return
        if task.exception() is not None:
            self.failed(None, f"not reached: {task.exception()!r}")
        elif task.result().closed:
            self.later()
        else:
            self.watch = task.result()

    def check(self) -> None:
        # Guards against a watch that was cut off: nothing ends it, it only falls silent.
        if self.watch is not None and now() - self.watch.heard_at > self.silent:
            # What it has not told since then is missing; and to wait for it was a wait between two calls.
            self.missing_from, self.failures = self.watch.heard_at, 0
            self.watch.fail(f"silent for {self.limits.watch_silent_s:.1f} s")

    def failed(self, watch: Watch | None, why: str) -> None:
        self.log(f"discovery {why}")
        if watch is self.watch:
            self.watch = None
            self.exchanges.on_list_failed()
            self.later()

    def longest_s(self) -> float:
        """Between two calls at the most, so that the second is answered in time."""
        return 0.7 * self.told / SECOND

    def later(self) -> None:
        if self.waiting is None:
            longer = min(self.least_wait_s * 2**self.failures, self.most_wait_s)
            self.failures = min(self.failures + 1, 20)
            # Guards against waits past the time at which what was missed counts as known: until then half of
            # what is left of it at the most, so that there is time for a call more.
            left = (self.missing_from + self.told - now()) / SECOND
            least = min(self.limits.watch_retry_s, 0.1 * self.told / SECOND)
            most = max(left / 2, least) if left > 0 else self.longest_s()
            self.wait(min(longer * (0.5 + self.chance.random()), most * (0.5 + 0.5 * self.chance.random())))

    def wait(self, seconds: float) -> None:
        self.waiting = self.timers.after(int(seconds * SECOND), self.connect)

    def ask(self) -> None:
        """The decisions want it followed. A wait that has begun goes on: two clocks would ask twice."""
        if self.waiting is None:
            self.connect()

    def learn_whole(self, said: MemberList) -> None:
        """A list that was asked for has come."""
        self.learn(said)
        self.listed = True
        self.heard()

    def heard(self) -> None:
        self.failures, self.missing_from = 0, now()
        self.on_first()

    def learn(self, said: MemberList) -> None:
        self.revision = said.revision
        self.on_names([member.id for member in said.members])
        entries, present, left = [], set(), set()
        for member in said.members:
            listed = self.translator.listed(member)
            if listed.state == "gone":
                left.add(member.id)
            else:
                pool = self.upstream.pools.get(member.id)
                try:
                    address = address_of(member.host_port)
                except ValueError as wrong:
                    # Guards against one entry that makes no sense and costs the node all the others. That a
                    # backend drains makes sense wherever it is.
                    if pool is None or listed.state == "healthy":
                        self.log(f"{member.id} left out: {wrong}")
                        continue
                    address = pool.address
                present.add(member.id)
                self.upstream.learn(member.id, address, listed.started, listed.state == "healthy")
            entries.append(listed)
        if said.complete:
            links = self.exchanges.links
            left |= self.upstream.pools.keys() - present - (links.names() if links is not None else set())
        self.exchanges.on_list(entries, said.complete)
        for name in left:
            self.upstream.remove(name)
            self.translator.forget(name)
