"""`python -m basalthoist COMMAND`: the group of all commands. A node started without a command loads none."""

import click

from .cold_start import cold_start
from .distribute import distribute
from .emulation import emulate, search
from .experiments import compare, experiment, report
from .fleet import fleet
from .loopback import load, protocols, sites, starts
from .scale import scale
from .serving import check, relay, serve
from .soak import soak

COMMANDS = (
    serve,
    relay,
    check,
    emulate,
    search,
    experiment,
    report,
    compare,
    load,
    sites,
    cold_start,
    protocols,
    starts,
    distribute,
    soak,
    fleet,
    scale,
)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A reverse proxy that distributes requests by measured latency profiles. Without a command it runs a
    node with the configuration that PROXY_CONFIG names, as the platform starts it."""


for command in COMMANDS:
    main.add_command(command)
