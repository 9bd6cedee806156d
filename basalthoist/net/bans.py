"""Which backends are left out, and by whose word: a ban ends when nobody's word holds it any more."""

from collections.abc import Callable, Iterable


class Bans:
    """`tell` hands a change to the decisions. Operators of this node and the fleet never undo each other."""

    def __init__(self, tell: Callable[[str, bool], None]) -> None:
        self.tell = tell
        self.by_node: set[str] = set()
        self.by_fleet: set[str] = set()

    def here(self, name: str, banned: bool) -> None:
        (self.by_node.add if banned else self.by_node.discard)(name)
        if name not in self.by_fleet:
            self.tell(name, banned)

    def fleet(self, names: Iterable[str]) -> None:
        """Everything that the fleet leaves out now."""
        before, self.by_fleet = self.by_fleet, set(names)
        for name in sorted(self.by_fleet - before - self.by_node):
            self.tell(name, True)
        for name in sorted(before - self.by_fleet - self.by_node):
            self.tell(name, False)
