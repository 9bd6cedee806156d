"""Calls of a JSON-RPC connection that wait until fewer of its calls are in progress."""

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from basalthoist.net.runtime.timers import Timer, Timers

from .caller import Caller
from .messages import JsonRpcCall

CALL_BYTES = 200  # of memory for a call, beside its parameters


class WaitingCall(NamedTuple):
    """A call that is read and not started. `timer` ends it when its time is over."""

    call: JsonRpcCall
    timer: Timer

    def size(self) -> int:
        """Returns how many bytes of memory the call takes."""
        return CALL_BYTES + len(bytes(self.call.params))


class WaitingCalls:
    """The waiting calls of one connection, in the order in which they came.

    `max_bytes`: the memory at which `is_full` says that no further call should be added. `on_timeout` is
    called with the caller of each call that has waited for its whole timeout.
    """

    def __init__(self, timers: Timers, max_bytes: int, on_timeout: Callable[[Caller], None]) -> None:
        self.timers: Timers = timers
        self.max_bytes: int = max_bytes
        self.on_timeout: Callable[[Caller], None] = on_timeout
        self.calls: dict[Caller, WaitingCall] = {}
        self.bytes: int = 0

    def __len__(self) -> int:
        return len(self.calls)

    def is_full(self) -> bool:
        """Returns whether the calls take as much memory as they may."""
        return self.bytes >= self.max_bytes

    def add(self, caller: Caller, call: JsonRpcCall, timeout: int) -> None:
        """Adds a call that may wait for `timeout` tenths of a millisecond."""
        waiting = WaitingCall(call, self.timers.after(timeout, partial(self.time_out, caller)))
        self.calls[caller] = waiting
        self.bytes += waiting.size()

    def take_first(self) -> tuple[Caller, JsonRpcCall]:
        """Removes and returns the call that came first, with its caller."""
        caller = next(iter(self.calls))
        return caller, self.remove(caller)

    def remove(self, caller: Caller) -> JsonRpcCall:
        """Removes and returns the call of a caller."""
        waiting = self.calls.pop(caller)
        waiting.timer.stop()
        self.bytes -= waiting.size()
        return waiting.call

    def time_out(self, caller: Caller) -> None:
        """Removes a call whose time is over."""
        self.remove(caller)
        self.on_timeout(caller)

    def clear(self) -> None:
        """Removes all calls."""
        for caller in list(self.calls):
            self.remove(caller)
