"""The endpoint list as sent by discovery and as saved.

The names on the wire are those of the fields, except that `endpoints` is `members` there.
"""

import msgspec


class ListedEndpoint(msgspec.Struct):
    """One entry of discovery's list."""

    id: str
    host_port: str = ""
    locality: str = ""  # name of the zone
    flavor: str = ""  # name of the machine kind
    cell: int = 0  # deduplication group
    phase: str = "ready"
    size: float = 1.0  # capacity relative to other backends
    up_since_ms: int = 0  # Unix time of its start in milliseconds; 0: unknown


class EndpointList(msgspec.Struct):
    """The complete list, or, if not `complete`, the changes since the previous revision."""

    revision: int
    endpoints: list[ListedEndpoint] = msgspec.field(name="members")
    complete: bool = False
