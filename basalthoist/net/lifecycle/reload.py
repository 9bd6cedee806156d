"""Reloads the node's configuration file on SIGHUP, while the node serves."""

from collections.abc import Callable
from functools import partial

from basalthoist.configuration import Configuration, ConfigurationError, load
from basalthoist.net.runtime.disk_worker import DiskWorker, TaskError
from basalthoist.net.runtime.log import Log


class ConfigurationReload:
    """Reads the file by the disk worker, off the event loop, and calls `apply` with the new configuration."""

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
        """Starts to read the file. If it is being read already, it is read again afterwards.

        The read in progress may have started before the file was changed.
        """
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

        # No request and no shutdown may wait for a disk that hangs.
        self.worker(read_file, partial(self.on_read, read))

    def on_read(self, read: list[Configuration], error: TaskError | None) -> None:
        """Applies the configuration in `read`, or logs `error` if `read` is empty."""
        self.reading = False
        if read:
            self.apply_changes(read[0])
        else:
            # A faulty file must not end a serving node: the current configuration stays in force.
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
