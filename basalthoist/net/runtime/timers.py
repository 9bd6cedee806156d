"""The node's clocks and its timers, in whole tenths of a millisecond."""

import asyncio
import time
from collections.abc import Callable
from heapq import heappop, heappush

SECOND = 10_000
NANOSECONDS_PER_TENTH = 100_000
STALL_THRESHOLD = 50  # without a stall, the event loop's timers are at most 2 ms late
NEVER = 1 << 62


def now() -> int:
    """Returns the time of the monotonic clock."""
    return time.monotonic_ns() // NANOSECONDS_PER_TENTH


def boot_time_now() -> int:
    """Returns the time of CLOCK_BOOTTIME, for leases: it includes time asleep. Not comparable to `now`."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_TENTH


class Timer:
    """A scheduled callback."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def stop(self) -> None:
        """Cancels the callback."""
        self.callback = None


class Timers:
    """A heap of timers that uses a single timer of the event loop.

    The event loop's timers have a resolution of 1 ms and may fire up to 1 ms early; timers here never do.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, log: Callable[[str], None]) -> None:
        self.loop: asyncio.AbstractEventLoop = loop
        self.log: Callable[[str], None] = log
        self.due: list[tuple[int, int, Timer]] = []  # a heap of due time, sequence number and timer
        self.sequence: int = 0
        self.armed_for: int = 0
        self.handle: asyncio.TimerHandle | None = None

    def after(self, delay: int, callback: Callable[[], None]) -> Timer:
        """Calls `callback` once, after `delay` tenths of a millisecond."""
        timer, when = Timer(callback), now() + delay
        self.sequence += 1
        heappush(self.due, (when, self.sequence, timer))
        if self.handle is None or when < self.armed_for:
            self.arm()
        return timer

    def every(self, period: int, callback: Callable[[], None]) -> None:
        """Calls `callback` repeatedly, every `period` tenths of a millisecond."""

        def repeat() -> None:
            self.after(period, repeat)
            callback()

        self.after(period, repeat)

    def arm(self) -> None:
        """Sets the event loop's timer for the earliest timer in the heap."""
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
        while self.due and self.due[0][2].callback is None:
            heappop(self.due)
        if self.due:
            self.armed_for = self.due[0][0]
            wait = max(self.armed_for - now(), 0)
            self.handle = self.loop.call_later(-(-wait // 10) / 1000, self.fire)

    def fire(self, input_read: bool = False) -> None:
        """Calls all callbacks that are due."""
        # Guards against timeouts after a stall of the process: input that arrived meanwhile is read first.
        if not input_read and self.due and now() - self.due[0][0] > STALL_THRESHOLD:
            self.armed_for = 0
            self.handle = self.loop.call_later(0.001, self.fire, True)
            return
        self.handle, self.armed_for = None, NEVER
        while self.due and self.due[0][0] <= now():
            callback = heappop(self.due)[2].callback
            if callback is not None:
                # Guards against one failing callback that keeps later ones from being called.
                try:
                    callback()
                except Exception as error:
                    self.log(f"timer failed: {error!r}")
        self.arm()
