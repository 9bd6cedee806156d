"""Checks the record of a run against the documented rules, with the limits and slack documented there."""

from collections.abc import Iterator
from dataclasses import dataclass
from math import sqrt

from .plan import Plan
from .record import MAY_HAVE_RUN, NEVER_RAN, Attempt, Record, Request

TIME_LIMIT_SLACK_S = 0.05  # the protocol documentation allows 50 ms beyond each time limit
LATE_RESPONSE_ALLOWANCE_S = 0.5  # a response up to so long after its deadline is late, but breaks no rule
ANNOUNCED_TIMEOUT_SLACK_S = 0.15  # for a node that reads or forwards the request late
MAX_ATTEMPT_AFTER_DISCONNECT_S = 0.1
CLOSE_RACE_S = 0.02  # the node may close a connection before it sees a request written so shortly before
# Settings of the node under test.
WARM_UP_S, COLD_CAPACITY_RATIO, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_S = 4.0, 0.2, 2.0, 1.0
CAPACITY_PER_S = 200.0  # requests a second of a backend that has warmed up
REJECTION_STATUSES = (429, 503)


@dataclass
class Violation:
    """A broken rule, the id of the request that broke it (empty: no single one), and how it was broken."""

    rule: str
    ident: str
    what: str


def check_run(plan: Plan, record: Record) -> list[Violation]:
    found = [violation for request in record.requests.values() for violation in check_request(plan, request)]
    found += check_drains(plan, record)
    found += check_cold_starts(record)
    if record.unknown_ids:
        found.append(
            Violation("changed", "", f"{record.unknown_ids} attempts with an id that no client sent")
        )
    if record.exit_code not in (0, None, -9):
        found.append(Violation("crash", "", f"exit code {record.exit_code}"))
    return found


def check_request(plan: Plan, request: Request) -> Iterator[Violation]:
    yield from check_response(plan, request)
    yield from check_repeats(plan, request)
    for number, attempt in enumerate(request.attempts):
        left_s = request.sent_at + request.timeout_s - attempt.received_at
        if attempt.announced_timeout_s > left_s + ANNOUNCED_TIMEOUT_SLACK_S + attempt.late_s + 0.001:
            yield Violation(
                "told",
                request.ident,
                f"attempt {number}: announced {attempt.announced_timeout_s:.3f} s, {left_s:.3f} s were left",
            )
        if attempt.parallel:
            yield Violation("parallel", request.ident, f"attempt {number} while another was in flight")
        after_s = attempt.received_at - request.disconnected_at if request.disconnected_at else 0.0
        if after_s > MAX_ATTEMPT_AFTER_DISCONNECT_S + attempt.late_s:
            yield Violation(
                "lost", request.ident, f"attempt {number} {after_s:.3f} s after its client disconnected"
            )


def check_response(plan: Plan, request: Request) -> Iterator[Violation]:
    if request.disconnected_at:
        return
    took_s = request.ended_at - request.sent_at
    if request.status:
        if took_s > request.timeout_s + LATE_RESPONSE_ALLOWANCE_S + request.late_s:
            yield Violation(
                "lost", request.ident, f"answered after {took_s:.3f} s, timeout {request.timeout_s:.3f} s"
            )
    elif request.attempts or request.killed or took_s > CLOSE_RACE_S + request.late_s:
        ending = "killed" if request.killed else "closed"
        yield Violation("lost", request.ident, f"{ending} after {took_s:.3f} s without a response")
    elif request.is_first_on_connection and not plan.idle_connections:
        yield Violation(
            "lost", request.ident, "new connection closed without a response to its first request"
        )


