"""The configuration file for versioned distribution, named by PROXY_DISTRIBUTION or `relay FILE`."""

from typing import TYPE_CHECKING, Annotated, Literal, NoReturn

import msgspec

from .fleet import FleetDocument
from .reading import Address, ConfigurationError, Count, Seconds, address

if TYPE_CHECKING:
    from basalthoist.distribution.bounds import Bounds


class Voter(msgspec.Struct, forbid_unknown_fields=True):
    """A machine that votes in the election of the leader ("author" in log lines and answers): its address for
    connections and its address for the register."""

    address: str
    register: str


class DistributionDocument(msgspec.Struct, forbid_unknown_fields=True):
    """The file that PROXY_DISTRIBUTION or `relay FILE` names. Times in seconds. See docs/distribution.md."""

    fleet: Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9-]+$")]
    role: Literal["node", "relay"] = "node"
    region: str = ""
    seeds: list[str] = []  # nodes only: addresses of the relays to connect to first
    scopes: list[Annotated[str, msgspec.Meta(min_length=1)]] = []  # nodes only: the services they front
    name: str = ""  # relays only
    listen: str = ""  # relays only: the address for connections of nodes and other relays
    admin: str = ""  # relays only: the address of the admin interface
    voters: dict[str, Voter] = {}  # relays only; a relay listed here votes and may be elected leader
    touch_s: Seconds = 1.0  # interval of the heartbeats that confirm a view as fresh
    fresh_s: Seconds = 2.5  # a node leaves a relay whose view stays older than this
    stale_s: Seconds = 4.0  # the age by which a node has noticed that its view is stale
    when_stale: Literal["stand_by", "serve"] = "stand_by"
    silent_s: Seconds = 2.0  # a connection that receives nothing for this long is abandoned
    idle_s: Seconds = 300.0  # a node drops a tenant's entry after this long without a request of the tenant
    drift: Annotated[float, msgspec.Meta(ge=0, le=0.1)] = 0.001  # maximum relative error of a clock's rate
    answer_s: Seconds = 6.0  # timeout of an operator's call, retries included
    batch_s: Seconds = 0.1  # interval between two changes; calls that arrive meanwhile are batched
    wait_most_s: Seconds = 1.5  # maximum wait before the next relay is tried
    sessions_per_s: Count = 200  # rate at which a relay accepts new sessions
    snapshot_bytes_per_s: Count = 16 * 1024 * 1024  # rate at which a relay sends snapshots
    waiting_bytes: Count = 1024 * 1024  # unsent bytes, snapshots aside, at which a session is ended
    history_bytes: Count = 8 * 1024 * 1024  # changes retained for subscribers that are behind
    keep_s: Seconds = 30.0  # interval at which a relay writes its file; a node writes its own every 1 s
    tenants: Count = 2_000  # maximum number of tenants whose entries a node stores
    # The quota of a tenant whose own quota is not known yet, in requests per second.
    usual_quota: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 10.0
    lease_s: Seconds = 2.0  # lease of the register, as in the fleet's file
    beat_s: Seconds = 0.2  # heartbeat interval of the register, as in the fleet's file

    def bounds(self) -> "Bounds":
        """Returns the bounds for the distribution protocol, with times in tenths of a millisecond."""
        from basalthoist.distribution.bounds import Bounds

        def tenths(seconds: float) -> int:
            return int(seconds * 10_000)

        return Bounds(
            heartbeat=tenths(self.touch_s),
            fresh=tenths(self.fresh_s),
            stale=tenths(self.stale_s),
            silent=tenths(self.silent_s),
            drift=self.drift,
            strict=self.when_stale == "stand_by",
            call_timeout=tenths(self.answer_s),
            batch_interval=tenths(self.batch_s),
            max_backoff=tenths(self.wait_most_s),
            sessions_per_s=self.sessions_per_s,
            snapshot_bytes_per_s=self.snapshot_bytes_per_s,
            max_unsent_bytes=self.waiting_bytes,
            history_bytes=self.history_bytes,
            max_tenants=self.tenants,
            tenant_idle=tenths(self.idle_s),
        )

    def register(self) -> FleetDocument:
        """Returns the configuration of the voters' register, which stores the head of the catalogue."""
        nodes = {name: voter.register for name, voter in self.voters.items()}
        times = {"lease_s": self.lease_s, "beat_s": self.beat_s, "drift": self.drift}
        return FleetDocument(self.fleet, nodes, sorted(nodes), **times)


def checked_distribution(path: str, document: DistributionDocument, role: str) -> DistributionDocument:
    """Validates the document for `role`, "node" or "relay", and returns it.

    Raises ConfigurationError, naming the file at `path` and the first faulty key."""
    if document.role != role:
        raise_unexpected(path, "role", repr(role), repr(document.role))
    for number, seed in enumerate(document.seeds):
        address(f"{path}: seeds[{number}]", seed)
    if role == "node" and not document.seeds:
        raise_unexpected(path, "seeds", "addresses of relays", "none")
    if role == "relay":
        check_relay(path, document)
    check_times(path, document)
    return document


def raise_unexpected(path: str, key: str, expected: str, got: object) -> NoReturn:
    """Raises ConfigurationError, naming the key of the file at `path`."""
    raise ConfigurationError(f"{path}: {key}: expected {expected}, got {got}")


def check_relay(path: str, document: DistributionDocument) -> None:
    """Raises ConfigurationError for the first faulty key among those that only a relay's file has."""
    if not document.name:
        raise_unexpected(path, "name", "this relay's name", "none")
    address(f"{path}: listen", document.listen)
    if document.admin:
        address(f"{path}: admin", document.admin)
    if not document.voters:
        raise_unexpected(path, "voters", "machines that vote on who is author", "none")
    check_voters(path, document.voters)
    own = document.voters.get(document.name)
    if own is not None and own.address != document.listen:
        raise_unexpected(path, "listen", f"{own.address}, as among voters", document.listen)
    if document.lease_s < 4 * document.beat_s:
        raise_unexpected(
            path, "beat_s", f"at most a quarter of lease_s, {document.lease_s / 4:g}", document.beat_s
        )


def check_voters(path: str, voters: dict[str, Voter]) -> None:
    """Raises ConfigurationError if a voter's address is invalid or belongs to another voter as well."""
    owner_of: dict[tuple[str, Address], str] = {}
    for name, voter in voters.items():
        for key in ("address", "register"):
            place = key, address(f"{path}: voters.{name}.{key}", getattr(voter, key))
            # Guards against two voters that receive each other's messages.
            if place in owner_of:
                raise_unexpected(
                    path, f"voters.{name}.{key}", "an address of its own", f"that of {owner_of[place]}"
                )
            owner_of[place] = name


def check_times(path: str, document: DistributionDocument) -> None:
    """Raises ConfigurationError if a timeout is too short for the heartbeat interval or `fresh_s`."""
    if document.fresh_s < 2 * document.touch_s:
        raise_unexpected(path, "fresh_s", f"at least two touches, {2 * document.touch_s:g}", document.fresh_s)
    if document.stale_s < document.fresh_s:
        raise_unexpected(path, "stale_s", f"at least fresh_s, {document.fresh_s:g}", document.stale_s)
    if document.silent_s < 2 * document.touch_s:
        raise_unexpected(
            path, "silent_s", f"at least two touches, {2 * document.touch_s:g}", document.silent_s
        )
