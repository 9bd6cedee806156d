"""The file of a fleet, which PROXY_FLEET names, and its limits on customers."""

from typing import TYPE_CHECKING, Annotated, Literal

import msgspec

from .reading import Address, Seconds, address, tenths_of, unexpected

if TYPE_CHECKING:
    from basalthoist.fleet.bounds import Bounds

    from .node import Configuration


LEAST_BEATS_A_LEASE = 4
LEAST_BEATS_A_GRANT = 4


class LimitDocument(msgspec.Struct, forbid_unknown_fields=True):
    """A limit on a customer's requests over the whole fleet. docs/fleet.md."""

    customer: str
    rate: Annotated[float, msgspec.Meta(ge=0, le=1e9)]  # a second
    burst: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 10.0  # at once, beyond the rate


class FleetDocument(msgspec.Struct, forbid_unknown_fields=True):
    """The file that PROXY_FLEET names: then this node acts on the verdicts of that fleet. docs/fleet.md."""

    fleet: Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9-]+$")]
    nodes: Annotated[dict[str, str], msgspec.Meta(min_length=1)]  # each one's address for the fleet's words
    voters: Annotated[list[str], msgspec.Meta(min_length=1)]
    lease_s: Seconds = 2.0  # how long a voter's promise runs; as long is a fleet without author after its end
    beat_s: Seconds = 0.2  # between two beats of the author; a change needs about one to reach all
    fresh_s: Seconds = 1.0  # A: a node whose view was confirmed within it counts as in touch
    stale_s: Seconds = 4.0  # B: at this age at the latest a node knows that its view is stale
    when_stale: Literal["stand_by", "serve"] = "stand_by"
    drift: Annotated[float, msgspec.Meta(ge=0, le=0.1)] = 0.001  # how far a clock's rate may be off
    answer_s: Seconds = 6.0  # how long an operator's call is tried
    probe_s: Seconds = 1.0  # between two probes of other members, to know who is there
    most_verdicts: Annotated[int, msgspec.Meta(gt=0, le=4096)] = 4096
    sick_from: Annotated[int, msgspec.Meta(ge=0)] = 0  # nodes whose own evidence finds a backend sick; 0: off
    sick_s: Seconds = 20.0  # how long the fleet leaves such a one out
    limits: Annotated[list[LimitDocument], msgspec.Meta(max_length=32)] = []  # all go in one datagram
    grant_s: Seconds = 1.0  # how long a part of a limit is granted for
    sure_part: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.5  # of a limit, for nodes out of touch, evenly

    def bounds(self) -> "Bounds":
        """The same for the fleet's replicas, in tenths of a millisecond; `sick_s` stays in seconds."""
        from basalthoist.fleet.bounds import Bounds

        # By position: their order is part of the fleet's key.
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
        """What all nodes of the fleet must have alike; their addresses may differ from place to place."""
        from hashlib import blake2b

        alike = [self.fleet, sorted(self.nodes), sorted(self.voters), *self.bounds(), self.limits]
        return blake2b(msgspec.json.encode(alike), digest_size=16).digest()


def checked_fleet(path: str, document: FleetDocument, configuration: "Configuration") -> FleetDocument:
    """The document; raises ConfigurationError, naming the file at `path` and the first faulty key."""
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
        # Guards against two nodes that would answer for one another.
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
        # Guards against a majority that is none: one vote counted twice.
        if name in document.voters[:number]:
            raise unexpected(path, key, "each voter once", repr(name))


def check_beats(path: str, document: FleetDocument) -> None:
    """Raises ConfigurationError unless leases and views last for enough heartbeats."""
    if document.lease_s / document.beat_s < LEAST_BEATS_A_LEASE:
        longest_timeout_s = document.lease_s / LEAST_BEATS_A_LEASE
        raise unexpected(
            path, "beat_s", f"at most a quarter of lease_s, {longest_timeout_s:g}", document.beat_s
        )
    if document.fresh_s < 2 * document.beat_s:
        raise unexpected(path, "fresh_s", f"at least two beats, {2 * document.beat_s:g}", document.fresh_s)


def check_limits(path: str, document: FleetDocument, tenants: list[str]) -> None:
    """Raises ConfigurationError unless each limit is of another tenant and grants overlap."""
    limited: list[str] = []
    for number, limit in enumerate(document.limits):
        key = f"limits[{number}].customer"
        if limit.customer not in tenants:
            raise unexpected(path, key, "one of the settings' accounts", repr(limit.customer))
        if limit.customer in limited:
            raise unexpected(path, key, "one limit a customer", repr(limit.customer))
        limited.append(limit.customer)
    # Guards against grants that end before the next ones can have come.
    if document.limits and document.grant_s < LEAST_BEATS_A_GRANT * document.beat_s:
        least_s = LEAST_BEATS_A_GRANT * document.beat_s
        raise unexpected(path, "grant_s", f"at least four beats, {least_s:g}", document.grant_s)


def check_outlier_reports(path: str, document: FleetDocument) -> None:
    """Guards against one node's evidence, which may be its own link's, and a number never reached."""
    if document.sick_from and not 2 <= document.sick_from <= len(document.nodes):
        expected = f"0, or 2 to the nodes, {len(document.nodes)}"
        raise unexpected(path, "sick_from", expected, document.sick_from)
