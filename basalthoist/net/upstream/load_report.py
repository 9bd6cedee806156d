"""Reads the load report and the outcome of an attempt from a backend's response."""

from basalthoist.decisions.interface import LoadReport, Outcome
from basalthoist.net.framing import Message
from basalthoist.settings_codec import LOAD_REPORT_FIELDS


def parse_load_report(text: bytes | None) -> LoadReport | None:
    """Parses a report such as `inflight=7,queue=2,util=0.61`. Invalid figures are left out.

    Returns None if there is no valid figure.
    """
    if not text:
        return None
    figures = {}
    for pair in text.decode("latin-1").split(","):
        name, _, figure = pair.strip().partition("=")
        try:
            value = float(figure)
        except ValueError:
            continue
        if 0.0 <= value < float("inf"):
            figures[LOAD_REPORT_FIELDS.get(name, name)] = value
    if not figures:
        return None
    return LoadReport(figures.get("inflight"), figures.get("queue"), figures.get("util"), figures.get("rate"))


def outcome_of(response: Message) -> Outcome:
    """Returns the outcome of the attempt that got this response."""
    if response.status == 200:
        return Outcome.COMPLETED
    if response.status in (503, 504) and response.get(b"not-started") == b"1":
        return Outcome.REJECTED
    return Outcome.ERROR
