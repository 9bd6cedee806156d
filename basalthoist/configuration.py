"""Everything that a node is told at its start: read, checked and given defaults here and nowhere else."""

import os
import resource
from collections.abc import Mapping
from typing import Annotated, Literal

import msgspec

from .net.members import MemberList, address_of
from .terms import flat_map

Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(gt=0)]
LEAST_RESERVE = 28  # descriptors: a process without any connection has about 18 open


class ConfigurationError(Exception):
    """What is wrong, with the name of the faulty key."""


class Limits(msgspec.Struct, frozen=True):
    """Sizes in bytes, times in seconds. `sockets` and `memory_mb` are what the machine allows."""

    cores: Positive = 1.0
    memory_mb: Positive = 192
    sockets: Annotated[int, msgspec.Meta(ge=64)] = 1024
    reserve: Count = 48  # descriptors kept free for listener, discovery, log, the loop and what is closing
    upstream_part: Annotated[float, msgspec.Meta(gt=0, lt=1)] = 0.3  # of the others, never taken by clients
    head_bytes: Count = 16 * 1024
    body_bytes: Count = 64 * 1024  # a body up to this is held whole, a longer one goes on as it comes
    long_bytes: Count = 40 * 1024 * 1024  # a body over this is refused
    list_bytes: Count = 4 * 1024 * 1024
    log_lines_per_s: Count = 20
    backlog: Count = 512
    admin_line_s: Positive = 5.0  # how long a caller at the operators' door has to end its line
    client_idle_s: Positive = 120.0  # a client's connection between exchanges
    client_kept_part: Annotated[float, msgspec.Meta(gt=0, lt=1)] = 0.2  # of the descriptors, by idle clients
    client_fresh_s: Positive = 0.1  # a connection as new as this is about to bring its first request
    client_first_s: Positive = 2.6  # from connecting to the end of the first request
    client_read_s: Positive = 2.6  # from the first byte of a request to its last
    client_bytes_per_s: Positive = 60_000  # of a body; for what has come, both of these times are longer
    client_stall_s: Positive = 10.0  # an answer of which nothing is read
    client_close_s: Positive = 1.0  # how long a client has to close after the last answer
    client_errors: Count = 8  # requests in error after which a connection is ended
    client_transit_s: Annotated[float, msgspec.Meta(ge=0)] = 0.001  # from a client's send to its arrival here
    upstream_idle_part: Annotated[float, msgspec.Meta(gt=0, lt=1)] = 0.5  # of the backend's own keep-alive
    upstream_rest_s: Annotated[float, msgspec.Meta(ge=0)] = 0.001  # quiet between two exchanges
    connect_s: Positive = 1.0  # where the settings give no time for it
    probe_s: Positive = 0.1
    first_list_s: Positive = 0.3  # how long `/ready` waits for discovery before the saved list has to do
    answer_hold_s: Positive = 0.005  # from its first bytes, for one of unknown length; then it is passed on
    stream_silent_s: Positive = 15.0  # an answer that was begun and of which nothing more comes
    watch_silent_s: Positive = 4.2  # of two of its heartbeats none has come, or a call has not come so far
    watch_told_s: Positive = 6.0  # what a watch has missed for as long counts as known, however it was missed
    watch_moved_s: Positive = 4.0  # what a new address of discovery has counts as known so long after SIGHUP
    watch_retry_s: Positive = 0.4  # before discovery is tried again; it doubles, spread by half either way
    watch_retry_most_s: Positive = 2.0  # a quarter of it where lists are pushed
    watch_line_s: Annotated[float, msgspec.Meta(ge=0)] = 0.008  # of discovery for a line, where calls weigh
    linger_s: Positive = 0.55  # after SIGTERM new connections are still taken for this long
    kill_after_s: Positive = 0.7  # beyond the longest deadline, SIGKILL may come after SIGTERM
    kill_margin_s: Positive = 0.3  # how long before that everything is answered
    bind_s: Positive = 5.0  # how long the address may still be held by a process before this one
    succession_s: Positive = 2.0  # how long a process before this one has to hand over


