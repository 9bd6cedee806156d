"""The operators' door: one line to a connection, and one line as the answer."""

import asyncio
from collections.abc import Callable

from .log import Log
from .timers import SECOND, Timers

MOST_LINE = 512
MOST_CALLERS = 8  # at once, within the descriptors that `reserve` keeps back

Call = Callable[[], str]
CallOn = Callable[[str], str]


class Caller(asyncio.Protocol):
    def __init__(self, admin: "Admin") -> None:
        self.admin, self.text, self.answered = admin, b"", False
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.admin.came(self)

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return
        self.text += data[: MOST_LINE + 1]
        line, ended, _ = self.text.partition(b"\n")
        if len(line) > MOST_LINE:
            self.answer(f"FAILURE line over {MOST_LINE} bytes")
        elif ended:
            self.answer(self.admin.said(line))

    def eof_received(self) -> bool:
        """A last line need not be ended by more than the end."""
        if not self.answered and self.text:
            self.answer(self.admin.said(self.text))
        return False

    def connection_lost(self, wrong: Exception | None) -> None:
        self.admin.callers.pop(self, None)

    def answer(self, text: str) -> None:
        self.answered = True
        self.transport.write(text.encode() + b"\n")
        # Guards against a reset that overtakes the answer, as closing with bytes unread would send.
        self.transport.write_eof()


class Admin:
    """`calls` take nothing, `calls_on` an id; what they return is why not, or nothing where it is done."""

    def __init__(self, calls: dict[str, Call], calls_on: dict[str, CallOn], timers: Timers, log: Log,
                 line_s: float) -> None:  # fmt: skip
        self.calls, self.calls_on, self.timers, self.log = calls, calls_on, timers, log
        self.patience = int(line_s * SECOND)
        self.callers: dict[Caller, None] = {}  # in the order in which they came
        self.server: asyncio.Server | None = None

    async def listen(self, loop: asyncio.AbstractEventLoop, address: tuple[str, int]) -> None:
        self.server = await loop.create_server(lambda: Caller(self), *address)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for caller in list(self.callers):
            caller.transport.close()

    def came(self, caller: Caller) -> None:
        self.callers[caller] = None
        # Guards against callers that say nothing: those who do must find a descriptor.
        if len(self.callers) > MOST_CALLERS:
            self.let_go(next(iter(self.callers)))
        self.timers.after(self.patience, lambda: self.let_go(caller))

    def let_go(self, caller: Caller) -> None:
        if self.callers.pop(caller, self) is None:
            caller.transport.abort()

    def said(self, line: bytes) -> str:
        try:
            words = line.decode("ascii").rstrip("\r").split(" ")
        except UnicodeDecodeError:
            return "FAILURE not a line of text"
        if not line.strip() or not all(word.isprintable() and word for word in words):
            return "FAILURE expected a call, and an id where it takes one, a space between"
        call, named = words[0], words[1:]
        try:
            if call in self.calls and not named:
                wrong = self.calls[call]()
            elif call in self.calls_on and len(named) == 1:
                wrong = self.calls_on[call](named[0])
            else:
                known = [*self.calls, *(f"{name} ID" for name in self.calls_on)]
                return f"FAILURE expected one of: {', '.join(known)}"
        except Exception as wrong:
            # Guards against a call that breaks something here and takes the node along.
            self.log(f"call {call} failed: {wrong!r}")
            return f"FAILURE {call} went wrong; the log says more"
        return f"FAILURE {wrong}" if wrong else f"SUCCESS {call}"
