"""Outlier detection: a sequential test of a backend's failures against those usual in the fleet."""

from math import log
from typing import TYPE_CHECKING

from .interface import BalancerHost
from .random_numbers import Lcg
from .units import SECOND

if TYPE_CHECKING:
    from .backend import Backend
    from .subset import Subset

EJECT_AT = 6.0  # sum of the test from which a backend is ejected
SUSPECT_AT = 3.0  # sum of the test from which it gets one attempt at a time
FIRST_EJECTION = 2 * SECOND
LONGEST_EJECTION = 8 * SECOND
FAILURE_SMOOTHING = 0.2
LEAST_USUAL, MOST_USUAL = 0.02, 0.9  # bounds of the failure rate that counts as usual


class OutlierTest:
    """One backend's: `suspicion` is the sum of log likelihood ratios of "an outlier" over "as the fleet"."""

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
        """One outcome. An outlier fails far more often than usual; that bar rises when all fail."""
        self.failure_rate += (failed - self.failure_rate) * FAILURE_SMOOTHING
        self.test(failed, usual_failure_rate)

    def test(self, failed: bool, usual_failure_rate: float) -> None:
        """The step of the sequential test for one outcome."""
        usual = min(max(1.5 * usual_failure_rate, LEAST_USUAL), MOST_USUAL)
        outlying = max(0.6, (1 + usual) / 2)
        step = log(outlying / usual) if failed else log((1 - outlying) / (1 - usual))
        self.suspicion = min(max(self.suspicion + step, 0.0), EJECT_AT + 2)

    def is_suspect(self) -> bool:
        """Whether it gets one attempt at a time."""
        return self.suspicion > SUSPECT_AT

    def is_outlier(self) -> bool:
        """Whether it is to be ejected."""
        return self.suspicion >= EJECT_AT

    def keep_on_trial(self) -> None:
        """After an ejection: one attempt at a time; where few fail, the next failure ejects again."""
        self.suspicion = EJECT_AT - 1.0


class OutlierDetection:
    """Ejects backends of the subset, at most half of it, for times that grow up to LONGEST_EJECTION."""

    def __init__(self, host: BalancerHost, rng: Lcg, subset: "Subset") -> None:
        self.host = host
        self.rng = rng
        self.subset = subset
        self.usual_failure_rate: float = 0.0  # the median of the subset

    def update_usual(self) -> None:
        """Once a second, and as the subset changes."""
        rates = sorted([b.outlier.failure_rate for b in self.subset.backends] or [0.0])
        self.usual_failure_rate = rates[len(self.subset.backends) // 2]

    def eject_if_outlier(self, now: int, backend: "Backend") -> bool:
        """Whether it is ejected now, which it was not before."""
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

    def reinstate_answering(self, now: int, backend: "Backend") -> None:
        """It answered while ejected: it only stood still, and gets one attempt at a time."""
        backend.outlier.ejected_until = now
        backend.outlier.keep_on_trial()

    def forgive(self, backend: "Backend") -> None:
        """Its test is back at zero: the next ejection is short again."""
        if backend.outlier.suspicion == 0.0 and backend.ejection_time > FIRST_EJECTION:
            backend.ejection_time = FIRST_EJECTION
            self.host.log(f"trusted again {backend.name}")

    @staticmethod
    def add_peer_report(now: int, backend: "Backend", peer: int) -> None:
        """A peer has ejected it; a single one alone only makes it suspect here."""
        backend.ejected_by[peer] = now
        recent = sum(now - when < FIRST_EJECTION for when in backend.ejected_by.values())
        # Guards against forty nodes that each spend requests to find the same backend dead or an outlier.
        least = SUSPECT_AT + 0.1 if recent < 2 else EJECT_AT
        backend.outlier.suspicion = max(backend.outlier.suspicion, least)