class Route(msgspec.Struct):
    name: str
    overall_timeout: Annotated[int, msgspec.Meta(ge=0)] = 0
    streaming: bool = False


class Account(msgspec.Struct):
    name: str


class Feedback(msgspec.Struct):
    how: str = "off"


class PolicyLimits(msgspec.Struct):
    connect_timeout: Annotated[int, msgspec.Meta(ge=0)] = 0
    keepalive: Annotated[int, msgspec.Meta(ge=0)] = 0
    probes: bool = False
    peers: bool = False


class Told(msgspec.Struct):
    """Those of the settings that the network side needs itself, in their own words and microseconds."""

    routes: Annotated[list[Route], msgspec.Meta(min_length=1)]
    siblings: Annotated[int, msgspec.Meta(ge=0)] = 1
    discovery: str = "pushed"
    accounts: list[Account] = []
    zones: list[str] = []
    kinds: list[str] = []
    policy_limits: PolicyLimits = msgspec.field(default_factory=PolicyLimits)
    feedback: Feedback = msgspec.field(default_factory=Feedback)


class ShadowDocument(msgspec.Struct, forbid_unknown_fields=True):
    """Settings to be watched before they are taken up: those that differ, laid over `settings`."""

    settings: dict
    report_s: Positive = 60.0  # between two log lines with the counts


class Document(msgspec.Struct):
    settings: dict
    seed: str
    name: str = ""
    listen: str = ""
    admin: str = ""
    discovery: str = ""
    peer_listen: str = ""
    peers: list[str] = []
    shadow: ShadowDocument | None = None
    limits: Limits = msgspec.field(default_factory=Limits)
    known: MemberList = msgspec.field(default_factory=lambda: MemberList(0, [], True))


def laid_over(under: dict, over: dict) -> dict:
    both = [key for key in over if isinstance(under.get(key), dict) and isinstance(over[key], dict)]
    return under | over | {key: laid_over(under[key], over[key]) for key in both}


def shadow_of(document: Document) -> dict:
    """The settings of the shadow in the words of the decisions: the same routes and customers in both."""
    merged = laid_over(document.settings, document.shadow.settings)
    try:
        msgspec.convert(merged, Told)
    except msgspec.ValidationError as wrong:
        raise ConfigurationError(str(wrong).replace("`$", "`$.shadow.settings")) from None
    for key in ("routes", "accounts"):
        names = [[one.get("name") for one in tree.get(key, [])] for tree in (document.settings, merged)]
        if names[0] != names[1]:
            raise ConfigurationError(f"shadow.settings.{key}: expected the same names in the same order")
    try:
        return flat_map(merged)
    except (TypeError, ValueError) as wrong:
        raise ConfigurationError(f"shadow.settings.{wrong}") from None


