"""`soak`: soak tests of one node up to its kill, generated from seeds and checked against the rules."""

import sys
from concurrent.futures import ThreadPoolExecutor

import click
import msgspec

from .output import FAILED, fail

MAX_PRINTED_BREAKS = 10  # per run


@click.command()
@click.option("--seeds", type=click.IntRange(min=1), default=50, show_default=True, help="Number of runs.")
@click.option("--first", type=int, default=1, show_default=True, help="The first seed.")
@click.option("--side-by-side", type=click.IntRange(min=1, max=8), default=2, show_default=True)
@click.option(
    "--quiet", type=click.FloatRange(min=0), default=0.0, help="Seconds without requests before the load."
)
@click.option("--broken", default="", help="Variant of the program that breaks a rule, to test the checks.")
@click.option("--log", is_flag=True, help="Print the node's log if a rule is broken.")
def soak(seeds: int, first: int, side_by_side: int, quiet: float, broken: str, log: bool) -> None:
    """Inject faults generated from a seed into a real node, ended by SIGKILL as early as the platform can.

    The exit code is 1 if a rule is broken. The seed, the request's id and its path are printed; the seed
    reproduces the run."""
    from basalthoist.experiments.soak.broken import VARIANTS
    from basalthoist.experiments.soak.plan import generate_plan
    from basalthoist.experiments.soak.playing import play

    if broken and broken not in VARIANTS:
        fail(f"--broken: expected one of {', '.join(VARIANTS)}, got {broken!r}")
    failed = 0
    with ThreadPoolExecutor(side_by_side) as pool:
        plans = [
            msgspec.structs.replace(generate_plan(seed), quiet_s=quiet)
            for seed in range(first, first + seeds)
        ]
        for result in pool.map(lambda plan: play(plan, broken), plans):
            click.echo(result.line())
            failed += bool(result.breaks)
            for breach in result.breaks[:MAX_PRINTED_BREAKS]:
                click.echo(f"  {breach.rule} {breach.ident}: {breach.what}")
            for ident, path in result.paths.items():
                click.echo(f"  {ident}\n    " + "\n    ".join(path))
            crashed = any(breach.rule == "crash" for breach in result.breaks)
            if crashed or result.breaks and log:
                click.echo(result.log)
    click.echo(f"{seeds} seeds from {first}: {seeds - failed} kept every rule, {failed} did not")
    sys.exit(FAILED if failed else 0)
