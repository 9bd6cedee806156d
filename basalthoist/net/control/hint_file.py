"""The file in which a replica stores its last verdict set.

The next incarnation uses the set as a hint only: it never proves that the set was committed.
"""

import os
from collections.abc import Callable
from functools import partial
from hashlib import blake2b

import msgspec

from basalthoist.fleet.verdicts import VerdictSet, decode_set
from basalthoist.net.runtime.atomic_files import write_atomically
from basalthoist.net.runtime.disk_worker import Completion, Task, TaskError
from basalthoist.net.runtime.log import Log

FILE_NAME = "fleet.msgpack"
DIGEST_BYTES = 16

# Runs the task off the event loop, then the completion on the event loop with the task's error or None.
RunOnDisk = Callable[[Task, Completion], None]


class Hint(msgspec.Struct, array_like=True):
    """The file's content after the checksum. The order of the fields is the stored format."""

    fleet: str
    term: int
    version: int
    digest: bytes
    data: bytes


def checksum(data: bytes) -> bytes:
    """Returns the checksum that precedes the data in the file."""
    return blake2b(data, digest_size=DIGEST_BYTES).digest()


class HintFile:
    """The hint file in the node's folder. Without a folder nothing is stored."""

    def __init__(self, fleet: str, folder: str, run_on_disk: RunOnDisk, log: Log) -> None:
        self.fleet: str = fleet
        self.path: str | None = os.path.join(folder, FILE_NAME) if folder else None
        self.run_on_disk: RunOnDisk = run_on_disk
        self.log: Log = log
        self.is_writing: bool = False
        self.pending_set: VerdictSet | None = None

    def store(self, verdicts: VerdictSet) -> None:
        """Writes the set; during another write, only the latest set is written after that."""
        self.pending_set = verdicts
        self.write_pending()

    def write_pending(self) -> None:
        """Starts to write the pending set, unless a write is in progress."""
        if self.path is None or self.is_writing or self.pending_set is None:
            return
        verdicts, self.pending_set, self.is_writing = self.pending_set, None, True
        hint = Hint(self.fleet, verdicts.term, verdicts.version, verdicts.digest, verdicts.data)
        data = msgspec.msgpack.encode(hint)
        write = partial(write_atomically, self.path, checksum(data) + data, synced=True)
        self.run_on_disk(write, self.on_written)

    def on_written(self, error: TaskError | None) -> None:
        """Ends a write and starts the next; `error` is None if the write succeeded."""
        self.is_writing = False
        if error:
            self.log(f"fleet: hint not kept: {error}")
        self.write_pending()

    def read(self) -> VerdictSet | None:
        """Returns the set that was stored last, or None if there is none or it cannot be read."""
        if self.path is None:
            return None
        try:
            with open(self.path, "rb") as file:
                return self.decode(file.read())
        except FileNotFoundError:
            return None
        except (OSError, ValueError, msgspec.DecodeError) as error:
            # A damaged file must not keep the node from serving. Starting without a hint takes longer but
            # is safe.
            self.log(f"fleet: {self.path} not read: {error}")
            return None

    def decode(self, data: bytes) -> VerdictSet:
        """Returns the verdict set in a file's content.

        Raises ValueError or msgspec.DecodeError if the file is damaged or belongs to another fleet.
        """
        digest, encoded = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
        if checksum(encoded) != digest:
            raise ValueError(f"damaged: checksum of {len(encoded)} bytes does not match")
        hint = msgspec.msgpack.decode(encoded, type=Hint)
        verdicts = decode_set(hint.term, hint.version, hint.digest, hint.data)
        if hint.fleet != self.fleet or verdicts is None:
            raise ValueError(
                f"expected fleet {self.fleet} and a set that matches its digest, got fleet {hint.fleet}"
            )
        return verdicts
