"""What was seen in a play, from outside: by clients, by backends and by whoever tells of backends."""

from dataclasses import dataclass, field

NEVER_RAN, MAY_HAVE_RUN = "never ran", "may have run"


@dataclass
class Attempt:
    """As its backend saw it; times are of the monotonic clock, in seconds."""

    backend: int
    incarnation: int  # of the backend's process
    began_at: float  # its first byte
    came_at: float  # its last byte
    told_s: float
    parallel: bool  # an earlier attempt was still out
    late_s: float  # how late the harness may have been, and for how long the node had no processor
    outcome: str = MAY_HAVE_RUN


@dataclass
class Request:
    """As its client saw it."""

    ident: str
    route: str
    timeout_s: float
    sent_at: float
    fresh: bool  # the first on its connection
    starved_s: float = 0.0  # for how long the node had waited for a processor by then, since it began
    status: int = 0  # 0: no answer
    ended_at: float = 0.0  # its answer, its connection's end, or the end of the play
    left_at: float = 0.0  # its client closed; 0: it did not
    killed: bool = False  # found open by the kill
    late_s: float = 0.0
    attempts: list[Attempt] = field(default_factory=list)


@dataclass
class Drain:
    """Nothing new to that backend from `told_at` and the grace on, until `back_at`."""

    backend: int
    told_at: float = float("inf")
    back_at: float = float("inf")


@dataclass
class ColdStart:
    backend: int
    incarnation: int
    started_at: float
    told_at: float = float("inf")


@dataclass
class Record:
    requests: dict[str, Request] = field(default_factory=dict)
    drains: list[Drain] = field(default_factory=list)
    cold_starts: list[ColdStart] = field(default_factory=list)
    unknown: int = 0  # attempts with an id that no client sent
    exit_code: int | None = None
    ended_after_s: float | None = None  # SIGTERM to the end of the process; None: it was killed
    log: str = ""
