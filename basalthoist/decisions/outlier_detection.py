"""Outlier detection: a sequential test of a backend's failures against the usual rate in its subset."""

from math import log
from typing import TYPE_CHECKING

from .interface import BalancerHost
from .random_numbers import Lcg
from .units import SECOND

if TYPE_CHECKING:
    from .backend import Backend
    from .subset import Subset

EJECT_THRESHOLD = 6.0  # a backend is ejected at this suspicion
SUSPECT_THRESHOLD = 3.0  # above this suspicion a backend gets one attempt at a time
INITIAL_EJECTION = 2 * SECOND
MAX_EJECTION = 8 * SECOND
FAILURE_SMOOTHING = 0.2
MIN_USUAL_FAILURE_RATE, MAX_USUAL_FAILURE_RATE = 0.02, 0.9  # bounds on the usual failure rate


class OutlierTest:
    """The sequential test of one backend.

    `suspicion` is the sum of the log likelihood ratios of "an outlier" over "like the rest", at least 0.
    """

    __slots__ = (
        "failure_rate",
        "suspicion",
        "ejected_until",
    )

    def __init__(self) -> None:
        self.failure_rate: float = 0.0
        self.suspicion: float = 0.0
        self.ejected_until: int = 0

    def record(self, failed: bool, usual_failure_rate: float) -> None:
        """Adds one outcome. Outliers fail far more often than usual: when all fail, the test needs more."""
        self.failure_rate += (failed - self.failure_rate) * FAILURE_SMOOTHING
        self.test(failed, usual_failure_rate)

    def test(self, failed: bool, usual_failure_rate: float) -> None:
        """Adds the step of the sequential test for one outcome."""
        usual = min(max(1.5 * usual_failure_rate, MIN_USUAL_FAILURE_RATE), MAX_USUAL_FAILURE_RATE)
        outlying = max(0.6, (1 + usual) / 2)
        step = log(outlying / usual) if failed else log((1 - outlying) / (1 - usual))
        self.suspicion = min(max(self.suspicion + step, 0.0), EJECT_THRESHOLD + 2)

    def is_suspect(self) -> bool:
        """Returns whether the backend gets only one attempt at a time."""
        return self.suspicion > SUSPECT_THRESHOLD

    def is_outlier(self) -> bool:
        """Returns whether the backend is to be ejected."""
        return self.suspicion >= EJECT_THRESHOLD

    def reset_after_ejection(self) -> None:
        """Allows one attempt at a time after an ejection; where few fail, the next failure ejects again."""
        self.suspicion = EJECT_THRESHOLD - 1.0


class OutlierDetection:
    """Ejects backends of the subset, at most half of them, for times that grow up to MAX_EJECTION."""

    def __init__(self, host: BalancerHost, rng: Lcg, subset: "Subset") -> None:
        self.host = host
        self.rng = rng
        self.subset = subset
        self.usual_failure_rate: float = 0.0  # the median over the subset

    def update_usual_failure_rate(self) -> None:
        """Updates the usual failure rate once a second, and when the subset changes."""
        rates = sorted([b.outlier.failure_rate for b in self.subset.backends] or [0.0])
        self.usual_failure_rate = rates[len(self.subset.backends) // 2]

    def eject_if_outlier(self, now: int, backend: "Backend") -> bool:
        """Ejects the backend if it is an outlier. Returns whether it was ejected by this call."""
        if not backend.outlier.is_outlier() or backend.is_ejected(now):
            return False
        ejected = sum(other.is_ejected(now) for other in self.subset.backends)
        if ejected >= len(self.subset.backends) // 2:
            return False
        duration = int(backend.next_ejection_duration * (0.75 + 0.5 * self.rng.uniform()))
        backend.outlier.ejected_until = now + duration
        backend.next_ejection_duration = min(backend.next_ejection_duration * 3 // 2, MAX_EJECTION)
        backend.outlier.reset_after_ejection()
        figures = f"{len(backend.open_attempts)} unanswered, usual failure rate {self.usual_failure_rate:.0%}"
        self.host.log(f"ejected {backend.name}: {figures}, back in {duration / SECOND:.1f} s")
        return True

    def reinstate(self, now: int, backend: "Backend") -> None:
        """Ends the ejection of a backend that answered, so only stalled; it gets one attempt at a time."""
        backend.outlier.ejected_until = now
        backend.outlier.reset_after_ejection()

    def reset_ejection_duration(self, backend: "Backend") -> None:
        """Makes the next ejection short again once the suspicion is back at zero."""
        if backend.outlier.suspicion == 0.0 and backend.next_ejection_duration > INITIAL_EJECTION:
            backend.next_ejection_duration = INITIAL_EJECTION
            self.host.log(f"trusted again {backend.name}")

    @staticmethod
    def add_peer_report(now: int, backend: "Backend", peer: int) -> None:
        """Counts a peer's ejection of the backend; one peer alone only makes the backend suspect here."""
        backend.peer_ejection_times[peer] = now
        recent = sum(now - when < INITIAL_EJECTION for when in backend.peer_ejection_times.values())
        # Saves the requests that each of forty nodes would otherwise spend to find the same backend failing.
        min_suspicion = SUSPECT_THRESHOLD + 0.1 if recent < 2 else EJECT_THRESHOLD
        backend.outlier.suspicion = max(backend.outlier.suspicion, min_suspicion)
