"""The subset of available backends that this node uses: in each zone, those from its ring position on."""

from .backend import Backend
from .endpoint_index import EndpointIndex
from .profile import MAX_WINDOW, MIN_SAMPLES
from .settings import BalancerSettings
from .slow_start import SlowStartPolicy
from .units import SECOND

MIN_SUBSET_CAPACITY = 6  # in warm backends
GOLDEN_RATIO = 0.618034  # spreads the ring positions evenly for any number of nodes


class Subset:
    """Chooses the backends in use.

    `backends`: sorted by zone, then in ring order. `nodes_per_backend`: how many nodes use one backend.
    """

    def __init__(
        self, settings: BalancerSettings, endpoints: EndpointIndex, slow_start: SlowStartPolicy
    ) -> None:
        self.settings = settings
        self.endpoints = endpoints
        self.slow_start = slow_start
        shares_ring = settings.gossips and not settings.without_load_reports
        self.ring_positions: list[float] = [
            number * GOLDEN_RATIO % 1.0 for number in range(settings.nodes if shares_ring else 0)
        ]
        self.backends: list[Backend] = []
        self.nodes_per_backend: float = 1.0

    def choose(self, now: int, rate: float) -> None:
        """Chooses as many backends as get enough samples for a profile at `rate` requests per second."""
        samples = rate * MAX_WINDOW / SECOND / MIN_SAMPLES / 3 ** bool(self.ring_positions)
        fraction = max(MIN_SUBSET_CAPACITY, samples) / max(len(self.endpoints), 1)
        self.backends = []
        for zone in self.endpoints.groups():
            self.choose_in_zone(now, zone, fraction)
        self.nodes_per_backend = max(
            self.settings.nodes * len(self.backends) / max(len(self.endpoints), 1), 1.0
        )

    def choose_in_zone(self, now: int, zone: list[Backend], fraction: float) -> None:
        """Adds backends from this node's ring position on, up to `fraction` of the zone's capacity."""
        capacity_left = fraction * len(zone)
        first = 0
        if self.ring_positions:
            first = int(self.ring_positions[self.settings.own_number] * len(zone))
        for step in range(len(zone)):
            if capacity_left <= 0.0:
                break
            backend = zone[(first + step) % len(zone)]
            self.backends.append(backend)
            capacity_left -= self.slow_start.capacity(backend, now)

    def is_partial(self) -> bool:
        """Returns whether this node leaves available backends unused."""
        return len(self.backends) < len(self.endpoints)

    def ready(self, now: int) -> list[Backend]:
        """Returns the backends of the subset that are not ejected."""
        return [backend for backend in self.backends if not backend.is_ejected(now)]
