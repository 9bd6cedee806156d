"""A budget for all file descriptors of the process, so that it never reaches the system's limit."""

import asyncio
import fcntl
import select
import socket
import struct
import termios
from collections.abc import Callable

TCP_INFO_BYTES = 56  # of struct tcp_info on Linux, up to the end of tcpi_last_data_recv
LAST_RECEIVED = struct.Struct("I")  # tcpi_last_data_recv, in milliseconds
LAST_RECEIVED_OFFSET = 52
BYTE_COUNT = struct.Struct("i")  # what FIONREAD and TIOCOUTQ return
# In tenths of a millisecond.
MIN_DELAY = 100  # the kernel's clock has the resolution of its ticks
MAX_DELAY = 600_000

Reclaimer = Callable[[], bool]  # closes an idle connection, or returns False if there is none


def is_ready(descriptor: int, events: int) -> bool:
    """Returns without waiting whether a descriptor has any of these poll events, an error or a hang-up."""
    poller = select.poll()
    poller.register(descriptor, events)
    return bool(poller.poll(0))


def has_ended(transport: asyncio.Transport, events: int = 0) -> bool:
    """Returns whether a connection is closing or has any of these poll events, even if not processed yet."""
    return transport.is_closing() or is_ready(descriptor_of(transport), events)


def descriptor_of(transport: asyncio.Transport) -> int:
    """Returns the file descriptor of a transport's socket."""
    return transport.get_extra_info("socket").fileno()


def unread_bytes(transport: asyncio.Transport) -> int:
    """Returns how many bytes wait in the kernel's receive buffer of a connection."""
    return queued_bytes(transport, termios.FIONREAD)


def undelivered_bytes(transport: asyncio.Transport) -> int:
    """Returns how many written bytes of a connection its peer has not received yet, as far as is known."""
    return transport.get_write_buffer_size() + queued_bytes(transport, termios.TIOCOUTQ)


def queued_bytes(transport: asyncio.Transport, request: int) -> int:
    """Returns the size of one of the kernel's buffers of a connection, 0 if that is closed."""
    try:
        answer = fcntl.ioctl(descriptor_of(transport), request, bytes(BYTE_COUNT.size))
    except (OSError, ValueError):
        return 0  # the socket is already closed
    return BYTE_COUNT.unpack(answer)[0]


def time_since_received(transport: asyncio.Transport) -> int:
    """Returns how long ago, in tenths of a millisecond, the kernel last received data of a connection.

    Returns 0 where the kernel does not tell.
    """
    try:
        sock = transport.get_extra_info("socket")
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return 0
    if len(info) < TCP_INFO_BYTES:
        return 0
    return LAST_RECEIVED.unpack_from(info, LAST_RECEIVED_OFFSET)[0] * 10


def receive_buffer_delay(transport: asyncio.Transport) -> int:
    """Returns for how many tenths of a millisecond the data read now waited in the kernel's buffer.

    Returns 0 for delays too short to measure, implausibly long ones, and where the kernel does not tell.
    """
    # Guards against a process that was suspended and then takes a waiting request for a new one.
    delay = time_since_received(transport)
    return delay if MIN_DELAY <= delay < MAX_DELAY else 0


class DescriptorBudget:
    """Limits the descriptors of connections to `limit`, and allows some of `reserve` more for rejections.

    Of the reserve, each process needs `own_per_process` descriptors itself, for event loop, listeners, log
    and discovery. Half of the rest is for connections of clients that only receive a rejection.
    """

    def __init__(self, limit: int, reserve: int = 0, own_per_process: int = 0) -> None:
        self.total: int = limit  # for all processes of the node together
        self.reserve: int = reserve
        self.own_per_process: int = own_per_process
        self.max_connections: int = limit  # by the memory of this process
        self.used: int = 0
        self.reclaimers: list[Reclaimer] = []
        self.set_process_count(1)

    def limit_by_memory(self, max_connections: int) -> None:
        """Sets how many connections the memory of this process allows."""
        self.max_connections = max_connections
        self.set_process_count(self.processes)

    def set_process_count(self, processes: int) -> None:
        """Divides the budget by the number of processes, and closes idle connections above the new limit."""
        self.processes = processes
        # Guards against a small budget: the processes themselves may need more than the reserve.
        spare = self.reserve - self.own_per_process * processes
        by_descriptors = max(self.total + min(spare, 0), processes) // processes
        # Guards against connections that by themselves take all the memory.
        self.limit: int = min(by_descriptors, self.max_connections)
        # Beyond the limit each process has some descriptors for rejections.
        self.hard_limit: int = self.limit + max(spare // 2 // processes**2, 0)
        self.shrink_to_limit()

    def shrink_to_limit(self) -> None:
        """Closes idle connections above the limit. Called repeatedly, as connections become idle later."""
        is_divided = self.limit < self.total
        while is_divided and self.used > self.limit and self.reclaim(lambda: False):
            pass

    def acquire(self, preferred: Reclaimer, keep_free: int = 0) -> bool:
        """Takes a descriptor; at the limit, only by closing an idle connection, with `preferred` first.

        Leaves `keep_free` descriptors below the limit for other purposes. Returns False if none is available.
        """
        # Guards against EMFILE, at which an accepted connection and its requests would be dropped.
        if self.used >= self.limit - keep_free and not self.reclaim(preferred):
            return False
        self.used += 1
        return True

    def reclaim(self, preferred: Reclaimer) -> bool:
        """Closes one idle connection, by `preferred` before the others. Returns False if there is none."""
        reclaimers = sorted(self.reclaimers, key=lambda reclaimer: reclaimer != preferred)
        return any(reclaimer() for reclaimer in reclaimers)

    def acquire_over_limit(self) -> None:
        """Takes a descriptor even above the limit."""
        self.used += 1

    def is_exhausted(self) -> bool:
        """Returns whether no descriptor is left, not even for a rejection."""
        return self.used >= self.hard_limit

    def release(self) -> None:
        """Returns a descriptor to the budget."""
        self.used -= 1
