"""What a fleet costs its nodes: a load with it and without in turns; at rest; an exchange; bytes."""

import asyncio
import tempfile
import time
from pathlib import Path

import msgspec

from basalthoist.decisions.random_numbers import Lcg
from basalthoist.emulator.rate_limits import USUAL_BOUNDS, ByteCountingReplicas
from basalthoist.fleet.replica import Replica
from basalthoist.fleet.verdicts import Verdict, VerdictSet
from basalthoist.net.runtime.timers import boot_time_now

from ..statistics import Mean, paired
from .rig import Rig
from .timeline import Timeline

BOUNDS = {"lease_s": 2.0, "beat_s": 0.2, "fresh_s": 1.0, "stale_s": 4.0}
LOADED = Timeline(name="cost", nodes=3, voters=3, rate=150.0, length_s=6.0, **BOUNDS)
AT_REST = msgspec.structs.replace(LOADED, name="rest", rate=0.5, length_s=12.0)
FIGURES = ("cpu_us", "p99_ms", "rest_ms")
ASKED = 2  # times an exchange asks whether the node may act: when it is taken, and before its send


def play(told: Timeline, off: bool, seed: int) -> dict:
    told = msgspec.structs.replace(told, seed=seed)
    with tempfile.TemporaryDirectory(prefix="rig-") as folder:
        result = asyncio.run(Rig(told, Path(folder), off=off).play())
    if result["broken"]:
        raise RuntimeError("; ".join(result["broken"]))
    return result


def once(off: bool, seed: int) -> dict:
    """Processor time an exchange in us, 99th percentile in ms; at rest, ms of it a second and node."""
    loaded, rest = play(LOADED, off, seed), play(AT_REST, off, seed)
    return {"cpu_us": loaded["cpu_s"] / loaded["runs"] * 1e6, "p99_ms": loaded["p99_ms"],
            "rest_ms": rest["cpu_s"] / AT_REST.nodes / AT_REST.length_s * 1000}  # fmt: skip


def compare(pairs: int, say) -> dict[str, tuple[Mean, float]]:
    """For each figure the difference with less without, and what it is without."""
    sides: tuple[dict, dict] = {}, {}
    for seed in range(pairs):
        for off in (seed % 2 == 0, seed % 2 == 1):
            sides[off][seed] = once(off, seed)
            say(f"pair {seed} {'without' if off else 'with'}: "
                + ", ".join(f"{key} {figure:.2f}" for key, figure in sides[off][seed].items()))  # fmt: skip
    found = {}
    for key in FIGURES:
        on, off = ({seed: one[key] for seed, one in side.items()} for side in sides)
        found[key] = paired(on, off), sum(off.values()) / len(off)
    return found


def words(nodes: int, seconds: int = 20) -> tuple[float, float]:
    """Bytes a second of the leader, and of each other node on the mean, without changes or faults."""
    fleet = ByteCountingReplicas(nodes, 5, 1, USUAL_BOUNDS)
    fleet.run(5 * USUAL_BOUNDS.lease)
    fleet.bytes.clear()
    fleet.run(fleet.at + seconds * 10_000)
    mine = fleet.bytes.pop(fleet.leader())
    return mine / seconds, sum(fleet.bytes.values()) / (nodes - 1) / seconds


def verdict_change_ms(verdicts: int = 4096, times: int = 20) -> float:
    """Processor time of one change of a set of so many verdicts, at each node, in ms."""
    many = {("ban", f"s-{i:08x}"): Verdict("ban", f"s-{i:08x}", who="n12", why="operator")
            for i in range(verdicts)}  # fmt: skip
    verdicts_now, began = VerdictSet(1, 1, many), time.process_time()
    for number in range(times):
        verdicts_now = verdicts_now.with_changes(1, [Verdict("ban", "s-0", number % 2 == 0)])
    return (time.process_time() - began) / times * 1000


class Nobody:
    """A host that does nothing."""

    def __getattr__(self, name: str):
        return lambda *what: None


def view_check_us(times: int = 200_000) -> float:
    """Microseconds that an exchange spends on asking whether its node's view still counts."""
    replica = Replica(
        Nobody(), "n0", ["n0", "n1", "n2"], ["n0", "n1", "n2"], USUAL_BOUNDS, Lcg(1), boot_time_now()
    )
    began = time.process_time()
    for _ in range(times):
        replica.may_forward_requests(boot_time_now())
    asked = time.process_time() - began
    began = time.process_time()
    for _ in range(times):
        pass
    return ASKED * (asked - (time.process_time() - began)) / times * 1e6
