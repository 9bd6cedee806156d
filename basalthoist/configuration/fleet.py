"""The configuration file of a fleet, named by PROXY_FLEET, with its rate limits on tenants."""

from typing import TYPE_CHECKING, Annotated, Literal

import msgspec

from .reading import Address, Seconds, address, tenths_of, unexpected

if TYPE_CHECKING:
    from basalthoist.fleet.bounds import Bounds

    from .node import Configuration


MIN_HEARTBEATS_PER_LEASE = 4
MIN_HEARTBEATS_PER_GRANT = 4


class LimitDocument(msgspec.Struct, forbid_unknown_fields=True):
    """A rate limit on a tenant's requests over the whole fleet. See docs/fleet.md."""

    customer: str
    rate: Annotated[float, msgspec.Meta(ge=0, le=1e9)]  # requests per second
    burst: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 10.0  # admitted at once on top of the rate


class FleetDocument(msgspec.Struct, forbid_unknown_fields=True):
    """The file that PROXY_FLEET names; a node that has one follows the verdicts of the fleet.

    The leader is called author in log lines and operators' answers. See docs/fleet.md."""

    fleet: Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9-]+$")]
    nodes: Annotated[dict[str, str], msgspec.Meta(min_length=1)]  # address for fleet messages, by node
    voters: Annotated[list[str], msgspec.Meta(min_length=1)]
    lease_s: Seconds = 2.0  # duration of a voter's promise, and of the wait after a leader's failure
    beat_s: Seconds = 0.2  # the leader's heartbeat interval; a change arrives within about one interval
    fresh_s: Seconds = 1.0  # A of docs/fleet.md: a node with a view up to this age is in touch
    stale_s: Seconds = 4.0  # B of docs/fleet.md: the age by which a node knows that its view is stale
    when_stale: Literal["stand_by", "serve"] = "stand_by"
    drift: Annotated[float, msgspec.Meta(ge=0, le=0.1)] = 0.001  # maximum relative error of a clock's rate
    answer_s: Seconds = 6.0  # timeout of an operator's call, retries included
    probe_s: Seconds = 1.0  # interval of the membership protocol's probes
    most_verdicts: Annotated[int, msgspec.Meta(gt=0, le=4096)] = 4096
    # Number of nodes whose reports of an outlier make the fleet eject it; 0: off.
    sick_from: Annotated[int, msgspec.Meta(ge=0)] = 0
    sick_s: Seconds = 20.0  # how long the fleet ejects a backend that `sick_from` nodes report
    # The number is bounded because all limits are sent in one datagram.
    limits: Annotated[list[LimitDocument], msgspec.Meta(max_length=32)] = []
    grant_s: Seconds = 1.0  # how long a grant of part of a limit is valid
    # Part of each limit that is guaranteed to the nodes in equal shares, also while they are out of touch.
    sure_part: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.5

    def bounds(self) -> "Bounds":
        """Returns the bounds for the fleet's replicas in tenths of a millisecond, but `sick_s` in seconds."""
        from basalthoist.fleet.bounds import Bounds

        # Passed by position because `key` hashes them in this order.
        return Bounds(
            tenths_of(self.lease_s),
            tenths_of(self.beat_s),
            tenths_of(self.fresh_s),
            tenths_of(self.stale_s),
            self.drift,
            tenths_of(self.answer_s),
            self.when_stale == "stand_by",
            self.most_verdicts,
            self.sick_from,
            self.sick_s,
            tenths_of(self.grant_s),
            self.sure_part,
        )

    def key(self) -> bytes:
        """Returns a hash of the settings that all nodes of the fleet must share.

        Addresses are left out, since they may differ between the places from which a node is reached."""
        from hashlib import blake2b

        shared = [self.fleet, sorted(self.nodes), sorted(self.voters), *self.bounds(), self.limits]
        return blake2b(msgspec.json.encode(shared), digest_size=16).digest()


def checked_fleet(path: str, document: FleetDocument, configuration: "Configuration") -> FleetDocument:
    """Validates and returns the document.

    Raises ConfigurationError, naming the file at `path` and the first faulty key."""
    check_nodes(path, document, configuration.name)
    check_voters(path, document)
    check_beats(path, document)
    check_limits(path, document, configuration.customers)
    check_outlier_reports(path, document)
    if document.stale_s < document.fresh_s:
        raise unexpected(path, "stale_s", f"at least fresh_s, {document.fresh_s:g}", document.stale_s)
    return document


def check_nodes(path: str, document: FleetDocument, own_name: str) -> None:
    """Raises ConfigurationError unless each node has an address of its own and this one is among them."""
    names: dict[Address, str] = {}
    for name, text in document.nodes.items():
        key = f"nodes.{name}"
        node_address = address(f"{path}: {key}", text)
        # Guards against two nodes that receive each other's messages.
        if node_address in names:
            raise unexpected(path, key, "an address of its own", f"{text} as for {names[node_address]}")
        names[node_address] = name
    if own_name not in document.nodes:
        raise unexpected(path, "nodes", f"this node, {own_name}", ", ".join(document.nodes))


def check_voters(path: str, document: FleetDocument) -> None:
    """Raises ConfigurationError unless the voters are nodes, each named once."""
    for number, name in enumerate(document.voters):
        key = f"voters[{number}]"
        if name not in document.nodes:
            raise unexpected(path, key, "one of nodes", repr(name))
        # Guards against a false majority in which one vote is counted twice.
        if name in document.voters[:number]:
            raise unexpected(path, key, "each voter once", repr(name))


def check_beats(path: str, document: FleetDocument) -> None:
    """Raises ConfigurationError unless leases and views last for enough heartbeats."""
    if document.lease_s / document.beat_s < MIN_HEARTBEATS_PER_LEASE:
        max_beat_s = document.lease_s / MIN_HEARTBEATS_PER_LEASE
        raise unexpected(path, "beat_s", f"at most a quarter of lease_s, {max_beat_s:g}", document.beat_s)
    if document.fresh_s < 2 * document.beat_s:
        raise unexpected(path, "fresh_s", f"at least two beats, {2 * document.beat_s:g}", document.fresh_s)


def check_limits(path: str, document: FleetDocument, tenants: list[str]) -> None:
    """Raises ConfigurationError unless limits name known tenants, each at most once, and grants last long
    enough to be renewed."""
    limited: list[str] = []
    for number, limit in enumerate(document.limits):
        key = f"limits[{number}].customer"
        if limit.customer not in tenants:
            raise unexpected(path, key, "one of the settings' accounts", repr(limit.customer))
        if limit.customer in limited:
            raise unexpected(path, key, "one limit a customer", repr(limit.customer))
        limited.append(limit.customer)
    # Guards against grants that expire before their renewal can have arrived.
    if document.limits and document.grant_s < MIN_HEARTBEATS_PER_GRANT * document.beat_s:
        min_grant_s = MIN_HEARTBEATS_PER_GRANT * document.beat_s
        raise unexpected(path, "grant_s", f"at least four beats, {min_grant_s:g}", document.grant_s)


def check_outlier_reports(path: str, document: FleetDocument) -> None:
    """Raises ConfigurationError unless `sick_from` is 0, or at least 2 and at most the number of nodes.

    A fault that a single node observes may be one of its own link. A threshold above the number of nodes
    could never be reached."""
    if document.sick_from and not 2 <= document.sick_from <= len(document.nodes):
        expected = f"0, or 2 to the nodes, {len(document.nodes)}"
        raise unexpected(path, "sick_from", expected, document.sick_from)
