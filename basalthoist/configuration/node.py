"""The configuration file of a node, named by PROXY_CONFIG: its types, its checks and the result."""

import os
import resource
from collections.abc import Mapping

import msgspec

from basalthoist.endpoint_list import EndpointList
from basalthoist.settings_codec import flatten

from .limits import Limits
from .network_settings import NetworkSettings, Route
from .reading import Address, ConfigurationError, Positive, address

MAX_SILENCE_PART = 0.75  # maximum of watch_silent_s, as a part of watch_told_s
UNLIMITED_DESCRIPTORS = 1 << 20
MICROSECONDS_PER_SECOND = 1e6
DEFAULT_KEEPALIVE_S = 10.0
DEFAULT_TIMEOUT_S = 1.0
MIN_RESERVE = 28  # descriptors; a process without connections has about 18 open


class ShadowDocument(msgspec.Struct, forbid_unknown_fields=True):
    """Settings on trial, whose decisions are counted but not carried out.

    `settings` has only the keys that differ from the node's own."""

    settings: dict
    report_s: Positive = 60.0  # interval of the log lines with the counts


class Document(msgspec.Struct):
    """The file that PROXY_CONFIG names. `settings` is for the decision code; addresses are "host:port"."""

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
    known: EndpointList = msgspec.field(default_factory=lambda: EndpointList(0, [], True))


class Configuration:
    """The validated configuration of a node.

    Attributes that end in `_s` are in seconds. An address is a host and a port. `settings` is for the
    decision code, `known` is the endpoint list in use until discovery answers."""

    def __init__(
        self,
        document: Document,
        network: NetworkSettings,
        settings: dict,
        environment: Mapping[str, str],
        open_files: int,
        before: "Configuration | None",
    ) -> None:
        """`open_files`: descriptors that the machine allows; `before`: the current configuration of a running
        node.

        Raises ConfigurationError, naming the first faulty key."""
        self.document: Document = document
        self.name: str = environment.get("PROXY_NAME") or document.name or "node"
        listen = environment.get("PROXY_LISTEN") or document.listen
        self.listen: Address = address("listen (PROXY_LISTEN)", listen)
        admin = environment.get("PROXY_ADMIN") or document.admin
        self.admin: Address | None = address("admin (PROXY_ADMIN)", admin) if admin else None
        # The folder for files that outlive this process and are read by other processes of the same node.
        self.folder: str = environment.get("TMPDIR", "") if admin else ""
        self.discovery: Address = discovery_of(document, environment, before)
        self.seed: int = seed_of(document)
        for entry in document.known.endpoints:
            address(f"known.members, {entry.id}: host_port", entry.host_port)
        self.limits: Limits = limits_within(document.limits, open_files)
        self.peer_listen: Address | None = None
        if document.peer_listen:
            self.peer_listen = address("peer_listen", document.peer_listen)
        self.peers: list[Address] = [address(f"peers.{at}", peer) for at, peer in enumerate(document.peers)]
        self.known: EndpointList = document.known
        self.settings: dict = settings
        self.shadow_settings: dict | None = None
        if document.shadow is not None:
            from .shadow import shadow_of

            self.shadow_settings = shadow_of(document.settings, document.shadow.settings)
        self.slot_cycle_s: float = slot_cycle_of(document, network)
        self.network_settings: NetworkSettings = network
        self.routes: list[Route] = network.routes
        longest_timeout = max(route.overall_timeout for route in network.routes)
        self.longest_timeout_s: float = longest_timeout / MICROSECONDS_PER_SECOND or DEFAULT_TIMEOUT_S
        self.customers: list[str] = [account.name for account in network.accounts]
        self.has_load_reports: bool = network.feedback.how != "off"
        connect_s = network.policy_limits.connect_timeout / MICROSECONDS_PER_SECOND
        self.connect_timeout_s: float = connect_s or document.limits.connect_s
        keepalive_s = network.policy_limits.keepalive / MICROSECONDS_PER_SECOND or DEFAULT_KEEPALIVE_S
        self.upstream_idle_s: float = keepalive_s * document.limits.upstream_idle_part

    def keys_needing_restart(self, before: "Configuration") -> list[str]:
        """Returns the keys whose values changed in the file and take effect only after a restart."""
        keys = ("name", "listen", "admin", "seed", "limits", "settings", "peer_listen", "peers", "shadow")
        return [key for key in keys if getattr(self.document, key) != getattr(before.document, key)]


