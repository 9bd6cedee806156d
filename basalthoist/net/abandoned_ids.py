"""The ids of requests that must not run again: their clients have left, or another process runs them."""

MAX_IDS = 2048
MAX_AGE = 600_000  # tenths of a millisecond


class AbandonedIds:
    """Remembers each id for MAX_AGE, and the last MAX_IDS of them. Times are in tenths of a millisecond."""

    def __init__(self) -> None:
        # By the hash of an id, so that long ids take no more memory: when it was added.
        self.ended_at: dict[int, int] = {}

    def add(self, request_id: bytes, now: int) -> None:
        """Records an id, now."""
        key = hash(request_id)
        self.ended_at.pop(key, None)
        self.ended_at[key] = now
        if len(self.ended_at) > MAX_IDS:
            del self.ended_at[next(iter(self.ended_at))]

    def has(self, request_id: bytes, now: int) -> bool:
        """Returns whether an id was added within MAX_AGE."""
        ended_at = self.ended_at.get(hash(request_id))
        return ended_at is not None and now - ended_at <= MAX_AGE
