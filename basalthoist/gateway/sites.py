"""Decides which other sites are used, and when spill is offered and accepted. Does no I/O.

A link is an entry that `Balancer` treats as a backend when it chooses one for a request. Another site has as
many links as usable backends, spread over its gateways, so that its capacity is visible and the latency
profile of each link includes the network round trip.

Times are whole tenths of a millisecond.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from basalthoist.decisions.balancer import Balancer

SECOND = 10_000
SHED_RATE_SMOOTHING = 2 * SECOND
ROUND_TRIP_SMOOTHING = 0.2  # weight of a new sample in the moving average
REQUESTS_PER_BACKEND = 4  # assumed capacity of a usable backend, in requests in flight


@dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds that an operator can configure. Shares are fractions of 1."""

    silence_timeout: int = 2 * SECOND  # A gateway that has not answered for this long is not used.
    stable_time: int = 2 * SECOND  # how long a gateway must answer before it is used
    offer_below: float = 0.7  # Spill is offered below this share of usable among recently listed backends.
    end_from: float = 0.9  # Spill ends at this share or above, if shedding gave no cause.
    max_shed_share: float = 0.02  # Spill is offered if a larger share of the demand is shed.
    calm_time: int = 3 * SECOND  # time without a cause before spill ends
    listed_window: int = 60 * SECOND  # period in which the maximum of listed backends is taken
    help_share: float = 0.25  # part of the usable backends' capacity for requests of other sites
    max_links: int = 32  # maximum number of links to another site


@dataclass(slots=True)
class Report:
    """The state of a site as reported by one of its gateways."""

    usable: int  # number of usable backends
    hot: bool  # The site needs help itself.


@dataclass(slots=True)
class Gateway:
    """One node of another site, with its state by its heartbeat responses."""

    name: str
    site: str
    last_heard_at: int | None = None
    answering_since: int | None = None
    report: Report | None = None
    round_trip: float = 0.0  # moving average


class LocalState(NamedTuple):
    """The state of the own site, as observed by this node."""

    usable: int  # number of usable backends
    listed: int  # number of listed backends
    demand: float  # requests per second
    sheds: int  # requests shed within their tenants' quotas, since the start