class Configuration:
    """The node's name, addresses, limits and saved list, and `settings` for the decisions."""

    def __init__(self, document: Document, told: Told, settings: dict, environment: Mapping,
                 open_files: int, before: "Configuration | None") -> None:  # fmt: skip
        self.document = document
        self.name = environment.get("PROXY_NAME") or document.name or "node"
        listen = environment.get("PROXY_LISTEN") or document.listen
        self.listen = address("listen (PROXY_LISTEN)", listen)
        admin = environment.get("PROXY_ADMIN") or document.admin
        self.admin = address("admin (PROXY_ADMIN)", admin) if admin else None
        # What outlives this process: other processes of the same node find it there.
        self.folder = environment.get("TMPDIR", "") if admin else ""
        if before is None:
            discovery = environment.get("PROXY_DISCOVERY") or document.discovery
            self.discovery = address("discovery (PROXY_DISCOVERY)", discovery)
        elif document.discovery == before.document.discovery:
            self.discovery = before.discovery
        else:
            # Guards against a move that the environment hides: nobody can change that of a running process.
            self.discovery = address("discovery", document.discovery)
        try:
            self.seed = int(document.seed, 16)
        except ValueError:
            raise ConfigurationError(f"seed: expected hex digits, got {document.seed!r}") from None
        for member in document.known.members:
            address(f"known.members, {member.id}: host_port", member.host_port)
        # Guards against silence that is found too late for what it missed to be known in time.
        if document.limits.watch_silent_s > 0.75 * document.limits.watch_told_s:
            most = 0.75 * document.limits.watch_told_s
            raise ConfigurationError(f"limits.watch_silent_s: at most {most:g}, by watch_told_s")
        # Guards against a machine that allows fewer descriptors than the file says.
        sockets = min(document.limits.sockets, open_files)
        reserve = min(document.limits.reserve, max(sockets // 3, LEAST_RESERVE))
        self.limits = msgspec.structs.replace(document.limits, sockets=sockets, reserve=reserve)
        self.peer_listen = address("peer_listen", document.peer_listen) if document.peer_listen else None
        self.peers = [address(f"peers.{number}", peer) for number, peer in enumerate(document.peers)]
        self.known, self.settings = document.known, settings
        self.shadow_settings = shadow_of(document) if document.shadow is not None else None
        # Where calls weigh on discovery: how long it takes to serve the whole tier, one after the other.
        lines = told.siblings * len(document.known.members) if told.discovery == "on_request" else 0
        self.turns_s = document.limits.watch_line_s * lines
        self.routes, self.told = told.routes, told
        self.longest_s = max(route.overall_timeout for route in told.routes) / 1e6 or 1.0
        self.customers = [account.name for account in told.accounts]
        self.reports = told.feedback.how != "off"
        self.connect_timeout_s = told.policy_limits.connect_timeout / 1e6 or document.limits.connect_s
        keepalive_s = told.policy_limits.keepalive / 1e6 or 10.0
        self.upstream_idle_s = keepalive_s * document.limits.upstream_idle_part

    def waits_for_restart(self, before: "Configuration") -> list[str]:
        """The keys that were changed in the file and that a running node can't take up."""
        keys = ("name", "listen", "admin", "seed", "limits", "settings", "peer_listen", "peers", "shadow")
        return [key for key in keys if getattr(self.document, key) != getattr(before.document, key)]


Seconds = Annotated[float, msgspec.Meta(gt=0)]
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]


class Site(msgspec.Struct, forbid_unknown_fields=True):
    """Another site: the addresses of its nodes that clients there use, as they are reached from here."""

    name: Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9-]+$")]
    gateways: Annotated[list[str], msgspec.Meta(min_length=1)]

    def named(self) -> list[tuple[str, tuple[str, int]]]:
        return [(f"{self.name}/{number}", address_of(text)) for number, text in enumerate(self.gateways)]


class GatewayDocument(msgspec.Struct, forbid_unknown_fields=True):
    """The file that PROXY_GATEWAY names."""

    site: Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9-]+$")]
    sites: Annotated[list[Site], msgspec.Meta(min_length=1)]
    beat_s: Seconds = 0.5  # between questions to another site's gateways
    silent_s: Seconds = 2.0  # a gateway that has not answered for as long is not used
    steady_s: Seconds = 2.0  # one that came back answers for as long before it is used
    offer_under: Share = 0.7  # usable part of the site's backends under which spill is offered
    enough_from: Share = 0.9  # and from which it ends
    shed_over: Share = 0.02  # part of the demand that is shed for spill to be offered at all
    calm_s: Seconds = 3.0  # without cause before spill ends
    help_part: Share = 0.25  # of what the site's backends can hold, given to others at most
    most_lanes: Count = 32  # that another site counts as at the most


