"""`serve`, `relay`, `check`: a node or a relay by its file."""

import os
import sys
from pathlib import Path

import click

from .output import FAILED, fail


@click.command()
@click.argument("configuration", type=click.Path(path_type=Path))
@click.option(
    "--log", type=click.Choice(["plain", "json", "console"]), default="plain", help="Form of log lines."
)
def serve(configuration: Path, log: str) -> None:
    """Serve by a CONFIGURATION file, JSON or TOML."""
    from basalthoist.start import run_node

    os.environ["PROXY_CONFIG"] = str(configuration)
    structured_log = None
    if log != "plain":
        from .structured import StructuredLog

        structured_log = StructuredLog(log)
    sys.exit(run_node(structured_log))


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
def relay(file: Path) -> None:
    """Run a machine set aside for control by FILE, TOML: a relay, and where it votes an author."""
    import uvloop

    from basalthoist.configuration import ConfigurationError, load_relay

    try:
        document = load_relay(str(file))
    except ConfigurationError as error:
        fail(f"configuration: {error}")
    from basalthoist.net.control.relay_process import run

    try:
        uvloop.run(run(document, os.environ.get("TMPDIR", "")))
    except OSError as error:
        fail(error, FAILED)


@click.command()
@click.argument("configuration", type=click.Path(path_type=Path), required=False)
@click.option("--reference", is_flag=True, help="Print the page that lists every key instead.")
def check(configuration: Path | None, reference: bool) -> None:
    """Check a CONFIGURATION file without starting anything."""
    from basalthoist.configuration import ConfigurationError, load

    if reference:
        from .reference import page

        return click.echo(page(), nl=False)
    if configuration is None:
        fail("check: a file, or --reference")
    try:
        found = load({"PROXY_CONFIG": str(configuration)})
    except ConfigurationError as error:
        fail(f"{configuration}: {error}")
    host, port = found.listen
    backends = len(found.known.endpoints)
    click.echo(
        f"{configuration}: good; {found.name} listens on {host}:{port}, "
        f"{len(found.routes)} routes, {backends} backends known"
    )
