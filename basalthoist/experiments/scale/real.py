"""A real node whose fleet messages are counted: `python -m basalthoist.experiments.scale.real`.

A thread writes the counts twice a second to the file that SCALE_COUNTS names.
"""

import json
import os
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path

from basalthoist.start import run_node

from . import counting

WRITE_INTERVAL_S = 0.5


def write_counts(path: Path) -> None:
    new_path = path.with_suffix(".next")
    while True:
        time.sleep(WRITE_INTERVAL_S)
        with suppress(OSError, RuntimeError):  # a counter that grows during the copy: the next write succeeds
            counts = {
                "at": time.monotonic(),
                "words": counting.message_counts(),
                "dropped": counting.dropped_here(),
                "thread": threading.get_native_id(),
            }
            new_path.write_text(json.dumps(counts))
            new_path.replace(path)


if __name__ == "__main__":
    counting.install()
    threading.Thread(target=write_counts, args=(Path(os.environ["SCALE_COUNTS"]),), daemon=True).start()
    sys.exit(run_node())
