"""Whether a client goes on reading the responses that wait for it."""


class DeliveryProgress:
    """Observes, at each sweep, how many bytes a client has not received yet."""

    __slots__ = ("undelivered", "progress_at")

    def __init__(self) -> None:
        self.undelivered: int = 0  # bytes, at the last observation
        self.progress_at: int = 0  # when that number last changed, in tenths of a millisecond

    def time_stalled(self, undelivered: int, at: int) -> int:
        """Returns for how many tenths of a millisecond the client has received nothing of what waits.

        `undelivered`: bytes that wait, here and in the kernel's send buffer, at the time `at`; 0: none do.
        """
        if undelivered != self.undelivered or not undelivered:
            self.undelivered = undelivered
            self.progress_at = at
        return at - self.progress_at
