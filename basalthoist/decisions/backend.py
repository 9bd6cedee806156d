"""The state of one backend. The state that belongs to one rule is an object of that rule's module."""

from typing import TYPE_CHECKING
from zlib import crc32

from .interface import Endpoint
from .outlier_detection import INITIAL_EJECTION, OutlierTest
from .profile import LatencyProfile
from .random_numbers import Lcg
from .slow_start import SlowStart
from .units import SECOND

if TYPE_CHECKING:
    from .request import Attempt

GOSSIP_KEY_MASK = 0xFFFF


class Backend:
    """One backend of the endpoint list, as seen by this node."""

    __slots__ = (
        "name",
        "key",
        "position",
        "indexed_zone",
        "open_attempts",
        "next_ejection_duration",
        "peer_ejection_times",
        "ban_lifted_at",
        "credit",
        "target_rate",
        "zone_cost",
        "endpoint",
        "zone",
        "kind",
        "cell",
        "is_link",
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
        "kind_time_ratio",
        "reported_in_flight",
        "reported_at",
        "health_check_at",
        "saturated_until",
        "consecutive_rejections",
        "slow_start",
    )

    def __init__(self, endpoint: Endpoint, now: int, rng: Lcg) -> None:
        self.name: str = endpoint.name
        # Identifies the backend in gossip; two backends may share a key.
        self.key: int = crc32(endpoint.name.encode()) & GOSSIP_KEY_MASK
        self.position: float = rng.uniform()  # orders the backends of a zone, see `EndpointIndex`
        self.indexed_zone: int | None = None  # the zone under which `EndpointIndex` lists the backend
        self.open_attempts: list[Attempt] = []
        self.next_ejection_duration: int = INITIAL_EJECTION
        self.peer_ejection_times: dict[int, int] = {}  # by peer: when it last reported an ejection
        self.ban_lifted_at: int = 0
        self.credit: float = 0.0  # credit in the weighted rotation
        self.target_rate: float = 0.0  # requests per second from this node
        self.zone_cost: float = 0.0  # price of crossing to the backend's zone, as a time
        self.reset_measurements(now, rng)

    def update_endpoint(self, endpoint: Endpoint, available: bool) -> None:
        """Stores the backend's entry in the endpoint list. `available`: whether new requests may be sent."""
        self.endpoint: Endpoint = endpoint
        self.zone: int = endpoint.zone
        self.kind: int = endpoint.kind
        self.cell: int = endpoint.cell
        self.is_link: bool = endpoint.is_link
        self.weight: float = endpoint.weight
        self.started: int | None = endpoint.started
        self.available: bool = available

    def reset_measurements(self, now: int, rng: Lcg) -> None:
        """Discards all measurements, as the backend has restarted."""
        self.profile: LatencyProfile = LatencyProfile(now)
        self.profiling_stage: int = 0  # 0: not in stepwise profiling; 1 and 2: see `stepwise_profiling`
        self.profiling_rate: float = 0.0
        self.outlier: OutlierTest = OutlierTest()
        self.last_response_at: int = now
        # Decaying sums over the responses: of their times, and of the requests at the backend during them.
        self.service_time_sum: float = 0.0
        self.service_time_count: float = 0.0
        self.kind_time_ratio: float = 1.0  # service time of the backend's kind over that of the subset
        self.reported_in_flight: float = 0.0
        self.reported_at: int = -SECOND
        self.health_check_at: int = 0  # when the open health check was sent; 0: none is open
        self.saturated_until: int = 0
        self.consecutive_rejections: int = 0
        self.slow_start: SlowStart = SlowStart(now, rng)

    def is_warming(self, now: int) -> bool:
        """Returns whether the backend started so recently that it is below its full capacity."""
        return now < self.slow_start.warm_at

    def is_ejected(self, now: int) -> bool:
        """Returns whether the backend is ejected as an outlier, so that no requests are sent to it."""
        return now < self.outlier.ejected_until
