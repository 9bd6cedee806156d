"""When the last byte of a body was sent, as far as unread bytes tell while reading is paused."""

# How much a client's machine may hold that is written and not received here yet: the maximum of Linux.
CLIENT_SEND_BUFFER_BYTES = 4 * 1024 * 1024


class BodyArrival:
    """Observes one body while reading is paused. Times are in tenths of a millisecond."""

    __slots__ = ("possible_since",)

    def __init__(self) -> None:
        # Since when the client may have written its last byte, if all that it sent was never read meanwhile.
        self.possible_since: int | None = None

    def sent_at(self, arrived_at: int) -> int:
        """Returns when a last byte that arrived at `arrived_at` counts as sent."""
        return arrived_at if self.possible_since is None else self.possible_since

    def observe(self, at: int, unread: int, waited: int, missing: int | None, timeout: int) -> int | None:
        """Returns when the last byte counts as sent, or None as long as it may be still to come.

        `unread`: bytes in the receive buffer, the last of which arrived `waited` ago; `missing`: bytes of the
        body that are not read, None where its length is unknown; `timeout`: that of the request. What may
        have been sent counts as sent once the request would have timed out.
        """
        if not unread:
            self.possible_since = None
            return None
        received_at = at - waited
        if missing is None or missing - unread > CLIENT_SEND_BUFFER_BYTES:
            return received_at if waited >= timeout else None
        if self.possible_since is None:
            self.possible_since = received_at
        is_over = at >= self.possible_since + timeout
        return self.possible_since if unread >= missing or is_over else None
