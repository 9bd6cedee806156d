"""`fleet`: a fleet on loopback under faults, what it costs, and timelines drawn to break it."""

import sys
from pathlib import Path

import click
import msgspec

from basalthoist.emulator.scenario import ScenarioError

from .output import FAILED, fail, save_finding

MOST_TIMELINES = 1_000_000  # that a search draws
COST_SIZES = (5, 50, 200)  # nodes


@click.command()
@click.argument("timeline", type=click.Path(path_type=Path), required=False)
@click.option("--search", "seconds", type=click.FloatRange(min=1), help="Draw timelines for so many seconds.")
@click.option("--seed", type=int, default=1, show_default=True, help="The first of those drawn.")
@click.option("--processes", type=click.IntRange(min=1), default=4, show_default=True)
@click.option("--into", type=click.Path(path_type=Path), default=Path("found"), show_default=True)
@click.option("--cost", type=click.IntRange(min=2), help="So many pairs of a load with a fleet and without.")
@click.option("--account", type=click.Path(path_type=Path), help="Folder of raw results; alone: tables anew.")
def fleet(
    timeline: Path | None,
    seconds: float | None,
    seed: int,
    processes: int,
    into: Path,
    cost: int | None,
    account: Path | None,
) -> None:
    """Bring up a fleet on loopback, ban a backend, cut and freeze nodes; or play a TIMELINE of faults.

    Prints what happens and which node acts on which version. Exit code 0 only if all bounds held."""
    if seconds is not None:
        search_timelines(seconds, seed, processes, into, account)
    elif cost is not None:
        print_cost(cost)
    elif account is not None:
        write_account(account)
    else:
        play_timeline(timeline)


def play_timeline(path: Path | None) -> None:
    """Plays a timeline, or the usual one where there is no file."""
    from basalthoist.experiments.cluster import show, timeline

    try:
        played = timeline.read(path) if path is not None else show.TOLD
    except ScenarioError as error:
        fail(error)
    sizes = f"{played.nodes} nodes, {played.voters} voters, {played.backends} backends"
    click.echo(f"{played.name}, seed {played.seed}: {sizes}")
    for event in sorted(played.events, key=lambda event: event.at_s):
        who = " ".join(map(str, event.who))
        click.echo(f"  at {event.at_s:.2f} {event.kind} {who} for {event.for_s:g} s")
    try:
        result = show.show(played, click.echo)
    except (OSError, RuntimeError) as error:
        fail(error, FAILED)
    print_result(result)
    sys.exit(FAILED if result["broken"] else 0)


def print_result(result: dict) -> None:
    """Prints what came of a timeline."""
    counts, broken = result["counts"], result["broken"]
    click.echo(
        f"{counts['offered']} requests: {counts['in_time']} in time, {counts['shed']} shed, "
        f"{counts['failed']} without an answer; {result['runs']} tries at backends"
    )
    waits = " ".join(f"{wait:.2f}" for wait in result["waits_s"])
    bound = f"bound on a stale view {result['bound_s']:.2f} s"
    click.echo(f"calls came into force everywhere after {waits} s; {bound}")
    click.echo(f"longest after a ban was kept that a node still sent there: {result['worst_s']:.2f} s")
    for line in broken:
        click.echo(f"broken: {line}")
    if not broken:
        click.echo("held: no send to a banned backend after SUCCESS or beyond the bound, one version after")


def print_cost(pairs: int) -> None:
    """Measures what a fleet costs its nodes."""
    from basalthoist.experiments.cluster import cost

    click.echo(f"an exchange asks for {cost.view_check_us():.2f} us whether its node may act")
    click.echo(f"a change of 4096 verdicts takes {cost.verdict_change_ms():.1f} ms at each node")
    for nodes in COST_SIZES:
        leader, other = cost.words(nodes)
        rates = f"{leader:.0f} bytes a second, the others {other:.0f} each"
        click.echo(f"{nodes} nodes: the author sends {rates}")
    for figure, (mean, without) in cost.compare(pairs, click.echo).items():
        click.echo(f"{figure}: {mean.text(3)} on {without:.3f}, over {mean.samples} pairs")


def write_account(folder: Path) -> None:
    """Makes the tables of a search anew from its raw results."""
    from basalthoist.experiments.cluster.account import write
    from basalthoist.experiments.running import RunError

    try:
        write(folder)
    except RunError as error:
        fail(error)
    click.echo((folder / "table.md").read_text(), nl=False)


def search_timelines(seconds: float, seed: int, processes: int, into: Path, folder: Path | None) -> None:
    """Plays drawn timelines; one that breaks a bound is shrunk and saved."""
    from basalthoist.experiments.cluster import account, searching
    from basalthoist.experiments.cluster.timeline import Timeline

    played, worst_s, broken = 0, 0.0, 0
    for result in searching.search(seed, MOST_TIMELINES, seconds, processes):
        played += 1
        worst_s = max(worst_s, result.get("worst_s", 0.0))
        if folder is not None and "calls" in result:
            account.keep(folder, result)
        if not result["broken"]:
            continue
        broken += 1
        timeline = msgspec.convert(result["timeline"], Timeline)
        click.echo(f"seed {timeline.seed} breaks: {result['broken'][0]}")
        timeline = searching.least(timeline, searching.find_violations, click.echo)
        path = save_finding(into, "timeline", timeline)
        click.echo(f"{path}: {len(timeline.events)} events left")
    if folder is not None:
        account.write(folder)
    click.echo(f"{played} timelines, {broken} broken; longest after a ban was kept {worst_s:.2f} s")
    sys.exit(FAILED if broken else 0)
