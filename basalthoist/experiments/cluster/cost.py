"""Measures what a fleet costs its nodes: under load and at rest, with and without a fleet; in bytes."""

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
CHECKS_PER_REQUEST = 2  # the node checks its view when it accepts a request, and before it sends an attempt


def run_timeline(timeline: Timeline, without_fleet: bool, seed: int) -> dict:
    timeline = msgspec.structs.replace(timeline, seed=seed)
    with tempfile.TemporaryDirectory(prefix="rig-") as folder:
        result = asyncio.run(Rig(timeline, Path(folder), without_fleet=without_fleet).play())
    if result["broken"]:
        raise RuntimeError("; ".join(result["broken"]))
    return result


def measure(without_fleet: bool, seed: int) -> dict:
    """Returns processor time a request (us), 99th percentile of latency (ms), and processor time at rest.

    The last is in ms a second and node.
    """
    loaded, rest = run_timeline(LOADED, without_fleet, seed), run_timeline(AT_REST, without_fleet, seed)
    return {"cpu_us": loaded["cpu_s"] / loaded["runs"] * 1e6, "p99_ms": loaded["p99_ms"],
            "rest_ms": rest["cpu_s"] / AT_REST.nodes / AT_REST.length_s * 1000}  # fmt: skip


def compare(pairs: int, say) -> dict[str, tuple[Mean, float]]:
    """Returns for each figure the difference that a fleet makes, and the mean without a fleet."""
    results: tuple[dict, dict] = {}, {}
    for seed in range(pairs):
        for without_fleet in (seed % 2 == 0, seed % 2 == 1):
            results[without_fleet][seed] = measure(without_fleet, seed)
            say(f"pair {seed} {'without' if without_fleet else 'with'}: "
                + ", ".join(f"{key} {value:.2f}"
                            for key, value in results[without_fleet][seed].items()))  # fmt: skip
    differences = {}
    for key in FIGURES:
        with_fleet, without_fleet = ({seed: result[key] for seed, result in side.items()} for side in results)
        differences[key] = paired(with_fleet, without_fleet), sum(without_fleet.values()) / len(without_fleet)
    return differences


def bytes_per_s(nodes: int, seconds: int = 20) -> tuple[float, float]:
    """Returns the bytes a second of the leader and, as a mean, of the others, without changes or faults."""
    fleet = ByteCountingReplicas(nodes, 5, 1, USUAL_BOUNDS)
    fleet.run(5 * USUAL_BOUNDS.lease)
    fleet.bytes.clear()
    fleet.run(fleet.at + seconds * 10_000)
    mine = fleet.bytes.pop(fleet.leader())
    return mine / seconds, sum(fleet.bytes.values()) / (nodes - 1) / seconds


def verdict_change_ms(verdicts: int = 4096, times: int = 20) -> float:
    """Returns the processor time, in ms, that one change of a set of `verdicts` takes at each node."""
    many = {("ban", f"s-{i:08x}"): Verdict("ban", f"s-{i:08x}", who="n12", why="operator")
            for i in range(verdicts)}  # fmt: skip
    verdicts_now, started_s = VerdictSet(1, 1, many), time.process_time()
    for number in range(times):
        verdicts_now = verdicts_now.with_changes(1, [Verdict("ban", "s-0", number % 2 == 0)])
    return (time.process_time() - started_s) / times * 1000


class NullHost:
    """A host that does nothing."""

    def __getattr__(self, name: str):
        return lambda *arguments: None


def view_check_us(times: int = 200_000) -> float:
    """Returns the microseconds that a request spends on checking whether its node's view is confirmed."""
    replica = Replica(
        NullHost(), "n0", ["n0", "n1", "n2"], ["n0", "n1", "n2"], USUAL_BOUNDS, Lcg(1), boot_time_now()
    )
    started_s = time.process_time()
    for _ in range(times):
        replica.may_forward_requests(boot_time_now())
    checking_s = time.process_time() - started_s
    started_s = time.process_time()
    for _ in range(times):
        pass
    return CHECKS_PER_REQUEST * (checking_s - (time.process_time() - started_s)) / times * 1e6
