"""Checks the four rules from messages and executions, independently of a policy's own state.

lost: each request gets exactly one final answer, in time; duplicate: no unsafe repeat; drain: nothing is sent
to a backend after its drain grace; cold: no backend is overloaded into a crash while it warms up.
The texts of violations are part of the report.
"""

from dataclasses import dataclass, field

from basalthoist.decisions.interface import NEVER_RAN, Outcome

from .events import SECOND
from .scenario import Route, Scenario

RULES = ("lost", "duplicate", "drain", "cold")


@dataclass(slots=True)
class SentAttempt:
    backend: str
    pod: int
    location: int
    at: int
    outcome: Outcome | None = None  # None while it is in flight


@dataclass(slots=True)
class Record:
    """A request that a node has accepted: its attempts and its final answer."""

    ident: int
    node: int
    route: Route
    accepted_at: int
    deadline: int
    sent: list[SentAttempt] = field(default_factory=list)
    final: str | None = None  # served, shed, failed or lost; "gone": the client or the node went away first
    executions: int = 0


class RuleChecker:
    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.violations: dict[str, list[str]] = {rule: [] for rule in RULES}
        self.records: dict[int, Record] = {}
        # When a node learned that a backend drains or is gone.
        self.removal_known_at: dict[tuple[int, str], int] = {}
        self.grace = int(scenario.node.answer_grace_ms * 10)
        self.drain_grace = int(scenario.node.drain_grace_s * SECOND)

    def add_violation(self, rule: str, now: int, text: str) -> None:
        self.violations[rule].append(f"{now / SECOND:.4f} s: {text}")

    def on_request(self, ident: int, node: int, route: Route, now: int, deadline: int) -> Record:
        record = self.records[ident] = Record(ident, node, route, now, deadline)
        return record

    def on_deadline(self, now: int, ident: int) -> None:
        """Check, at the deadline plus grace, that the request was answered."""
        record = self.records.get(ident)
        if record is not None and record.final is None:
            self.add_violation("lost", now, f"exchange {ident} ({record.route.name}) has no final answer")
            record.final = "lost"

    def on_send(self, now: int, ident: int, backend: str, pod: int, location: int) -> None:
        record = self.records[ident]
        if record.final is not None:
            self.add_violation("lost", now, f"exchange {ident} is sent on after its end ({record.final})")
        removed_at = self.removal_known_at.get((record.node, backend))
        if removed_at is not None and now > removed_at + self.drain_grace:
            delay_s = (now - removed_at) / SECOND
            self.add_violation(
                "drain", now, f"exchange {ident} goes to {backend} {delay_s:.2f} s after its drain was told"
            )
        self.check_repeat(now, record, pod, location, "is sent again")
        record.sent.append(SentAttempt(backend, pod, location, now))

    def check_repeat(self, now: int, record: Record, pod: int, location: int, action: str) -> None:
        may_have_run = [attempt for attempt in record.sent if attempt.outcome not in NEVER_RAN]
        semantics = record.route.semantics
        if not may_have_run or semantics == "retriable":
            return
        if semantics == "non-retriable":
            self.add_violation("duplicate", now, f"exchange {record.ident} {action}, and may have run")
        elif pod != may_have_run[0].pod:
            self.add_violation(
                "duplicate", now, f"exchange {record.ident} {action} outside its group, and may have run"
            )

    def on_attempt_ended(self, ident: int, number: int, outcome: Outcome) -> None:
        self.records[ident].sent[number].outcome = outcome

    def on_execution(self, now: int, ident: int, backend: str) -> None:
        """Records that a backend began to execute a request. Nodes cannot observe this."""
        record = self.records.get(ident)
        if record is None:
            return
        record.executions += 1
        if record.executions > 1 and record.route.semantics == "non-retriable":
            self.add_violation(
                "duplicate", now, f"exchange {ident} runs for the {record.executions}. time, at {backend}"
            )

    def on_answer(self, now: int, ident: int, final: str) -> None:
        record = self.records[ident]
        if record.final is not None:
            return self.add_violation(
                "lost", now, f"exchange {ident} is answered again ({record.final}, then {final})"
            )
        if now > record.deadline + self.grace:
            self.add_violation(
                "lost", now, f"exchange {ident} is answered {(now - record.deadline) / 10:.1f} ms late"
            )
        if final == "shed":
            self.check_repeat(now, record, -1, -1, "is shed")
        record.final = final

    def on_abandoned(self, ident: int) -> None:
        record = self.records.get(ident)
        if record is not None and record.final is None:
            record.final = "gone"

    def on_overload_crash(self, now: int, backend: str) -> None:
        self.add_violation("cold", now, f"{backend} was pushed over while cold")

    def violation_counts(self) -> dict[str, int]:
        return {rule: len(found) for rule, found in self.violations.items()}
