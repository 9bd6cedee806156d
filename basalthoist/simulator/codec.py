"""Parses the lines of the simulator's wire form into batches of events, without interpreting the events."""

from collections.abc import Iterator
from typing import NoReturn, TextIO

from basalthoist.decisions.interface import Endpoint

BACKEND_STATES = {"healthy": "healthy", "cordoned": "draining", "deregistered": "gone"}
# The number of values that follow each event name. None: at least two, of which the others are settings.
EVENT_VALUES = {
    "START": None, "TOPOLOGY": 4, "QUERY": 8, "MESSAGE": 3, "ABORTED": 2, "UNDER_WAY": 5, "CRASH_NOW": 1,
    "ATTEMPT_END": 8, "PROBED": 5, "ALARM": 2, "CATALOG": 2,
}  # fmt: skip


class WireError(Exception):
    """Input is not in the agreed form. The message names the batch, the line and what was expected."""


class Reader:
    """Reads batches: `frame()` returns the clock and number of the next one, `events()` yields its events as
    lists of values."""

    def __init__(self, source: TextIO) -> None:
        self.source = source
        self.line_number = 0
        self.batch: str = "none"

    def fail(self, expected: str, line: str) -> NoReturn:
        shown = line.rstrip("\n")[:80]
        raise WireError(f"batch {self.batch}, line {self.line_number}: expected {expected}, got {shown!r}")

    def number(self, text: str, meaning: str) -> int:
        try:
            return int(text)
        except ValueError:
            self.fail(f"a whole number for {meaning}", text)

    def frame(self) -> tuple[int, str] | None:
        for line in self.source:
            self.line_number += 1
            if line == "\n":
                continue
            parts = line.rstrip("\n").split("\t")
            if parts[0] != "FRAME" or len(parts) != 3:
                self.fail("FRAME, clock and number", line)
            clock = self.number(parts[1], "the clock")
            self.batch = str(self.number(parts[2], "the batch"))
            return clock, self.batch
        return None

    def events(self) -> Iterator[list[str]]:
        for line in self.source:
            self.line_number += 1
            if line == "YOUR_TURN\n" or line == "YOUR_TURN":
                return
            if line == "\n":
                continue
            parts = line.rstrip("\n").split("\t")
            if parts[0] not in EVENT_VALUES:
                self.fail("an event or YOUR_TURN", line)
            count = EVENT_VALUES[parts[0]]
            if len(parts) < 3 if count is None else len(parts) != count + 1:
                self.fail(f"{'at least 2' if count is None else count} values for {parts[0]}", line)
            yield parts
        self.fail("YOUR_TURN before the end of input", "")

    def backends(self, count: str, to_tenths) -> list[Endpoint]:
        entries = []
        for _ in range(self.number(count, "the number of entries")):
            line = self.source.readline()
            self.line_number += 1
            parts = line.rstrip("\n").split("\t")
            if parts[0] != "BACKEND" or len(parts) != 8:
                self.fail("a BACKEND line with 7 values", line)
            if parts[5] not in BACKEND_STATES:
                self.fail("healthy, cordoned or deregistered", parts[5])
            zone, kind, cell = (0 if value == "-" else self.number(value, "an index") for value in parts[2:5])
            try:
                weight = 1.0 if parts[6] == "-" else float(parts[6])
            except ValueError:
                self.fail("a number for the share", parts[6])
            started_at = (
                None if parts[7] in ("-", "0") else to_tenths(self.number(parts[7], "the start time"))
            )
            entries.append(Endpoint(parts[1], zone, kind, cell, BACKEND_STATES[parts[5]], weight, started_at))
        return entries
