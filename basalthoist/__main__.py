"""`python -m basalthoist`: serves as a node without arguments, runs a command line tool with them."""

import os
import sys

EXIT_NO_TOOLS = 2


def add_site_packages() -> None:
    """Adds the environment's site-packages to `sys.path`. Nodes start with `-S`, which skips the import of
    `site` to save start time."""
    if "site" not in sys.modules:
        environment = os.path.dirname(os.path.dirname(sys.executable))
        version = f"python{sys.version_info.major}.{sys.version_info.minor}"
        sys.path.append(os.path.join(environment, "lib", version, "site-packages"))


def main() -> int:
    """Runs the node or the command and returns the exit code."""
    add_site_packages()
    if len(sys.argv) < 2:
        from .start import run_node

        return run_node()
    try:
        from .commands.cli import main as run_command
    except ImportError as error:
        print(f"basalthoist: commands need requirements-tools.txt: {error}", file=sys.stderr)
        return EXIT_NO_TOOLS
    return run_command(prog_name="python -m basalthoist")


if __name__ == "__main__":
    sys.exit(main())