class JsonRpcDocument(msgspec.Struct, forbid_unknown_fields=True):
    """The file that PROXY_JSONRPC names: then this node's backends speak JSON-RPC as well."""

    listen: str
    methods: Annotated[dict[str, str], msgspec.Meta(min_length=1)]  # each method's route
    customer: str = ""  # whose calls these are; the settings' first where empty
    load_method: str = "rpc.load"  # asked as a probe, where the settings allow any
    most_open: Count = 128  # calls under way on a connection; no more is read meanwhile
    most_batch: Count = 64

    def address(self) -> tuple[str, int]:
        return address_of(self.listen)


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

    def bounds(self):
        from .fleet.bounds import Bounds

        tenths = [int(s * 10_000) for s in (self.lease_s, self.beat_s, self.fresh_s, self.stale_s)]
        strict = self.when_stale == "stand_by"
        more = self.most_verdicts, self.sick_from, self.sick_s, int(self.grant_s * 10_000), self.sure_part
        return Bounds(*tenths, self.drift, int(self.answer_s * 10_000), strict, *more)

    def key(self) -> bytes:
        """What all nodes of the fleet must have alike; their addresses may differ from place to place."""
        from hashlib import blake2b

        alike = [self.fleet, sorted(self.nodes), sorted(self.voters), *self.bounds(), self.limits]
        return blake2b(msgspec.json.encode(alike), digest_size=16).digest()


def wrong_with_entries(entries: list, present, catalogue) -> str:
    """What is wrong with entries of a catalogue, by the name of the key, or ""; `entries.wrong_among`."""
    from .entries import wrong_among

    return wrong_among(entries, present, catalogue, Route, LimitDocument)


class Voter(msgspec.Struct, forbid_unknown_fields=True):
    """A machine that votes on who is author: its address for connections and that for the register."""

    address: str
    register: str


class DistributionDocument(msgspec.Struct, forbid_unknown_fields=True):
    """The file that PROXY_DISTRIBUTION or `relay FILE` names. docs/distribution.md."""

    fleet: Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9-]+$")]
    role: Literal["node", "relay"] = "node"
    region: str = ""
    seeds: list[str] = []  # of a node: addresses of relays to begin with
    scopes: list[Annotated[str, msgspec.Meta(min_length=1)]] = []  # of a node: the services it fronts
    name: str = ""  # of a relay
    listen: str = ""  # of a relay: where nodes and other relays come
    admin: str = ""  # of a relay: the operators' door
    voters: dict[str, Voter] = {}  # for a relay; one that stands among them votes, and may be author
    touch_s: Seconds = 1.0  # between two touches, by which a view stays fresh
    fresh_s: Seconds = 2.5  # a relay whose view stays older is left
    stale_s: Seconds = 4.0  # at this age at the latest a node knows that its view is stale
    when_stale: Literal["stand_by", "serve"] = "stand_by"
    silent_s: Seconds = 2.0  # a connection on which nothing comes for as long is left
    idle_s: Seconds = 300.0  # a tenant to which nothing came for as long goes again
    drift: Annotated[float, msgspec.Meta(ge=0, le=0.1)] = 0.001  # how far a clock's rate may be off
    answer_s: Seconds = 6.0  # how long an operator's call is tried
    batch_s: Seconds = 0.1  # between two changes; what comes meanwhile goes together
    wait_most_s: Seconds = 1.5  # before another relay is tried, at most
    sessions_per_s: Count = 200  # new ones that a relay takes
    snapshot_bytes_per_s: Count = 16 * 1024 * 1024  # that a relay sends
    waiting_bytes: Count = 1024 * 1024  # unsent to a session, beyond a snapshot, before it is ended
    history_bytes: Count = 8 * 1024 * 1024  # of changes, for those that are behind
    keep_s: Seconds = 30.0  # between two writings of a relay's file, and 1 s at a node
    tenants: Count = 2_000  # held at a node
    usual_quota: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 10.0  # until a tenant's is known
    lease_s: Seconds = 2.0  # of the register, as in the fleet's file
    beat_s: Seconds = 0.2

    def bounds(self):
        from .distribution.bounds import Bounds

        def tenths(seconds: float) -> int:
            return int(seconds * 10_000)

        return Bounds(
            touch=tenths(self.touch_s), fresh=tenths(self.fresh_s), stale=tenths(self.stale_s),
            silent=tenths(self.silent_s), drift=self.drift, strict=self.when_stale == "stand_by",
            answer=tenths(self.answer_s), batch=tenths(self.batch_s), wait_most=tenths(self.wait_most_s),
            sessions_per_s=self.sessions_per_s, snapshot_bytes_per_s=self.snapshot_bytes_per_s,
            waiting=self.waiting_bytes, history=self.history_bytes, tenants=self.tenants,
            idle=tenths(self.idle_s),
        )  # fmt: skip

    def register(self) -> FleetDocument:
        """The register that the voters keep: its set is the head of the catalogue."""
        nodes = {name: voter.register for name, voter in self.voters.items()}
        times = {"lease_s": self.lease_s, "beat_s": self.beat_s, "drift": self.drift}
        return FleetDocument(self.fleet, nodes, sorted(nodes), **times)


