"""Checks catalogue entries by the same rules as the corresponding tables of a node's file."""

from collections.abc import Iterable
from typing import Annotated, Literal

import msgspec

from basalthoist.distribution.catalogue import Catalogue, Entry, EntryError, Key
from basalthoist.endpoint_list import ListedEndpoint
from basalthoist.settings_codec import flatten

from .bodies import Present, RelayBody, ServiceBody, check_addresses
from .fleet import LimitDocument
from .network_settings import Route

MAX_ENTRIES_PER_CALL = 4096
MAX_NAME_CHARACTERS = 200
Quota = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
NAME_KEYS = {"route": "name", "limit": "customer"}  # the key of a file's table that is the entry's name


class TenantBody(msgspec.Struct, forbid_unknown_fields=True):
    """A tenant's quota, and the service that the tenant belongs to."""

    quota_per_s: Quota = 0.0  # requests per second over the whole fleet
    service: str = ""  # empty: a tenant of all services


class BackendsBody(msgspec.Struct, forbid_unknown_fields=True):
    """The backends of a service, in the form of an endpoint list."""

    members: list[ListedEndpoint]


class VerdictBody(msgspec.Struct, forbid_unknown_fields=True):
    """A verdict of the fleet's register on a backend or a tenant. The keys `figure`, `who` and `why` have the
    meaning of the fields of `fleet.verdicts.Verdict`."""

    verdict: Literal["ban", "sick", "customer", "quota"]
    figure: Quota = 0.0
    who: str = ""
    why: str = ""


BODIES = {
    "service": ServiceBody,
    "tenant": TenantBody,
    "backends": BackendsBody,
    "verdict": VerdictBody,
    "relay": RelayBody,
    "route": Route,
    "limit": LimitDocument,
}


def check_body(entry: Entry) -> None:
    """Validates the body of an entry. Raises EntryError, naming the faulty key."""
    body, name_key = entry.body, NAME_KEYS.get(entry.kind)
    if name_key is not None:
        if name_key in body and body[name_key] != entry.name:
            raise EntryError(f"{name_key}: expected {entry.name!r}, got {body[name_key]!r}")
        body = body | {name_key: entry.name}
    try:
        converted = msgspec.convert(body, BODIES[entry.kind])
        flatten(body)
        check_addresses(entry.kind, converted)
    except msgspec.ValidationError as error:
        raise EntryError(text_with_key(error)) from None
    except (TypeError, ValueError) as error:
        raise EntryError(str(error)) from None


def text_with_key(error: msgspec.ValidationError) -> str:
    """Returns the error's text, prefixed with the name of the faulty key if there is one."""
    text, _, place = str(error).partition(" - at `$")
    text = text[:1].lower() + text[1:]
    key = place.rstrip("`").lstrip(".")
    return f"{key}: {text}" if key else text


def check_entries_as_files(entries: list[Entry], present: Present, catalogue: Catalogue) -> None:
    """Raises EntryError, naming the key, for the first entry that would be invalid in a node's file.

    `present` returns entries after all earlier changes, `catalogue` has the committed entries by scope."""
    if len(entries) > MAX_ENTRIES_PER_CALL:
        raise EntryError(f"entries: expected at most {MAX_ENTRIES_PER_CALL}, got {len(entries)}")
    change = {entry.key: entry for entry in entries}
    for entry in entries:
        label = f"{entry.kind} {entry.name}"
        if not 0 < len(entry.name) <= MAX_NAME_CHARACTERS or not entry.name.isprintable():
            expected = f"expected a printable name of at most {MAX_NAME_CHARACTERS} characters"
            raise EntryError(f"{label[:MAX_NAME_CHARACTERS]}: {expected}")
        if entry.on:
            try:
                check_body(entry)
                check_references(entry, change, present)
            except EntryError as error:
                raise EntryError(f"{label}: {error}") from None
    for entry in change.values():
        user = "" if entry.on else user_of(entry, change, present, catalogue)
        if user:
            raise EntryError(f"{entry.kind} {entry.name}: expected nothing that names it, got {user}")


def check_references(entry: Entry, change: dict[Key, Entry], present: Present) -> None:
    """Raises EntryError if the entry refers to a service or a tenant that will not exist after the change."""

    def exists(key: Key) -> bool:
        return change[key].on if key in change else present(key) is not None

    if entry.kind == "service" and entry.scope not in ("", entry.name):
        raise EntryError(f"scope: expected {entry.name!r}, got {entry.scope!r}")
    service = service_of(entry)
    if service and not exists(("service", service)):
        raise EntryError(f"service: expected one that exists, got {service!r}")
    if entry.kind == "limit" and not exists(("tenant", entry.name)):
        raise EntryError(f"customer: expected a tenant that exists, got {entry.name!r}")


def service_of(entry: Entry) -> str:
    """Returns the name of the service that an entry refers to, or an empty text."""
    if entry.kind == "service":
        return ""
    return entry.body.get("service", "") if entry.kind == "tenant" else entry.scope


def user_of(removed: Entry, change: dict[Key, Entry], present: Present, catalogue: Catalogue) -> str:
    """Returns "kind name" of an entry that still refers to `removed`, or an empty text if there is none.

    Guards against routes, backends and tenants without their service, and limits without their tenant."""
    keys: Iterable[Key] = ()
    if removed.kind == "service":
        tenants = [entry.key for entry in catalogue.tenants.values() if service_of(entry) == removed.name]
        keys = [*catalogue.scopes.get(removed.name, {}), *tenants, *change]
    elif removed.kind == "tenant":
        keys = [("limit", removed.name)]
    for key in keys:
        user = change[key] if key in change else present(key)
        if user is None or not user.on:
            continue
        if removed.kind != "service" or service_of(user) == removed.name:
            return f"{key[0]} {key[1]}"
    return ""
