"""`experiment`, `report`, `compare`: plans of many runs, and reports on their raw results."""

from pathlib import Path

import click

from basalthoist.emulator.scenario import ScenarioError

from .output import FAILED, fail


@click.command()
@click.argument("plan", type=click.Path(path_type=Path))
@click.option(
    "--into",
    type=click.Path(path_type=Path),
    required=True,
    help="Folder for results; finished runs in it are not repeated.",
)
@click.option("--processes", type=click.IntRange(min=1))
def experiment(plan: Path, into: Path, processes: int | None) -> None:
    """Execute the runs of a PLAN in parallel and report on them."""
    from basalthoist.experiments.plan import read
    from basalthoist.experiments.reporting import write_report
    from basalthoist.experiments.running import RunError, carry_out_all

    try:
        runs, text = read(plan)
        carry_out_all(runs, text, into, processes, click.echo)
        write_report(into)
    except ScenarioError as error:
        fail(error)
    except RunError as error:
        fail(error, FAILED)
    click.echo((into / "table.md").read_text())


@click.command()
@click.argument("folder", type=click.Path(path_type=Path))
def report(folder: Path) -> None:
    """Remake tables and charts from the raw results in FOLDER."""
    from basalthoist.experiments.reporting import write_report
    from basalthoist.experiments.running import RunError

    try:
        write_report(folder)
    except RunError as error:
        fail(error)
    click.echo((folder / "table.md").read_text())


@click.command()
@click.argument("one", type=click.Path(path_type=Path))
@click.argument("other", type=click.Path(path_type=Path))
@click.option("--figure", default="kept", show_default=True)
@click.option("--policy")
def compare(one: Path, other: Path, figure: str, policy: str | None) -> None:
    """Print the paired differences ONE minus OTHER over the seeds that both folders have."""
    from basalthoist.experiments.reporting import compare as differences
    from basalthoist.experiments.running import RunError

    try:
        for value, name, mean in differences(one, other, figure, policy):
            where = "" if value is None else f" at {value}"
            click.echo(f"{name}{where}: {figure} {mean.text(4)} over {mean.samples} seeds")
    except RunError as error:
        fail(error)
    except KeyError as error:
        fail(f"--figure: expected a figure of the results, got {error}")
