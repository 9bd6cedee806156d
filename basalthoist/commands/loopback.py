"""`load`, `sites`, `protocols`, `starts`: experiments with real processes on loopback."""

import asyncio
from pathlib import Path

import click

from basalthoist.emulator.scenario import ScenarioError

from .output import FAILED, fail, print_json


@click.command()
@click.argument("scenario", type=click.Path(path_type=Path))
@click.option("--seconds", type=click.FloatRange(min=1), default=10.0, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def load(scenario: Path, seconds: float, as_json: bool) -> None:
    """Run a small SCENARIO on loopback: real nodes, scripted backends and discovery, open-loop clients."""
    from basalthoist.emulator.scenario import read
    from basalthoist.experiments.loopback import play

    try:
        plan = read(scenario)
    except ScenarioError as error:
        fail(error)
    try:
        result = play(plan, seconds)
    except (OSError, RuntimeError) as error:
        fail(error, FAILED)
    if as_json:
        print_json(result)
    else:
        for name, figure in result["figures"].items():
            click.echo(f"{name}: {figure:.4g}")
        click.echo(f"lateness of the load generator: p99 {result['lateness_p99_ms']:.2f} ms")
    if result["void"]:
        fail(f"void: {result['void']}", FAILED)


@click.command()
@click.option("--seconds", type=click.FloatRange(min=6), default=18.0, show_default=True)
@click.option("--delay-ms", type=click.FloatRange(min=0), default=10.0, show_default=True, help="One way.")
@click.option("--rate", type=click.FloatRange(min=1), default=60.0, show_default=True, help="At each site.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--fault", type=click.Choice(["none", "cut"]), default="none", help="Fault to inject: cut the link."
)
@click.option("--json", "as_json", is_flag=True)
def sites(seconds: float, delay_ms: float, rate: float, seed: int, fault: str, as_json: bool) -> None:
    """Run two sites with and without the gateway. One loses its backends for a third of the time."""
    from basalthoist.experiments import sites as site_runs

    results = {}
    for name, linked in (("alone", False), ("gateway", True)):
        try:
            results[name] = site_runs.play(linked, seconds, delay_ms, rate, seed, fault)
        except (OSError, RuntimeError) as error:
            fail(error, FAILED)
        if not as_json:
            click.echo("\n".join(site_runs.said(results[name], name)))
    if as_json:
        print_json(results)
    for name, result in results.items():
        fail_if_invalid(name, result)


@click.command()
@click.option("--pairs", type=click.IntRange(min=2), default=5, show_default=True)
@click.option("--seconds", type=click.FloatRange(min=3), default=9.0, show_default=True)
@click.option(
    "--rate",
    type=click.FloatRange(min=1),
    default=100.0,
    show_default=True,
    help="Doubled in the middle third.",
)
def protocols(pairs: int, seconds: float, rate: float) -> None:
    """Compare JSON-RPC with HTTP on loopback in interleaved runs. The rate doubles in the middle third."""
    from basalthoist.experiments.protocols import compare

    try:
        mean, results = compare(pairs, seconds, rate, click.echo)
    except (OSError, RuntimeError) as error:
        fail(error, FAILED)
    click.echo(f"kept, JSON-RPC minus HTTP: {mean.text(4)} over {mean.samples} pairs")
    for result in results:
        fail_if_invalid(f"pair {result['pair']}", result)


def fail_if_invalid(name: str, result: dict) -> None:
    """Ends the command if a run is void, or if a request ran twice in it."""
    if result["void"]:
        fail(f"{name}: void: {result['void']}", FAILED)
    if result["ran_twice"]:
        fail(f"{name}: {result['ran_twice']} requests ran twice", FAILED)


@click.command()
@click.option(
    "--count", type=click.IntRange(min=1), default=200, show_default=True, help="Nodes started at once."
)
@click.option(
    "--busy",
    type=click.IntRange(min=0),
    default=40,
    show_default=True,
    help="Busy loops that compete for the processor.",
)
@click.option(
    "--program",
    type=click.Path(path_type=Path, exists=True),
    default=Path(),
    show_default=True,
    help="Folder of the program to start, by its deploy/balancer.toml.",
)
def starts(count: int, busy: int, program: Path) -> None:
    """Start COUNT nodes at once, without and with busy loops, and print how long each takes to be ready."""
    from basalthoist.experiments.starts import play, said

    for loops in (0, busy) if busy else (0,):
        try:
            started = asyncio.run(play(count, loops, program.resolve()))
        except (OSError, RuntimeError) as error:
            fail(error, FAILED)
        click.echo(said(started, loops))
