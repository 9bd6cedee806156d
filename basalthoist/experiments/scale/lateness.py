"""How late the timers of a tool's own loop fire; over the bound, what ran meanwhile does not count."""

import time

EVERY_S = 0.05
MOST_MS = 60.0  # at the 99th percentile: under a third of a beat, the shortest time that is measured by it


class Lateness:
    def __init__(self, loop) -> None:
        self.loop, self.found = loop, []
        self.due = time.monotonic() + EVERY_S
        self.timer = loop.call_later(EVERY_S, self.fire)

    def fire(self) -> None:
        at = time.monotonic()
        self.found.append(max(at - self.due, 0.0) * 1000)
        self.due = at + EVERY_S
        self.timer = self.loop.call_later(EVERY_S, self.fire)

    def begin(self) -> None:
        self.found.clear()

    def p99_ms(self) -> float:
        ordered = sorted(self.found)
        return ordered[int(len(ordered) * 0.99)] if ordered else 0.0

    def close(self) -> None:
        self.timer.cancel()


def void_of(late_ms: float, bound_ms: float = MOST_MS) -> str:
    """Why a run does not count, or nothing."""
    return f"the tool was {late_ms:.0f} ms late at p99, {bound_ms:.0f} allowed" if late_ms > bound_ms else ""