def load_distribution(environment: Mapping[str, str] = os.environ) -> DistributionDocument | None:
    """Of a node."""
    told = read_toml("PROXY_DISTRIBUTION", DistributionDocument, environment)
    return None if told is None else checked_distribution(environment["PROXY_DISTRIBUTION"], told, "node")


def load_relay(path: str) -> DistributionDocument:
    told = read_toml("FILE", DistributionDocument, {"FILE": path})
    return checked_distribution(path, told, "relay")


def checked_distribution(path: str, told: DistributionDocument, role: str) -> DistributionDocument:
    def refuse(key: str, expected: str, got: object) -> None:
        raise ConfigurationError(f"{path}: {key}: expected {expected}, got {got}")

    if told.role != role:
        refuse("role", repr(role), repr(told.role))
    for number, seed in enumerate(told.seeds):
        address(f"{path}: seeds[{number}]", seed)
    if role == "node" and not told.seeds:
        refuse("seeds", "addresses of relays", "none")
    if role == "relay":
        if not told.name:
            refuse("name", "this relay's name", "none")
        address(f"{path}: listen", told.listen)
        if told.admin:
            address(f"{path}: admin", told.admin)
        if not told.voters:
            refuse("voters", "machines that vote on who is author", "none")
        taken = {}
        for name, voter in told.voters.items():
            for key in ("address", "register"):
                at = key, address(f"{path}: voters.{name}.{key}", getattr(voter, key))
                # Guards against two voters that would answer for one another.
                if at in taken:
                    refuse(f"voters.{name}.{key}", "an address of its own", f"that of {taken[at]}")
                taken[at] = name
        own = told.voters.get(told.name)
        if own is not None and own.address != told.listen:
            refuse("listen", f"{own.address}, as among voters", told.listen)
        if told.lease_s < 4 * told.beat_s:
            refuse("beat_s", f"at most a quarter of lease_s, {told.lease_s / 4:g}", told.beat_s)
    if told.fresh_s < 2 * told.touch_s:
        refuse("fresh_s", f"at least two touches, {2 * told.touch_s:g}", told.fresh_s)
    if told.stale_s < told.fresh_s:
        refuse("stale_s", f"at least fresh_s, {told.fresh_s:g}", told.stale_s)
    if told.silent_s < 2 * told.touch_s:
        refuse("silent_s", f"at least two touches, {2 * told.touch_s:g}", told.silent_s)
    return told


class ServiceBody(msgspec.Struct, forbid_unknown_fields=True):
    """What is distributed of a service; its routes and backends are entries of its scope."""


class RouteBody(msgspec.Struct, forbid_unknown_fields=True):
    """As in a file's `settings.routes[]`, microseconds."""

    overall_timeout: Annotated[int, msgspec.Meta(ge=0, le=10**10)] = 0
    latency_objective: Annotated[int, msgspec.Meta(ge=0, le=10**10)] = 0
    value: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 1.0


class TenantBody(msgspec.Struct, forbid_unknown_fields=True):
    quota_per_s: Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class BackendsBody(msgspec.Struct, forbid_unknown_fields=True):
    members: list[str]


class LimitBody(msgspec.Struct, forbid_unknown_fields=True):
    rate: Annotated[float, msgspec.Meta(ge=0, le=1e9)]
    burst: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 10.0


class VerdictBody(msgspec.Struct, forbid_unknown_fields=True):
    """`ban`: a backend is left out; `customer`: a customer is shut out."""

    kind: Literal["ban", "customer"]
    subject: Annotated[str, msgspec.Meta(min_length=1)]


