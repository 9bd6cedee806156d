"""Limits on clients' connections: closes idle and stalled ones, and evicts some when a budget is used up."""

from basalthoist.configuration import Limits
from basalthoist.net.clients.http_connection import HttpClientConnection
from basalthoist.net.clients.timeouts import enforce_timeouts
from basalthoist.net.runtime.descriptors import DescriptorBudget
from basalthoist.net.runtime.event_counts import EventCount
from basalthoist.net.runtime.log import Log
from basalthoist.net.runtime.memory_budget import MemoryBudget, resident_bytes
from basalthoist.net.runtime.timers import SECOND, now

# Fractions of the memory budget. Over the budget, incomplete requests are rejected until MEMORY_TARGET; below
# MEMORY_RECOVERED the log says that they are admitted again.
MEMORY_RECOVERED = 0.5
MEMORY_TARGET = 0.95
# How long no incomplete request is looked for once none was left to reject, in tenths of a millisecond.
REJECTION_PAUSE = SECOND // 50


class ConnectionLimits:
    """Tracks the open connections of one front end and decides which of them are closed early."""

    def __init__(
        self, limits: Limits, descriptors: DescriptorBudget, memory_budget: MemoryBudget, log: Log
    ) -> None:
        self.limits: Limits = limits
        self.descriptors: DescriptorBudget = descriptors
        self.log: Log = log
        self.clients: dict[HttpClientConnection, None] = {}  # the one longest without progress first
        # Connections that are idle after a response, the one idle for longest first.
        self.idle_clients: dict[HttpClientConnection, None] = {}
        self.memory_budget: MemoryBudget = memory_budget
        self.rejected_for_memory: EventCount = EventCount(
            log, "memory budget exceeded: {} incomplete requests rejected".format
        )
        self.memory_exceeded: bool = False  # as the log has it
        self.next_rejection_at: int = 0
        self.max_idle: int = int(limits.sockets * limits.client_kept_part)
        self.first_request_grace: int = int(limits.client_fresh_s * SECOND)

    def enforce(self, at: int) -> None:
        """Closes connections that exceed a timeout, and enforces the descriptor and memory budgets."""
        for client in list(self.clients):
            enforce_timeouts(client, self.limits, at)
            if client.finished:
                client.release_input()
            else:
                client.count_buffers()
        self.descriptors.shrink_to_limit()
        self.enforce_memory_budget()

    def add_idle(self, client: HttpClientConnection) -> None:
        """Adds an idle connection; above the limit, closes the one idle for longest."""
        # Guards against clients that send one request and stay connected until no descriptor is left.
        self.idle_clients[client] = None
        while len(self.idle_clients) > self.max_idle * self.descriptors.limit // self.descriptors.total:
            longest_idle = next(iter(self.idle_clients))
            del self.idle_clients[longest_idle]
            if longest_idle.is_idle():
                longest_idle.close()

    def enforce_memory_budget(self) -> None:
        """Above the memory budget, rejects the largest incomplete requests."""
        # Guards against many clients that each send part of a body within the limit for one body.
        self.log_memory_state()
        budget = self.memory_budget
        if not budget.is_exceeded():
            return
        incomplete = [client for client in self.clients if client.has_partial_request()]
        incomplete.sort(key=lambda client: client.account.bytes, reverse=True)
        for client in incomplete:
            if budget.used <= MEMORY_TARGET * budget.limit:
                return
            self.reject(client)
        self.next_rejection_at = now() + REJECTION_PAUSE

    def on_memory_exceeded(self, client: HttpClientConnection) -> None:
        """Rejects incomplete requests, as part of one of this client came while the budget is exceeded."""
        if now() >= self.next_rejection_at:
            self.enforce_memory_budget()
        elif client.has_partial_request():
            self.reject(client)

    def reject(self, client: HttpClientConnection) -> None:
        """Rejects a client's incomplete request for want of memory."""
        client.reject_partial_request()
        self.rejected_for_memory.add()

    def log_memory_state(self) -> None:
        """Logs when the budget is first exceeded, and when memory use has recovered."""
        budget = self.memory_budget
        newly_exceeded = budget.is_exceeded() and not self.memory_exceeded
        recovered = self.memory_exceeded and budget.used < MEMORY_RECOVERED * budget.limit
        if newly_exceeded or recovered:
            self.memory_exceeded = newly_exceeded
            change = "rejected until there is" if newly_exceeded else "admitted again, there is"
            self.log(
                f"incomplete requests are {change} memory: {budget.used >> 20} MB buffered,"
                f" {budget.limit >> 20} MB allowed; {resident_bytes() >> 20} of {budget.total >> 20} MB used,"
                f" {len(self.clients)} clients, {self.descriptors.used} connections"
            )

    def close_idle(self, idle_time: int) -> None:
        """Closes connections that have been idle for longer than `idle_time`, in tenths of a millisecond."""
        at = now()
        for client in list(self.clients):
            # A client that has just connected may be about to send its first request.
            min_idle_time = idle_time if client.has_sent_request else max(idle_time, self.first_request_grace)
            if at - client.last_progress_at > min_idle_time and client.is_idle():
                client.close()

    def evict_finished(self) -> bool:
        """Closes the connections on which no request is served any more. Returns whether there were some."""
        at = now()
        done = [
            client
            for client in self.clients
            if client.finished and not client.transport.is_closing() and client.has_had_response(at)
        ]
        for client in done:
            client.transport.abort()
        return bool(done)

    def evict_one(self) -> bool:
        """Closes an idle connection, else one that is half-closed or whose request is incomplete.

        Returns whether there was one, so that a descriptor is freed.
        """
        at = now()
        evictable = None
        for client in self.clients:
            if client.request is not None or client.transport.is_closing():
                continue
            idle_time = at - client.last_progress_at
            if (client.has_sent_request or idle_time > self.first_request_grace) and client.is_idle():
                client.close()
                return True
            if evictable is None and client.is_evictable(at):
                evictable = client
        # Guards against many clients that each start a request and do not complete it.
        if evictable is not None:
            evictable.time_out()
        return evictable is not None
