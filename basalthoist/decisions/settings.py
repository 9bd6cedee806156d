"""The typed settings of the decisions, read once at the start from the flat map of `settings_codec`."""

from collections.abc import Mapping
from typing import Any

import msgspec

from .units import SECOND

IDEMPOTENT, DEDUPLICATED = "idempotent", "deduplicated"  # any other semantics means at most once
DEFAULT_TIMEOUT = 10 * SECOND
DEFAULT_OBJECTIVE_FRACTION = 0.8  # default latency objective, as a fraction of the overall timeout
MAX_HEALTH_CHECKS = 4  # per round; a request may have several rounds
HEALTH_CHECK_BUDGET = 0.01  # maximum cost of a round of health checks, in the unit of the settings' prices
ONE_CORE_US_PER_S = 1e6


class Route(msgspec.Struct, eq=False):
    """One route. `value` is the priority weight.

    `objective`, `timeout`, `dedup_window` and `usual_timeout` are in tenths of a millisecond.
    """

    dedup_scope: str  # "all", "zone" or "cell": which backends recognise a repeat of a request
    semantics: str
    streams: bool
    value: float
    late_value: float  # priority weight of a request past its latency objective; only compared with 0
    dedup_window: int
    timeout: int
    objective: int
    usual_timeout: int = 0  # the longest timeout of a request so far that was not a retry

    @classmethod
    def from_flat(cls, flat: Mapping, number: int) -> "Route":
        """Reads the route from the keys below `routes.<number>`."""

        def read(name: str, default: Any = 0) -> Any:  # noqa: ANN401 - as the settings file has it
            return flat.get(f"routes.{number}.{name}", default)

        timeout = read("overall_timeout", DEFAULT_TIMEOUT)
        return cls(
            dedup_scope=read("group", "cell"),
            semantics=read("semantics", ""),
            streams=read("streaming"),
            value=read("value", 1.0),
            late_value=read("overdue_value", 0.0),
            dedup_window=read("dedup_window", 0),
            timeout=timeout,
            objective=read("latency_objective", 0) or int(DEFAULT_OBJECTIVE_FRACTION * timeout),
        )

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may be retried even if an earlier attempt may have run."""
        return self.semantics == IDEMPOTENT

    @property
    def is_deduplicated(self) -> bool:
        """Whether backends recognise a repeat of a request within `dedup_window` of its first attempt."""
        return self.semantics == DEDUPLICATED


class RouteBounds:
    """Bounds over all routes; `update` has to be called when a route changes."""

    __slots__ = ("routes", "highest_value", "objective")

    def __init__(self, routes: list[Route]) -> None:
        self.routes = routes
        self.update()

    def update(self) -> None:
        """Recomputes the bounds."""
        self.highest_value: float = max(route.value for route in self.routes)
        self.objective: int = min(route.objective for route in self.routes)  # the shortest latency objective


class BalancerSettings(msgspec.Struct, frozen=True):
    """All settings of the decisions other than the routes. Durations are in tenths of a millisecond."""

    nodes: int
    own_number: int
    zone: int
    quotas: list[float]  # requests per second over the fleet, by tenant number
    crossing_price: float  # cost of sending a request to another zone, in the unit of `Route.value`
    peer_price: float  # cost of one datagram of gossip to a peer
    surplus_value: float  # value of a request over its tenant's quota
    max_retry_after: int
    can_cancel: bool
    can_health_check: bool
    parallel_attempts: bool
    max_attempts: int
    health_checks: int  # maximum per round; 0: no health checks for load
    gossips: bool
    without_load_reports: bool  # the node gossips, and backends report no requests in flight
    cpu_us_per_s: float
    tick: int  # a request without an answer fails this long before its deadline
    overload_window: int  # window over which a warming backend's rate is limited
    fall_multiple: float  # a warming backend is overloaded above this multiple of a warm backend's rate
    warm_within: int  # time from a backend's start to its full capacity
    cold_capacity: float  # capacity of a backend at its start, as a fraction of its full capacity
    discovery_on_request: bool

    @classmethod
    def from_flat(cls, flat: Mapping) -> "BalancerSettings":
        """Reads the settings from the flat map, with the defaults given here for absent keys."""
        read = flat.get
        nodes = max(read("nodes", 1), 1)
        reports_in_flight = "inflight" in read("feedback.fields", ())
        health_checks = 0
        if read("policy_limits.probes", False) and reports_in_flight:
            affordable = int(HEALTH_CHECK_BUDGET / max(read("prices.probe", 0.0), 1e-6))
            health_checks = min(affordable, MAX_HEALTH_CHECKS)
        gossips = not health_checks and read("policy_limits.peers", False) and nodes > 1
        return cls(
            nodes=nodes,
            own_number=read("me", 0) % nodes,
            zone=read("zone", 0),
            quotas=[read(f"tenants.{i}.quota_per_s", 0.0) for i in range(read("tenants.count", 0))],
            crossing_price=read("prices.cross_zone", 0.0),
            peer_price=read("prices.peer", 0.0),
            surplus_value=read("surplus_value", 0.0),
            max_retry_after=read("policy_limits.max_retry_after", 0)
            if read("policy_limits.retry_after")
            else 0,
            can_cancel=bool(read("policy_limits.cancel")),
            can_health_check=bool(read("policy_limits.probes")),
            parallel_attempts=bool(read("policy_limits.parallel_tries")),
            max_attempts=read("policy_limits.max_upstream_tries", 1),
            health_checks=health_checks,
            gossips=bool(gossips),
            without_load_reports=bool(gossips) and not reports_in_flight,
            cpu_us_per_s=read("policy_limits.cpu_us_per_s", ONE_CORE_US_PER_S),
            tick=read("tick", 10),
            overload_window=read("rules.overload_for", 0),
            fall_multiple=read("rules.fall_multiple", 1.0),
            warm_within=read("rules.warm_within", 0),
            cold_capacity=read("rules.cold_from", 0.1),
            discovery_on_request=read("discovery", "pushed") == "on_request",
        )