class RelayBody(msgspec.Struct, forbid_unknown_fields=True):
    address: str
    region: str = ""


BODIES = {"service": ServiceBody, "route": RouteBody, "tenant": TenantBody, "backends": BackendsBody,
          "limit": LimitBody, "verdict": VerdictBody, "relay": RelayBody}  # fmt: skip


def wrong_with(entries, present, catalogue) -> str:
    """Why a change can't be distributed, naming the key, or nothing. `present`: an entry as it will be."""
    coming = {entry.key: entry.on for entry in entries}
    for entry in entries:
        scoped = entry.kind in ("route", "backends")
        key = f"{entry.kind}/{entry.scope}/{entry.name}" if scoped else f"{entry.kind}/{entry.name}"
        if not entry.name or not entry.name.isascii() or not entry.name.isprintable() or " " in entry.name:
            return f"{key}: name: expected printable ASCII without spaces"
        if not entry.on:
            if present(entry.key) is None:
                return f"{key}: there is none"
            left = catalogue.scopes.get(entry.name, {}).keys() - coming.keys()
            if entry.kind == "service" and left:
                return f"{key}: it still has routes or backends"
            continue
        try:
            body = msgspec.convert(entry.body, BODIES[entry.kind])
            if entry.kind == "relay":
                address_of(body.address)
            for member in body.members if entry.kind == "backends" else ():
                address_of(member)
        except (msgspec.ValidationError, ValueError) as wrong:
            return f"{key}: {wrong}"
        service = ("service", entry.scope)
        if scoped and not coming.get(service, present(service) is not None):
            return f"{key}: scope: no service {entry.scope!r}"
        own = entry.name if entry.kind == "service" else ""
        if not scoped and entry.scope != own:
            return f"{key}: scope: expected {own!r}, got {entry.scope!r}"
        old = present(entry.key)
        # Guards against a name that would move from one service to another under those that serve it.
        if old is not None and old.scope != entry.scope:
            return f"{key}: scope: expected {old.scope!r}, as it stands"
    return ""


def load_fleet(configuration: Configuration, environment: Mapping[str, str] = os.environ):
    told = read_toml("PROXY_FLEET", FleetDocument, environment)
    if told is None:
        return None
    path, voters, beats = environment["PROXY_FLEET"], told.voters, told.lease_s / told.beat_s

    def refuse(key: str, expected: str, got: object) -> None:
        raise ConfigurationError(f"{path}: {key}: expected {expected}, got {got}")

    addresses = {}
    for name, text in told.nodes.items():
        at = address(f"{path}: nodes.{name}", text)
        # Guards against two nodes that would answer for one another.
        if at in addresses:
            refuse(f"nodes.{name}", "an address of its own", f"{text} as for {addresses[at]}")
        addresses[at] = name
    if configuration.name not in told.nodes:
        refuse("nodes", f"this node, {configuration.name}", ", ".join(told.nodes))
    for number, name in enumerate(voters):
        if name not in told.nodes:
            refuse(f"voters[{number}]", "one of nodes", repr(name))
        # Guards against a majority that is none: one vote counted twice.
        if name in voters[:number]:
            refuse(f"voters[{number}]", "each voter once", repr(name))
    if beats < 4:
        refuse("beat_s", f"at most a quarter of lease_s, {told.lease_s / 4:g}", told.beat_s)
    if told.fresh_s < 2 * told.beat_s:
        refuse("fresh_s", f"at least two beats, {2 * told.beat_s:g}", told.fresh_s)
    for number, limit in enumerate(told.limits):
        if limit.customer not in configuration.customers:
            refuse(f"limits[{number}].customer", "one of the settings' accounts", repr(limit.customer))
        if limit.customer in [other.customer for other in told.limits[:number]]:
            refuse(f"limits[{number}].customer", "one limit a customer", repr(limit.customer))
    # Guards against grants that end before the next ones can have come.
    if told.limits and told.grant_s < 4 * told.beat_s:
        refuse("grant_s", f"at least four beats, {4 * told.beat_s:g}", told.grant_s)
    # Guards against one node's evidence, which may be its own link's, and a number that never comes together.
    if told.sick_from and not 2 <= told.sick_from <= len(told.nodes):
        refuse("sick_from", f"0, or 2 to the nodes, {len(told.nodes)}", told.sick_from)
    if told.stale_s < told.fresh_s:
        refuse("stale_s", f"at least fresh_s, {told.fresh_s:g}", told.stale_s)
    return told


