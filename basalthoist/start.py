"""The start of one node: configuration, signals, event loop."""

import gc
import signal
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from .configuration import (
        Configuration,
        DistributionDocument,
        FleetDocument,
        GatewayDocument,
        JsonRpcDocument,
    )
    from .net.runtime.log import Log

SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)
EXIT_CONFIGURATION_ERROR = 2
EXIT_SOCKET_ERROR = 1


class LogFormat(Protocol):
    """Another form for the log's lines."""

    def bind(self, log: "Log") -> None:
        """Writes the lines of this log from now on."""


class NodeFiles(NamedTuple):
    """What the node's files say. Parts that no file names are None."""

    configuration: "Configuration"
    gateway: "GatewayDocument | None"
    jsonrpc: "JsonRpcDocument | None"
    fleet: "FleetDocument | None"
    distribution: "DistributionDocument | None"


def run_node(log_format: LogFormat | None = None) -> int:
    """Serves by the file that PROXY_CONFIG names, until a signal ends it; returns the exit code."""
    # Guards against a SIGHUP before there is a node, which would end the process, or be missed once the file
    # has been read. Ahead of the imports, which take longest.
    hangups: list[bool] = []
    signal.signal(signal.SIGHUP, lambda *_: hangups.append(True))
    # Nothing that a start makes becomes garbage: the collector took a tenth of a start's processor time.
    gc.disable()

    import uvloop

    from .configuration import ConfigurationError

    try:
        files = read_files(hangups)
    except ConfigurationError as wrong:
        print(f"basalthoist: configuration: {wrong}", file=sys.stderr)
        return EXIT_CONFIGURATION_ERROR
    try:
        uvloop.run(run(files, log_format, hangups))
    except OSError as wrong:
        print(f"basalthoist: {wrong}", file=sys.stderr)
        return EXIT_SOCKET_ERROR
    return 0


def read_files(hangups: list[bool]) -> NodeFiles:
    """Reads the node's files, with all that the `hangups` so far ask for; raises ConfigurationError."""
    from .configuration import load, load_distribution, load_fleet, load_gateway, load_jsonrpc

    hangups.clear()
    configuration = load()
    return NodeFiles(
        configuration,
        load_gateway(),
        load_jsonrpc(configuration),
        load_fleet(configuration),
        load_distribution(),
    )


async def run(files: NodeFiles, log_format: LogFormat | None, hangups: list[bool]) -> None:
    """Runs one node. `hangups`: not empty where a SIGHUP has come since its files began to be read."""
    import asyncio

    from .net.service import Service

    loop = asyncio.get_running_loop()
    service = Service(
        files.configuration, loop, files.gateway, files.jsonrpc, files.fleet, files.distribution
    )
    # What the start has made is not looked through while the node serves either.
    gc.freeze()
    gc.enable()
    if log_format is not None:
        log_format.bind(service.log)
    # Not by the loop: as it closes, it gives each signal its usual effect back.
    handle(SHUTDOWN_SIGNALS, lambda: loop.call_soon_threadsafe(service.shut_down))
    handle((signal.SIGHUP,), lambda: loop.call_soon_threadsafe(service.reload))
    if hangups:
        service.reload()
    try:
        await service.serve()
    finally:
        # Guards against a signal that would end the exit in another way, whichever thread gets it.
        for number in (*SHUTDOWN_SIGNALS, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)


def handle(numbers: tuple[signal.Signals, ...], act: Callable[[], object]) -> None:
    """Calls `act` at each of these signals."""
    for number in numbers:
        signal.signal(number, lambda *_: act())
