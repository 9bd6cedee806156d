"""Files in `$TMPDIR`: written whole or not at all, or added to."""

import os
from contextlib import suppress


def put_whole(path: str, data: bytes, synced: bool = False) -> str:
    """Another file takes the old one's place; `synced`: once the machine says that it is on the disk.

    Returns what went wrong, or nothing.
    """
    beside = f"{os.path.splitext(path)[0]}.{os.getpid()}"
    try:
        with open(beside, "wb") as file:
            file.write(data)
            file.flush()
            if synced:
                os.fsync(file.fileno())
        os.replace(beside, path)
        return ""
    except OSError as wrong:
        with suppress(OSError):
            os.unlink(beside)
        return str(wrong)


def put_behind(path: str, data: bytes) -> str:
    """At a file's end. Returns what went wrong, or nothing."""
    try:
        with open(path, "ab") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        return ""
    except OSError as wrong:
        return str(wrong)
