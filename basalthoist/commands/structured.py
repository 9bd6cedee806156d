"""Structured log lines for local installations. The platform's nodes write plain, rate-limited lines."""

import sys
from typing import TYPE_CHECKING, Any

import structlog

if TYPE_CHECKING:
    from basalthoist.net.runtime.log import Log


class StructuredLog:
    """Formats log lines as JSON or for a console, once `bind` has connected it to a node's log."""

    def __init__(self, form: str) -> None:
        renderer = structlog.dev.ConsoleRenderer(colors=False)
        if form == "json":
            renderer = structlog.processors.JSONRenderer()
        time_stamper = structlog.processors.TimeStamper(fmt="iso", utc=True)
        self.logger: Any = structlog.wrap_logger(
            structlog.PrintLogger(sys.stderr),
            processors=[time_stamper, structlog.processors.EventRenamer("event"), renderer],
        )

    def bind(self, log: "Log") -> None:
        """Replaces the format of `log`'s lines. `log` still counts and rate-limits them."""
        logger = self.logger.bind(node=log.name)

        def write(line: str) -> None:
            event, _, detail = line.partition(": ")
            logger.msg(event, **({"detail": detail} if detail else {}))

        log.write = write
