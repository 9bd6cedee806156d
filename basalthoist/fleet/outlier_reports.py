"""Outliers that the fleet ejects: where several nodes do, each by its own sequential test, never one.

One node's detection may be its own link's fault, and gossip repeats one detection many times; so only nodes
whose own attempts failed count, and their reports stand beside one another at the leader. After the
quorum-based outlier detection that docs/fleet.md weighs.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Protocol

from .bounds import Bounds
from .verdicts import BAN, OUTLIER, Verdict, VerdictSet

MIN_OWN_FAILURE_RATE = 0.3  # of a node's latest attempts there; two failures in a row are 0.36
MAX_REPORTED = 16  # backends of one node: a heartbeat's reply is one datagram
MAX_NAME_BYTES = 40
REPORT_LASTS = 80_000  # tenths of a millisecond beyond the end of the node's own ejection
MAX_EJECTED_PART = 0.34  # of the backends that the leader knows
MAX_NAMED_NODES = 8  # in a verdict's `who`


class OutlierState(Protocol):
    """What the node's own outlier detection says of a backend."""

    failure_rate: float
    ejected_until: int


class ReportedBackend(Protocol):
    """The part of a backend that reports look at."""

    name: str
    available: bool
    outlier: OutlierState


def outliers_to_report(backends: Iterable[ReportedBackend], now: int) -> list[str]:
    """The backends that this node has ejected for its own failed attempts, and not trusted since.

    `now` is in tenths of a millisecond of the clock by which the backends are judged.
    """
    ejected = [backend for backend in backends if backend.available and backend.outlier.ejected_until]
    recent = [backend for backend in ejected if now < backend.outlier.ejected_until + REPORT_LASTS]
    outliers = [
        backend
        for backend in recent
        if backend.outlier.failure_rate > MIN_OWN_FAILURE_RATE and len(backend.name) <= MAX_NAME_BYTES
    ]
    worst = sorted(outliers, key=lambda backend: -backend.outlier.failure_rate)[:MAX_REPORTED]
    return sorted(backend.name for backend in worst)


def agreed_outliers(
    reports: dict[str, list[str]], backend_count: int, verdicts: VerdictSet, bounds: Bounds
) -> list[Verdict]:
    """New verdicts. `reports`: backends by node, of those nodes alone that apply `verdicts`.

    An earlier verdict's end makes every node begin anew with that backend, so a report from before never
    counts: it is of a node that does not yet apply the set without the verdict.
    """
    node_counts = Counter(name for names in reports.values() for name in set(names))
    ejected = sum(kind == OUTLIER for kind, _ in verdicts.verdicts)
    found: list[Verdict] = []
    for name, nodes in sorted(node_counts.items(), key=lambda pair: (-pair[1], pair[0])):
        is_known = (OUTLIER, name) in verdicts.verdicts or (BAN, name) in verdicts.verdicts
        # Guards against a fault of all backends, or of what lies before them, that would empty the fleet.
        exceeds_part = (ejected + len(found) + 1) > MAX_EJECTED_PART * backend_count
        if nodes < bounds.outlier_quorum or is_known or exceeds_part:
            continue
        reporting = sorted(node for node, names in reports.items() if name in names)
        who = " ".join(reporting[:MAX_NAMED_NODES])
        found.append(
            Verdict(OUTLIER, name, who=who, why=f"put out by {nodes}", lasts_s=bounds.outlier_ejection_s)
        )
    return found
