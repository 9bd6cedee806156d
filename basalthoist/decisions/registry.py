"""The registry of listed backends, updated by the endpoint list and by operators' bans."""

from .backend import Backend
from .endpoint_index import BackendsByKey, EndpointIndex
from .interface import Endpoint
from .random_numbers import Lcg
from .settings import BalancerSettings, RouteBounds

GOSSIP_KEY_RANGE = 65536


class BackendRegistry:
    """All listed backends by name, and their indexes. `on_ring`: all nodes use the same ring positions."""

    def __init__(
        self,
        settings: BalancerSettings,
        route_bounds: RouteBounds,
        rng: Lcg,
        endpoints: EndpointIndex,
        on_ring: bool,
    ) -> None:
        self.settings = settings
        self.route_bounds = route_bounds
        self.rng = rng
        self.endpoints = endpoints
        self.on_ring = on_ring
        self.backends: dict[str, Backend] = {}
        self.by_key: BackendsByKey = BackendsByKey()
        self.banned: set[str] = set()

    def update(self, now: int, entry: Endpoint) -> Backend:
        """Applies one entry of the endpoint list; a restarted backend loses its measurements."""
        backend = self.backends.get(entry.name)
        if backend is not None and backend.ban_lifted_at:
            entry = entry._replace(started=max(entry.started or 0, backend.ban_lifted_at))
        if backend is None:
            backend = self.add(now, entry)
        elif entry.started is not None and entry.started != backend.started:
            backend.reset_measurements(now, self.rng)
        backend.update_endpoint(entry, entry.state == "healthy" and entry.name not in self.banned)
        self.endpoints.update(backend)
        started = entry.started
        backend.slow_start.warm_at = 0 if started is None else started + self.settings.warm_within
        crosses = backend.zone != self.settings.zone
        backend.zone_cost = 2.0 * self.settings.crossing_price * self.route_bounds.objective * crosses
        return backend

    def add(self, now: int, entry: Endpoint) -> Backend:
        """Adds a backend that was not listed before."""
        backend = self.backends[entry.name] = Backend(entry, now, self.rng)
        if self.on_ring:
            backend.position = backend.key / GOSSIP_KEY_RANGE
        self.by_key.add(backend)
        return backend

    def remove(self, name: str) -> None:
        """Removes a backend that is no longer listed."""
        self.discard(self.backends.pop(name))

    def discard(self, backend: Backend) -> None:
        """Marks the backend as unavailable and removes it from the indexes."""
        backend.available = False
        self.endpoints.discard(backend)
        self.by_key.discard(backend)

    def ban(self, name: str) -> None:
        """Bans a backend; the ban takes effect with the next `update` of its entry."""
        self.banned.add(name)

    def lift_ban(self, now: int, name: str) -> None:
        """Lifts a ban: replaces the backend by a new one, which warms up."""
        self.banned.discard(name)
        backend = self.backends.get(name)
        if backend is None:
            return
        replacement = self.backends[name] = Backend(backend.endpoint, now, self.rng)
        replacement.position, replacement.ban_lifted_at, replacement.started = backend.position, now, now
        self.discard(backend)
        self.by_key.add(replacement)
