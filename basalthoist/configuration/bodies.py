"""The body of each kind of catalogue entry, and the checks that a change passes before it gets a version."""

from collections.abc import Callable
from typing import Annotated, Literal

import msgspec

from basalthoist.addresses import address_of
from basalthoist.distribution.catalogue import Catalogue, Entry, EntryError, Key

# Returns the entry of a key as all earlier changes leave it, or None.
Present = Callable[[Key], Entry | None]
SCOPED_KINDS = "route", "backends"  # kinds whose entries have a service as their scope


class ServiceBody(msgspec.Struct, forbid_unknown_fields=True):
    """A service, which has no keys of its own. Its routes and backends are entries in its scope."""


class RouteBody(msgspec.Struct, forbid_unknown_fields=True):
    """The keys of a route, as in `settings.routes[]` of a node's file. Times in microseconds."""

    overall_timeout: Annotated[int, msgspec.Meta(ge=0, le=10**10)] = 0
    latency_objective: Annotated[int, msgspec.Meta(ge=0, le=10**10)] = 0
    value: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 1.0


class TenantBody(msgspec.Struct, forbid_unknown_fields=True):
    """A tenant's quota, in requests per second over the whole fleet."""

    quota_per_s: Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class BackendsBody(msgspec.Struct, forbid_unknown_fields=True):
    """The addresses of a service's backends, each "host:port"."""

    members: list[str]


class LimitBody(msgspec.Struct, forbid_unknown_fields=True):
    """A rate limit over the whole fleet: requests per second, and the burst allowed on top of the rate."""

    rate: Annotated[float, msgspec.Meta(ge=0, le=1e9)]
    burst: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 10.0


class VerdictBody(msgspec.Struct, forbid_unknown_fields=True):
    """A verdict: `ban` excludes the backend `subject`, `customer` blocks the tenant `subject`."""

    kind: Literal["ban", "customer"]
    subject: Annotated[str, msgspec.Meta(min_length=1)]


class RelayBody(msgspec.Struct, forbid_unknown_fields=True):
    """A relay's address, "host:port", and its region."""

    address: str
    region: str = ""


BODIES = {
    "service": ServiceBody,
    "route": RouteBody,
    "tenant": TenantBody,
    "backends": BackendsBody,
    "limit": LimitBody,
    "verdict": VerdictBody,
    "relay": RelayBody,
}


def check_addresses(kind: str, body: msgspec.Struct) -> None:
    """Raises ValueError if the address of a relay or a backend is not "host:port"."""
    if kind == "relay":
        address_of(body.address)
    for member in body.members if kind == "backends" else ():
        address_of(member if isinstance(member, str) else member.host_port)


def check_entries(entries: list[Entry], present: Present, catalogue: Catalogue) -> None:
    """Checks a change to the catalogue. Raises EntryError with the key of the first faulty entry."""
    change = {entry.key: entry.on for entry in entries}
    for entry in entries:
        scoped = entry.kind in SCOPED_KINDS
        key = f"{entry.kind}/{entry.scope}/{entry.name}" if scoped else f"{entry.kind}/{entry.name}"
        try:
            check_name(entry.name)
            if entry.on:
                check_addresses(entry.kind, msgspec.convert(entry.body, BODIES[entry.kind]))
                check_scope(entry, change, present)
            else:
                check_removal(entry, change, present, catalogue)
        except (msgspec.ValidationError, ValueError) as error:
            raise EntryError(f"{key}: {error}") from None


def check_name(name: str) -> None:
    """Raises EntryError for a name that an operator could not type as one argument of an admin command."""
    if not name or not name.isascii() or not name.isprintable() or " " in name:
        raise EntryError("name: expected printable ASCII without spaces")


def check_removal(entry: Entry, change: dict[Key, bool], present: Present, catalogue: Catalogue) -> None:
    """Raises EntryError for the removal of a missing entry or of a service that still has entries."""
    if present(entry.key) is None:
        raise EntryError("there is none")
    remaining = catalogue.scopes.get(entry.name, {}).keys() - change.keys()
    if entry.kind == "service" and remaining:
        raise EntryError("it still has routes or backends")


def check_scope(entry: Entry, change: dict[Key, bool], present: Present) -> None:
    """Raises EntryError for an entry in the wrong scope, or in the scope of a service that does not exist."""
    if entry.kind in SCOPED_KINDS:
        service = ("service", entry.scope)
        if not change.get(service, present(service) is not None):
            raise EntryError(f"scope: no service {entry.scope!r}")
    else:
        expected_scope = entry.name if entry.kind == "service" else ""
        if entry.scope != expected_scope:
            raise EntryError(f"scope: expected {expected_scope!r}, got {entry.scope!r}")
    previous = present(entry.key)
    # Guards against an entry that moves to another service while nodes serve it under the old one.
    if previous is not None and previous.scope != entry.scope:
        raise EntryError(f"scope: expected {previous.scope!r}, as it stands")
