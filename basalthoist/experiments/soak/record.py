"""The record of a run as clients, backends and discovery observed it."""

from dataclasses import dataclass, field

NEVER_RAN, MAY_HAVE_RUN = "never ran", "may have run"


@dataclass
class Attempt:
    """An attempt as its backend observed it. Times are of the monotonic clock, in seconds."""

    backend: int
    incarnation: int  # of the backend's process, counted from 0
    first_byte_at: float
    received_at: float
    announced_timeout_s: float  # Request-Timeout-Ms that the node sent
    parallel: bool  # another attempt was still in flight
    late_s: float  # delay that the machine alone explains, see `Surroundings.late_s`
    outcome: str = MAY_HAVE_RUN


@dataclass
class Request:
    """A request as its client observed it. Times are of the monotonic clock, in seconds."""

    ident: str
    route: str
    timeout_s: float
    sent_at: float
    is_first_on_connection: bool
    processor_wait_s: float = 0.0  # the node's wait for a processor from its start to `sent_at`
    status: int = 0  # 0: no response
    ended_at: float = 0.0  # response, end of the connection, or end of the run
    disconnected_at: float = 0.0  # 0: the client did not disconnect early
    killed: bool = False  # still open when the node was killed
    late_s: float = 0.0
    attempts: list[Attempt] = field(default_factory=list)


@dataclass
class Drain:
    """A drain: from `announced_at` plus the grace until `ready_again_at` the backend must get nothing new."""

    backend: int
    announced_at: float = float("inf")
    ready_again_at: float = float("inf")


@dataclass
class ColdStart:
    """A restart of a backend. Times are of the monotonic clock, in seconds."""

    backend: int
    incarnation: int
    started_at: float
    announced_at: float = float("inf")


@dataclass
class Record:
    requests: dict[str, Request] = field(default_factory=dict)
    drains: list[Drain] = field(default_factory=list)
    cold_starts: list[ColdStart] = field(default_factory=list)
    unknown_ids: int = 0  # attempts with an id that no client sent
    exit_code: int | None = None
    ended_after_s: float | None = None  # from SIGTERM to the exit of the process; None: it was killed
    log: str = ""
