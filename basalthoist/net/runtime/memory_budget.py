"""A budget for the memory that all connections of the process take together."""

import os
from contextlib import suppress

BYTES_PER_MB = 1 << 20
CONNECTION_BYTES = 4 << 10  # of a connection's objects, without its buffers
# What caches, tables and the decisions take beyond the baseline once requests are served.
PROCESS_GROWTH_BYTES = 5 << 18
MIN_AVAILABLE_FRACTION = 0.1  # of the memory, which counts as available where the process itself takes it all
MAX_CONNECTIONS_FRACTION = 0.6  # of the available memory, for the connections without their buffers
BUFFER_FRACTION = 0.7  # of the rest, because buffers take more memory than the bytes in them
# Above this part of the limit, what cannot be rejected is buffered as little as possible.
SHORT_FRACTION = 0.5

SENDERS_AHEAD = 128  # how many clients may send ahead at once


def resident_bytes() -> int:
    """Returns the resident memory of the process in bytes, or 0 if it is unknown."""
    with suppress(OSError, ValueError, IndexError), open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    return 0


class MemoryBudget:
    """Limits the bytes in buffers to `limit`, and the connections to `max_connections`.

    `memory_mb`: the memory of all processes of the node, in MB. Memory in use when the process becomes ready
    is not available. `max_descriptors`: how many connections all processes may have at most. Every connection
    counts its buffers in a `BufferAccount` as they change.
    """

    def __init__(self, memory_mb: float, max_descriptors: int) -> None:
        self.total: int = int(memory_mb * BYTES_PER_MB)  # bytes for all processes of the node
        self.max_descriptors: int = max_descriptors
        self.processes: int = 1
        self.baseline: int = 0  # resident bytes when the process became ready
        self.used: int = 0  # buffered bytes
        self.divide()

    def measure_baseline(self) -> None:
        """Records the resident memory once the process is ready, as that memory stays in use."""
        self.baseline = resident_bytes()
        self.divide()

    def set_process_count(self, processes: int) -> None:
        """Sets the number of processes that share the memory from now on."""
        self.processes = processes
        self.divide()

    def divide(self) -> None:
        """Divides what is available to this process between connections and their buffers."""
        remaining = self.total / self.processes - self.baseline - PROCESS_GROWTH_BYTES
        available = max(remaining, self.total * MIN_AVAILABLE_FRACTION)
        # Memory that connections have freed is not the same as what buffers take, so both have a part of it.
        for_connections = min(self.max_descriptors * CONNECTION_BYTES, available * MAX_CONNECTIONS_FRACTION)
        self.max_connections: int = int(for_connections / CONNECTION_BYTES)
        self.limit: int = int((available - for_connections) * BUFFER_FRACTION)  # bytes in buffers

    @property
    def free(self) -> int:
        """The bytes that may be buffered beyond those that are; negative above the limit."""
        return self.limit - self.used

    def max_sent_ahead(self) -> int:
        """Returns how many bytes that cannot be forwarded yet a client may send ahead."""
        return self.free // SENDERS_AHEAD

    def is_exceeded(self) -> bool:
        """Returns whether nothing more should be buffered."""
        return self.used > self.limit

    def is_short(self) -> bool:
        """Returns whether connections that cannot be rejected should buffer as little as possible."""
        return self.used > self.limit * SHORT_FRACTION


class BufferAccount:
    """The bytes that one connection buffers, as they are counted in the budget."""

    __slots__ = ("budget", "bytes", "is_open")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget: MemoryBudget = budget
        self.bytes: int = 0
        self.is_open: bool = True

    def set(self, size: int) -> None:
        """Sets how many bytes the connection buffers."""
        if self.is_open:
            self.budget.used += size - self.bytes
            self.bytes = size

    def close(self) -> None:
        """Removes the connection from the budget."""
        self.set(0)
        self.is_open = False
