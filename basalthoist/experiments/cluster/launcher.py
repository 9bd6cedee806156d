"""`python -m basalthoist.experiments.cluster.launcher`: the program with simulated faults of disk and clocks.

`RIG_LIES` holds JSON: `disk`, `rate`, `wall_s` (see `timeline.Machine`). File calls of the operating system
and the clocks are wrapped before the program is loaded; disk faults apply only to files in `$TMPDIR`.

The fault "forgets" simulates lost writes: the previous content of each file is saved, and the next start of
the same node restores that content, as after a power cut.
"""

import builtins
import errno
import json
import os
import sys
import time
from pathlib import Path

DURABLE = ".durable"


class Disk:
    def __init__(self, folder: str, fault: str) -> None:
        self.folder, self.fault = Path(folder).resolve(), fault
        self.open, self.replace, self.fsync = builtins.open, os.replace, os.fsync

    def applies_to(self, path) -> bool:
        return isinstance(path, str | os.PathLike) and Path(path).resolve().parent == self.folder

    def restore_after_crash(self) -> None:
        """Restores the files as a power cut would leave them."""
        for saved in sorted((self.folder / DURABLE).glob("*")):
            target = self.folder / saved.name
            if saved.stat().st_size:
                target.write_bytes(saved.read_bytes())
            elif target.exists():
                target.unlink()

    def install(self) -> None:
        import io

        io.open = builtins.open = self.open_with_fault
        os.replace, os.fsync = self.replace_with_fault, self.sync_with_fault

    def open_with_fault(self, path, mode="r", *more, **named):
        if self.fault == "bad_read" and self.applies_to(path) and "r" in mode:
            raise OSError(errno.EIO, "simulated disk fault", str(path))
        if self.fault == "no_space" and self.applies_to(path) and "w" in mode:
            raise OSError(errno.ENOSPC, "simulated disk fault", str(path))
        return self.open(path, mode, *more, **named)

    def sync_with_fault(self, descriptor: int) -> None:
        if self.fault == "bad_write":
            raise OSError(errno.EIO, "simulated disk fault")
        if self.fault == "slow":
            time.sleep(5)
        if self.fault != "forgets":
            self.fsync(descriptor)

    def replace_with_fault(self, source, target, **named) -> None:
        if self.applies_to(target):
            target = Path(target)
            data = Path(source).read_bytes()
            if self.fault == "forgets":
                self.save_previous(target)
            elif self.fault == "torn":
                Path(source).write_bytes(data[: len(data) // 2])
            elif self.fault == "flip" and data:
                at = len(data) // 3
                Path(source).write_bytes(data[:at] + bytes([data[at] ^ 4]) + data[at + 1 :])
        self.replace(source, target, **named)

    def save_previous(self, target: Path) -> None:
        saved = self.folder / DURABLE / target.name
        if not saved.exists():  # only the first since the start: a crash leaves what the start found
            saved.parent.mkdir(exist_ok=True)
            with self.open(saved, "wb") as file:
                file.write(target.read_bytes() if target.exists() else b"")


class Clocks:
    """Clocks that run at `rate` from now on; the wall clock steps by `wall_s` and back every two seconds."""

    def __init__(self, rate: float, wall_s: float) -> None:
        self.rate, self.wall_step_ns = rate, int(wall_s * 1e9)
        self.gettime, self.monotonic, self.real_time_ns = (
            time.clock_gettime_ns,
            time.monotonic_ns,
            time.time_ns,
        )
        self.started_ns = self.monotonic()

    def scaled(self, at: int, started_ns: int) -> int:
        return started_ns + int((at - started_ns) * self.rate)

    def install(self) -> None:
        boot_started_ns = self.gettime(time.CLOCK_BOOTTIME)

        def gettime(which: int) -> int:
            at = self.gettime(which)
            return self.scaled(at, boot_started_ns) if which == time.CLOCK_BOOTTIME else at

        def wall_time_ns() -> int:
            step_ns = self.wall_step_ns if (self.monotonic() - self.started_ns) // 2_000_000_000 % 2 else 0
            return self.real_time_ns() + step_ns

        time.clock_gettime_ns = gettime
        time.monotonic_ns = lambda: self.scaled(self.monotonic(), self.started_ns)
        time.time_ns = wall_time_ns


def main() -> int:
    faults = json.loads(os.environ.pop("RIG_LIES", "{}"))
    folder = os.environ.get("TMPDIR", "")
    if folder:
        disk = Disk(folder, faults.get("disk", ""))
        disk.restore_after_crash()
        if disk.fault:
            disk.install()
    Clocks(faults.get("rate", 1.0), faults.get("wall_s", 0.0)).install()
    from basalthoist.start import run_node

    return run_node()


if __name__ == "__main__":
    sys.exit(main())
