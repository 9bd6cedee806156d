"""Reading the node's configuration file again at SIGHUP, while the node serves."""

from collections.abc import Callable
from functools import partial

from basalthoist.configuration import Configuration, ConfigurationError, load
from basalthoist.net.runtime.disk_worker import DiskWorker, TaskError
from basalthoist.net.runtime.log import Log


class ConfigurationReload:
    """Reads the file by a thread of its own; `apply` gets what was read."""

    def __init__(
        self,
        current: Configuration,
        worker: DiskWorker,
        log: Log,
        apply: Callable[[Configuration], None],
    ) -> None:
        self.current: Configuration = current
        self.worker: DiskWorker = worker
        self.log: Log = log
        self.apply: Callable[[Configuration], None] = apply
        self.reading: bool = False
        self.read_again: bool = False

    def request(self) -> None:
        """Reads the file; one that is being read may be from before, and is read once more after."""
        self.read_again = self.reading
        if self.reading:
            return
        self.reading = True
        current = self.current
        read: list[Configuration] = []

        def read_file() -> None:
            try:
                read.append(load(before=current))
            except ConfigurationError as error:
                raise TaskError(str(error)) from error

        # Guards against a disk that hangs, which no request and no shutdown may wait for.
        self.worker(read_file, partial(self.on_read, read))

    def on_read(self, read: list[Configuration], error: TaskError | None) -> None:
        """The file has been read: into `read`, or it is faulty, as `error` says."""
        self.reading = False
        if read:
            self.apply_changes(read[0])
        else:
            # Guards against a faulty file that would take a serving node along.
            self.log(f"configuration not taken: {error}")
        if self.read_again:
            self.request()

    def apply_changes(self, read: Configuration) -> None:
        """Applies the new configuration, and logs the changed keys that take effect only at a restart."""
        waiting = read.keys_needing_restart(self.current)
        self.current = read
        self.log(
            "configuration read again" + (f", at the next start: {', '.join(waiting)}" if waiting else "")
        )
        self.apply(read)
