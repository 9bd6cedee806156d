"""One real node: `python -m basalthoist`."""

import asyncio
import signal
import sys

import uvloop

from .configuration import ConfigurationError, load
from .net.service import Service


async def run(configuration) -> None:
    loop = asyncio.get_running_loop()
    service = Service(configuration, loop)
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, service.leave)
    loop.add_signal_handler(signal.SIGHUP, service.reload)
    await service.serve()


def main() -> int:
    # Guards against one that comes before there is a node: the file is about to be read anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        configuration = load()
    except ConfigurationError as wrong:
        print(f"basalthoist: configuration: {wrong}", file=sys.stderr)
        return 2
    try:
        uvloop.run(run(configuration))
    except OSError as wrong:
        print(f"basalthoist: {wrong}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
