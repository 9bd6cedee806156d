"""One backend: slots and a finite queue, cold and slow phases, crowding, pauses, errors, deaths."""

from collections import deque
from collections.abc import Callable
from random import Random

from basalthoist.decisions.interface import Endpoint, LoadReport, Outcome

from .events import SECOND, Due, Events
from .scenario import Backends, Kind

Answer = Callable[[Outcome, LoadReport | None], None]
ERROR_TIME = 10  # a backend that fails does so at once


class Job:
    """An exchange at a backend: its work in tenths on a warm backend of speed 1, and who waits for it."""

    __slots__ = ("ident", "work", "answer", "due", "left", "ends_at")

    def __init__(self, ident: int, work: float, answer: Answer | None) -> None:
        self.ident, self.work, self.answer = ident, work, answer
        self.due: Due | None = None
        self.left, self.ends_at = 0, 0


class Server:
    def __init__(self, events: Events, name: str, location: int, pod: int, kind: Kind, kind_no: int,
                 of: Backends, rng: Random, ran: Callable[[int, str], None],
                 fell: Callable[["Server"], None]) -> None:  # fmt: skip
        self.events, self.name, self.location, self.pod, self.kind, self.kind_no = (
            events, name, location, pod, kind, kind_no)  # fmt: skip
        self.of, self.rng, self.ran, self.fell = of, rng, ran, fell
        self.alive, self.draining, self.frozen, self.listed = True, False, False, True
        self.slow, self.good = 1.0, 1.0  # factor on its times; share of the exchanges that it does not fail
        self.started: int | None = None
        self.life = 0  # counts its starts; what belongs to an earlier one is void
        self.running: set[Job] = set()
        self.waiting: deque[Job] = deque()
        self.pushed: deque[tuple[int, float]] = deque()

    # What the fleet sees of it.

    def entry(self, state: str | None = None) -> Endpoint:
        state = state or ("draining" if self.draining else "healthy")
        return Endpoint(self.name, self.location, self.kind_no, self.pod, state, 1.0, self.started)

    def held(self) -> int:
        return len(self.running) + len(self.waiting)

    def load(self) -> LoadReport | None:
        if not self.of.reports:
            return None
        busy = min(len(self.running) / self.kind.slots, 1.0)
        return LoadReport(float(self.held()), float(len(self.waiting)), busy)

    def warmth(self) -> float:
        if self.started is None or self.of.warm_s <= 0:
            return 1.0
        age = (self.events.now - self.started) / (self.of.warm_s * SECOND)
        return min(self.of.cold_from + (1.0 - self.of.cold_from) * max(age, 0.0), 1.0)

    def capacity(self) -> float:
        """Work that it can do in a second, in seconds."""
        return self.kind.slots * self.kind.speed * self.warmth() / self.slow

    def time_for(self, work: float) -> float:
        crowd = self.of.crowded_at and self.held() > self.of.crowded_at * self.kind.slots
        return (
            work * self.slow / (self.kind.speed * self.warmth()) * (self.of.crowded_factor if crowd else 1.0)
        )

    # What happens to it.

    def offer(self, job: Job) -> None:
        """A whole request has come. Nothing is ever refused unseen to a frozen one: it holds it."""
        if self.push(job.work):
            return
        if self.draining or len(self.waiting) >= self.kind.queue and len(self.running) >= self.kind.slots:
            self.reply(job, Outcome.REJECTED)
        elif len(self.running) < self.kind.slots and not self.frozen:
            self.begin(job)
        else:
            self.waiting.append(job)

    def begin(self, job: Job) -> None:
        self.running.add(job)
        self.ran(job.ident, self.name)
        failed = self.good < 1.0 and self.rng.random() > self.good
        took = ERROR_TIME if failed else self.time_for(job.work)
        job.ends_at = self.events.now + int(took)
        job.due = self.events.after(
            took, lambda: self.end(job, Outcome.ERROR if failed else Outcome.COMPLETED)
        )

    def end(self, job: Job, outcome: Outcome) -> None:
        self.running.discard(job)
        self.reply(job, outcome)
        self.go_on()

    def go_on(self) -> None:
        while self.waiting and len(self.running) < self.kind.slots and not self.frozen and self.alive:
            self.begin(self.waiting.popleft())

    def reply(self, job: Job, outcome: Outcome) -> None:
        if job.answer is not None:
            job.answer(outcome, self.load())
            job.answer = None

    def abandon(self, job: Job) -> None:
        """Whoever waited has ended its sending. What runs goes on, or not; what waits is dropped."""
        job.answer = None
        if job in self.waiting:
            self.waiting.remove(job)
        elif job in self.running and not self.of.work_left_on_cancel:
            job.due.stop()
            self.running.discard(job)
            self.go_on()

    def freeze(self) -> None:
        if not self.frozen and self.alive:
            self.frozen = True
            for job in self.running:
                job.due.stop()
                job.left = max(job.ends_at - self.events.now, 0)

    def thaw(self) -> None:
        if self.frozen:
            self.frozen = False
            for job in sorted(self.running, key=lambda job: (job.left, job.ident)):
                job.ends_at = self.events.now + job.left
                job.due = self.events.after(job.left, lambda job=job: self.end(job, Outcome.COMPLETED))
            self.go_on()

    def die(self) -> None:
        """Its process ends: connections are reset, new ones refused."""
        self.alive, self.frozen, self.life = False, False, self.life + 1
        jobs = sorted(self.running, key=lambda job: job.ident) + list(self.waiting)
        self.running.clear()
        self.waiting.clear()
        self.pushed.clear()
        for job in jobs:
            if job.due is not None:
                job.due.stop()
            if job.answer is not None:
                job.answer(Outcome.RESET, None)
                job.answer = None

    def start(self) -> None:
        self.alive, self.draining, self.started = True, False, self.events.now

    def push(self, work: float) -> bool:
        """A cold one that gets more than a multiple of what it can do, in any window, falls over."""
        multiple, window = self.of.fall_multiple, int(self.of.fall_s * SECOND)
        if not multiple or self.warmth() >= 1.0:
            return False
        self.pushed.append((self.events.now, work / SECOND))
        while self.pushed[0][0] <= self.events.now - window:
            self.pushed.popleft()
        allowed = multiple * self.capacity() * self.of.fall_s + 4 * work / SECOND  # a little slack for rng
        if sum(part for _, part in self.pushed) <= allowed:
            return False
        self.fell(self)
        return True
