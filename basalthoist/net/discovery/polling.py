"""Schedules the polls of discovery: when to poll, what to request and when to give up a poll. Does no I/O.

Times are integer tenths of a millisecond, passed as `now`. A change must be known at most `known_within`
after discovery has it and is reachable, whatever failed before. Therefore the *starts* of two polls are at
most three quarters of that time apart, and a poll continues only while complete messages arrive: the first
line of its watch within `silence_timeout` of the poll's start, whatever arrives of the list meanwhile, and
each later line within `silence_timeout` of the previous one. The last quarter is for the poll that succeeds
and for delays of the event loop. See docs/design.md, Discovery.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec

from basalthoist.decisions.units import SECOND

# The longest time from the start of a poll, or from the last line of its watch, to the next poll, as a
# fraction of `known_within`.
INTERVAL_FRACTION = 0.75
MAX_OVERDUE_WAIT = SECOND * 15 // 100  # longest wait if the next poll is overdue
# After a move, a poll may be silent for `move_allowance` divided by this; waits are at most half as long.
MOVE_DIVISOR = 4
# Divides the maximum backoff where lists are pushed: there a poll only loads the local agent.
PUSHED_BACKOFF_DIVISOR = 4
MAX_READ_SPAN = SECOND * 3 // 10  # data received within this time counts as received at once
MAX_COUNTED_FAILURES = 20  # the backoff does not grow after this many


class PollTimes(msgspec.Struct, frozen=True):
    """The times of a schedule.

    `backoff` doubles with each failure up to `max_backoff`. `slot_cycle`: how long discovery takes to serve
    all nodes of the service one by one, if polls load it; else 0. `move_allowance`: how long after a move the
    list of the new address may stay unknown.
    """

    silence_timeout: int
    known_within: int
    backoff: int
    max_backoff: int
    slot_cycle: int
    move_allowance: int = 4 * SECOND


class PollHost(Protocol):
    """Carries out the commands of a `PollSchedule`."""

    def start_poll(self) -> None:
        """Opens a connection and requests the list, or the watch if `has_list` is set."""

    def give_up(self) -> None:
        """Ends a poll on which no complete message has arrived in time."""

    def wake_at(self, at: int) -> None:
        """Calls `on_wake` at this time, instead of any time requested before."""


class PollSchedule:
    """Runs one poll at a time. `has_list` and `revision` determine what the next poll requests."""

    def __init__(self, host: PollHost, rng: Callable[[], float], times: PollTimes) -> None:
        self.host: PollHost = host
        self.rng: Callable[[], float] = rng
        self.silence_timeout: int = times.silence_timeout
        self.interval: int = int(INTERVAL_FRACTION * times.known_within)
        self.slot_cycle: int = times.slot_cycle
        self.move_allowance: int = times.move_allowance
        # Guards against a service with so many nodes that they poll faster than discovery, whose capacity is
        # fixed, can answer.
        self.initial_backoff: int = max(times.backoff, times.slot_cycle // 2)
        self.backoff_limit: int = max(times.backoff, times.max_backoff // PUSHED_BACKOFF_DIVISOR)
        if times.slot_cycle:
            self.backoff_limit = max(times.max_backoff, times.slot_cycle)
        self.uses_slots: bool = times.slot_cycle > times.max_backoff

        self.has_list: bool = False
        self.revision: int = 0
        self.failures: int = 0
        self.next_poll_at: int = 0  # when the next poll starts
        self.poll_by: int = 0  # when the next poll must start at the latest
        self.previous_poll_by: int = 0
        self.fast_polls_until: int = 0  # until then, polls at a new address have shorter timeouts and waits

        # The current poll.
        self.polling: bool = False
        self.is_watching: bool = False  # a complete line of its watch has been received
        self.resumed: bool = False  # it started with the watch, from a revision
        self.last_progress_at: int = 0  # when it started, or its last line was received
        self.has_input: bool = False  # any data has been received
        self.partial_since: int | None = None  # when the first data of an incomplete message was received

    # Commands of the node.

    def on_start(self, now: int, revision: int, known: bool) -> None:
        """Starts polling. `known`: the node has backends from a saved list in the meantime."""
        self.has_list = revision > 0  # a watch from this revision reports all that a list would
        self.revision = revision
        self.poll_by = now + self.interval
        # Guards against nodes that were killed together and then poll at the same time.
        if self.uses_slots and known:
            self.schedule_poll(now, int(min(self.slot_cycle, self.interval) * self.rng()))
        else:
            self.start_poll(now)

    def on_move(self, now: int) -> None:
        """Polls a new address for the list, as its revisions may differ. Does not count a failure."""
        self.has_list, self.revision, self.failures = False, 0, 0
        self.fast_polls_until = now + int(INTERVAL_FRACTION * self.move_allowance)
        self.start_poll(now)

    def on_wake(self, now: int) -> None:
        """Starts the next poll or gives up the current one, if it is time to."""
        if not self.polling:
            return self.start_poll(now) if now >= self.next_poll_at else self.host.wake_at(self.next_poll_at)
        if now < self.last_progress_at + self.silence_limit():
            return self.host.wake_at(self.last_progress_at + self.silence_limit())
        # Guards against a poll that was cut off, hangs while connecting or never completes its response:
        # nothing else ends it.
        self.host.give_up()
        if self.is_watching:
            self.failures = 0  # the silence has already served as the wait before the next poll
        self.on_failed(now)

    # Events of a poll.

    def on_input(self, now: int) -> None:
        """Handles received data before it is parsed."""
        self.has_input = True
        if self.partial_since is None:
            self.partial_since = now

    def on_input_complete(self, now: int) -> None:
        """Marks the received data as complete, unless it took longer than MAX_READ_SPAN to arrive."""
        if self.partial_since is not None and now - self.partial_since <= MAX_READ_SPAN:
            self.partial_since = None

    def on_endpoint_list(self, revision: int) -> None:
        """Handles a complete list. A slow list may be old by now, so it does not delay the next poll."""
        self.has_list, self.revision = True, revision

    def on_watch_line(self, now: int) -> None:
        """Handles a complete heartbeat or change."""
        # Guards against an old line that arrives byte by byte: it is as old as its first byte.
        self.last_progress_at = now if self.partial_since is None else self.partial_since
        self.partial_since, self.is_watching, self.failures = None, True, 0
        self.poll_by = self.last_progress_at + self.interval

    def on_failed(self, now: int, revision_lost: bool = False) -> None:
        """Schedules the next poll. `revision_lost`: discovery cannot continue from the known revision."""
        if revision_lost:
            # Guards against requesting again a watch from a revision that discovery no longer has.
            self.has_list = False
            if self.resumed and not self.is_watching:
                self.poll_by = self.previous_poll_by  # the poll brought nothing, and the list is still needed
        self.polling = False
        backoff = min(self.initial_backoff * 2**self.failures, self.backoff_limit) * (0.5 + self.rng())
        self.failures = min(self.failures + 1, MAX_COUNTED_FAILURES)
        time_left = max(self.poll_by - now, MAX_OVERDUE_WAIT) * (0.7 + 0.3 * self.rng())
        if now < self.fast_polls_until:
            # Guards against waits beyond the time by which the list of the new address must be known.
            time_left = min(
                time_left, MAX_OVERDUE_WAIT * 2**self.failures / 2, self.move_allowance / MOVE_DIVISOR / 2
            )
        self.schedule_poll(now, int(min(backoff, time_left)))

    # Internal steps.

    def start_poll(self, now: int) -> None:
        """Starts the next poll."""
        self.polling, self.is_watching, self.resumed = True, False, self.has_list
        self.last_progress_at, self.partial_since, self.has_input = now, None, False
        self.previous_poll_by, self.poll_by = self.poll_by, now + self.interval
        self.host.start_poll()
        self.host.wake_at(now + self.silence_limit())

    def silence_limit(self) -> int:
        """Returns how long the current poll may go without a complete message."""
        # Guards against a first poll at a new address that hangs until the list there must be known.
        is_fast = self.last_progress_at < self.fast_polls_until and not self.has_list and not self.has_input
        return (
            min(self.silence_timeout, self.move_allowance // MOVE_DIVISOR)
            if is_fast
            else self.silence_timeout
        )

    def schedule_poll(self, now: int, delay: int) -> None:
        """Schedules the next poll after `delay`."""
        self.next_poll_at = now + delay
        self.host.wake_at(self.next_poll_at)
