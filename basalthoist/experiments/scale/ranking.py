"""Ranks needs over allowances at the target size, worst first; needs without a mechanism come before all.

A need is taken from a slope: measured at that size, or extrapolated by the line. A need that the slopes do
not give is left out and listed as missing.
"""

from typing import NamedTuple

from basalthoist.configuration import Limits

from . import sizes
from .slopes import Slope

QUICK, SLOW = "beat 0.2 s", "beat 1 s"
MAX_LIMITS, MAX_VERDICTS = 32, 4096  # the bounds in basalthoist/configuration
ALLOWED_START_S = 10.0


class Need(NamedTuple):
    what: str
    need: float
    allowed: float
    unit: str
    how: str  # "measured", "counted", "reckoned" (extrapolated) or "no mechanism"
    carried_by: str

    def ratio(self) -> float:
        return float("inf") if self.how == "no mechanism" else self.need / self.allowed


def needs_without_mechanism() -> list[Need]:
    """Returns what the program cannot do while it serves. `need` is a count a day, or a size."""
    file = "read at the start: configuration.py load, Service.reload"
    return [
        Need("a changed route, tenant or share comes into force while a node serves", sizes.CHANGES_DAY,
             sizes.IN_FORCE_S, "a day, within 4 s", "no mechanism", file),
        Need("a node holds only the routes and tenants of what it fronts", sizes.TENANTS, 0,
             "tenants at each node", "no mechanism", "dispatcher.py: one Balancer with all of the file"),
        Need("a node joins, is replaced or renamed without a new file at every other", sizes.RESTARTS_DAY, 0,
             "restarts and replacements a day", "no mechanism", "configuration.py FleetDocument.nodes, key"),
        Need("a node that fronts some of the services has backends of these alone", sizes.SERVICES, 1,
             "services", "no mechanism", "balancer.py Balancer.choose: every backend serves every route"),
    ]  # fmt: skip


def needs_of_limits() -> list[Need]:
    """Returns the needs for which the program has a fixed bound."""
    return [
        Need("quotas and bans set in service, for each tenant one", sizes.TENANTS, MAX_VERDICTS,
             "verdicts", "counted", "configuration.py FleetDocument.most_verdicts; register.py Held"),
        Need("limits over the fleet, for each service one", sizes.SERVICES, MAX_LIMITS,
             "limits", "counted", "configuration.py FleetDocument.limits; shares.py Granter"),
    ]  # fmt: skip


def need_at(slope: Slope, x: float) -> tuple[float, str]:
    if slope.sizes[-1] == x:
        return slope.largest, "counted" if slope.counted else "measured"
    return slope.at(x), "reckoned"


def needs(slopes: dict[str, Slope], points: dict[str, float]) -> tuple[list[Need], list[str]]:
    """Returns the ranked needs and the names of those not measured. `points`: figures at one size only."""
    found, missing = [*needs_without_mechanism(), *needs_of_limits()], []

    def add(what: str, names: list[str], x: float, allowed: float, unit: str, carried_by: str,
            times: float = 1.0) -> None:  # fmt: skip
        if any(name not in slopes for name in names):
            return missing.append(what)
        values = [need_at(slopes[name], x) for name in names]
        how = "reckoned" if "reckoned" in {h for _, h in values} or times != 1.0 else values[0][1]
        found.append(Need(what, sum(v for v, _ in values) * times, allowed, unit, how, carried_by))

    both, core = "tenants, and routes in proportion", sizes.CORE_PART
    memory = "configuration.py Document; dispatcher.py Balancer.settings; front_end.py FrontEnd"
    add("memory of a node with all tenants and routes", [f"catalogue: memory of a node, by {both}"],
        sizes.TENANTS, sizes.CONTROL_MB, "MB", memory)  # fmt: skip
    add("memory of a node with all backends", ["catalogue: memory of a node, by backends"], sizes.BACKENDS,
        sizes.CONTROL_MB, "MB", "upstream.py Pool; balancer.py Backend; configuration.py known")  # fmt: skip
    add("a node that nobody asks, with all tenants and routes",
        [f"catalogue: part of a core of a node that nobody asks, by {both}"], sizes.TENANTS, core,
        "of a core", "balancer.py Balancer.tick; net/: what goes over all each second")  # fmt: skip
    add("a node that nobody asks, with all backends",
        ["catalogue: part of a core of a node that nobody asks, by backends"], sizes.BACKENDS, core,
        "of a core", "balancer.py Balancer.choose; upstream.py Upstream.sweep")  # fmt: skip
    add("a node's start with all tenants and routes", [f"catalogue: start to ready, by {both}"],
        sizes.TENANTS, ALLOWED_START_S, "s", "configuration.py decode, terms.py flat_map")  # fmt: skip
    add("a node's start with all backends", ["catalogue: start to ready, by backends"], sizes.BACKENDS,
        ALLOWED_START_S, "s", "discovery.py Discovery.learn")  # fmt: skip
    add("discovery's whole list", ["counts: list of discovery"], sizes.BACKENDS, Limits().list_bytes, "B",
        "discovery.py Watch, limits.list_bytes by default")  # fmt: skip
    add("changes of backends at 50 a second, as in a burst of 500 in 10 s",
        ["discovery: processor time of a change"], sizes.BACKENDS, core, "of a core",
        "discovery.py Discovery.learn; Balancer.on_endpoint_list sorts and solves", 50 / 1000)  # fmt: skip
    for beat in (QUICK, SLOW):
        add(f"a node's words for the fleet, both ways, {beat}",
            [f"fleet: hollow node: bytes out, {beat}", f"fleet: hollow node: bytes in, {beat}"], sizes.NODES,
            sizes.CONTROL_BYTES_S, "B/s", "control/fleet.py; replica.py on_beat; members.py")  # fmt: skip
        add(f"a node's processor time for the fleet, {beat}", [f"fleet: hollow node: part of a core, {beat}"],
            sizes.NODES, core, "of a core", "control/fleet.py tick; members.py on_tick over all")  # fmt: skip
        add(f"a node's memory for the fleet, {beat}",
            [f"fleet: hollow node: memory beyond an empty process, {beat}"], sizes.NODES, sizes.CONTROL_MB,
            "MB", "members.py Member; net/control/fleet.py addresses")  # fmt: skip
        add(f"the author's processor time, {beat}", [f"fleet: author: part of a core, {beat}"], sizes.NODES,
            1.0, "of a core", "replica.py beat: to each node itself")  # fmt: skip
        add(f"a verdict in force everywhere, longest, {beat}",
            [f"fleet: a verdict in force everywhere after, longest, {beat}"], sizes.NODES, sizes.IN_FORCE_S,
            "s", "replica.py propose, commit, touch")  # fmt: skip
    for share in ("1", "10", "100"):
        name = f"path: added, 99th percentile; {share}% of the catalogue, no probes"
        if name in points:
            what = f"added to a request, 99th percentile, {share}% of tenants and routes at the node"
            carried = "clients.py, balancer.py, upstream.py; the round: balancer.py Balancer.tick"
            found.append(Need(what, points[name], sizes.ADDED_P99_MS, "ms", "measured", carried))
        else:
            missing.append(name)
    return sorted(found, key=lambda need: -need.ratio()), missing
