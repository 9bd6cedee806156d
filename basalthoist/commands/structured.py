"""Structured log lines for own installations; the platform's node keeps its plain, rate-limited ones."""

import sys

import structlog


class StructuredLog:
    """Made before the node is known; `bind` gives what the network side calls."""

    def __init__(self, form: str) -> None:
        last = (
            structlog.processors.JSONRenderer()
            if form == "json"
            else structlog.dev.ConsoleRenderer(colors=False)
        )
        stamps = structlog.processors.TimeStamper(fmt="iso", utc=True)
        self.logger = structlog.wrap_logger(
            structlog.PrintLogger(sys.stderr),
            processors=[stamps, structlog.processors.EventRenamer("event"), last],
        )

    def bind(self, log) -> None:
        """Lines go on being counted and held back by `log`; only their form changes."""
        logger = self.logger.bind(node=log.name)

        def write(line: str) -> None:
            event, _, rest = line.partition(": ")
            logger.msg(event, **({"detail": rest} if rest else {}))

        log.write = write
