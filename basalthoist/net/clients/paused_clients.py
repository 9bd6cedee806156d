"""Detects disconnects of clients from which reading is paused, and observes what they send."""

import select
from typing import TYPE_CHECKING

from basalthoist.net.runtime.descriptors import descriptor_of
from basalthoist.net.runtime.timers import SECOND, Timers

if TYPE_CHECKING:
    from basalthoist.net.clients.http_connection import HttpClientConnection

# In tenths of a millisecond. Another site sees a disconnect later still, by the transit time to it.
POLL_INTERVAL = SECOND // 40
# Each client's unread bytes are observed once in so many polls, a part of the clients in each.
POLLS_PER_OBSERVATION = 4


class PausedClientMonitor:
    """Polls, with one system call, all clients from which reading is paused.

    Without such clients no timer runs. Of a paused connection the event loop reports neither end nor bytes.

    POLLRDHUP reports the end of a connection even behind unread bytes, once they are in the kernel's buffer.
    """

    def __init__(self, timers: Timers) -> None:
        self.timers: Timers = timers
        self.poller: select.poll = select.poll()
        self.timer_running: bool = False
        self.polls: int = 0
        self.descriptors: dict[HttpClientConnection, int] = {}
        self.clients: dict[int, HttpClientConnection] = {}  # by descriptor

    def watch(self, client: "HttpClientConnection") -> None:
        """Starts polling a client, as reading from it has been paused."""
        if client in self.descriptors:
            return
        descriptor = descriptor_of(client.transport)
        if descriptor < 0:
            return
        self.descriptors[client] = descriptor
        self.clients[descriptor] = client
        self.poller.register(descriptor, select.POLLRDHUP)
        if not self.timer_running:
            self.timer_running = True
            self.timers.after(POLL_INTERVAL, self.poll)

    def unwatch(self, client: "HttpClientConnection") -> None:
        """Stops polling a client: reading is resumed, or the connection is closed."""
        if (descriptor := self.descriptors.pop(client, None)) is not None:
            del self.clients[descriptor]
            self.poller.unregister(descriptor)

    def poll(self) -> None:
        """Aborts the connections of clients that have disconnected, and observes what the others sent."""
        self.timer_running = bool(self.clients)
        if not self.timer_running:
            return
        self.timers.after(POLL_INTERVAL, self.poll)
        # Guards against attempts that continue for a client whose disconnect has not been read.
        for client in [self.clients[descriptor] for descriptor, _ in self.poller.poll(0)]:
            if client.request is not None:
                client.abort()
        self.polls += 1
        # Guards against a crowd of paused clients that takes much of the processor's time.
        for client, descriptor in list(self.descriptors.items()):
            if (descriptor + self.polls) % POLLS_PER_OBSERVATION == 0:
                client.reading.observe_unread()
