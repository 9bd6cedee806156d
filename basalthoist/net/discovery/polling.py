"""When discovery is polled, what is asked for and when a poll is given up, without I/O.

Times are whole tenths of a millisecond, handed in as `now`. A change is to be known `known_within` after
discovery had it and could be reached, whatever failed before. So the *beginnings* of two polls are never
further apart than three quarters of that, and a poll goes on only as long as complete messages come on it:
the first line of its watch within `silence_timeout` of the poll's beginning, whatever came of the list
meanwhile, and each later line within `silence_timeout` of the one before. The last quarter is for the poll
that succeeds and for the event loop. docs/design.md, Discovery.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec

from basalthoist.decisions.units import SECOND

INTERVAL_FRACTION = (
    0.75  # of `known_within`, from the start of a poll or the last line of its watch to the next
)
MAX_OVERDUE_WAIT = SECOND * 15 // 100  # the longest wait where the next poll is overdue
MOVE_DIVISOR = 4  # of the time after a move: how long a poll may say nothing; waits are up to half of that
PUSHED_BACKOFF_DIVISOR = 4  # of the longest wait where lists are pushed: a poll of the agent weighs on nobody
MAX_READ_SPAN = SECOND * 3 // 10  # pieces that come within it count as come in one
MAX_COUNTED_FAILURES = 20  # that are counted for the backoff


class PollTimes(msgspec.Struct, frozen=True):
    """The times that a schedule goes by.

    `backoff` doubles with each failure up to `max_backoff`. `slot_cycle`: how long discovery takes to serve
    a whole tier one by one, where polls weigh on it. `move_allowance`: what a new address has to tell counts
    as known so long after the move.
    """

    silence_timeout: int
    known_within: int
    backoff: int
    max_backoff: int
    slot_cycle: int
    move_allowance: int = 4 * SECOND


class PollHost(Protocol):
    """Carries out what a schedule decides."""

    def start_poll(self) -> None:
        """Opens a connection and asks on it: for the list, or for the watch where `has_list` is set."""

    def give_up(self) -> None:
        """Ends the poll, which hangs or has fallen silent."""

    def wake_at(self, at: int) -> None:
        """`on_wake` at this time instead of one asked for before."""


class PollSchedule:
    """One poll at a time; `has_list` and `revision` tell what the next is to ask for."""

    def __init__(self, host: PollHost, random: Callable[[], float], times: PollTimes) -> None:
        self.host: PollHost = host
        self.random: Callable[[], float] = random
        self.silence_timeout: int = times.silence_timeout
        self.interval: int = int(INTERVAL_FRACTION * times.known_within)
        self.slot_cycle: int = times.slot_cycle
        self.move_allowance: int = times.move_allowance
        # Guards against a large tier that polls faster than discovery, which does not grow with it, answers.
        self.initial_backoff: int = max(times.backoff, times.slot_cycle // 2)
        self.backoff_limit: int = max(times.backoff, times.max_backoff // PUSHED_BACKOFF_DIVISOR)
        if times.slot_cycle:
            self.backoff_limit = max(times.max_backoff, times.slot_cycle)
        self.uses_slots: bool = times.slot_cycle > times.max_backoff

        self.has_list: bool = False
        self.revision: int = 0
        self.failures: int = 0
        self.next_at: int = 0  # when the next poll begins
        self.poll_by: int = 0  # when the next poll is to begin at the latest
        self.previous_poll_by: int = 0
        self.fast_polls_until: int = 0  # until then polls at a new address are in a hurry

        # Of the poll that goes on.
        self.polling: bool = False
        self.is_watching: bool = False  # a complete line has come on its watch
        self.resumed: bool = False  # it began with the watch, from a revision
        self.last_progress_at: int = 0  # when it began, or its last line came
        self.has_input: bool = False
        self.partial_since: int | None = None  # when the first piece came of what is not complete yet

    # What the node wants.

    def on_start(self, now: int, revision: int, known: bool) -> None:
        """`known`: there are backends from before, which serve meanwhile."""
        self.has_list = revision > 0  # a watch from there brings all that a list would
        self.revision = revision
        self.poll_by = now + self.interval
        # Guards against nodes killed together that poll together.
        if self.uses_slots and known:
            self.schedule_poll(now, int(min(self.slot_cycle, self.interval) * self.random()))
        else:
            self.start_poll(now)

    def on_move(self, now: int) -> None:
        """Another agent, as planned: no failure. The whole list first, as its revisions may be others."""
        self.has_list, self.revision, self.failures = False, 0, 0
        self.fast_polls_until = now + int(INTERVAL_FRACTION * self.move_allowance)
        self.start_poll(now)

    def on_wake(self, now: int) -> None:
        """The time that was asked for has come."""
        if not self.polling:
            return self.start_poll(now) if now >= self.next_at else self.host.wake_at(self.next_at)
        if now < self.last_progress_at + self.silence_limit():
            return self.host.wake_at(self.last_progress_at + self.silence_limit())
        # Guards against a poll that was cut off, hangs in connecting or never comes to an end of its answer:
        # nothing else ends it.
        self.host.give_up()
        if self.is_watching:
            self.failures = 0  # to wait for it was a wait between two polls
        self.on_failed(now)

    # What happens on a poll.

    def on_input(self, now: int) -> None:
        """A piece has come and is about to be read."""
        self.has_input = True
        if self.partial_since is None:
            self.partial_since = now

    def on_input_complete(self, now: int) -> None:
        """All that came was complete."""
        if self.partial_since is not None and now - self.partial_since <= MAX_READ_SPAN:
            self.partial_since = None

    def on_endpoint_list(self, revision: int) -> None:
        """A whole list has come. It may be old by now if it came slowly: the next poll is not put off."""
        self.has_list, self.revision = True, revision

    def on_watch_line(self, now: int) -> None:
        """A heartbeat or a change, complete."""
        # Guards against an answer from before that goes on byte by byte: it says what was so when it began.
        self.last_progress_at = now if self.partial_since is None else self.partial_since
        self.partial_since, self.is_watching, self.failures = None, True, 0
        self.poll_by = self.last_progress_at + self.interval

    def on_failed(self, now: int, revision_lost: bool = False) -> None:
        """The poll has ended. `revision_lost`: from this revision discovery does not go on."""
        if revision_lost:
            # Guards against going on from a revision that discovery cannot read on from.
            self.has_list = False
            if self.resumed and not self.is_watching:
                self.poll_by = self.previous_poll_by  # it told nothing, and the list is still to be asked for
        self.polling = False
        backoff = min(self.initial_backoff * 2**self.failures, self.backoff_limit) * (0.5 + self.random())
        self.failures = min(self.failures + 1, MAX_COUNTED_FAILURES)
        time_left = max(self.poll_by - now, MAX_OVERDUE_WAIT) * (0.7 + 0.3 * self.random())
        if now < self.fast_polls_until:
            # Guards against waits beyond the time at which what the new address has counts as known.
            time_left = min(
                time_left, MAX_OVERDUE_WAIT * 2**self.failures / 2, self.move_allowance / MOVE_DIVISOR / 2
            )
        self.schedule_poll(now, int(min(backoff, time_left)))

    # Steps.

    def start_poll(self, now: int) -> None:
        """Begins the next poll."""
        self.polling, self.is_watching, self.resumed = True, False, self.has_list
        self.last_progress_at, self.partial_since, self.has_input = now, None, False
        self.previous_poll_by, self.poll_by = self.poll_by, now + self.interval
        self.host.start_poll()
        self.host.wake_at(now + self.silence_limit())

    def silence_limit(self) -> int:
        """How long nothing complete may come on the poll that goes on."""
        # Guards against a first poll at a new address that hangs until what is there counts as known.
        hurried = self.last_progress_at < self.fast_polls_until and not self.has_list and not self.has_input
        return (
            min(self.silence_timeout, self.move_allowance // MOVE_DIVISOR)
            if hurried
            else self.silence_timeout
        )

    def schedule_poll(self, now: int, delay: int) -> None:
        """The next poll begins after `delay`."""
        self.next_at = now + delay
        self.host.wake_at(self.next_at)
