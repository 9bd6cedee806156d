"""Fault injection into the system calls of a process that runs: the page that `faults.c` reads.

The library is compiled with the machine's C compiler on first use.
"""

import mmap
import os
import struct
import subprocess
import tempfile
from functools import cache
from pathlib import Path

SOURCE = Path(__file__).with_name("faults.c")
FIELDS = (
    "accept_errno", "connect_errno", "socket_errno", "accept_left", "sync_errno", "write_errno", "torn_bytes",
    "wall_ms", "hold_ms", "hold_every", "read_errno", "read_left", "short_bytes", "accepts", "held", "writes",
)  # fmt: skip
FIELD = struct.Struct("q")


@cache
def library() -> Path:
    """The compiled library. Raises subprocess.CalledProcessError where it does not compile."""
    folder = Path(tempfile.gettempdir()) / f"basalthoist-faults-{os.getuid()}"
    folder.mkdir(exist_ok=True)
    target = folder / f"faults-{SOURCE.stat().st_mtime_ns}.so"
    if not target.exists():
        # Replaced at the end: several processes may compile at once.
        made = folder / f"{target.name}.{os.getpid()}"
        command = ["cc", "-O2", "-shared", "-fPIC", "-o", str(made), str(SOURCE), "-ldl"]
        subprocess.run(command, check=True, capture_output=True)
        made.replace(target)
    return target


class Faults:
    """The faults of one process. `environment` is what it has to be started with."""

    def __init__(self, folder: Path) -> None:
        path = folder / "faults"
        path.write_bytes(bytes(FIELD.size * len(FIELDS)))
        self.open(path)
        self.environment = {"LD_PRELOAD": str(library()), "FAULTS_FILE": str(path)}

    @classmethod
    def of_this_process(cls) -> "Faults":
        """Those of this process itself, where it has been started with an `environment`."""
        faults = cls.__new__(cls)
        faults.open(Path(os.environ["FAULTS_FILE"]))
        return faults

    def open(self, path: Path) -> None:
        with path.open("r+b") as file:
            self.page = mmap.mmap(file.fileno(), 0)

    def set(self, **values: int) -> None:
        """Names are those of `FIELDS`; what is not named stays as it is."""
        for name, value in values.items():
            FIELD.pack_into(self.page, FIELDS.index(name) * FIELD.size, value)

    def clear(self) -> None:
        """Every call goes through again. Counts stay."""
        self.set(**dict.fromkeys(FIELDS[: FIELDS.index("accepts")], 0))

    def get(self, name: str) -> int:
        return FIELD.unpack_from(self.page, FIELDS.index(name) * FIELD.size)[0]
