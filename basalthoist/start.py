"""Starts a node: reads its configuration, installs signal handlers and runs the event loop."""

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
    """A replacement for the plain format of log lines."""

    def bind(self, log: "Log") -> None:
        """Writes all further lines of `log` in this format."""


class NodeFiles(NamedTuple):
    """The contents of a node's configuration files; None for an optional file that is not set."""

    configuration: "Configuration"
    gateway: "GatewayDocument | None"
    jsonrpc: "JsonRpcDocument | None"
    fleet: "FleetDocument | None"
    distribution: "DistributionDocument | None"


def run_node(log_format: LogFormat | None = None) -> int:
    """Runs the node that PROXY_CONFIG configures until a shutdown signal. Returns the exit code."""
    # Guards against a SIGHUP before the node exists: without a handler it would end the process, and after
    # the files have been read it would be lost. The imports, which take most of the start, come afterwards.
    hangups: list[bool] = []
    signal.signal(signal.SIGHUP, lambda *_: hangups.append(True))
    # No object of the start becomes garbage; the collector took a tenth of the start's processor time.
    gc.disable()

    import uvloop

    from .configuration import ConfigurationError

    try:
        files = read_files(hangups)
    except ConfigurationError as error:
        print(f"basalthoist: configuration: {error}", file=sys.stderr)
        return EXIT_CONFIGURATION_ERROR
    try:
        uvloop.run(run(files, log_format, hangups))
    except OSError as error:
        print(f"basalthoist: {error}", file=sys.stderr)
        return EXIT_SOCKET_ERROR
    return 0


def read_files(hangups: list[bool]) -> NodeFiles:
    """Reads the node's files and clears `hangups`: files read now satisfy every earlier SIGHUP.

    Raises ConfigurationError.
    """
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
    """Runs one node. `hangups` is not empty if a SIGHUP came since the node began to read its files."""
    import asyncio

    from .net.service import Service

    loop = asyncio.get_running_loop()
    service = Service(
        files.configuration, loop, files.gateway, files.jsonrpc, files.fleet, files.distribution
    )
    # Excludes the objects of the start from garbage collection while the node serves.
    gc.freeze()
    gc.enable()
    if log_format is not None:
        log_format.bind(service.log)
    # Not `loop.add_signal_handler`: the loop restores the default action of each signal when it closes.
    handle(SHUTDOWN_SIGNALS, lambda: loop.call_soon_threadsafe(service.shut_down))
    handle((signal.SIGHUP,), lambda: loop.call_soon_threadsafe(service.reload))
    if hangups:
        service.reload()
    try:
        await service.serve()
    finally:
        # Guards against a signal during the exit, in any thread, that would change the exit code.
        for number in (*SHUTDOWN_SIGNALS, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)


def handle(numbers: tuple[signal.Signals, ...], act: Callable[[], object]) -> None:
    """Installs `act` as the handler of the signals `numbers`."""
    for number in numbers:
        signal.signal(number, lambda *_: act())
