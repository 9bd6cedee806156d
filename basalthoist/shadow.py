"""Shadow balancer: tries other settings on the same events and counts how its decisions differ.

After each event, requests on which the two balancers decided differently are copied from the real balancer,
so that one difference does not cause others. A request is counted at most once per kind of difference. This
module does no I/O. Exceptions of the shadow reach the caller, which must catch them.
"""

from bisect import insort
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from .decisions.backend import Backend
from .decisions.balancer import Balancer
from .decisions.interface import BalancerHost, GossipMessage
from .decisions.request import Attempt, Request

ANOTHER_BACKEND = "another backend"
SEND_OR_HOLD = "send or hold"
SHED_OR_SEND = "shed or send"
RETRY = "retry"
CANCEL = "cancel"
HEALTH_CHECK_OR_GOSSIP = "health check or gossip"
KINDS = (ANOTHER_BACKEND, SEND_OR_HOLD, SHED_OR_SEND, RETRY, CANCEL, HEALTH_CHECK_OR_GOSSIP)
FINAL_ACTIONS = ("shed", "fail")
LATE_WAKE = 20  # tenths of a millisecond; a timer of the shadow overdue by more runs at the next event


class Decision(NamedTuple):
    """A call of a balancer to its host. `argument`: a backend, an attempt's number or a message count."""

    action: str
    argument: str | int | None = None


class DecisionRecorder:
    """A `BalancerHost` that records decisions and carries none out."""

    def __init__(self) -> None:
        self.by_request: dict[int, list[Decision]] = {}
        self.other: list[Decision] = []

    def record(self, request: int, decision: Decision) -> None:
        """Records a decision about a request."""
        self.by_request.setdefault(request, []).append(decision)

    def send(self, request: int, backend: str, timeout: int) -> None:
        """Records an attempt and its backend."""
        self.record(request, Decision("send", backend))

    def shed(self, request: int, retry_after: int) -> None:
        """Records that the request is shed."""
        self.record(request, Decision("shed"))

    def fail(self, request: int) -> None:
        """Records that the request fails."""
        self.record(request, Decision("fail"))

    def cancel(self, request: int, attempt_number: int) -> None:
        """Records the cancelled attempt."""
        self.record(request, Decision("cancel", attempt_number))

    def withdraw(self, request: int, attempt_number: int) -> bool:
        """Returns False: the shadow has no unsent attempts to withdraw."""
        return False

    def health_check(self, backend: str) -> None:
        """Records a health check and its backend."""
        self.other.append(Decision("health_check", backend))

    def gossip(self, messages: list[GossipMessage], peers: list[int]) -> None:
        """Records the number of messages."""
        self.other.append(Decision("gossip", len(messages)))

    def subscribe(self) -> None:
        """Does nothing."""

    def wake(self, after: int, tag: str) -> None:
        """Does nothing: the events of the real balancer, timers included, are passed to the shadow."""

    def log(self, line: str) -> None:
        """Does nothing."""

    def clear(self) -> None:
        """Forgets all decisions."""
        self.by_request.clear()
        self.other.clear()


class RecordingHost:
    """A `BalancerHost` that records each decision and forwards it to the real host."""

    def __init__(self, host: BalancerHost, recorder: DecisionRecorder) -> None:
        self.host: BalancerHost = host
        self.recorder: DecisionRecorder = recorder

    def __getattr__(self, name: str) -> Callable[..., Any]:
        record, carry_out = getattr(self.recorder, name), getattr(self.host, name)

        def record_and_carry_out(*arguments: object) -> object:
            record(*arguments)
            return carry_out(*arguments)

        return record_and_carry_out


