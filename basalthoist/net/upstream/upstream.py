"""The connection pools of all backends."""

import asyncio
from collections.abc import Callable

from basalthoist.configuration.limits import Limits
from basalthoist.decisions.interface import Outcome
from basalthoist.net.runtime.bounded_reads import ReadBuffer
from basalthoist.net.runtime.descriptors import DescriptorBudget
from basalthoist.net.runtime.event_counts import EventCount
from basalthoist.net.runtime.log import Log
from basalthoist.net.runtime.memory_budget import MemoryBudget
from basalthoist.net.runtime.timers import SECOND, Timers, now
from basalthoist.net.uploads import Upload
from basalthoist.net.upstream.call import Call, OutcomeCallback, RequestChunks, ResponseStartCallback
from basalthoist.net.upstream.connection import Connection
from basalthoist.net.upstream.pool import ConnectionPool


class Upstream:
    """The pools of all listed backends. Times are in tenths of a millisecond unless named otherwise."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        timers: Timers,
        log: Log,
        descriptors: DescriptorBudget,
        limits: Limits,
        read_buffer: ReadBuffer,
        connect_timeout_s: float,
        idle_timeout_s: float,
    ) -> None:
        self.loop: asyncio.AbstractEventLoop = loop
        self.timers: Timers = timers
        self.log: Log = log
        self.descriptors: DescriptorBudget = descriptors
        self.limits: Limits = limits
        self.read_buffer: ReadBuffer = read_buffer
        self.memory_budget: MemoryBudget = read_buffer.memory_budget
        self.connect_timeout_s: float = connect_timeout_s
        self.idle_timeout: int = int(idle_timeout_s * SECOND)
        self.settle_time: int = int(limits.upstream_rest_s * SECOND)  # between two requests on a connection
        self.response_buffer_time: int = int(limits.answer_hold_s * SECOND)
        self.without_descriptor: EventCount = EventCount(
            log, "no descriptor left for a connection to a backend: {} attempts not sent".format
        )
        self.connection_type: type[Connection] = Connection  # replaced for protocols other than HTTP
        self.pools: dict[str, ConnectionPool] = {}
        # Connections that stream a response, including those to backends that are no longer listed.
        self.streaming: set[Connection] = set()
        descriptors.reclaimers.append(self.close_longest_idle)
        timers.every(SECOND, self.sweep)

    def add_or_update_backend(
        self, name: str, address: tuple[str, int], started_at: int | None, accepts_requests: bool = True
    ) -> None:
        """Adds or updates a backend. If it accepts no requests, those not written yet are withdrawn."""
        pool = self.pools.get(name)
        if pool is not None and pool.address == address:
            if pool.started_at != started_at:
                pool.started_at = started_at
                pool.discard_idle(now())
                pool.withdraw_all()
            elif not accepts_requests:
                pool.withdraw_all()
            return
        if pool is not None:
            self.close(pool)
        self.pools[name] = ConnectionPool(self, name, address, started_at)

    def discard_connections(self, name: str) -> None:
        """Discards idle connections and waiting calls of a backend that restarts."""
        if (pool := self.pools.get(name)) is not None:
            pool.discard_idle(now())
            pool.withdraw_all()

    def remove(self, name: str) -> None:
        """Removes a backend that is no longer listed; calls in progress continue."""
        if (pool := self.pools.pop(name, None)) is not None:
            self.close(pool)

    def close(self, pool: ConnectionPool) -> None:
        """Closes a pool once its calls in progress have ended."""
        pool.closed = True
        pool.discard_idle(now())
        pool.withdraw_all()

    def call(
        self,
        name: str,
        request_chunks: RequestChunks,
        timeout: int,
        on_outcome: OutcomeCallback,
        on_response_start: ResponseStartCallback | None = None,
        is_health_check: bool = False,
        is_streaming: bool = False,
        upload: Upload | None = None,
        is_still_needed: Callable[[], bool] = lambda: True,
    ) -> Call | None:
        """Starts a call that ends within `timeout`; returns None if the backend is unknown."""
        pool = self.pools.get(name)
        if pool is None:
            return None
        call = Call(
            pool,
            request_chunks,
            on_outcome,
            on_response_start,
            is_health_check,
            is_streaming,
            upload,
            is_still_needed,
        )
        call.end_within(timeout)
        pool.submit(call)
        return call

    def sweep(self) -> None:
        """Closes connections that were idle, or silent during a streamed response, for too long."""
        silent_since = now() - int(self.limits.stream_silent_s * SECOND)
        for pool in self.pools.values():
            pool.discard_idle(now() - self.idle_timeout)
        # Guards against a streamed response that stops: it has no deadline, and continues even after its
        # backend is removed.
        stalled = [
            connection
            for connection in self.streaming
            if connection.last_received_at < silent_since and not connection.reading_paused
        ]
        for connection in stalled:
            connection.fail(Outcome.RESET)

    def close_longest_idle(self) -> bool:
        """Closes the connection that has been idle for longest; returns False if there is none."""
        idle = [pool.idle[0] for pool in self.pools.values() if pool.idle]
        if idle:
            min(idle, key=lambda connection: connection.idle_since).abort()
        return bool(idle)

    def close_all(self) -> None:
        """Closes all pools."""
        for name in list(self.pools):
            self.remove(name)
