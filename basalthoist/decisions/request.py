"""The state of a request and of its attempts."""

from .backend import Backend
from .interface import NEVER_RAN, Outcome
from .settings import Route


class Request:
    """A client's request. `deadline` and `objective_at` are points in time, on the monotonic clock."""

    __slots__ = (
        "id",
        "route",
        "deadline",
        "objective_at",
        "spilled",
        "surplus",
        "queued",
        "finished",
        "streaming",
        "body_consumed",
        "checks_settled",
        "check_rounds",
        "attempts",
        "order",
    )

    def __init__(
        self,
        ident: int,
        route: Route,
        now: int,
        deadline: int,
        objective_at: int,
        surplus: bool,
        spilled: bool = False,
    ) -> None:
        self.id: int = ident
        self.route: Route = route
        self.deadline: int = deadline
        self.objective_at: int = objective_at  # until when an answer is within the latency objective
        self.spilled: bool = spilled  # from another site; comes after the site's own requests
        self.surplus: bool = surplus or spilled  # beyond its tenant's quota
        self.queued: bool = False
        self.finished: bool = False
        self.streaming: bool = False  # its response has started
        self.body_consumed: bool = False  # by an attempt, so no other attempt is possible
        self.checks_settled: bool = False  # the request no longer waits for health checks
        self.check_rounds: int = 0
        self.attempts: list[Attempt] = []
        self.order: tuple = (self.surplus, -route.value, now, ident)  # sort key in the queue

    def possibly_executed(self) -> "list[Attempt]":
        """Returns the attempts that may have run: all but those whose outcome rules it out."""
        return [attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN]

    def has_open_attempt(self) -> bool:
        """Returns whether an attempt has no outcome yet."""
        return any(attempt.outcome is None for attempt in self.attempts)


class Attempt:
    """One attempt at one backend; `outcome` is None while the attempt is open."""

    __slots__ = (
        "request",
        "backend",
        "sent_at",
        "ahead",
        "outcome",
        "announced",
        "overtaken",
        "silence_counted",
    )

    def __init__(self, request: Request, backend: Backend, now: int, ahead: float) -> None:
        self.request: Request = request
        self.backend: Backend = backend
        self.sent_at: int = now
        self.ahead: float = ahead  # estimated requests at the backend when this attempt was sent
        self.outcome: Outcome | None = None
        self.announced: bool = False  # whether the attempt was announced to peers
        self.overtaken: int = 0  # how often later attempts were answered first
        self.silence_counted: bool = False  # whether its backend's silence is counted as a failure


def is_over(subject: object) -> bool:
    """Returns whether a request is finished, or an attempt has an outcome; False for other subjects."""
    if isinstance(subject, Request):
        return subject.finished
    return isinstance(subject, Attempt) and subject.outcome is not None