class Sites:
    """The state of all sites. `gateways`: the names of the gateways by the name of their site."""

    def __init__(self, gateways: Mapping[str, list[str]], bounds: Bounds, log: Callable[[str], None]) -> None:
        self.bounds: Bounds = bounds
        self.log: Callable[[str], None] = log
        self.gateways: dict[str, Gateway] = {
            name: Gateway(name, site) for site, names in gateways.items() for name in names
        }
        self.listed: list[tuple[int, int]] = []  # times and numbers of listed local backends
        self.usable: int = 0  # number of usable local backends
        self.sheds: int = 0
        self.shed_rate: float = 0.0  # requests per second, moving average
        self.updated_at: int = 0
        self.ever_listed: bool = False
        self.offering: bool = False
        self.last_cause_at: int = -(1 << 60)  # the last time with a cause to offer spill
        self.in_progress: int = 0  # number of requests of other sites in progress

    # Events.

    def on_local(self, now: int, state: LocalState) -> None:
        """Records the state of the own site, at each heartbeat, and updates the offer of spill."""
        self.update_shed_rate(now, state.sheds)
        self.updated_at = now
        self.sheds = state.sheds
        self.usable = state.usable
        self.listed = [(at, count) for at, count in self.listed if now - at < self.bounds.listed_window]
        self.listed.append((now, state.listed))
        most_listed = max(count for _, count in self.listed)
        self.ever_listed |= most_listed > 0
        # Guards against spill at the start: before the first endpoint list there are no usable backends.
        usable_share = state.usable / most_listed if most_listed else float(not self.ever_listed)
        sheds_too_much = state.demand > 0 and self.shed_rate > self.bounds.max_shed_share * state.demand
        if usable_share < self.bounds.offer_below or sheds_too_much:
            self.last_cause_at = now
        figures = (
            f"{state.usable} of {most_listed} backends, {self.shed_rate:.1f} of {state.demand:.1f}/s shed"
        )
        self.update_offer(now, usable_share, figures)

    def update_shed_rate(self, now: int, sheds: int) -> None:
        """Updates the moving average of shed requests.

        An average guards against spill because of a single shed request, and against counting the requests
        that were shed in an outage that is over.
        """
        if self.updated_at:
            span = max(now - self.updated_at, 1)
            weight = min(span / SHED_RATE_SMOOTHING, 1.0)
            self.shed_rate += (max(sheds - self.sheds, 0) * SECOND / span - self.shed_rate) * weight

    def update_offer(self, now: int, usable_share: float, figures: str) -> None:
        """Starts the offer of spill at a cause, and ends it `calm_time` after the last one."""
        if not self.offering and self.last_cause_at == now:
            self.offering = True
            self.log(f"spill offered: {figures}")
        elif (
            self.offering
            and usable_share >= self.bounds.end_from
            and now - self.last_cause_at >= self.bounds.calm_time
        ):
            self.offering = False
            self.log(f"spill ended: {figures}")

    def on_heard(self, now: int, name: str, report: Report, round_trip: int) -> None:
        """Records that a gateway answered a heartbeat."""
        gateway = self.gateways[name]
        if not self.is_alive(now, gateway):
            gateway.answering_since = now
        gateway.last_heard_at = now
        gateway.report = report
        weight = ROUND_TRIP_SMOOTHING if gateway.round_trip else 1.0
        gateway.round_trip += (round_trip - gateway.round_trip) * weight

    def on_failed(self, now: int, name: str) -> None:
        """Records that a gateway refused or reset the connection: it counts as down at once."""
        self.gateways[name].answering_since = None

    # State.

    def is_alive(self, now: int, gateway: Gateway) -> bool:
        """Whether the gateway answered within the silence timeout and did not fail since."""
        answers = gateway.last_heard_at is not None and gateway.answering_since is not None
        return answers and now - gateway.last_heard_at <= self.bounds.silence_timeout

    def hot(self) -> bool:
        """Whether the own site needs help. Guards against two such sites that send each other requests."""
        return self.offering or not self.usable

    def links(self, now: int) -> list[tuple[str, str]]:
        """Returns the links in use, each with its gateway's name; none while spill is not offered."""
        links: list[tuple[str, str]] = []
        if not self.offering:
            return links
        for site in sorted({gateway.site for gateway in self.gateways.values()}):
            gateways = [g for g in self.gateways.values() if g.site == site and self.is_usable(now, g)]
            if gateways:
                count = min(max(g.report.usable for g in gateways), self.bounds.max_links)
                links += [(f"site:{site}:{i}", gateways[i % len(gateways)].name) for i in range(count)]
        return links

    def is_usable(self, now: int, gateway: Gateway) -> bool:
        """Whether requests can be sent to the gateway: stable, not hot, with usable backends."""
        # Guards against a flapping link, which would lose the requests sent to it at each failure.
        is_stable = self.is_alive(now, gateway) and now - gateway.answering_since >= self.bounds.stable_time
        return is_stable and not gateway.report.hot and gateway.report.usable > 0

    def accepts(self, hops: int) -> bool:
        """Whether a spilled request is admitted. A rejected one is answered as not started."""
        # Guards against loops, in which a request passes from site to site until its deadline.
        if hops != 1 or self.hot():
            return False
        # Guards against spilled requests that crowd out the site's own: their number is bounded.
        capacity = self.bounds.help_share * REQUESTS_PER_BACKEND * self.usable
        return self.in_progress < max(capacity, 1.0)

    def round_trip_to(self, name: str) -> int:
        """Returns the round trip time to a gateway, which shortens the timeout of a spilled request."""
        gateway = self.gateways.get(name)
        return round(gateway.round_trip) if gateway is not None else 0


def local_state(balancer: "Balancer", now: int) -> LocalState:
    """Returns the state of the balancer's own site."""
    local = [b for b in balancer.backends.values() if b.available and not b.is_link]
    usable = sum(not b.is_ejected(now) for b in local)
    return LocalState(usable, len(local), balancer.demand, balancer.shed_log.in_quota)
