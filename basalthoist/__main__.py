"""One real node: `python -m basalthoist`. With a command it is the command line."""

import signal
import sys


async def run(configuration, others, form, hangups) -> None:
    import asyncio

    from .net.service import Service

    loop = asyncio.get_running_loop()
    service = Service(configuration, loop, *others)
    if form is not None:
        form.bind(service.log)
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, service.leave)
    loop.add_signal_handler(signal.SIGHUP, service.reload)
    if hangups:
        service.reload()
    await service.serve()


def serve_by(form=None) -> int:
    """By the file that PROXY_CONFIG names; `form` gives log lines another form."""
    # Guards against a SIGHUP that comes before there is a node: it would end the process or, had the file
    # been read already, be missed with all that is new in it. Ahead of the imports, which take longest.
    hangups: list[bool] = []
    signal.signal(signal.SIGHUP, lambda *_: hangups.append(True))

    import uvloop

    from .configuration import (
        ConfigurationError,
        load,
        load_distribution,
        load_fleet,
        load_gateway,
        load_jsonrpc,
    )

    hangups.clear()
    try:
        configuration = load()
        others = load_gateway(), load_jsonrpc(configuration), load_fleet(configuration), load_distribution()
    except ConfigurationError as wrong:
        print(f"basalthoist: configuration: {wrong}", file=sys.stderr)
        return 2
    try:
        uvloop.run(run(configuration, others, form, hangups))
    except OSError as wrong:
        print(f"basalthoist: {wrong}", file=sys.stderr)
        return 1
    return 0


def main() -> int:
    if len(sys.argv) < 2:
        return serve_by()
    try:
        from .commands.line import main as line
    except ImportError as wrong:
        print(f"basalthoist: commands need requirements-tools.txt: {wrong}", file=sys.stderr)
        return 2
    return line(prog_name="python -m basalthoist")


if __name__ == "__main__":
    sys.exit(main())
