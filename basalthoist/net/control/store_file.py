"""The file of a relay's store: a snapshot, followed by each change that has become pending since.

The file never proves that a change was committed; only the register's head does.
"""

import gc
import os
from collections.abc import Callable
from functools import partial

from basalthoist.distribution.store import Store
from basalthoist.net.control.catalogue_files import read_file
from basalthoist.net.runtime.atomic_files import AppendOnlyFile
from basalthoist.net.runtime.disk_worker import DiskWorker, TaskError

FILE_NAME = "distribution.msgpack"


class StoreFile:
    """Reads the store when the process starts, and stores its changes. Without a folder nothing is stored."""

    def __init__(
        self, folder: str, fleet: str, history_bytes: int, disk_worker: DiskWorker, log: Callable[[str], None]
    ) -> None:
        self.path = os.path.join(folder, FILE_NAME) if folder else None
        self.fleet = fleet
        self.disk_worker = disk_worker
        self.log = log
        self.file = AppendOnlyFile(self.path)
        self.store = Store.from_bytes(fleet, read_file(self.path, log) or b"", history_bytes)
        self.has_snapshot = False  # Whether the file is complete, so that changes can be appended to it.

    def append_pending(self) -> None:
        """Appends the store's new pending change to the file, or writes a new snapshot."""
        if self.path is None:
            return
        record = self.store.pending_record()
        if self.has_snapshot and not self.store.needs_rewrite():
            self.disk_worker(partial(self.file.append, record), self.on_written)
        else:
            self.save()

    def save(self) -> None:
        """Writes a snapshot if one is needed. The disk worker runs writes and appends in order."""
        if self.path is not None and (self.store.needs_rewrite() or not self.has_snapshot):
            self.has_snapshot = True
            # Keeps the garbage collector from pausing the process to traverse all entries repeatedly.
            gc.freeze()
            data = self.store.to_bytes(self.fleet)
            self.disk_worker(partial(self.file.replace, data), self.on_written)

    def on_written(self, error: TaskError | None) -> None:
        """Ends a write or an append; `error` is None if it succeeded."""
        if error:
            # The file may end with a torn record, so it needs a new snapshot before the next append.
            self.has_snapshot = False
            self.log(f"distribution: not kept: {error}")
