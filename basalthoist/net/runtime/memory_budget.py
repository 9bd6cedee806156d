"""One budget for the bytes that all connections hold together."""

import os
from contextlib import suppress

BUFFER_SHARE = 0.6  # of the memory that is left: buffers take more of it than their bytes
BYTES_PER_MB = 1 << 20


def resident_bytes() -> int:
    """Bytes of memory that the process takes now; 0 where the system does not say."""
    with suppress(OSError, ValueError, IndexError), open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    return 0


class MemoryBudget:
    """At most `limit` bytes may be held. What the process takes when it gets ready counts as gone."""

    def __init__(self, memory_mb: float) -> None:
        self.total: int = int(memory_mb * BYTES_PER_MB)
        self.processes: int = 1
        self.exceeded: bool = False
        self.baseline: int = 0  # bytes that the process took when it got ready
        self.used: int = 0  # bytes: exact at each sweep, with what has come since

    def measure_baseline(self) -> None:
        """Once the process is ready: what it takes by then stays."""
        self.baseline = resident_bytes()

    def set_process_count(self, processes: int) -> None:
        """So many processes use the memory from now on."""
        self.processes = processes

    @property
    def limit(self) -> float:
        """Bytes that may be held here."""
        return max(self.total / self.processes - self.baseline, self.total / 10) * BUFFER_SHARE
