"""A budget for the bytes that all connections of the process buffer together."""

import os
from contextlib import suppress

BUFFER_FRACTION = 0.6  # of the remaining memory, because buffers take more memory than the bytes in them
BYTES_PER_MB = 1 << 20


def resident_bytes() -> int:
    """Returns the resident memory of the process in bytes, or 0 if it is unknown."""
    with suppress(OSError, ValueError, IndexError), open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    return 0


class MemoryBudget:
    """Allows `limit` bytes in buffers. Memory in use when the process becomes ready is not available."""

    def __init__(self, memory_mb: float) -> None:
        self.total: int = int(memory_mb * BYTES_PER_MB)  # bytes for all processes of the node
        self.processes: int = 1
        self.exceeded: bool = False
        self.baseline: int = 0  # resident bytes when the process became ready
        self.used: int = 0  # buffered bytes: exact at each sweep, plus the bytes received since

    def measure_baseline(self) -> None:
        """Records the resident memory once the process is ready, as that memory stays in use."""
        self.baseline = resident_bytes()

    def set_process_count(self, processes: int) -> None:
        """Sets the number of processes that share the memory from now on."""
        self.processes = processes

    @property
    def limit(self) -> float:
        """The bytes that this process may buffer."""
        return max(self.total / self.processes - self.baseline, self.total / 10) * BUFFER_FRACTION
