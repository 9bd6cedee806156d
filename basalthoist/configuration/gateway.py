"""The configuration file of the gateway to other sites, named by PROXY_GATEWAY."""

from typing import Annotated

import msgspec

from basalthoist.addresses import address_of

from .reading import Address, ConfigurationError, Count, Seconds, Share, address, unexpected


class Site(msgspec.Struct, forbid_unknown_fields=True):
    """Another site, with the client-facing addresses of its nodes as reachable from this site."""

    name: Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9-]+$")]
    gateways: Annotated[list[str], msgspec.Meta(min_length=1)]

    def named(self) -> list[tuple[str, Address]]:
        """Returns each gateway's name, "site/number", and address. Raises ValueError for invalid ones."""
        return [(f"{self.name}/{number}", address_of(text)) for number, text in enumerate(self.gateways)]


class GatewayDocument(msgspec.Struct, forbid_unknown_fields=True):
    """The file that PROXY_GATEWAY names. Times in seconds. See docs/gateway.md."""

    site: Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9-]+$")]
    sites: Annotated[list[Site], msgspec.Meta(min_length=1)]
    beat_s: Seconds = 0.5  # interval of the heartbeats to other sites' gateways
    silent_s: Seconds = 2.0  # A gateway that has not answered for this long is not used.
    steady_s: Seconds = 2.0  # how long a gateway that came back must answer before it is used again
    offer_under: Share = 0.7  # Spill is offered below this share of usable backends at this site.
    enough_from: Share = 0.9  # Spill ends at this share of usable backends or above.
    shed_over: Share = 0.02  # share of the demand that is shed above which spill is offered
    calm_s: Seconds = 3.0  # time without a cause before spill ends
    help_part: Share = 0.25  # maximum share of the backends' capacity for requests of other sites
    most_lanes: Count = 32  # maximum number of links to another site


def checked_gateway(path: str, document: GatewayDocument) -> GatewayDocument:
    """Validates and returns the document.

    Raises ConfigurationError, naming the file at `path` and the first faulty key."""
    names = [document.site, *(site.name for site in document.sites)]
    if len(names) > len(set(names)):
        raise ConfigurationError(f"{path}: sites: a name stands twice among {', '.join(names)}")
    for number, site in enumerate(document.sites):
        for position, text in enumerate(site.gateways):
            address(f"{path}: sites[{number}].gateways[{position}]", text)
    if document.offer_under > document.enough_from:
        raise unexpected(path, "offer_under", "at most enough_from", document.offer_under)
    return document