class Shadow:
    """Compares the decisions of `real` with those under other settings, until `leave` is called.

    `seed` and `now` are those of the shadow's balancer; times are in tenths of a millisecond.
    """

    def __init__(self, real: Balancer, seed: int, settings: dict, now: int) -> None:
        self.real: Balancer = real
        self.host: BalancerHost = real.host
        self.real_decisions: DecisionRecorder = DecisionRecorder()
        self.decisions: DecisionRecorder = DecisionRecorder()
        real.replace_host(RecordingHost(real.host, self.real_decisions))
        self.balancer: Balancer = Balancer(self.decisions, seed, settings, now)
        self.counts: Counter[str] = Counter(dict.fromkeys(KINDS, 0))
        self.requests_seen: int = 0
        self.counted_kinds: dict[int, set[str]] = {}  # kinds already counted, by request in progress

    def leave(self) -> None:
        """Stops recording: gives the real balancer its own host back."""
        self.real.replace_host(self.host)

    def on_event(self, event: str, now: int, *arguments: Any) -> None:  # noqa: ANN401 - the types depend on the event
        """Repeats an event that the real balancer has handled, and counts the differences."""
        requested_wake_at = self.balancer.schedule.requested_wake_at
        if requested_wake_at and requested_wake_at < now - LATE_WAKE:
            self.balancer.on_wake(now, "due")
        getattr(self.balancer, event)(now, *arguments)
        is_about_request = event in ("on_request", "on_attempt_ended", "on_client_gone")
        subject = (arguments[0],) if is_about_request else ()
        for request in {*self.real_decisions.by_request, *self.decisions.by_request, *subject}:
            self.compare(request, event, now)
        self.compare_other()
        self.requests_seen += event == "on_request"
        self.real_decisions.clear()
        self.decisions.clear()

    def compare_other(self) -> None:
        """Compares health checks and gossip, which are counted once per event."""
        real, own = self.real_decisions.other, self.decisions.other
        if real == own:
            return
        self.counts[HEALTH_CHECK_OR_GOSSIP] += 1
        for decision in own:
            if decision.action == "health_check" and decision not in real:
                backend = self.balancer.backends.get(decision.argument)
                if backend is not None:
                    backend.health_check_at = 0  # The shadow's health check was never sent.

    def compare(self, number: int, event: str, now: int) -> None:
        """Counts the differences on one request. Copies the real request if there are any."""
        real = self.real_decisions.by_request.get(number, [])
        own = self.decisions.by_request.get(number, [])
        for kind in self.kinds(real, own, event):
            if kind not in self.counted_kinds.setdefault(number, set()):
                self.counted_kinds[number].add(kind)
                self.counts[kind] += 1
        if real != own or (number in self.real.requests) != (number in self.balancer.requests):
            self.follow(number, now)
        if number not in self.real.requests:
            self.counted_kinds.pop(number, None)

    @staticmethod
    def kinds(real: list[Decision], own: list[Decision], event: str) -> list[str]:
        """Returns the kinds of difference between two lists of decisions on one request."""
        kinds = []
        real_cancels, own_cancels = ({d for d in side if d.action == "cancel"} for side in (real, own))
        real_sends, own_sends = ([d for d in side if d.action == "send"] for side in (real, own))
        real_ends, own_ends = (any(d.action in FINAL_ACTIONS for d in side) for side in (real, own))
        if real_cancels != own_cancels:
            kinds.append(CANCEL)
        if real_ends != own_ends:
            kinds.append(RETRY if event == "on_attempt_ended" else SHED_OR_SEND)
        elif bool(real_sends) != bool(own_sends):
            kinds.append(SEND_OR_HOLD)
        elif real_sends != own_sends:
            kinds.append(ANOTHER_BACKEND)
        return kinds

    def follow(self, number: int, now: int) -> None:
        """Replaces a request by a copy of the real one, and takes over the credit of all backends."""
        for name, backend in self.balancer.backends.items():
            if name in self.real.backends:
                backend.credit = self.real.backends[name].credit
        own = self.balancer.requests.pop(number, None)
        if own is not None:
            self.drop(own)
        real = self.real.requests.get(number)
        if real is not None:
            self.copy(real, own, now)

    def drop(self, request: Request) -> None:
        """Removes a request from the shadow balancer's state, which no longer lists it."""
        self.balancer.unqueue(request)
        request.finished = True  # Timers that are still scheduled for the request have no effect.
        for attempt in request.attempts:
            backend = attempt.backend
            backend.open_attempts = [a for a in backend.open_attempts if a is not attempt]

    def copy(self, real: Request, own: Request | None, now: int) -> None:
        """Adds a copy of a real request. `own`: the shadow's request that the copy replaces, if any."""
        route = self.balancer.routes[self.real.routes.index(real.route)]
        copy = Request(real.id, route, now, real.deadline, real.objective_at, real.surplus, real.spilled)
        copy.streaming = real.streaming
        copy.finished = real.finished
        copy.body_consumed = real.body_consumed
        copy.check_rounds = real.check_rounds
        copy.checks_settled = real.checks_settled
        copy.order = real.order
        for number, attempt in enumerate(real.attempts):
            backend = self.balancer.backends.get(attempt.backend.name)
            if backend is None:  # The shadow no longer lists the backend.
                was_attempted = own is not None and number < len(own.attempts)
                backend = own.attempts[number].backend if was_attempted else attempt.backend
            self.copy_attempt(attempt, copy, backend, now)
        self.balancer.requests[real.id] = copy
        if real.queued:
            copy.queued = True
            insort(self.balancer.queue, copy, key=lambda request: request.order)

    def copy_attempt(self, real: Attempt, request: Request, backend: Backend, now: int) -> None:
        """Adds a copy of a real attempt to the copy of its request."""
        attempt = Attempt(request, backend, real.sent_at, real.ahead)
        attempt.outcome = real.outcome
        attempt.announced = real.announced
        attempt.overtaken = real.overtaken
        attempt.silence_counted = real.silence_counted
        request.attempts.append(attempt)
        # Leaves out attempts that count as lost and those whose request body is still being sent.
        if real in real.backend.open_attempts and backend is not real.backend:
            backend.open_attempts.append(attempt)
            schedule, objective = self.balancer.schedule, self.balancer.route_bounds.objective
            schedule.at(now + objective, self.balancer.check_silence, attempt)

    def line(self) -> str:
        """Returns the counts as a log line."""
        counts = ", ".join(f"{kind} {self.counts[kind]}" for kind in KINDS)
        return f"shadow: {self.requests_seen} requests, otherwise decided: {counts}"
