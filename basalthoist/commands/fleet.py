"""`fleet`: runs a fleet on loopback under faults, measures its cost, searches for faults that break it."""

import sys
from pathlib import Path

import click
import msgspec

from basalthoist.emulator.scenario import ScenarioError

from .output import FAILED, fail, save_finding

MAX_TIMELINES = 1_000_000  # per search
COST_SIZES = (5, 50, 200)  # nodes


@click.command()
@click.argument("timeline", type=click.Path(path_type=Path), required=False)
@click.option(
    "--search",
    "seconds",
    type=click.FloatRange(min=1),
    help="Generate and run timelines for this many seconds.",
)
@click.option("--seed", type=int, default=1, show_default=True, help="First seed of a search.")
@click.option("--processes", type=click.IntRange(min=1), default=4, show_default=True)
@click.option("--into", type=click.Path(path_type=Path), default=Path("found"), show_default=True)
@click.option(
    "--cost", type=click.IntRange(min=2), help="Measure the cost of a fleet over this many pairs of runs."
)
@click.option(
    "--account", type=click.Path(path_type=Path), help="Folder of raw results; alone: remake its tables."
)
def fleet(
    timeline: Path | None,
    seconds: float | None,
    seed: int,
    processes: int,
    into: Path,
    cost: int | None,
    account: Path | None,
) -> None:
    """Run a fleet on loopback, ban a backend, cut and freeze nodes, or inject the faults of a TIMELINE.

    Prints the events and which node acts on which version. The exit code is 0 only if all bounds held."""
    if seconds is not None:
        search_timelines(seconds, seed, processes, into, account)
    elif cost is not None:
        print_cost(cost)
    elif account is not None:
        write_account(account)
    else:
        play_timeline(timeline)


def play_timeline(path: Path | None) -> None:
    """Runs a timeline, or the default one if `path` is None."""
    from basalthoist.experiments.cluster import show, timeline

    try:
        plan = timeline.read(path) if path is not None else show.DEMO_TIMELINE
    except ScenarioError as error:
        fail(error)
    sizes = f"{plan.nodes} nodes, {plan.voters} voters, {plan.backends} backends"
    click.echo(f"{plan.name}, seed {plan.seed}: {sizes}")
    for event in sorted(plan.events, key=lambda event: event.at_s):
        nodes = " ".join(map(str, event.who))
        click.echo(f"  at {event.at_s:.2f} {event.kind} {nodes} for {event.for_s:g} s")
    try:
        result = show.show(plan, click.echo)
    except (OSError, RuntimeError) as error:
        fail(error, FAILED)
    print_result(result)
    sys.exit(FAILED if result["broken"] else 0)


def print_result(result: dict) -> None:
    """Prints the result of a timeline."""
    counts, broken = result["counts"], result["broken"]
    click.echo(
        f"{counts['offered']} requests: {counts['in_time']} in time, {counts['shed']} shed, "
        f"{counts['failed']} without a response; {result['runs']} attempts at backends"
    )
    waits = " ".join(f"{wait:.2f}" for wait in result["waits_s"])
    bound = f"bound on a stale view {result['bound_s']:.2f} s"
    click.echo(f"operators' calls took effect on all nodes after {waits} s; {bound}")
    click.echo(f"latest attempt at a backend after its ban was committed: {result['worst_s']:.2f} s")
    for line in broken:
        click.echo(f"broken: {line}")
    if not broken:
        click.echo("held: no attempt at a banned backend after SUCCESS or the bound, one version at the end")


def print_cost(pairs: int) -> None:
    """Measures the cost of a fleet at its nodes."""
    from basalthoist.experiments.cluster import cost

    click.echo(f"a request spends {cost.view_check_us():.2f} us to check that its node may forward")
    click.echo(f"a change of 4096 verdicts takes {cost.verdict_change_ms():.1f} ms at each node")
    for nodes in COST_SIZES:
        leader, other = cost.bytes_per_s(nodes)
        rates = f"{leader:.0f} bytes per second, each of the others {other:.0f}"
        click.echo(f"{nodes} nodes: the leader sends {rates}")
    for figure, (mean, baseline) in cost.compare(pairs, click.echo).items():
        click.echo(f"{figure}: {mean.text(3)} on {baseline:.3f}, over {mean.samples} pairs")


def write_account(folder: Path) -> None:
    """Remakes the tables of a search from its raw results."""
    from basalthoist.experiments.cluster.account import write
    from basalthoist.experiments.running import RunError

    try:
        write(folder)
    except RunError as error:
        fail(error)
    click.echo((folder / "table.md").read_text(), nl=False)


def search_timelines(seconds: float, seed: int, processes: int, into: Path, folder: Path | None) -> None:
    """Runs generated timelines. A timeline that breaks a bound is minimized and saved."""
    from basalthoist.experiments.cluster import account, searching
    from basalthoist.experiments.cluster.timeline import Timeline

    run_count, worst_s, broken = 0, 0.0, 0
    for result in searching.search(seed, MAX_TIMELINES, seconds, processes):
        run_count += 1
        worst_s = max(worst_s, result.get("worst_s", 0.0))
        if folder is not None and "calls" in result:
            account.append_result(folder, result)
        if not result["broken"]:
            continue
        broken += 1
        timeline = msgspec.convert(result["timeline"], Timeline)
        click.echo(f"seed {timeline.seed} breaks: {result['broken'][0]}")
        timeline = searching.shrink(timeline, searching.find_violations, click.echo)
        path = save_finding(into, "timeline", timeline)
        click.echo(f"{path}: {len(timeline.events)} events left")
    if folder is not None:
        account.write(folder)
    click.echo(
        f"{run_count} timelines, {broken} broken; latest attempt after a ban was committed: {worst_s:.2f} s"
    )
    sys.exit(FAILED if broken else 0)
