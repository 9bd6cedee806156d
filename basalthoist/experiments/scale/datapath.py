"""Layer: one node under load on loopback, with its clients and backends in separate processes."""

import asyncio
import json
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import NamedTuple

from . import files, sizes
from .bench import Bench, RunFailed
from .load import WARM_UP_S
from .parts import split_requests, summary
from .rows import Row
from .sizes import Ask, part_of

NAME = "path"
ABOUT = "latency added to a request, part by part, and processor time of a node for each request"
DURATION_S, WORK_MS, BACKENDS = 12.0, 12.0, 48
RATE_FACTORS = (1, 3, 6)  # multiples of the mean rate of a node


class Run(NamedTuple):
    rate: float
    share: float  # percentage of all routes and tenants that is in the node's file
    probes: bool
    traced: bool
    backends: int = BACKENDS
    seconds: float = DURATION_S

    def tail(self) -> str:
        parts = [f"{self.share:g}% of the catalogue", "probes" if self.probes else "no probes"]
        parts += [f"{self.backends} backends"] if self.backends != BACKENDS else []
        return ", ".join(parts) + ("" if self.traced else ", untraced")


async def start_helper(module_and_more: list[str], log: Path):
    with log.open("wb") as file:
        return await asyncio.create_subprocess_exec(
            sys.executable, "-m", *module_and_more, stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE, stderr=file, limit=1 << 28,
        )  # fmt: skip


def sockets(pid: int) -> int:
    found = 0
    for link in Path(f"/proc/{pid}/fd").iterdir():
        try:
            found += str(link.readlink()).startswith("socket:")
        except OSError:
            continue
    return found


async def play(run: Run, bench: Bench) -> list[Row]:
    load, processes = f"{__package__}.load", []
    catalogue = files.Catalogue(
        part_of(sizes.ROUTES, run.share), part_of(sizes.TENANTS, run.share), run.backends
    )
    try:
        backends = await start_helper(
            [load, "backends", str(run.backends), str(WORK_MS)], bench.folder / "b.log"
        )
        processes.append(backends)
        addresses = json.loads(await backends.stdout.readline())
        members = [files.member(n, address) for n, address in enumerate(addresses)]
        _, discovery = await bench.agent(members)
        document = files.document("n00000", catalogue, discovery, sizes.NODES, 0, members, probes=run.probes)
        real, trace = bench.real(document), bench.folder / "trace.json"
        await real.start(f"{__package__}.traced" if run.traced else "basalthoist", SCALE_TRACE=str(trace))
        await real.ready()
        await asyncio.sleep(1.5)
        idle = real.read()
        await asyncio.sleep(2.0)
        settled = real.read()
        idle_core = (settled["cpu_s"] - idle["cpu_s"]) / (settled["at"] - idle["at"])
        clients = await start_helper(
            [load, "clients", document["listen"], str(run.rate), str(run.seconds), str(catalogue.routes),
             str(catalogue.tenants), "1"], bench.folder / "c.log")  # fmt: skip
        processes.append(clients)
        await asyncio.sleep(WARM_UP_S)
        before = real.read()
        await asyncio.sleep(run.seconds - WARM_UP_S - 1.0)
        after, connections = real.read(), sockets(real.process.pid)
        line = await asyncio.wait_for(clients.stdout.readline(), 30)
        if not line:
            raise RunFailed((bench.folder / "c.log").read_text()[-300:])
        client_report = json.loads(line)
        real.process.terminate()
        await asyncio.wait_for(real.process.wait(), 30)
        found = json.loads(trace.read_text()) if run.traced else None
    except (TimeoutError, ValueError, OSError) as error:
        raise RunFailed(f"{type(error).__name__}: {error}") from None
    finally:
        for process in processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
    return rows(run, client_report, idle_core, before, after, connections, found)


def rows(
    run: Run, client_report: dict, idle_core: float, before: dict, after: dict, connections: int, trace
) -> list[Row]:
    made: list[Row] = []

    def row(figure: str, value: float, unit: str, counted=False, **more) -> None:
        made.append(Row(NAME, f"{figure}; {run.tail()}", run.rate, value, "exchanges a second", unit, counted,
                        client_report["void"], more=more))  # fmt: skip

    answered = [one for one in client_report["found"] if one[0] == 200]
    times = sorted((received - sent) / 1e6 for _, sent, received in answered)
    row("exchanges that count", len(client_report["found"]), "", answered=len(answered))
    row("not answered with 200", len(client_report["found"]) - len(answered), "")
    row("the clients' lateness, 99th percentile", client_report["late_ms"], "ms")
    for name, fraction in (("median", 0.5), ("99th percentile", 0.99)):
        row(f"whole time at the client, {name}", times[int(len(times) * fraction)] if times else 0.0, "ms")
    span_s = after["at"] - before["at"]
    cpu_s = after["cpu_s"] - before["cpu_s"]
    row("part of a core", cpu_s / span_s, "core", still=idle_core)
    row("processor time an exchange, beyond a node's that nobody asks",
        (cpu_s - idle_core * span_s) / (run.rate * span_s) * 1e6, "us")  # fmt: skip
    row("memory", after["memory_mb"], "MB")
    row("sockets open", connections, "", True)
    if trace is not None:
        added = split_requests(trace, client_report["found"])
        row("exchanges taken apart", len(added), "")
        for name, value in summary(added).items():
            row(name, value, "ms")
        rounds = [(end - begin) / 1e6 for begin, end in trace["rounds"]]
        row("a once-a-second round, mean", sum(rounds) / max(len(rounds), 1), "ms")
        row("a once-a-second round, longest", max(rounds, default=0.0), "ms")
        for generation in (0, 1, 2):
            pauses_ms = [(end - begin) / 1e6 for begin, end, of in trace["pauses"] if of == generation]
            figure_name = f"collections of generation {generation}, longest"
            row(figure_name, max(pauses_ms, default=0.0), "ms", times=len(pauses_ms))
    return made


def runs(ask: Ask) -> list[Run]:
    mean, low, high = round(sizes.NODE_REQUESTS_S), ask.shares[0], ask.shares[-1]
    if ask.quick:
        return [Run(mean / 2, low, False, True, 12, WARM_UP_S + 3.0)]
    found = [Run(mean * times, low, False, True) for times in RATE_FACTORS]
    found += [Run(mean * times, low, False, False) for times in RATE_FACTORS[:1]]
    found += [Run(mean, share, False, True) for share in ask.shares[1:]]
    return [*found, Run(mean, low, True, True), Run(mean, low, False, True, 400)] if high > low else found


async def measure(ask: Ask, folder: Path, say) -> AsyncIterator[list[Row]]:
    for number, run in enumerate(runs(ask)):
        try:
            async with Bench(folder / str(number)) as bench:
                found = await play(run, bench)
        except RunFailed as error:
            void = Row(NAME, f"run; {run.tail()}", run.rate, 0.0, "exchanges a second", "", void=str(error))
            found = [void]
        yield found
        say(f"{run.rate:g} a second, {run.tail()}: done")