def check_repeats(plan: Plan, request: Request) -> Iterator[Violation]:
    may_have_run = [attempt for attempt in request.attempts if attempt.outcome == MAY_HAVE_RUN]
    if not may_have_run or request.route == "read":
        return
    first = may_have_run[0]
    later = request.attempts[request.attempts.index(first) + 1 :]
    for attempt in later:
        after_s = attempt.received_at - first.received_at
        if request.route == "pay":
            yield Violation(
                "duplicate", request.ident, f"sent again {after_s:.3f} s after an attempt that may have run"
            )
        elif after_s > plan.window_s + TIME_LIMIT_SLACK_S + attempt.late_s:
            yield Violation(
                "duplicate",
                request.ident,
                f"sent again {after_s:.3f} s after the first attempt, window {plan.window_s:.3f} s",
            )
    if request.status in REJECTION_STATUSES and request.route == "pay":
        yield Violation("duplicate", request.ident, "rejected though an attempt may have run")
    since_s = request.ended_at - first.received_at
    if (
        request.status in REJECTION_STATUSES
        and request.route == "mark"
        and since_s > plan.window_s + TIME_LIMIT_SLACK_S + request.late_s
    ):
        yield Violation(
            "duplicate", request.ident, f"rejected {since_s:.3f} s after an attempt that may have run"
        )


def attempts_at(record: Record, backend: int) -> list[tuple[str, Attempt]]:
    """Returns the attempts at a backend with the ids of their requests, by the time of their first byte."""
    found = [(r.ident, a) for r in record.requests.values() for a in r.attempts if a.backend == backend]
    return sorted(found, key=lambda pair: pair[1].first_byte_at)


def check_drains(plan: Plan, record: Record) -> Iterator[Violation]:
    for drain in record.drains:
        until = drain.announced_at + plan.grace_s + TIME_LIMIT_SLACK_S
        for ident, attempt in attempts_at(record, drain.backend):
            if until + attempt.late_s < attempt.first_byte_at < drain.ready_again_at:
                after_s = attempt.first_byte_at - drain.announced_at
                yield Violation(
                    "drain",
                    ident,
                    f"to backend {drain.backend} {after_s:.3f} s after its drain was announced",
                )


def capacity_per_s(age_s: float) -> float:
    """Returns the capacity, in requests a second, of a backend `age_s` after its start."""
    warm = min(max(age_s, 0.0) / WARM_UP_S, 1.0)
    return CAPACITY_PER_S * (COLD_CAPACITY_RATIO + (1 - COLD_CAPACITY_RATIO) * warm)


def max_requests(age_s: float) -> float:
    """Returns how many requests a backend of that age may get within OVERLOAD_WINDOW_S.

    N + 2 * sqrt(N) + 2 for N = overload multiple * capacity * window; 3 in place of 2 where N is under 30.
    """
    n = OVERLOAD_MULTIPLE * capacity_per_s(age_s) * OVERLOAD_WINDOW_S
    factor = 3 if n < 30 else 2
    return n + factor * sqrt(n) + factor


def check_cold_starts(record: Record) -> Iterator[Violation]:
    for cold_start in record.cold_starts:
        received = [
            (ident, a)
            for ident, a in attempts_at(record, cold_start.backend)
            if a.incarnation == cold_start.incarnation
        ]
        times = [a.received_at for _, a in received if a.received_at > cold_start.announced_at]
        for number, at in enumerate(times):
            count = sum(at <= other < at + OVERLOAD_WINDOW_S for other in times[number:])
            age_s = at - cold_start.started_at
            if age_s < WARM_UP_S and count > max_requests(age_s):
                what = (
                    f"{count} requests in {OVERLOAD_WINDOW_S} s at backend {cold_start.backend}, "
                    f"{age_s:.1f} s after its start"
                )
                yield Violation("failback", received[number][0], what)
                break


def describe_request(request: Request, started_at: float) -> list[str]:
    """Returns the history of a request, one line an event, with times in seconds since `started_at`."""
    lines = [
        f"{request.sent_at - started_at:8.3f} sent as {request.route}, {request.timeout_s:.3f} s, "
        f"{'new' if request.is_first_on_connection else 'used'} connection"
    ]
    for number, a in enumerate(request.attempts):
        announced = f"timeout {a.announced_timeout_s:.3f} s: {a.outcome}"
        lines.append(
            f"{a.received_at - started_at:8.3f} attempt {number} at backend {a.backend}, {announced}"
        )
    if request.disconnected_at:
        lines.append(f"{request.disconnected_at - started_at:8.3f} client disconnected")
    lines.append(f"{request.ended_at - started_at:8.3f} status {request.status or 'none'}")
    return lines


__all__ = ["NEVER_RAN", "Violation", "check_run", "describe_request"]
