"""Measures how late timers fire on an event loop. A run is void if its bench is later than the bound."""

import time

INTERVAL_S = 0.05
MAX_P99_MS = 60.0  # under a third of 0.2 s, the shortest heartbeat interval measured


class Lateness:
    def __init__(self, loop) -> None:
        self.loop, self.samples_ms = loop, []
        self.due = time.monotonic() + INTERVAL_S
        self.timer = loop.call_later(INTERVAL_S, self.on_timer)

    def on_timer(self) -> None:
        at = time.monotonic()
        self.samples_ms.append(max(at - self.due, 0.0) * 1000)
        self.due = at + INTERVAL_S
        self.timer = self.loop.call_later(INTERVAL_S, self.on_timer)

    def begin(self) -> None:
        self.samples_ms.clear()

    def p99_ms(self) -> float:
        ordered = sorted(self.samples_ms)
        return ordered[int(len(ordered) * 0.99)] if ordered else 0.0

    def close(self) -> None:
        self.timer.cancel()


def void_reason(late_ms: float, bound_ms: float = MAX_P99_MS) -> str:
    """Returns why a run is void, or an empty string if it is valid."""
    return f"the bench was {late_ms:.0f} ms late at p99, {bound_ms:.0f} allowed" if late_ms > bound_ms else ""
