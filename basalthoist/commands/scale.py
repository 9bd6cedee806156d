"""`scale`: measures which costs grow with the size of a fleet."""

from pathlib import Path

import click

from .output import FAILED, fail


@click.command()
@click.option("--sizes", help="Sizes of the fleet in nodes, ascending: 100,330,1000,3300.")
@click.option("--shares", help="Percentages of routes, tenants and backends, ascending: 1,10,100.")
@click.option("--layers", help="Layers to measure; default: all.")
@click.option("--into", type=click.Path(path_type=Path), default=Path("scale"), show_default=True)
@click.option("--quick", is_flag=True, help="Small sizes, to try out the tool itself.")
@click.option("--report", type=click.Path(path_type=Path), help="Only remake tables and charts from FOLDER.")
def scale(
    sizes: str | None, shares: str | None, layers: str | None, into: Path, quick: bool, report: Path | None
) -> None:
    """Measure how costs grow with nodes, backends, tenants and changes, on hollow nodes and real ones.

    Raw results stay in the folder, void ones included; the exit code is 1 if there are any."""
    from basalthoist.experiments.scale import layers as known_layers
    from basalthoist.experiments.scale import report as reports
    from basalthoist.experiments.scale import running
    from basalthoist.experiments.scale.sizes import BadInput, ask

    void_rows = 0
    folder = into if report is None else report
    try:
        if report is None:
            plan = ask(sizes, shares, quick, into)
            known_layers.layers(layers)
            void_rows = running.carry_out(plan, layers, click.echo)
        reports.write(folder)
    except BadInput as error:
        fail(error)
    except OSError as error:
        fail(f"{folder}: {error}", FAILED)
    except TimeoutError:
        fail(f"a layer did not finish within {running.LONGEST_S} s", FAILED)
    click.echo((folder / "ranking.md").read_text(), nl=False)
    if void_rows:
        fail(f"{void_rows} rows are void", FAILED)
