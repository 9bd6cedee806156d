"""Which attempts may be made: retries, their idempotency, and when a client may be told to come back."""

from .backend import Backend
from .interface import NEVER_RAN, BalancerHost
from .request import Attempt, Request
from .settings import BalancerSettings
from .units import SECOND

HOLD_UP = SECOND * 15 // 100  # the longest that a node may be held up between reading its clock and writing


class RetryPolicy:
    """The rules of WIRE on duplicate effects, for one node."""

    def __init__(self, host: BalancerHost, settings: BalancerSettings) -> None:
        self.host = host
        self.settings = settings
        self.retry_after: int = settings.max_retry_after // 2  # 0: clients are given no advice

    def may_attempt(self, request: Request, backend: Backend, now: int) -> bool:
        """Whether an attempt at this backend may be made now, the first or a retry."""
        if request.finished or request.streaming or now >= request.deadline or not backend.available:
            return False
        if request.spilled and backend.zone >= self.settings.first_remote_zone:
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
        return self.dedup_time_left(request, ran, now) > 0 and self.in_scope(request, ran[0].backend, backend)

    @staticmethod
    def in_scope(request: Request, first: Backend, backend: Backend) -> bool:
        """Whether `backend` recognises a repeat of what `first` was sent."""
        match request.route.dedup_scope:
            case "all":
                return True
            case "zone":
                return backend.zone == first.zone
            case "cell":
                return backend.cell == first.cell
        return False

    @staticmethod
    def dedup_time_left(request: Request, ran: list[Attempt], now: int) -> int:
        """For how long what is written from now on is known as a repeat of `ran`, which may have run.

        Guards against a node that is held up before it writes: the repeat would arrive after the window.
        """
        window = request.route.dedup_window if request.route.is_deduplicated else 0
        return ran[0].sent_at + window - HOLD_UP - now

    def safe_retry_after(self, request: Request, now: int) -> int | None:
        """After how long its client may be told to try again, 0: no advice; None where that could do harm."""
        ran = request.may_have_run()
        if request.route.is_idempotent or not ran:
            return self.retry_after
        remembered = self.dedup_time_left(request, ran, now) if request.route.dedup_scope == "all" else 0
        if remembered > 0:
            # Guards against a client that is told to come back when its request is no longer known.
            return min(self.retry_after, remembered)
        if all(self.never_runs(request, number) for number in range(len(request.attempts))):
            return self.retry_after
        return None

    def never_runs(self, request: Request, number: int) -> bool:
        """Whether that attempt never ran, or is withdrawn before any of it is written."""
        return request.attempts[number].outcome in NEVER_RAN or self.host.withdraw(request.id, number)
