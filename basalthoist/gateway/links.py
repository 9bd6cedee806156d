"""Links to other sites: heartbeats to their gateways, and the endpoints that represent them."""

from functools import partial

import msgspec

from basalthoist.configuration.gateway import GatewayDocument
from basalthoist.decisions.interface import Endpoint, Outcome
from basalthoist.net.dispatcher import RequestDispatcher
from basalthoist.net.framing import Message
from basalthoist.net.runtime.log import Log
from basalthoist.net.runtime.timers import SECOND, Timers, now
from basalthoist.net.upstream.upstream import Upstream

from .sites import Report, Sites, local_state

MIN_TIMEOUT = 10  # tenths of a millisecond; minimum timeout of a request to another site


class SiteStatus(msgspec.Struct):
    """The body of a response to `GET /site`."""

    site: str
    usable: int
    hot: bool


STATUS_DECODER = msgspec.json.Decoder(SiteStatus)


class Links:
    """The links of one node. `Sites` decides which are listed; the balancer treats them like backends.

    `zones`: the number of zones of the own site.
    """

    def __init__(
        self,
        document: GatewayDocument,
        sites: Sites,
        timers: Timers,
        upstream: Upstream,
        dispatcher: RequestDispatcher,
        zones: int,
        log: Log,
    ) -> None:
        self.own_site: str = document.site
        self.sites: Sites = sites
        self.upstream: Upstream = upstream
        self.log: Log = log
        self.dispatcher: RequestDispatcher = dispatcher
        self.balancer = dispatcher.balancer
        self.addresses: dict[str, tuple[str, int]] = {}  # host and port by gateway name
        self.site_of: dict[str, str] = {}  # site name by gateway name
        for site in document.sites:
            for name, address in site.named():
                self.addresses[name] = address
                self.site_of[name] = site.name
        # Each other site is one zone, numbered after the zones of the own site.
        self.zone_of: dict[str, int] = {
            site.name: zones + number for number, site in enumerate(document.sites)
        }
        self.links: dict[str, str] = {}  # gateway name by the name of a listed link
        self.heartbeat_period: int = int(document.beat_s * SECOND)  # tenths of a millisecond
        for name, address in self.addresses.items():
            upstream.add_or_update_backend(f"gateway:{name}", address, None)
        dispatcher.links = self
        timers.every(self.heartbeat_period, self.send_heartbeats)
        self.send_heartbeats()

    # Heartbeats.

    def send_heartbeats(self) -> None:
        """Records the state of the own site and requests that of the others from all gateways."""
        state = local_state(self.balancer, now())
        self.sites.on_local(now(), state)
        request = [b"GET /site HTTP/1.1\r\nHost: %b\r\n\r\n" % self.own_site.encode()]
        for name in self.addresses:
            # Guards against heartbeats that pile up on a silent link: each times out before the next is sent.
            timeout = self.heartbeat_period
            on_outcome = partial(self.on_heartbeat_ended, name, now())
            self.upstream.call(f"gateway:{name}", request.copy, timeout, on_outcome, is_health_check=True)
        self.update_links()

    def on_heartbeat_ended(
        self, name: str, started_at: int, outcome: Outcome, response: Message | None
    ) -> None:
        """Records the result of a heartbeat: the gateway's report or its failure."""
        if outcome != Outcome.COMPLETED:
            if outcome != Outcome.TIMED_OUT:  # Silence has its own timeout in `Sites`.
                self.sites.on_failed(now(), name)
            return self.update_links()
        try:
            status = STATUS_DECODER.decode(bytes(response.body))
            if status.site != self.site_of[name]:
                raise msgspec.ValidationError(f"expected site {self.site_of[name]}, got {status.site}")
        except (msgspec.DecodeError, ValueError) as error:
            # Guards against an address that belongs to another program or to this site.
            self.log(f"gateway {name} answered with an invalid report: {error}")
            return self.sites.on_failed(now(), name)
        report = Report(max(status.usable, 0), status.hot)
        self.sites.on_heard(now(), name, report, now() - started_at)
        self.update_links()

    def report(self) -> bytes:
        """Returns the body of the response to `GET /site`."""
        return msgspec.json.encode(SiteStatus(self.own_site, self.usable(), self.sites.hot()))

    # Links.

    def update_links(self) -> None:
        """Adds new links to the balancer's endpoints and removes those that are no longer in use."""
        links = dict(self.sites.links(now()))
        removed = [link for link in self.links if link not in links]
        changed = [link for link, gateway in links.items() if self.links.get(link) != gateway]
        if not removed and not changed:
            return
        endpoints = [self.endpoint_of(link, "gone") for link in removed]
        endpoints += [self.endpoint_of(link) for link in changed]
        self.links = links
        for link in changed:
            self.upstream.add_or_update_backend(link, self.addresses[links[link]], None)
        self.dispatcher.on_endpoint_list(endpoints, False)
        for link in removed:
            self.upstream.remove(link)

    def endpoint_of(self, link: str, state: str = "healthy") -> Endpoint:
        """Returns a link as an entry of an endpoint list."""
        site = link.split(":")[1]
        return Endpoint(link, self.zone_of[site], -1, -1, state, 1.0, None, is_link=True)

    def endpoints(self) -> list[Endpoint]:
        """Returns the endpoints of all listed links."""
        return [self.endpoint_of(link) for link in self.links]

    def names(self) -> set[str]:
        """Returns the names of links and gateways in `Upstream`. They occur in no endpoint list."""
        return {*self.links, *(f"gateway:{name}" for name in self.addresses)}

    def headers_for(self, backend: str, timeout: int) -> tuple[bytes, int]:
        """Returns the headers of a spilled request, and its timeout less the round trip to the other site."""
        if backend not in self.links:
            return b"", timeout
        timeout_there = max(timeout - self.sites.round_trip_to(self.links[backend]), MIN_TIMEOUT)
        return b"Site-Hops: 1\r\nSite-From: %b\r\n" % self.own_site.encode(), timeout_there

    def usable(self) -> int:
        """Returns the number of usable backends of the own site."""
        return local_state(self.balancer, now()).usable
