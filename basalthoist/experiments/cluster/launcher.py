"""`python -m basalthoist.experiments.cluster.launcher`: the program in this process, on a machine that lies.

`RIG_LIES` holds JSON: `disk`, `rate`, `wall_s` (see `timeline.Machine`). File calls of the operating system
and the clocks are wrapped before the program is loaded; only files in `$TMPDIR` are met.

A disk that forgets keeps, beside each file, what a crash would leave: what was there before. The next start
of the same machine finds that, as after a power cut.
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
    def __init__(self, folder: str, lie: str) -> None:
        self.folder, self.lie = Path(folder).resolve(), lie
        self.open, self.replace, self.fsync = builtins.open, os.replace, os.fsync

    def ours(self, path) -> bool:
        return isinstance(path, str | os.PathLike) and Path(path).resolve().parent == self.folder

    def wake(self) -> None:
        """What the crash has left."""
        for kept in sorted((self.folder / DURABLE).glob("*")):
            target = self.folder / kept.name
            if kept.stat().st_size:
                target.write_bytes(kept.read_bytes())
            elif target.exists():
                target.unlink()

    def wrap(self) -> None:
        import io

        io.open = builtins.open = self.opens
        os.replace, os.fsync = self.replaces, self.syncs

    def opens(self, path, mode="r", *more, **named):
        if self.lie == "bad_read" and self.ours(path) and "r" in mode:
            raise OSError(errno.EIO, "the rig's disk", str(path))
        if self.lie == "no_space" and self.ours(path) and "w" in mode:
            raise OSError(errno.ENOSPC, "the rig's disk", str(path))
        return self.open(path, mode, *more, **named)

    def syncs(self, descriptor: int) -> None:
        if self.lie == "bad_write":
            raise OSError(errno.EIO, "the rig's disk")
        if self.lie == "slow":
            time.sleep(5)
        if self.lie != "forgets":
            self.fsync(descriptor)

    def replaces(self, source, target, **named) -> None:
        if self.ours(target):
            target = Path(target)
            data = Path(source).read_bytes()
            if self.lie == "forgets":
                self.remember(target)
            elif self.lie == "torn":
                Path(source).write_bytes(data[: len(data) // 2])
            elif self.lie == "flip" and data:
                at = len(data) // 3
                Path(source).write_bytes(data[:at] + bytes([data[at] ^ 4]) + data[at + 1 :])
        self.replace(source, target, **named)

    def remember(self, target: Path) -> None:
        kept = self.folder / DURABLE / target.name
        if not kept.exists():  # as it was when the machine last started
            kept.parent.mkdir(exist_ok=True)
            with self.open(kept, "wb") as file:
                file.write(target.read_bytes() if target.exists() else b"")


class Clocks:
    """Rates count from now on. The hand of the wall clock goes there and back."""

    def __init__(self, rate: float, wall_s: float) -> None:
        self.rate, self.wall = rate, int(wall_s * 1e9)
        self.gettime, self.monotonic, self.wall_time = time.clock_gettime_ns, time.monotonic_ns, time.time_ns
        self.began = self.monotonic()

    def stretched(self, at: int, began: int) -> int:
        return began + int((at - began) * self.rate)

    def wrap(self) -> None:
        boot_began = self.gettime(time.CLOCK_BOOTTIME)

        def gettime(which: int) -> int:
            at = self.gettime(which)
            return self.stretched(at, boot_began) if which == time.CLOCK_BOOTTIME else at

        def wall() -> int:
            stepped = self.wall if (self.monotonic() - self.began) // 2_000_000_000 % 2 else 0
            return self.wall_time() + stepped

        time.clock_gettime_ns = gettime
        time.monotonic_ns = lambda: self.stretched(self.monotonic(), self.began)
        time.time_ns = wall


def main() -> int:
    lies = json.loads(os.environ.pop("RIG_LIES", "{}"))
    folder = os.environ.get("TMPDIR", "")
    if folder:
        disk = Disk(folder, lies.get("disk", ""))
        disk.wake()
        if disk.lie:
            disk.wrap()
    Clocks(lies.get("rate", 1.0), lies.get("wall_s", 0.0)).wrap()
    from basalthoist.start import run_node

    return run_node()


if __name__ == "__main__":
    sys.exit(main())
