"""What the decisions keep of one backend. Each rule's state is an object of the rule's module."""

from typing import TYPE_CHECKING
from zlib import crc32

from .interface import Endpoint
from .outlier_detection import FIRST_EJECTION, OutlierTest
from .profile import LatencyProfile
from .random_numbers import Lcg
from .slow_start import SlowStart
from .units import SECOND

if TYPE_CHECKING:
    from .request import Attempt

KEY_MASK = 0xFFFF


class Backend:
    """One backend of the endpoint list."""

    __slots__ = (
        "name",
        "key",
        "position",
        "available_in",
        "open_attempts",
        "ejection_time",
        "ejected_by",
        "ban_lifted_at",
        "credit",
        "target_rate",
        "zone_cost",
        "endpoint",
        "zone",
        "kind",
        "cell",
        "weight",
        "started",
        "available",
        "profile",
        "profiling_stage",
        "profiling_rate",
        "outlier",
        "last_response_at",
        "service_time_sum",
        "service_time_count",
        "kind_pace",
        "reported_in_flight",
        "reported_at",
        "health_check_at",
        "saturated_until",
        "rejections",
        "slow_start",
    )

    def __init__(self, endpoint: Endpoint, now: int, rng: Lcg) -> None:
        self.name: str = endpoint.name
        # Identifies the backend in gossip; two backends may share a key.
        self.key: int = crc32(endpoint.name.encode()) & GOSSIP_KEY_MASK
        self.position: float = rng.uniform()  # orders the backends of a zone, see `EndpointIndex`
        self.indexed_zone: int | None = None  # the zone under which `EndpointIndex` lists the backend
        self.open_attempts: list[Attempt] = []
        self.ejection_time: int = FIRST_EJECTION  # of its next ejection
        self.ejected_by: dict[int, int] = {}  # peers that said so, and when
        self.ban_lifted_at: int = 0
        self.credit: float = 0.0  # credit in the weighted rotation
        self.target_rate: float = 0.0  # requests per second from this node
        self.zone_cost: float = 0.0  # price of crossing to the backend's zone, as a time
        self.reset_measurements(now, rng)

    def learn(self, endpoint: Endpoint, available: bool) -> None:
        """Takes over what the endpoint list says of it."""
        self.endpoint: Endpoint = endpoint
        self.zone: int = endpoint.zone
        self.kind: int = endpoint.kind
        self.cell: int = endpoint.cell
        self.weight: float = endpoint.weight
        self.started: int | None = endpoint.started
        self.available: bool = available

    def reset_measurements(self, now: int, rng: Lcg) -> None:
        """Discards all measurements, as the backend has restarted."""
        self.profile: LatencyProfile = LatencyProfile(now)
        self.profiling_stage: int = 0  # 0: none; 1, 2: see `stepwise_profiling`
        self.profiling_rate: float = 0.0
        self.outlier: OutlierTest = OutlierTest()
        self.last_response_at: int = now
        self.service_time_sum: float = 0.0  # fading sums: times of responses, and requests that they were for
        self.service_time_count: float = 0.0
        self.kind_pace: float = 1.0  # service time of its kind, as a multiple of the subset's
        self.reported_in_flight: float = 0.0
        self.reported_at: int = -SECOND
        self.health_check_at: int = 0  # 0: none is open
        self.saturated_until: int = 0
        self.consecutive_rejections: int = 0
        self.slow_start: SlowStart = SlowStart(now, rng)

    def is_warming(self, now: int) -> bool:
        """Whether it started so recently that it has not reached its full capacity."""
        return now < self.slow_start.warm_at

    def is_ejected(self, now: int) -> bool:
        """Whether nothing is sent to it, as an outlier."""
        return now < self.outlier.ejected_until
