"""Calls the balancer's event handlers, contains their exceptions, and copies events to a shadow."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from basalthoist.net.runtime.log import Log
from basalthoist.net.runtime.timers import Timers, now

if TYPE_CHECKING:
    from basalthoist.shadow import Shadow


class DecisionGuard:
    """Calls the balancer's event handlers. An exception in one ends that request and no other."""

    def __init__(self, timers: Timers, log: Log) -> None:
        self.timers: Timers = timers
        self.log: Log = log
        self.shadow: Shadow | None = None
        self.shadow_report_period: int = 0  # tenths of a millisecond

    def start_shadow(self, shadow: "Shadow", report_period: int) -> None:
        """Copies each event to `shadow` from now on and logs its counts every `report_period` (0.1 ms)."""
        self.shadow = shadow
        self.shadow_report_period = report_period
        self.timers.after(report_period, self.report_shadow)

    def call(self, handler: Callable[..., None], *arguments: object) -> bool:
        """Calls an event handler of the balancer. Returns False, with a line in the log, if it raised."""
        at = now()
        try:
            handler(at, *arguments)
            if self.shadow is not None:
                self.call_shadow(handler.__name__, at, arguments)
            return True
        except Exception as error:
            innermost = error.__traceback__
            while innermost.tb_next is not None:
                innermost = innermost.tb_next
            module = innermost.tb_frame.f_globals.get("__name__", "")
            self.log(f"{handler.__name__} failed: {error!r} at line {innermost.tb_lineno} of {module}")
            return False

    def call_shadow(self, event: str, at: int, arguments: tuple) -> None:
        """Passes an event to the shadow; if the shadow raises, switches it off and affects no request."""
        try:
            self.shadow.on_event(event, at, *arguments)
        except Exception as error:
            self.log(f"shadow off, it failed on {event}: {error!r}")
            self.shadow.leave()
            self.shadow = None

    def report_shadow(self) -> None:
        """Logs the shadow's counts and schedules the next report."""
        if self.shadow is not None:
            self.log(self.shadow.line())
            self.timers.after(self.shadow_report_period, self.report_shadow)
