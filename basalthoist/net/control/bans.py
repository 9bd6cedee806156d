"""The banned backends, by source of the ban. A backend stays banned until every source has lifted its ban."""

from collections.abc import Callable, Iterable
from enum import StrEnum


class VerdictSource(StrEnum):
    """A source of bans and blocked tenants other than this node's operators."""

    FLEET = "fleet"
    CONFIGURATION = "configuration"


class Bans:
    """Combines the bans of all sources: no source can lift the ban of another.

    Calls `on_change` with a backend's name and True when its first ban begins, and with False when its last
    ban ends.
    """

    def __init__(self, on_change: Callable[[str, bool], None]) -> None:
        self.on_change: Callable[[str, bool], None] = on_change
        self.banned_by_operators: set[str] = set()
        self.by_source: dict[VerdictSource, set[str]] = {}

    def set_local(self, name: str, banned: bool) -> None:
        """Sets or lifts the ban of this node's operators on a backend."""
        if banned:
            self.banned_by_operators.add(name)
        else:
            self.banned_by_operators.discard(name)
        if name not in self.banned_by_sources():
            self.on_change(name, banned)

    def set_by_source(self, source: VerdictSource, names: Iterable[str]) -> None:
        """Replaces all bans of one source."""
        before = self.banned_by_sources()
        self.by_source[source] = set(names)
        after = self.banned_by_sources()
        for name in sorted(after - before - self.banned_by_operators):
            self.on_change(name, True)
        for name in sorted(before - after - self.banned_by_operators):
            self.on_change(name, False)

    def banned_by_sources(self) -> set[str]:
        """Returns the backends banned by any source other than this node's operators."""
        return set().union(*self.by_source.values())