def discovery_of(
    document: Document, environment: Mapping[str, str], before: "Configuration | None"
) -> Address:
    """Returns the address of discovery. A running node keeps its own unless the file changed it."""
    if before is None:
        return address(
            "discovery (PROXY_DISCOVERY)", environment.get("PROXY_DISCOVERY") or document.discovery
        )
    if document.discovery == before.document.discovery:
        return before.discovery
    # PROXY_DISCOVERY is ignored: it cannot change in a running process, and would hide the new address.
    return address("discovery", document.discovery)


def slot_cycle_of(document: Document, network: NetworkSettings) -> float:
    """Returns the seconds that discovery needs to answer a poll of every node, one after another.

    Returns 0 if polls put no load on discovery."""
    if network.discovery != "on_request":
        return 0.0
    lines = network.siblings * len(document.known.endpoints)
    return document.limits.watch_line_s * lines


def seed_of(document: Document) -> int:
    """Returns the seed as a number. Raises ConfigurationError if it is not hexadecimal."""
    try:
        return int(document.seed, 16)
    except ValueError:
        raise ConfigurationError(f"seed: expected hex digits, got {document.seed!r}") from None


def limits_within(limits: Limits, open_files: int) -> Limits:
    """Returns the limits with `sockets` and `reserve`, in descriptors, reduced to fit `open_files`.

    Raises ConfigurationError if `watch_silent_s` is too long for `watch_told_s`."""
    # Guards against a watch whose silence is detected only after its missed changes should be known.
    max_silence_s = MAX_SILENCE_PART * limits.watch_told_s
    if limits.watch_silent_s > max_silence_s:
        raise ConfigurationError(f"limits.watch_silent_s: at most {max_silence_s:g}, by watch_told_s")
    # The machine may allow fewer descriptors than the file says.
    sockets = min(limits.sockets, open_files)
    reserve = min(limits.reserve, max(sockets // 3, MIN_RESERVE))
    return msgspec.structs.replace(limits, sockets=sockets, reserve=reserve)


def decode(
    data: bytes,
    environment: Mapping[str, str],
    open_files: int = UNLIMITED_DESCRIPTORS,
    before: Configuration | None = None,
    form: str = "JSON",
) -> Configuration:
    """Decodes and validates a file in `form`, "JSON" or "TOML". `open_files`: descriptors that are allowed.

    Raises ConfigurationError, naming the faulty key."""
    try:
        if form == "TOML":
            document = msgspec.toml.decode(data, type=Document)
        else:
            document = msgspec.json.decode(data, type=Document)
    except msgspec.ValidationError as error:
        raise ConfigurationError(str(error)) from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigurationError(f"not {form}: {error}") from None
    try:
        network = msgspec.convert(document.settings, NetworkSettings)
    except msgspec.ValidationError as error:
        raise ConfigurationError(str(error).replace("`$", "`$.settings")) from None
    try:
        settings = flatten(document.settings)
    except (TypeError, ValueError) as error:
        raise ConfigurationError(f"settings.{error}") from None
    return Configuration(document, network, settings, environment, open_files, before)


def load(environment: Mapping[str, str] = os.environ, before: Configuration | None = None) -> Configuration:
    """Loads the file that PROXY_CONFIG names. `before`: the current configuration, if a running node reloads.

    Raises ConfigurationError if the file cannot be read or a key in it is faulty."""
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigurationError("PROXY_CONFIG: not set; it names the JSON file with the settings")
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        raise ConfigurationError(f"PROXY_CONFIG: {error}") from None
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    open_files = UNLIMITED_DESCRIPTORS if allowed == resource.RLIM_INFINITY else allowed
    form = "TOML" if path.endswith(".toml") else "JSON"
    return decode(data, environment, open_files, before, form)
