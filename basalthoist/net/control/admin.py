"""The admin interface: an operator sends one line over a TCP connection and gets one line as the answer."""

import asyncio
from collections.abc import Callable

from basalthoist.net.listener import Listener, listening_socket
from basalthoist.net.runtime.log import Log
from basalthoist.net.runtime.timers import SECOND, Timers

MAX_LINE_BYTES = 512
BACKLOG = 100
MAX_CALLERS = 8  # Their connections use descriptors of the configured `reserve`.

# The result of a call is a text: empty for success, the reason of a failure, or a complete answer line that
# begins with SUCCESS or FAILURE. An Answer is called with the result. A Call returns it, or raises CallError.
Answer = Callable[[str], None]
Call = Callable[[], str]
DeferredCall = Callable[[Answer], None]
CallById = Callable[[str, Answer], None]
CallWithValue = Callable[[str, str, Answer], None]


class CallError(Exception):
    """A call was not carried out. The message is the reason in the caller's answer."""


class MalformedLineError(Exception):
    """A line that cannot be parsed as a call. The message is the reason in the caller's answer."""


def parse_line(line: bytes) -> list[str]:
    """Returns a call's name followed by its arguments; raises MalformedLineError."""
    try:
        parts = line.decode("ascii").rstrip("\r").split(" ")
    except UnicodeDecodeError:
        raise MalformedLineError("not a line of text") from None
    if not line.strip() or not all(part.isprintable() and part for part in parts):
        raise MalformedLineError("expected a call, and an id where it takes one, a space between")
    return parts


class Caller(asyncio.Protocol):
    """An operator's connection, which carries one call and its answer."""

    def __init__(self, admin: "Admin") -> None:
        self.admin: Admin = admin
        self.transport: asyncio.Transport | None = None
        self.received: bytes = b""
        self.called: bool = False
        self.answered: bool = False
        self.half_closed: bool = False  # The caller has ended its sending direction.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Registers the caller with the admin interface."""
        self.transport = transport
        self.admin.add_caller(self)

    def data_received(self, data: bytes) -> None:
        """Makes the call once its line is complete; ignores any bytes after that line."""
        if self.called:
            return
        self.received += data[: MAX_LINE_BYTES + 1]
        line, line_end, _ = self.received.partition(b"\n")
        if len(line) > MAX_LINE_BYTES:
            self.called = True
            self.answer(f"FAILURE line over {MAX_LINE_BYTES} bytes")
        elif line_end:
            self.call(line)

    def eof_received(self) -> bool:
        """Treats the end of the stream as the end of the line.

        Returns whether the connection stays open, because an answer is still to be written.
        """
        self.half_closed = True
        if not self.called and self.received:
            self.call(self.received)
        return self.called and not self.answered

    def call(self, line: bytes) -> None:
        """Makes the call of a complete line."""
        self.called = True
        self.admin.call(line, self.answer)

    def connection_lost(self, error: Exception | None) -> None:
        """Unregisters the caller."""
        self.admin.callers.pop(self, None)

    def answer(self, line: str) -> None:
        """Writes the answer line and closes the connection, or only the sending direction of it."""
        self.answered = True
        if self.transport.is_closing():
            return
        self.transport.write(line.encode() + b"\n")
        if self.half_closed:
            self.transport.close()
        else:
            # Closing a socket with unread bytes sends a reset, which may overtake the answer. Only the
            # sending direction is closed; the caller closes the connection.
            self.transport.write_eof()


class Admin:
    """Dispatches calls by their names and limits the connections of callers.

    `calls` have no arguments and are answered at once. `deferred_calls` have no arguments either but may be
    answered later. `calls_by_id` have an id as argument, `calls_with_value` an id and a value.
    """

    def __init__(
        self,
        calls: dict[str, Call],
        calls_by_id: dict[str, CallById],
        timers: Timers,
        log: Log,
        line_timeout_s: float,
    ) -> None:
        self.calls: dict[str, Call] = calls
        self.deferred_calls: dict[str, DeferredCall] = {}
        self.calls_by_id: dict[str, CallById] = calls_by_id
        self.calls_with_value: dict[str, CallWithValue] = {}
        self.timers: Timers = timers
        self.log: Log = log
        self.line_timeout: int = int(line_timeout_s * SECOND)
        # The dict keeps the callers in the order in which they connected.
        self.callers: dict[Caller, None] = {}
        self.listener: Listener | None = None

    async def listen(self, loop: asyncio.AbstractEventLoop, address: tuple[str, int]) -> None:
        """Starts to accept callers; raises OSError if the address cannot be bound."""
        sock = listening_socket(address, BACKLOG)
        self.listener = Listener(loop, self.timers, self.log, sock, lambda: Caller(self))

    def close(self) -> None:
        """Closes the listener and every connection."""
        if self.listener is not None:
            self.listener.close()
        for caller in list(self.callers):
            caller.transport.close()

    def add_caller(self, caller: Caller) -> None:
        """Registers a new caller and starts its timeout; above MAX_CALLERS, drops the oldest caller."""
        self.callers[caller] = None
        # Callers that send nothing must not use up the descriptors that other operators need.
        if len(self.callers) > MAX_CALLERS:
            self.drop_caller(next(iter(self.callers)))
        self.timers.after(self.line_timeout, lambda: self.drop_caller(caller))

    def drop_caller(self, caller: Caller) -> None:
        """Aborts a caller's connection, unless it has already ended."""
        if self.callers.pop(caller, self) is None:
            caller.transport.abort()

    def call(self, line: bytes, answer: Answer) -> None:
        """Makes the call of a line. Calls `answer` with the answer line, at once or later."""
        try:
            name, *arguments = parse_line(line)
        except MalformedLineError as error:
            return answer(f"FAILURE {error}")

        def answer_line(result: str) -> None:
            if result.startswith(("SUCCESS ", "FAILURE ")):
                answer(result)
            else:
                answer(f"FAILURE {result}" if result else f"SUCCESS {name}")

        try:
            self.dispatch(name, arguments, answer_line)
        except CallError as error:
            answer(f"FAILURE {error}")
        except Exception as error:
            # An unexpected exception in one call must not end the node's process.
            self.log(f"call {name} failed: {error!r}")
            answer(f"FAILURE {name} went wrong; the log says more")

    def dispatch(self, name: str, arguments: list[str], answer: Answer) -> None:
        """Makes a call by its name and number of arguments; raises CallError if there is no such call."""
        if name in self.calls and not arguments:
            answer(self.calls[name]())
        elif name in self.deferred_calls and not arguments:
            self.deferred_calls[name](answer)
        elif name in self.calls_by_id and len(arguments) == 1:
            self.calls_by_id[name](arguments[0], answer)
        elif name in self.calls_with_value and len(arguments) == 2:
            self.calls_with_value[name](*arguments, answer)
        else:
            raise CallError(f"expected one of: {', '.join(self.known_calls())}")

    def known_calls(self) -> list[str]:
        """Returns the name of every call with its arguments."""
        known = [*self.calls, *self.deferred_calls]
        known += [f"{name} ID" for name in self.calls_by_id]
        known += [f"{name} ID FIGURE" for name in self.calls_with_value]
        return known
