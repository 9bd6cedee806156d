"""Types of the events and commands between the decisions and their host. Times: tenths of a millisecond."""

from enum import IntEnum
from typing import NamedTuple, Protocol


class Outcome(IntEnum):
    """How an attempt or a health check ended."""

    COMPLETED = 0
    ERROR = 1  # the backend answered with an error; the request may have run
    REJECTED = 2  # the backend refused the request unread, for lack of capacity
    TIMED_OUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7


NEVER_RAN = frozenset((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


class Endpoint(NamedTuple):
    """One entry of the endpoint list, or a link to another site.

    Behind a link stand all backends of its site, so it belongs to no zone or cell that recognises repeats.
    """

    name: str
    zone: int
    kind: int
    cell: int
    state: str  # healthy, draining or gone
    weight: float
    started: int | None  # when it last started, on the monotonic clock; None if that was long ago
    is_link: bool = False


class LoadReport(NamedTuple):
    """The load that a backend reports; None for each figure that it does not report."""

    in_flight: float | None
    queue: float | None
    utilization: float | None
    rate: float | None = None  # responses per second to all nodes


class GossipKind(IntEnum):
    """The kinds of gossip messages; each message is about one backend."""

    SENT = 0  # the sender has just sent the backend a request
    EJECTED = 2  # the sender has ejected the backend as an outlier
    IN_FLIGHT = 1  # the backend's estimated requests in flight, in quarters, after its last report
    ANSWERED = 3  # the backend has answered a request that was announced as SENT


class GossipMessage(NamedTuple):
    """One message about one backend; `quarters` is used by IN_FLIGHT only."""

    kind: GossipKind
    backend_key: int
    quarters: int


class BalancerHost(Protocol):
    """Carries out the commands of a `Balancer`.

    Request ids are those passed to `Balancer.on_request`, times are tenths of a millisecond, and attempts are
    numbered from 0 in the order in which they were sent.
    """

    def send(self, request: int, backend: str, timeout: int) -> None:
        """Sends the next attempt of the request to this backend."""
        ...

    def shed(self, request: int, retry_after: int) -> None:
        """Answers that a retry is safe after `retry_after`; 0: the answer names no time."""
        ...

    def fail(self, request: int) -> None:
        """Answers that the request failed and may have run."""
        ...

    def cancel(self, request: int, attempt_number: int) -> None:
        """Cancels an open attempt; its outcome follows."""
        ...

    def withdraw(self, request: int, attempt_number: int) -> bool:
        """Withdraws an attempt of which nothing is written yet. Returns whether it was withdrawn."""
        ...

    def health_check(self, backend: str) -> None:
        """Sends a health check; `Balancer.on_health_check_ended` follows."""
        ...

    def gossip(self, messages: list[GossipMessage], peers: list[int]) -> None:
        """Sends messages to other nodes, without a guarantee of delivery."""
        ...

    def subscribe(self) -> None:
        """Requests the endpoint list from discovery."""
        ...

    def wake(self, after: int, tag: str) -> None:
        """Calls `Balancer.on_wake` with the tag after the given time."""
        ...

    def log(self, line: str) -> None:
        """Writes a line to the log of the node."""
        ...
