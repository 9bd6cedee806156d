"""Sorted indexes of the backends, updated one entry at a time as the endpoint list changes.

The cost of a change hardly grows with the length of the list.
"""

from bisect import bisect_left, insort

from .backend import Backend


def order_of(backend: Backend) -> tuple[float, str]:
    """Returns the sort key: the position, then the name where two backends share a position."""
    return backend.position, backend.name


class EndpointIndex:
    """The available backends by zone, sorted by position."""

    def __init__(self) -> None:
        self.by_zone: dict[int, list[Backend]] = {}
        self.count = 0

    def __len__(self) -> int:
        return self.count

    def groups(self) -> list[list[Backend]]:
        """Returns the backends of each zone that has available ones, in the order of the zones."""
        return [self.by_zone[zone] for zone in sorted(self.by_zone)]

    def update(self, backend: Backend) -> None:
        """Updates the index after a change of the backend's entry. Its position and name must not change."""
        if backend.available and backend.indexed_zone == backend.zone:
            return
        self.discard(backend)
        if backend.available:
            backend.indexed_zone = backend.zone
            self.count += 1
            insort(self.by_zone.setdefault(backend.zone, []), backend, key=order_of)

    def discard(self, backend: Backend) -> None:
        """Removes a backend, if it is in the index."""
        zone = backend.indexed_zone
        if zone is None:
            return
        backend.indexed_zone = None
        self.count -= 1
        group = self.by_zone[zone]
        del group[bisect_left(group, order_of(backend), key=order_of)]
        if not group:
            del self.by_zone[zone]


class BackendsByKey:
    """All listed backends by gossip key. Of those that share a key, the one added last is found."""

    def __init__(self) -> None:
        self.last: dict[int, Backend] = {}
        self.others: dict[int, list[Backend]] = {}  # by shared key: the backends added before the last

    def get(self, key: int) -> Backend | None:
        """Returns the backend of this key, or None."""
        return self.last.get(key)

    def add(self, backend: Backend) -> None:
        """Adds a backend, which hides the others with its key."""
        before = self.last.get(backend.key)
        if before is not None:
            self.others.setdefault(backend.key, []).append(before)
        self.last[backend.key] = backend

    def discard(self, backend: Backend) -> None:
        """Removes a backend, which must be in the index."""
        others = self.others.get(backend.key, [])
        if self.last[backend.key] is not backend:
            others.remove(backend)
        elif others:
            self.last[backend.key] = others.pop()
        else:
            del self.last[backend.key]
        if not others:
            self.others.pop(backend.key, None)
