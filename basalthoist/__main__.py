"""`python -m basalthoist`: a node, or with a command the command line."""

import os
import sys

EXIT_NO_TOOLS = 2


def find_libraries() -> None:
    """Adds the environment's libraries to the path, which `-S` leaves out to spare the start a search."""
    if "site" not in sys.modules:
        environment = os.path.dirname(os.path.dirname(sys.executable))
        version = f"python{sys.version_info.major}.{sys.version_info.minor}"
        sys.path.append(os.path.join(environment, "lib", version, "site-packages"))


def main() -> int:
    """Runs the node or the command; returns the exit code."""
    find_libraries()
    if len(sys.argv) < 2:
        from .start import run_node

        return run_node()
    try:
        from .commands.cli import main as run_command
    except ImportError as wrong:
        print(f"basalthoist: commands need requirements-tools.txt: {wrong}", file=sys.stderr)
        return EXIT_NO_TOOLS
    return run_command(prog_name="python -m basalthoist")


if __name__ == "__main__":
    sys.exit(main())
