"""`cold-start`: the load on a backend that has just started, from all nodes together."""

from pathlib import Path

import click

from .output import FAILED, fail


@click.command("cold-start")
@click.option("--first", type=click.IntRange(min=0), default=0, show_default=True, help="Seed.")
@click.option("--seeds", type=click.IntRange(min=1), default=5, show_default=True)
@click.option("--loopback", is_flag=True, help="Real processes instead of the emulator.")
@click.option("--nodes", type=click.IntRange(min=1), default=30, show_default=True, help="On loopback.")
@click.option("--processes", type=click.IntRange(min=1), default=4, show_default=True)
@click.option(
    "--into", type=click.Path(path_type=Path), required=True, help="File of raw results, appended to."
)
@click.option("--table", "table_only", is_flag=True, help="Only print the table of existing results.")
def cold_start(
    first: int, seeds: int, loopback: bool, nodes: int, processes: int, into: Path, table_only: bool
) -> None:
    """Measure how close all nodes together bring a backend that is warming up to overload."""
    from basalthoist.experiments import cold_start as runs

    run_seeds = range(first, first + seeds)
    try:
        if not table_only and loopback:
            runs.play_all(run_seeds, nodes, into, click.echo)
        elif not table_only:
            runs.emulate_all(run_seeds, processes, into, click.echo)
        click.echo(runs.table(into), nl=False)
    except (OSError, RuntimeError, runs.RunError) as error:
        fail(error, FAILED)
