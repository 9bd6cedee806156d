"""Files that are replaced atomically, and files to which a record is appended completely or not at all."""

import os
from contextlib import suppress

from basalthoist.net.runtime.disk_worker import TaskError


class StorageError(TaskError):
    """`operation` on the file at `path` has failed. The error's text is only the cause, for the log."""

    def __init__(self, operation: str, path: str, cause: str) -> None:
        super().__init__(cause)
        self.operation: str = operation
        self.path: str = path
        self.cause: str = cause


def write_atomically(path: str, data: bytes, synced: bool = False) -> None:
    """Replaces the file at `path`. With `synced`, returns only after the data are on the disk.

    Raises StorageError, and then leaves the file unchanged.
    """
    stem = os.path.splitext(path)[0]
    remove_abandoned_files(stem)
    temporary = f"{stem}.{os.getpid()}"
    try:
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            if synced:
                os.fsync(file.fileno())
        os.replace(temporary, path)
        if synced:
            sync_directory(path)
    except OSError as error:
        with suppress(OSError):
            os.unlink(temporary)
        raise StorageError("replace", path, str(error)) from error


def sync_directory(path: str) -> None:
    """Syncs the directory of `path`. Guards against a machine crash that undoes the rename of a file."""
    directory = os.open(os.path.dirname(path) or ".", os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)


def remove_abandoned_files(stem: str) -> None:
    """Removes temporary files left by processes that were killed while they wrote the file."""
    directory, name = os.path.split(stem)
    with suppress(OSError):
        for found in os.listdir(directory or "."):
            base, _, process_id = found.rpartition(".")
            if base == name and process_id.isdigit() and not os.path.exists(f"/proc/{process_id}"):
                os.unlink(os.path.join(directory, found))


def append_durably(path: str, data: bytes) -> None:
    """Appends `data` and syncs it. Raises StorageError, after truncating the file to its previous length."""
    length_before = -1
    try:
        with open(path, "ab", buffering=0) as file:
            length_before = file.tell()
            if file.write(data) != len(data):
                raise OSError(f"short write of a record of {len(data)} bytes")
            os.fsync(file.fileno())
    except OSError as error:
        if length_before >= 0:
            # Guards against a reader that stops at an incomplete record and misses later records.
            try:
                os.truncate(path, length_before)
            except OSError as second_error:
                cause = f"{error}; incomplete record not removed: {second_error}"
                raise StorageError("append", path, cause) from error
        raise StorageError("append", path, str(error)) from error


class AppendOnlyFile:
    """A file of records, used by one thread: records are appended, and sometimes all of them are replaced."""

    def __init__(self, path: str | None) -> None:
        self.path: str | None = path
        self.has_gap: bool = False  # whether a record is missing at the end, so that none may follow

    def replace(self, data: bytes) -> None:
        """Replaces all records. Raises StorageError."""
        self.has_gap = True
        write_atomically(self.path, data, synced=True)
        self.has_gap = False

    def append(self, record: bytes) -> None:
        """Appends a record. Raises StorageError, also if a previous record is missing."""
        # Guards against a reader that takes a record after a missing one for the next in order.
        if self.has_gap:
            raise StorageError("append", self.path, "not written after a missing record")
        self.has_gap = True
        append_durably(self.path, record)
        self.has_gap = False
