"""Reads catalogue entries from a file in `$TMPDIR`, and from the arguments of an operator's call."""

from collections.abc import Callable

import msgspec

from basalthoist.distribution.catalogue import Catalogue, Entry, EntryError
from basalthoist.distribution.store import from_bytes


def read_file(path: str | None, log: Callable[[str], None]) -> bytes | None:
    """Returns the content of the file, or None if `path` is None, the file is missing or cannot be read."""
    if path is None:
        return None
    try:
        with open(path, "rb") as file:
            return file.read()
    except FileNotFoundError:
        return None
    except OSError as error:
        # A disk fault must not keep the process from starting: without the file it starts with no entries.
        log(f"distribution: {path} not read: {error}")
        return None


def read_node_file(path: str | None, tag: str, log: Callable[[str], None]) -> Catalogue | None:
    """Returns the entries stored in a node's file, or None if there is no usable file.

    A file is usable only if it was written with the same `tag`, which names the fleet and the scopes.
    """
    data = read_file(path, log)
    if data is None:
        return None
    found = from_bytes(tag, data)
    if found is None:
        # Starting without the stored entries is slower but safe: the relay sends them all.
        log(f"distribution: {path} not used: damaged, or written for another fleet or other scopes")
    return found


def entry_of(subject: str, text: str | None) -> Entry:
    """Returns the entry for a subject and the JSON text of its body; without a text, its removal.

    The subject is KIND/NAME, or KIND/SERVICE/NAME for an entry that belongs to a service. Raises EntryError.
    """
    kind, _, remainder = subject.partition("/")
    scope, slash, name = remainder.partition("/")
    if not slash:
        scope, name = ("" if kind != "service" else remainder), remainder
    body = {}
    if text is not None:
        try:
            body = msgspec.json.decode(text, type=dict)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise EntryError(f"{subject}: {error}") from None
    try:
        return msgspec.convert([kind, name, scope, body, text is not None], Entry)
    except msgspec.ValidationError:
        kinds = "service, route, tenant, backends, limit, verdict, relay"
        expected = f"expected KIND/NAME or KIND/SERVICE/NAME, KIND one of {kinds}"
        raise EntryError(f"{subject}: {expected}") from None
