"""Ejection of a backend by the whole fleet, once a quorum of nodes have each detected it as an outlier.

A single node's detection may be caused by a fault of its own link, and gossip spreads one detection to many
nodes. So a node reports only backends at which its own attempts failed, and the leader counts the reports.
The quorum-based outlier detection that this follows is discussed in docs/fleet.md.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Protocol

from .bounds import Bounds
from .verdicts import BAN, OUTLIER, Verdict, VerdictSet

MIN_OWN_FAILURE_RATE = 0.3  # of a node's latest attempts at a backend; two failures in a row give 0.36
MAX_REPORTED = 16  # backends reported by one node, so that a heartbeat reply fits in one datagram
MAX_NAME_LENGTH = 40  # characters of a reported backend's name
REPORT_LIFETIME = 80_000  # tenths of a millisecond after the end of the node's own ejection
MAX_EJECTED_FRACTION = 0.34  # of the backends that the leader knows
MAX_NODES_IN_WHO = 8  # node names in the `who` of a verdict


class OutlierState(Protocol):
    """The state of the node's own outlier detection for a backend."""

    failure_rate: float
    ejected_until: int


class ReportedBackend(Protocol):
    """The part of a backend's state that reports depend on."""

    name: str
    available: bool
    outlier: OutlierState


def outliers_to_report(backends: Iterable[ReportedBackend], now: int) -> list[str]:
    """Returns the names of backends ejected here for own failed attempts and not trusted since.

    `now` is in tenths of a millisecond, on the clock of the outlier detection. Of more than MAX_REPORTED
    backends only those with the highest failure rates are returned, sorted by name.
    """
    ejected = [backend for backend in backends if backend.available and backend.outlier.ejected_until]
    recent = [backend for backend in ejected if now < backend.outlier.ejected_until + REPORT_LIFETIME]
    outliers = [
        backend
        for backend in recent
        if backend.outlier.failure_rate > MIN_OWN_FAILURE_RATE and len(backend.name) <= MAX_NAME_LENGTH
    ]
    worst = sorted(outliers, key=lambda backend: -backend.outlier.failure_rate)[:MAX_REPORTED]
    return sorted(backend.name for backend in worst)


def agreed_outliers(
    reports: dict[str, list[str]], backend_count: int, verdicts: VerdictSet, bounds: Bounds
) -> list[Verdict]:
    """Returns new outlier verdicts for the backends that a quorum of nodes reports.

    `reports` has the reported backends by node, and only nodes that apply `verdicts`. When a verdict ends,
    each node that applies the change resets its own detection for that backend. So a report from before the
    change is not counted: it comes from a node that does not apply the current set yet.
    """
    node_counts = Counter(name for names in reports.values() for name in set(names))
    ejected = sum(kind == OUTLIER for kind, _ in verdicts.verdicts)
    found: list[Verdict] = []
    for name, nodes in sorted(node_counts.items(), key=lambda pair: (-pair[1], pair[0])):
        is_known = (OUTLIER, name) in verdicts.verdicts or (BAN, name) in verdicts.verdicts
        # Guards against ejecting most backends for a fault of all, or of the network in front of them.
        exceeds_fraction = (ejected + len(found) + 1) > MAX_EJECTED_FRACTION * backend_count
        if nodes < bounds.outlier_quorum or is_known or exceeds_fraction:
            continue
        reporting = sorted(node for node, names in reports.items() if name in names)
        who = " ".join(reporting[:MAX_NODES_IN_WHO])
        found.append(
            Verdict(OUTLIER, name, who=who, why=f"put out by {nodes}", duration_s=bounds.outlier_ejection_s)
        )
    return found
