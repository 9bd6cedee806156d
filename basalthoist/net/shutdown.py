"""The end of a node after SIGTERM: who still comes is taken in for a while, and all is answered in time.

SIGKILL may come the longest deadline and `kill_after_s` after SIGTERM. Nothing is owed by then, with
`kill_margin_s` to spare for a node that reads the signal late and for the exit of the process.
"""

import asyncio
from typing import TYPE_CHECKING

from .timers import SECOND, now

if TYPE_CHECKING:
    from .clients import Door

STEP = SECOND // 100  # between two looks at what is left once the time is up
CLOSING = SECOND // 10  # how long a client then has to close after its last answer


def times_of(limits, longest: int) -> tuple[int, int]:
    """Spans from SIGTERM: until no new connection is taken, and until everything is answered.

    In tenths of a millisecond, as is `longest`, the longest deadline.
    """
    linger = int(limits.linger_s * SECOND)
    spare = int((limits.kill_after_s - limits.kill_margin_s) * SECOND)
    return linger, max(longest + spare, linger + STEP)


class Shutdown:
    """Of the HTTP front end. `drained` is done once nothing is owed there any more."""

    def __init__(self, door: "Door") -> None:
        self.door, self.timers = door, door.timers
        self.lingered, self.over, self.over_at = False, False, 0
        self.drained: asyncio.Future = door.loop.create_future()

    def begin(self) -> None:
        linger, left = times_of(self.door.limits, self.door.longest)
        self.door.exchanges.ends_at = now() + left
        self.timers.after(linger, self.stop_listening)
        # Guards against clients that never end a request or read an answer: nothing taken is open by then.
        self.timers.after(left, self.answer_all)

    def stop_listening(self) -> None:
        """From here on whoever connects is refused at once and goes to another node."""
        self.lingered = True
        self.door.close_idle(-1)
        if self.door.listener is not None:
            self.door.listener.close_when_empty(self.check, self.door.shared())
        self.check()

    def check(self) -> None:
        listener = self.door.listener
        if not self.lingered or self.door.clients or self.drained.done():
            return
        if listener is None or not (listener.listening or listener.tasks):
            self.drained.set_result(None)

    def answer_all(self) -> None:
        """The time is up: each connection gets what it is owed, and ends."""
        if not self.over:
            self.over, self.over_at = True, now()
        last = now() >= self.over_at + CLOSING
        for client in list(self.door.clients):
            client.end_now(last)
        self.check()
        if not self.drained.done():
            self.timers.after(STEP, self.answer_all)
