"""`distribute`: experiments with versioned distribution at full size, and reports on their results."""

import sys
from pathlib import Path

import click

from .output import FAILED, fail


@click.command()
@click.option("--nodes", type=click.IntRange(min=12, max=10_000), default=100, show_default=True)
@click.option("--machines", type=click.IntRange(min=3, max=40), default=17, show_default=True)
@click.option("--voters", type=click.IntRange(min=1, max=7), default=5, show_default=True)
@click.option(
    "--share",
    type=click.FloatRange(min=0.1, max=100),
    default=1.0,
    show_default=True,
    help="Catalogue size in percent of 2,000 services, 11,000 routes, 32,000 backends, 200,000 tenants.",
)
@click.option("--part", type=click.Choice(["steady", "faults", "behind"]), default="steady")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--into", type=click.Path(path_type=Path), default=Path("distributed"), show_default=True)
@click.option("--limit", type=click.FloatRange(min=30, max=900), default=300.0, help="Seconds.")
@click.option("--report", type=click.Path(path_type=Path), help="Only remake tables and charts from FOLDER.")
def distribute(
    nodes: int,
    machines: int,
    voters: int,
    share: float,
    part: str,
    seed: int,
    into: Path,
    limit: float,
    report: Path | None,
) -> None:
    """Distribute a catalogue to hollow nodes through relays on loopback, and change it under injected faults.

    Relays are real processes. Raw results stay in the folder. The exit code is 1 if a phase failed or is void
    because the tool itself was late."""
    from basalthoist.experiments.distributed import play, reporting
    from basalthoist.experiments.distributed.sizes import Size

    if report is not None:
        if not list(report.glob("*.json")):
            fail(f"--report: {report}: expected raw results in *.json files, got none")
        return click.echo(reporting.write(report))
    if voters > machines:
        fail(f"--voters: expected at most {machines} machines, got {voters}")
    workers = max(1, min(12, nodes // 25))
    size = Size(nodes, machines, voters, workers).scaled(share)
    result = play.run_part(size, part, seed, into, click.echo, limit)
    reporting.write(into)
    void = [phase["name"] for phase in result["phases"] if phase["void"]]
    for name in void:
        click.echo(f"void: {name}")
    for line in result["wrong_lines"]:
        click.echo(f"failed check: {line}")
    sys.exit(FAILED if void or "failed" in result or result["wrong_lines"] else 0)
