"""The target size, the allowed cost of control there, and the parameters of a run of the bench."""

from pathlib import Path
from typing import NamedTuple

NODES, BACKENDS, SERVICES = 3_300, 32_000, 2_000
ROUTES, TENANTS = 11_000, 200_000
REQUESTS_S, ADDED_P99_MS = 560_000, 2.6
REGIONS, ZONES = 5, 11
CHANGES_DAY, IN_FORCE_S = 7_000, 4.0
CORE_PART, CONTROL_MB, CONTROL_BYTES_S = 0.014, 32.0, 3_000.0  # allowed for control at each node
CONTROL_MACHINES = 17  # machines set aside for control
FAILURES_DAY, RESTARTS_DAY = 110, 2_800
NODE_REQUESTS_S = REQUESTS_S / NODES  # the mean of a node

FULL_SIZES, FULL_SHARES = (100, 330, 1_000, 3_300), (1.0, 10.0, 100.0)
QUICK_SIZES, QUICK_SHARES = (12, 24, 48), (0.1, 0.2, 0.5)
MAX_NODES = 10_000


class BadInput(Exception):
    """An option or a file is invalid; the message names the key."""


class Ask(NamedTuple):
    """Parameters of a run: fleet sizes, and percentages of all routes, tenants and backends."""

    sizes: tuple[int, ...]
    shares: tuple[float, ...]
    quick: bool
    folder: Path


def numbers(key: str, text: str, number_type: type, minimum: float, maximum: float) -> tuple:
    """Parses a list such as `100,330`. Raises BadInput."""
    found = []
    for part in text.split(","):
        try:
            value = number_type(part)
        except ValueError:
            value = None
        if value is None or not minimum <= value <= maximum:
            raise BadInput(f"{key}: expected numbers from {minimum:g} to {maximum:g}, got {part!r}")
        found.append(value)
    if len(set(found)) < 2 or sorted(found) != found:
        raise BadInput(f"{key}: expected two or more, in rising order, got {text!r}")
    return tuple(found)


def ask(sizes: str | None, shares: str | None, quick: bool, folder: Path) -> Ask:
    usual = (QUICK_SIZES, QUICK_SHARES) if quick else (FULL_SIZES, FULL_SHARES)
    return Ask(
        numbers("--sizes", sizes, int, 7, MAX_NODES) if sizes is not None else usual[0],
        numbers("--shares", shares, float, 0.01, 100) if shares is not None else usual[1],
        quick,
        folder,
    )


def part_of(whole: int, share: float) -> int:
    return max(round(whole * share / 100), 1)
