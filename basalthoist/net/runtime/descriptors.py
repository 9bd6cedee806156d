"""One budget for all file descriptors, so that the process never runs out of them."""

import asyncio
import select
import socket
import struct
from collections.abc import Callable

TCP_INFO_SIZE = 56  # bytes of Linux' struct tcp_info up to the field that is read
LAST_RECEIVED = struct.Struct("I")  # tcpi_last_data_recv, in milliseconds
LAST_RECEIVED_OFFSET = 52
LEAST_DELAY_MS = 10  # the kernel counts by its ticks
MOST_DELAY_MS = 60_000

Reclaimer = Callable[[], bool]  # closes an idle connection; False where there is none


def is_ready(descriptor: int, events: int) -> bool:
    """Whether a descriptor has any of these poll events, or has ended, without waiting."""
    poller = select.poll()
    poller.register(descriptor, events)
    return bool(poller.poll(0))


def has_ended(transport: asyncio.Transport, events: int = 0) -> bool:
    """Whether a connection is broken, or has any of these poll events, though it may not have been read."""
    return transport.is_closing() or is_ready(descriptor_of(transport), events)


def descriptor_of(transport: asyncio.Transport) -> int:
    """The file descriptor of a transport's socket."""
    return transport.get_extra_info("socket").fileno()


def receive_buffer_delay(transport: asyncio.Transport) -> int:
    """Tenths of a millisecond for which what is read now lay in the kernel's buffer; 0 for a moment."""
    # Guards against a node that stood still and then believes that a request was sent only now.
    try:
        sock = transport.get_extra_info("socket")
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
    except OSError:
        return 0
    if len(info) < TCP_INFO_SIZE:
        return 0
    (delay_ms,) = LAST_RECEIVED.unpack_from(info, LAST_RECEIVED_OFFSET)
    return delay_ms * 10 if LEAST_DELAY_MS <= delay_ms < MOST_DELAY_MS else 0


class DescriptorBudget:
    """`limit` descriptors may be in use, and part of `reserve` beyond it by clients that get a rejection.

    `own` of the reserve is each process's, for loop, listeners, log and discovery; half the rest is for
    rejections.
    """

    def __init__(self, limit: int, reserve: int = 0, own: int = 0) -> None:
        self.total: int = limit  # of all processes of the node
        self.reserve: int = reserve
        self.own: int = own
        self.used: int = 0
        self.reclaimers: list[Reclaimer] = []
        self.set_process_count(1)

    def set_process_count(self, processes: int) -> None:
        """So many processes share the budget from now on; beyond this one's part idle connections close."""
        # Guards against a small budget of which the processes themselves need more than was kept back.
        spare = self.reserve - self.own * processes
        self.limit: int = max(self.total + min(spare, 0), processes) // processes
        # Each process has some of it for itself.
        self.hard_limit: int = self.limit + max(spare // 2 // processes**2, 0)
        self.shrink_to_limit()

    def shrink_to_limit(self) -> None:
        """Closes what is idle beyond this process's part; repeated, as more becomes idle later."""
        shared = self.limit < self.total
        while shared and self.used > self.limit and self.reclaim(lambda: False):
            pass

    def acquire(self, own: Reclaimer, keep_free: int = 0) -> bool:
        """Takes one, at the limit in place of an idle connection, `own` first. False: there is none."""
        # Guards against EMFILE, at which an accepted connection, and what it carries, would be dropped.
        if self.used >= self.limit - keep_free and not self.reclaim(own):
            return False
        self.used += 1
        return True

    def reclaim(self, own: Reclaimer) -> bool:
        """Closes one idle connection, by `own` before the others. False: there is none."""
        reclaimers = sorted(self.reclaimers, key=lambda reclaimer: reclaimer != own)
        return any(reclaimer() for reclaimer in reclaimers)

    def acquire_over_limit(self) -> None:
        """Takes one whatever is in use."""
        self.used += 1

    def is_exhausted(self) -> bool:
        """Whether not even a rejection can have one."""
        return self.used >= self.hard_limit

    def release(self) -> None:
        """Gives one back."""
        self.used -= 1
