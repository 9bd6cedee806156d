"""`emulate`, `search`: run scenarios in simulated time."""

import sys
from collections.abc import Callable
from pathlib import Path

import click

from basalthoist.emulator.scenario import ScenarioError

from .output import FAILED, fail, print_json, save_finding


def policy_named(name: str) -> Callable:
    """Returns the factory of a policy's balancer. Ends the command if there is no such policy."""
    from basalthoist.emulator.baselines import POLICIES

    if name not in POLICIES:
        fail(f"--policy: expected one of {', '.join(POLICIES)}, got {name!r}")
    return POLICIES[name]


@click.command()
@click.argument("scenario", type=click.Path(path_type=Path))
@click.option("--policy", default="node", show_default=True)
@click.option("--seed", type=int, help="Seed; default: that of the scenario.")
@click.option("--json", "as_json", is_flag=True, help="Print the complete report.")
@click.option("--log", is_flag=True, help="Print the log lines of the nodes.")
def emulate(scenario: Path, policy: str, seed: int | None, as_json: bool, log: bool) -> None:
    """Run SCENARIO in simulated time. The exit code is 1 if a rule is broken."""
    from basalthoist.emulator.fleet import Fleet
    from basalthoist.emulator.scenario import read

    make_policy = policy_named(policy)
    try:
        fleet = Fleet(read(scenario), make_policy, seed).run()
    except ScenarioError as error:
        fail(error)
    report = fleet.report()
    if as_json:
        print_json(report)
    else:
        print_report(report, policy)
    for node in fleet.nodes if log else ():
        for line in node.lines:
            click.echo(f"n{node.number} {line}")
    sys.exit(0 if report["kept_rules"] else FAILED)


def print_report(report: dict, policy: str) -> None:
    """Prints the figures of a run with `policy` and the rules that it broke."""
    figures, counts = report["figures"], report["counts"]
    run = f"{report['scenario']} by {policy}, seed {report['seed']}"
    click.echo(f"{run}: {figures['offered']} requests")
    shares = "  ".join(f"{name} {figures[name]:.1%}" for name in ("in_time", "late", "shed", "failed"))
    click.echo(f"kept {figures['kept']:.1%}  worst route {figures['worst_route']:.1%}  {shares}")
    click.echo("  ".join(f"{name[:-3]} {figures[name]:.1f} ms" for name in ("p50_ms", "p95_ms", "p99_ms")))
    sends = max(counts["sends"], 1)
    each = ("probes", "words", "connections")
    click.echo("per attempt: " + "  ".join(f"{name} {counts[name] / sends:.2f}" for name in each))
    for rule, times in report["rules"].items():
        click.echo(f"rule {rule}: {'kept' if not times else f'broken {times} times'}")
    for breaks in report["breaks"].values():
        click.echo("  " + "\n  ".join(breaks))


@click.command()
@click.argument("scenario", type=click.Path(path_type=Path))
@click.option("--days", type=click.IntRange(min=1), default=20, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--policy", default="node", show_default=True)
@click.option("--into", type=click.Path(path_type=Path), default=Path("found"), show_default=True)
def search(scenario: Path, days: int, seed: int, policy: str, into: Path) -> None:
    """Combine faults at random on the fleet of SCENARIO. A day that breaks a rule is minimized and saved."""
    from basalthoist.emulator.scenario import read
    from basalthoist.emulator.search import search as search_days

    make_policy = policy_named(policy)
    try:
        base = read(scenario)
    except ScenarioError as error:
        fail(error)
    count = 0
    for day, rules in search_days(base, make_policy, days, seed, click.echo):
        count += 1
        path = save_finding(into, day.name, day)
        click.echo(f"{path}: breaks {', '.join(sorted(rules))} with {len(day.faults)} faults")
    sys.exit(FAILED if count else 0)
