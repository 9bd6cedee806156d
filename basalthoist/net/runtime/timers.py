"""The node's clocks and its timers, in whole tenths of a millisecond."""

import asyncio
import time
from collections.abc import Callable
from heapq import heapify, heappop, heappush

SECOND = 10_000
NANOSECONDS_PER_TENTH = 100_000
STALL_THRESHOLD = 50  # without a stall, the event loop's timers are at most 2 ms late
NEVER = 1 << 62
MAX_STOPPED = 256  # timers in the heap


def now() -> int:
    """Returns the time of the monotonic clock."""
    return time.monotonic_ns() // NANOSECONDS_PER_TENTH


def boot_time_now() -> int:
    """Returns the time of CLOCK_BOOTTIME, for leases: it includes time asleep. Not comparable to `now`."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_TENTH


class Timer:
    """A scheduled callback."""

    __slots__ = ("callback", "timers")

    def __init__(self, timers: "Timers", callback: Callable[[], None]) -> None:
        self.timers: Timers = timers
        self.callback: Callable[[], None] | None = callback  # None once it is called or cancelled

    def stop(self) -> None:
        """Cancels the callback."""
        if self.callback is not None:
            self.callback = None
            self.timers.on_stopped()


class Timers:
    """A heap of timers that uses a single timer of the event loop.

    The event loop's timers have a resolution of 1 ms and may fire up to 1 ms early; timers here never do.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, log: Callable[[str], None]) -> None:
        self.loop: asyncio.AbstractEventLoop = loop
        self.log: Callable[[str], None] = log
        self.due: list[tuple[int, int, Timer]] = []  # a heap of due time, sequence number and timer
        self.sequence: int = 0
        self.stopped: int = 0  # timers in the heap that are stopped
        self.armed_for: int = 0
        self.handle: asyncio.TimerHandle | None = None

    def after(self, delay: int, callback: Callable[[], None]) -> Timer:
        """Calls `callback` once, after `delay` tenths of a millisecond."""
        timer, when = Timer(self, callback), now() + delay
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

    def on_stopped(self) -> None:
        """Removes the stopped timers if they are more than the others."""
        # Guards against timers of answered requests that stay until a client's timeout, which may be days.
        self.stopped += 1
        if self.stopped > MAX_STOPPED and 2 * self.stopped > len(self.due):
            self.due = [entry for entry in self.due if entry[2].callback is not None]
            heapify(self.due)
            self.stopped = 0

    def arm(self) -> None:
        """Sets the event loop's timer for the earliest timer in the heap."""
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
        while self.due and self.due[0][2].callback is None:
            heappop(self.due)
            self.stopped -= 1
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
            timer = heappop(self.due)[2]
            callback, timer.callback = timer.callback, None
            if callback is None:
                self.stopped -= 1
            else:
                # Guards against one failing callback that keeps later ones from being called.
                try:
                    callback()
                except Exception as error:
                    self.log(f"timer failed: {error!r}")
        self.arm()
