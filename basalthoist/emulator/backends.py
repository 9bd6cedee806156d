"""Model of one backend: slots, a bounded queue, warm-up, slowdown, overload, freezes, errors and crashes."""

from collections import deque
from collections.abc import Callable
from random import Random

from basalthoist.decisions.interface import Endpoint, LoadReport, Outcome

from .events import SECOND, Events, Timer
from .scenario import Backends, Kind

OnDone = Callable[[Outcome, LoadReport | None], None]
ERROR_TIME = 10  # tenths of a millisecond; errors are returned almost immediately


class Job:
    """A request at a backend. `work` is the service time on a warm backend of speed 1, in tenths of a ms."""

    __slots__ = ("ident", "work", "on_done", "timer", "remaining", "ends_at")

    def __init__(self, ident: int, work: float, on_done: OnDone | None) -> None:
        self.ident, self.work, self.on_done = ident, work, on_done
        self.timer: Timer | None = None
        self.remaining, self.ends_at = 0, 0


class Server:
    def __init__(self, events: Events, name: str, location: int, pod: int, kind: Kind, kind_no: int,
                 settings: Backends, rng: Random, on_execution: Callable[[int, str], None],
                 on_overload_crash: Callable[["Server"], None]) -> None:  # fmt: skip
        self.events, self.name, self.location, self.pod, self.kind, self.kind_no = (
            events, name, location, pod, kind, kind_no)  # fmt: skip
        self.settings, self.rng, self.on_execution, self.on_overload_crash = (
            settings,
            rng,
            on_execution,
            on_overload_crash,
        )
        self.alive, self.draining, self.frozen, self.listed = True, False, False, True
        self.slowdown, self.success_rate = 1.0, 1.0  # factor on service times, probability of success
        self.started: int | None = None
        self.incarnation = 0  # events of an earlier incarnation are ignored
        self.running: set[Job] = set()
        self.waiting: deque[Job] = deque()
        self.recent_arrivals: deque[tuple[int, float]] = deque()

    # State visible to the fleet.

    def entry(self, state: str | None = None) -> Endpoint:
        state = state or ("draining" if self.draining else "healthy")
        return Endpoint(self.name, self.location, self.kind_no, self.pod, state, 1.0, self.started)

    def in_flight(self) -> int:
        return len(self.running) + len(self.waiting)

    def load(self) -> LoadReport | None:
        if not self.settings.reports:
            return None
        busy = min(len(self.running) / self.kind.slots, 1.0)
        return LoadReport(float(self.in_flight()), float(len(self.waiting)), busy)

    def warmth(self) -> float:
        if self.started is None or self.settings.warm_s <= 0:
            return 1.0
        age = (self.events.now - self.started) / (self.settings.warm_s * SECOND)
        return min(self.settings.cold_from + (1.0 - self.settings.cold_from) * max(age, 0.0), 1.0)

    def capacity(self) -> float:
        """Returns the seconds of work that the backend can do per second."""
        return self.kind.slots * self.kind.speed * self.warmth() / self.slowdown

    def time_for(self, work: float) -> float:
        crowded = self.settings.crowded_at and self.in_flight() > self.settings.crowded_at * self.kind.slots
        return (
            work
            * self.slowdown
            / (self.kind.speed * self.warmth())
            * (self.settings.crowded_factor if crowded else 1.0)
        )

    # Requests and faults.

    def offer(self, job: Job) -> None:
        """Starts, queues or rejects a complete request. A frozen backend starts none."""
        if self.overloads(job.work):
            return
        if self.draining or len(self.waiting) >= self.kind.queue and len(self.running) >= self.kind.slots:
            self.reply(job, Outcome.REJECTED)
        elif len(self.running) < self.kind.slots and not self.frozen:
            self.begin(job)
        else:
            self.waiting.append(job)

    def begin(self, job: Job) -> None:
        self.running.add(job)
        self.on_execution(job.ident, self.name)
        failed = self.success_rate < 1.0 and self.rng.random() > self.success_rate
        duration = ERROR_TIME if failed else self.time_for(job.work)
        job.ends_at = self.events.now + int(duration)
        job.timer = self.events.after(
            duration, lambda: self.end(job, Outcome.ERROR if failed else Outcome.COMPLETED)
        )

    def end(self, job: Job, outcome: Outcome) -> None:
        self.running.discard(job)
        self.reply(job, outcome)
        self.start_queued()

    def start_queued(self) -> None:
        while self.waiting and len(self.running) < self.kind.slots and not self.frozen and self.alive:
            self.begin(self.waiting.popleft())

    def reply(self, job: Job, outcome: Outcome) -> None:
        if job.on_done is not None:
            job.on_done(outcome, self.load())
            job.on_done = None

    def abandon(self, job: Job) -> None:
        """Cancels a job: drops a queued one, and stops a running one unless `work_left_on_cancel` is set."""
        job.on_done = None
        if job in self.waiting:
            self.waiting.remove(job)
        elif job in self.running and not self.settings.work_left_on_cancel:
            job.timer.stop()
            self.running.discard(job)
            self.start_queued()

    def freeze(self) -> None:
        if not self.frozen and self.alive:
            self.frozen = True
            for job in self.running:
                job.timer.stop()
                job.remaining = max(job.ends_at - self.events.now, 0)

    def thaw(self) -> None:
        if self.frozen:
            self.frozen = False
            for job in sorted(self.running, key=lambda job: (job.remaining, job.ident)):
                job.ends_at = self.events.now + job.remaining
                job.timer = self.events.after(job.remaining, lambda job=job: self.end(job, Outcome.COMPLETED))
            self.start_queued()

    def crash(self) -> None:
        """Ends the backend's process: its open requests are reset, and new connections are refused."""
        self.alive, self.frozen, self.incarnation = False, False, self.incarnation + 1
        jobs = sorted(self.running, key=lambda job: job.ident) + list(self.waiting)
        self.running.clear()
        self.waiting.clear()
        self.recent_arrivals.clear()
        for job in jobs:
            if job.timer is not None:
                job.timer.stop()
            if job.on_done is not None:
                job.on_done(Outcome.RESET, None)
                job.on_done = None

    def start(self) -> None:
        self.alive, self.draining, self.started = True, False, self.events.now

    def overloads(self, work: float) -> bool:
        """Records arriving work; returns True if this crashes the backend.

        A backend that is warming up crashes when the work that arrives within `fall_s` exceeds
        `fall_multiple` times its current capacity, plus four times this work as slack for random bursts.
        """
        multiple, window = self.settings.fall_multiple, int(self.settings.fall_s * SECOND)
        if not multiple or self.warmth() >= 1.0:
            return False
        self.recent_arrivals.append((self.events.now, work / SECOND))
        while self.recent_arrivals[0][0] <= self.events.now - window:
            self.recent_arrivals.popleft()
        allowed = multiple * self.capacity() * self.settings.fall_s + 4 * work / SECOND
        if sum(seconds for _, seconds in self.recent_arrivals) <= allowed:
            return False
        self.on_overload_crash(self)
        return True
