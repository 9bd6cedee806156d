"""Translates entries of discovery's endpoint list to the endpoints of the decisions."""

from typing import NamedTuple

from basalthoist.decisions.interface import Endpoint
from basalthoist.endpoint_list import ListedEndpoint
from basalthoist.net.discovery.wall_clock import WallClock

GONE = "gone"  # as a phase of the list and as a state
STATES = {"ready": "healthy", "draining": "draining", GONE: GONE}
STATE_OF_UNKNOWN_PHASE = "draining"  # so no new requests are sent there


class Start(NamedTuple):
    """When a backend started: in Unix time, and converted to the monotonic clock."""

    unix_ms: int
    at: int


class Translator:
    """Translates entries to endpoints. Names of zones and kinds become their numbers in the settings."""

    def __init__(self, zones: list[str], kinds: list[str]) -> None:
        self.zones: list[str] = zones
        self.kinds: list[str] = kinds
        self.clock: WallClock = WallClock()
        self.starts: dict[str, Start] = {}

    def translate(self, entry: ListedEndpoint, confirmed_at: int | None = None) -> Endpoint:
        """Translates one entry. `confirmed_at`: when the known list was last confirmed, monotonic."""
        return Endpoint(
            name=entry.id,
            zone=index_of(entry.locality, self.zones),
            kind=index_of(entry.flavor, self.kinds),
            cell=entry.cell,
            state=STATES.get(entry.phase, STATE_OF_UNKNOWN_PHASE),
            weight=entry.size,
            started=self.started_at(entry, confirmed_at),
        )

    def started_at(self, entry: ListedEndpoint, confirmed_at: int | None) -> int | None:
        """Returns when the backend started, on the monotonic clock; None if discovery does not report it."""
        if entry.up_since_ms <= 0:
            return None
        # Guards against a stepped wall clock: the same start must not be taken for a restart.
        start = self.starts.get(entry.id)
        if start is None or start.unix_ms != entry.up_since_ms:
            at = self.clock.to_monotonic(entry.up_since_ms, confirmed_at)
            start = self.starts[entry.id] = Start(entry.up_since_ms, at)
        return start.at

    def forget(self, name: str) -> None:
        """Discards the start time of a backend that has left the list."""
        self.starts.pop(name, None)


def index_of(name: str, names: list[str]) -> int:
    """Returns the index of a name, or the number of names if it is not among them."""
    return names.index(name) if name in names else len(names)
