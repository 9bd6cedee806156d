"""Reads of bounded size into one buffer that all connections of the process share."""

import asyncio

from basalthoist.net.runtime.memory_budget import MemoryBudget

MAX_READ_BYTES = 64 << 10
MIN_READ_BYTES = 2 << 10
READS_IN_FREE_MEMORY = 512  # how many reads may wait at once for their peers, each in another connection


class ReadBuffer:
    """The buffer that the event loop reads into. Its data is copied before the next read."""

    def __init__(self, memory_budget: MemoryBudget) -> None:
        self.memory_budget: MemoryBudget = memory_budget
        self.whole: memoryview = memoryview(bytearray(MAX_READ_BYTES))

    def for_next_read(self) -> memoryview:
        """Returns the part of the buffer that the next read may fill: the less, the less memory is free."""
        size = self.memory_budget.free // READS_IN_FREE_MEMORY
        return self.whole if size >= MAX_READ_BYTES else self.whole[: max(size, MIN_READ_BYTES)]


class BoundedReadProtocol(asyncio.BufferedProtocol):
    """A protocol whose reads are bounded by the memory that is left.

    Guards against reads of the event loop's own size, each of which may wait whole for a slow peer.
    """

    def __init__(self, read_buffer: ReadBuffer) -> None:
        self.read_buffer: ReadBuffer = read_buffer
        self.read_bytes: int = MAX_READ_BYTES  # of the last read, at most

    def get_buffer(self, sizehint: int) -> memoryview:
        """Called by the event loop before each read."""
        buffer = self.read_buffer.for_next_read()
        self.read_bytes = len(buffer)
        return buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Called by the event loop after each read."""
        self.data_received(bytes(self.read_buffer.whole[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handles the data of one read."""
        raise NotImplementedError