def read_toml(variable: str, kind: type, environment: Mapping[str, str]):
    """The file that a variable names, or None where it names none: then there is no such part."""
    path = environment.get(variable)
    if not path:
        return None
    try:
        with open(path, "rb") as file:
            return msgspec.toml.decode(file.read(), type=kind)
    except OSError as wrong:
        raise ConfigurationError(f"{variable}: {wrong}") from None
    except msgspec.ValidationError as wrong:
        raise ConfigurationError(f"{path}: {wrong}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as wrong:
        raise ConfigurationError(f"{path}: not TOML: {wrong}") from None


def load_jsonrpc(configuration: Configuration, environment: Mapping[str, str] = os.environ):
    told = read_toml("PROXY_JSONRPC", JsonRpcDocument, environment)
    if told is None:
        return None
    path, routes = environment["PROXY_JSONRPC"], [route.name for route in configuration.routes]
    address(f"{path}: listen", told.listen)
    for method, route in told.methods.items():
        if route not in routes:
            raise ConfigurationError(f"{path}: methods.{method}: no route {route!r} in the settings")
    if told.customer and told.customer not in configuration.customers:
        raise ConfigurationError(f"{path}: customer: no account {told.customer!r} in the settings")
    return told


def load_gateway(environment: Mapping[str, str] = os.environ) -> GatewayDocument | None:
    told = read_toml("PROXY_GATEWAY", GatewayDocument, environment)
    if told is None:
        return None
    path, names = environment["PROXY_GATEWAY"], [told.site, *(site.name for site in told.sites)]
    if len(names) > len(set(names)):
        raise ConfigurationError(f"{path}: sites: a name stands twice among {', '.join(names)}")
    for number, site in enumerate(told.sites):
        for at, text in enumerate(site.gateways):
            address(f"{path}: sites[{number}].gateways[{at}]", text)
    if told.offer_under > told.enough_from:
        raise ConfigurationError(f"{path}: offer_under: expected at most enough_from, got {told.offer_under}")
    return told


def address(key: str, text: str) -> tuple[str, int]:
    try:
        return address_of(text)
    except ValueError as wrong:
        raise ConfigurationError(f"{key}: {wrong}") from None


def decode(data: bytes, environment: Mapping[str, str], open_files: int = 1 << 20,
           before: Configuration | None = None, form: str = "JSON") -> Configuration:  # fmt: skip
    try:
        if form == "TOML":
            document = msgspec.toml.decode(data, type=Document)
        else:
            document = msgspec.json.decode(data, type=Document)
    except msgspec.ValidationError as wrong:
        raise ConfigurationError(str(wrong)) from None
    except (msgspec.DecodeError, UnicodeDecodeError) as wrong:
        raise ConfigurationError(f"not {form}: {wrong}") from None
    try:
        told = msgspec.convert(document.settings, Told)
    except msgspec.ValidationError as wrong:
        raise ConfigurationError(str(wrong).replace("`$", "`$.settings")) from None
    try:
        settings = flat_map(document.settings)
    except (TypeError, ValueError) as wrong:
        raise ConfigurationError(f"settings.{wrong}") from None
    return Configuration(document, told, settings, environment, open_files, before)


def load(environment: Mapping[str, str] = os.environ, before: Configuration | None = None) -> Configuration:
    """`before`: what a running node goes by, where the file is read again."""
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigurationError("PROXY_CONFIG: not set; it names the JSON file with the settings")
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as wrong:
        raise ConfigurationError(f"PROXY_CONFIG: {wrong}") from None
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    form = "TOML" if path.endswith(".toml") else "JSON"
    return decode(data, environment, 1 << 20 if allowed == resource.RLIM_INFINITY else allowed, before, form)
