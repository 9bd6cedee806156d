"""The program as it is, with its words counted: `python -m basalthoist.experiments.scale.real`.

Twice a second the counts go into the file that SCALE_COUNTS names, by a thread.
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

EVERY_S = 0.5


def write_on(path: Path) -> None:
    beside = path.with_suffix(".next")
    while True:
        time.sleep(EVERY_S)
        with suppress(OSError, RuntimeError):  # a counter may grow meanwhile; the next one is whole
            told = {
                "at": time.monotonic(),
                "words": counting.words(),
                "dropped": counting.dropped_here(),
                "thread": threading.get_native_id(),
            }
            beside.write_text(json.dumps(told))
            beside.replace(path)


if __name__ == "__main__":
    counting.install()
    threading.Thread(target=write_on, args=(Path(os.environ["SCALE_COUNTS"]),), daemon=True).start()
    sys.exit(run_node())
