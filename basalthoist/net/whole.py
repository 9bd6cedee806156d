"""Files in `$TMPDIR` that are written whole or not at all."""

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
