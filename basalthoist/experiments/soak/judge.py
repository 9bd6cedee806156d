"""The rules of the pages, applied to what was seen. Each figure is the page's, with its own slack."""

from collections.abc import Iterator
from dataclasses import dataclass
from math import sqrt

from .plan import Plan
from .record import MAY_HAVE_RUN, NEVER_RAN, Attempt, Record, Request

SLACK_S = 0.05  # the protocol page: each time limit is 50 ms longer
LATE_ANSWER_S = 0.5  # the standing page: until then an answer only earns nothing
TOLD_SLACK_S = 0.15  # the standing page
LEFT_S = 0.1  # the standing page
CROSSED_S = 0.02  # a close may cross a request that was written so shortly before
WARM_S, COLD_FROM, MULTIPLE, OVERLOAD_S = 4.0, 0.2, 2.0, 1.0  # settings of the play
CAPACITY_PER_S = 200.0  # of a warm backend of the play
REFUSALS = (429, 503)


@dataclass
class Break:
    rule: str
    ident: str
    what: str


def judge(plan: Plan, record: Record) -> list[Break]:
    found = [one for request in record.requests.values() for one in of_request(plan, request)]
    found += of_drains(plan, record)
    found += of_cold_starts(record)
    if record.unknown:
        found.append(Break("changed", "", f"{record.unknown} attempts with an id that no client sent"))
    if record.exit_code not in (0, None, -9):
        found.append(Break("crash", "", f"exit code {record.exit_code}"))
    return found


def of_request(plan: Plan, request: Request) -> Iterator[Break]:
    yield from lost(plan, request)
    yield from repeated(plan, request)
    for number, attempt in enumerate(request.attempts):
        left_s = request.sent_at + request.timeout_s - attempt.came_at
        if attempt.told_s > left_s + TOLD_SLACK_S + attempt.late_s + 0.001:
            yield Break("told", request.ident, f"attempt {number}: {attempt.told_s:.3f} of {left_s:.3f} s")
        if attempt.parallel:
            yield Break("parallel", request.ident, f"attempt {number} while another was out")
        after_s = attempt.came_at - request.left_at if request.left_at else 0.0
        if after_s > LEFT_S + attempt.late_s:
            yield Break("lost", request.ident, f"attempt {number} {after_s:.3f} s after its client closed")


def lost(plan: Plan, request: Request) -> Iterator[Break]:
    if request.left_at:
        return
    took_s = request.ended_at - request.sent_at
    if request.status:
        if took_s > request.timeout_s + LATE_ANSWER_S + request.late_s:
            yield Break("lost", request.ident, f"answered after {took_s:.3f} of {request.timeout_s:.3f} s")
    elif request.attempts or request.killed or took_s > CROSSED_S + request.late_s:
        end = "killed" if request.killed else "closed"
        yield Break("lost", request.ident, f"{end} after {took_s:.3f} s with no answer")
    elif request.fresh and not plan.crowd:
        yield Break("lost", request.ident, "a new connection was closed over it")


def repeated(plan: Plan, request: Request) -> Iterator[Break]:
    ran = [attempt for attempt in request.attempts if attempt.outcome == MAY_HAVE_RUN]
    if not ran or request.route == "read":
        return
    first = ran[0]
    later = request.attempts[request.attempts.index(first) + 1 :]
    for attempt in later:
        after_s = attempt.came_at - first.came_at
        if request.route == "pay":
            yield Break("duplicate", request.ident, f"sent again {after_s:.3f} s after one that may have run")
        elif after_s > plan.window_s + SLACK_S + attempt.late_s:
            yield Break("duplicate", request.ident, f"sent again {after_s:.3f} s after the first")
    if request.status in REFUSALS and request.route == "pay":
        yield Break("duplicate", request.ident, "refused though it may have run")
    since_s = request.ended_at - first.came_at
    if (
        request.status in REFUSALS
        and request.route == "mark"
        and since_s > plan.window_s + SLACK_S + request.late_s
    ):
        yield Break("duplicate", request.ident, f"refused {since_s:.3f} s after an attempt that may have run")


def attempts_at(record: Record, backend: int) -> list[tuple[str, Attempt]]:
    found = [(r.ident, a) for r in record.requests.values() for a in r.attempts if a.backend == backend]
    return sorted(found, key=lambda pair: pair[1].began_at)


def of_drains(plan: Plan, record: Record) -> Iterator[Break]:
    for drain in record.drains:
        until = drain.told_at + plan.grace_s + SLACK_S
        for ident, attempt in attempts_at(record, drain.backend):
            if until + attempt.late_s < attempt.began_at < drain.back_at:
                after_s = attempt.began_at - drain.told_at
                yield Break("drain", ident, f"to backend {drain.backend} {after_s:.3f} s after it was told")


def capacity(age_s: float) -> float:
    """Requests a second that a backend can do so long after its start."""
    warm = min(max(age_s, 0.0) / WARM_S, 1.0)
    return CAPACITY_PER_S * (COLD_FROM + (1 - COLD_FROM) * warm)


def allowed(age_s: float) -> float:
    """Requests within OVERLOAD_S of a backend of that age: N + 2 x root of N + 2; N under 30: with 3."""
    n = MULTIPLE * capacity(age_s) * OVERLOAD_S
    times = 3 if n < 30 else 2
    return n + times * sqrt(n) + times


def of_cold_starts(record: Record) -> Iterator[Break]:
    for cold in record.cold_starts:
        came = [
            (ident, a) for ident, a in attempts_at(record, cold.backend) if a.incarnation == cold.incarnation
        ]
        times = [a.came_at for _, a in came if a.came_at > cold.told_at]
        for number, at in enumerate(times):
            count = sum(at <= other < at + OVERLOAD_S for other in times[number:])
            age_s = at - cold.started_at
            if age_s < WARM_S and count > allowed(age_s):
                what = f"{count} in {OVERLOAD_S} s at backend {cold.backend}, {age_s:.1f} s old"
                yield Break("failback", came[number][0], what)
                break


def path_of(request: Request, began: float) -> list[str]:
    """A request's way, line by line; times count from `began`."""
    lines = [
        f"{request.sent_at - began:8.3f} sent as {request.route}, {request.timeout_s:.3f} s, "
        f"{'new' if request.fresh else 'used'} connection"
    ]
    for number, a in enumerate(request.attempts):
        told = f"told {a.told_s:.3f} s: {a.outcome}"
        lines.append(f"{a.came_at - began:8.3f} attempt {number} at backend {a.backend}, {told}")
    if request.left_at:
        lines.append(f"{request.left_at - began:8.3f} its client left")
    lines.append(f"{request.ended_at - began:8.3f} status {request.status or 'none'}")
    return lines


__all__ = ["NEVER_RAN", "Break", "judge", "path_of"]
