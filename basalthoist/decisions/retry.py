"""Rules on retries: which attempts may be sent, and when a client may safely retry."""

from .backend import Backend
from .interface import NEVER_RAN, BalancerHost
from .request import Attempt, Request
from .settings import BalancerSettings
from .units import SECOND

MAX_PROCESS_PAUSE = SECOND * 15 // 100  # longest pause of a node between reading its clock and writing


class RetryPolicy:
    """Prevents duplicate effects of requests, by the semantics of their routes."""

    def __init__(self, host: BalancerHost, settings: BalancerSettings) -> None:
        self.host = host
        self.settings = settings
        self.retry_after: int = settings.max_retry_after // 2  # 0: answers name no time

    def may_attempt(self, request: Request, backend: Backend, now: int) -> bool:
        """Returns whether an attempt at this backend, the first or a retry, may be sent now."""
        if request.finished or request.streaming or now >= request.deadline or not backend.available:
            return False
        if request.spilled and backend.is_link:
            return False
        attempts = request.attempts
        if not attempts:
            return self.causes_no_duplicate(request, 0, backend, now)
        if request.body_consumed or len(attempts) >= self.settings.max_attempts:
            return False
        if not self.settings.parallel_attempts and request.has_open_attempt():
            return False
        return self.causes_no_duplicate(request, len(attempts), backend, now)

    def causes_no_duplicate(self, request: Request, attempts_before: int, backend: Backend, now: int) -> bool:
        """Returns whether an attempt after the first `attempts_before` ones causes no duplicate effect."""
        executed = [a for a in request.attempts[:attempts_before] if a.outcome not in NEVER_RAN]
        if not executed or request.route.is_idempotent:
            return True
        return self.dedup_time_left(request, executed, now) > 0 and self.in_scope(
            request, executed[0].backend, backend
        )

    @staticmethod
    def in_scope(request: Request, first: Backend, backend: Backend) -> bool:
        """Returns whether `backend` recognises a repeat of a request that was sent to `first`."""
        # Guards against a repeat over a link: the other site may send it to any of its groups of backends.
        if first.is_link or backend.is_link:
            return False
        match request.route.dedup_scope:
            case "all":
                return True
            case "zone":
                return backend.zone == first.zone
            case "cell":
                return backend.cell == first.cell
        return False

    @staticmethod
    def dedup_time_left(request: Request, executed: list[Attempt], now: int) -> int:
        """Returns for how long a repeat written from now on is still recognised.

        `executed`: the attempts that may have run. Guards against a node that pauses before it writes: the
        repeat would arrive after the deduplication window.
        """
        window = request.route.dedup_window if request.route.is_deduplicated else 0
        return executed[0].sent_at + window - MAX_PROCESS_PAUSE - now

    def safe_retry_after(self, request: Request, now: int) -> int | None:
        """Returns after how long the client may retry, 0 to name no time, or None if a retry is not safe."""
        executed = request.possibly_executed()
        if request.route.is_idempotent or not executed:
            return self.retry_after
        # The client's retry may be sent to any backend of this site, but to none that a link led to.
        recognised = request.route.dedup_scope == "all" and not any(a.backend.is_link for a in executed)
        time_left = self.dedup_time_left(request, executed, now) if recognised else 0
        if time_left > 0:
            # Guards against a client that retries after the deduplication window.
            return min(self.retry_after, time_left)
        if all(self.never_executes(request, number) for number in range(len(request.attempts))):
            return self.retry_after
        return None

    def never_executes(self, request: Request, number: int) -> bool:
        """Returns whether the attempt never ran, withdrawing it if nothing of it is written yet."""
        return request.attempts[number].outcome in NEVER_RAN or self.host.withdraw(request.id, number)
