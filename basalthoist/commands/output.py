"""Helpers for all commands: errors, JSON output, and files of findings."""

import sys
from pathlib import Path
from typing import NoReturn

import click
import msgspec

INVALID_INPUT = 2  # exit code for an invalid file or option
FAILED = 1  # exit code for a failed run


def fail(reason: object, code: int = INVALID_INPUT) -> NoReturn:
    """Prints the reason on standard error and exits with `code`."""
    click.echo(f"basalthoist: {reason}", err=True)
    sys.exit(code)


def print_json(result: object) -> None:
    """Prints a result as indented JSON."""
    click.echo(msgspec.json.format(msgspec.json.encode(result), indent=1))


def save_finding(folder: Path, name: str, finding: msgspec.Struct) -> Path:
    """Writes a search's finding to a TOML file, from which it can be run again. Returns the path."""
    from .toml import as_toml

    path = folder / f"{name}-{finding.seed}.toml"
    try:
        folder.mkdir(parents=True, exist_ok=True)
        path.write_text(as_toml(msgspec.to_builtins(finding)))
    except OSError as error:
        fail(f"{path}: {error.strerror}", FAILED)
    return path
