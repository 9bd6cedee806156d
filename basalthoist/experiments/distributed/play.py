"""One run: distributes a catalogue to nodes, makes changes and injects faults. Stores the raw results."""

import asyncio
import json
import signal
import tempfile
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from random import Random

import msgspec

from basalthoist.configuration import DistributionDocument
from basalthoist.net.control.distribution import RelayLink
from basalthoist.net.runtime.disk_worker import DiskWorker
from basalthoist.net.runtime.timers import SECOND, Timers

from . import sizes
from .processes import Processes, RelayMachine, RunFailed, usage
from .real import Pair, difference
from .sizes import FLEET, Size

TIMES = {"touch_s": 1.0, "fresh_s": 2.5, "silent_s": 2.0, "stale_s": 4.0, "batch_s": 0.1}
MAX_LATENESS_MS = 100.0  # of the tool itself, 99th percentile of a phase: a fortieth of the allowed 4 s
HISTORY_BYTES = 8 * 1024 * 1024
SAMPLE_INTERVAL_S, VIEW_POLL_INTERVAL_S = 0.5, 0.25
OPERATOR_COUNT = 6


class Operator(RelayLink):
    """The admin interface of a node: subscribes to no scope and forwards calls."""

    def __init__(self, loop, number: int, seeds: list[str], timers: Timers) -> None:
        settings = msgspec.convert(
            TIMES | {"fleet": FLEET, "seeds": seeds, "region": sizes.region_of(number)}, DistributionDocument
        )
        super().__init__(
            loop, settings, f"operator-{number}", "", timers, lambda line: None, DiskWorker(loop)
        )
        timers.every(SECOND // 10, self.tick)

    async def change(self, entries: list) -> tuple[float, float, str]:
        """Returns the time of the call, the time of the answer, and its text."""
        started_at, answered = time.monotonic(), asyncio.get_running_loop().create_future()
        self.call(entries, lambda text: answered.done() or answered.set_result(text))
        text = await answered
        return started_at, time.monotonic(), text


class Run:
    def __init__(self, size: Size, seed: int, say: Callable[[str], None], times: dict) -> None:
        self.size, self.seed, self.say, self.rng, self.times = size, seed, say, Random(seed), times
        self.samples, self.looks, self.phases, self.events, self.calls = [], [], [], [], []
        self.result = {"size": size._asdict(), "seed": seed, "times": times}
        self.number, self.started_at, self.lateness_ms = 0, 0.0, []
        self.stopped: list[dict] = []  # nodes that do not run

    def elapsed_s(self) -> float:
        return time.monotonic() - self.started_at

    def record_event(self, what: str, **more) -> None:
        self.events.append({"at": self.elapsed_s(), "what": what} | more)
        self.say(
            f"{self.elapsed_s():7.1f} {what} " + " ".join(f"{key} {value}" for key, value in more.items())
        )

    # Measurements during the phases.

    async def sample(self) -> None:
        """Samples processor time, memory and traffic of the machines, which costs each an admin call."""
        while True:
            due = time.monotonic() + SAMPLE_INTERVAL_S
            answers = await asyncio.gather(*(m.request("config-here", 0.4) for m in self.processes.machines))
            for machine, text in zip(self.processes.machines, answers, strict=True):
                try:
                    cpu, memory = usage(machine.process.pid)
                except (OSError, IndexError):
                    continue
                words = text.replace(",", "").split()
                more = {}
                if words[:1] == ["SUCCESS"] and "sessions" in words:
                    more = {"version": int(words[2]), "sessions": int(words[words.index("sessions") - 1]),
                            "in": int(words[-5]), "out": int(words[-2])}  # fmt: skip
                row = {"at": self.elapsed_s(), "name": machine.name, "cpu_s": cpu, "memory_kb": memory}
                self.samples.append(row | more)
            await asyncio.sleep(max(due - time.monotonic(), 0.0))

    async def sample_lateness(self) -> None:
        """Samples the lateness of this process."""
        while True:
            due = time.monotonic() + 0.05
            await asyncio.sleep(0.05)
            self.lateness_ms.append((time.monotonic() - due) * 1000)

    async def look(self, **more) -> dict:
        found = await self.processes.request_all("look", **more)
        total = {key: sum(one[key] for one in found) for key in ("nodes", "fresh", "able", "at_least")}
        total |= {"least": min(one["least"] for one in found if one["nodes"]) if total["nodes"] else -1,
                  "oldest_s": max(one["oldest_s"] for one in found)}  # fmt: skip
        self.looks.append({"at": self.elapsed_s()} | total)
        return total

    async def wait_until_fresh(self, seconds: float, version: int = 0, **more) -> tuple[float, dict]:
        """Waits until all nodes have a fresh view of that version or later.

        Returns the seconds, and the oldest view and the most nodes standing by meanwhile.
        """
        started_at, most, stood_by = time.monotonic(), 0.0, 0
        while time.monotonic() - started_at < seconds:
            seen = await self.look(version=version, **more)
            most, stood_by = max(most, seen["oldest_s"]), max(stood_by, seen["nodes"] - seen["able"])
            if seen["fresh"] == seen["nodes"] == seen["at_least"]:
                return time.monotonic() - started_at, {"oldest_s": round(most, 2), "stood_by": stood_by}
            await asyncio.sleep(VIEW_POLL_INTERVAL_S)
        raise RunFailed(f"not all nodes fresh at version {version} within {seconds:.0f} s: {seen}")

    # Calls.

    def operator(self) -> Operator:
        able = [operator for operator in self.operators if operator.subscriber.connection.is_established]
        if not able:
            raise RunFailed("no operator is connected to a relay")
        return self.rng.choice(able)

    async def change(self, entries: list | None = None) -> dict:
        if entries is None:
            self.number += 1
            entries = [sizes.change(self.number, self.size, self.rng)]
        started_at, answered, text = await self.operator().change(entries)
        words = text.split()
        # A change that was only proposed may take effect or not, so its version is not waited for.
        has_version = "version" in words and "proposed" not in text
        version = int(words[words.index("version") + 1]) if has_version else -1
        found = {"at": started_at - self.started_at, "for": answered - started_at, "said": text[:160],
                 "version": version, "called": started_at}  # fmt: skip
        self.calls.append(found)
        return found

    async def changes(self, per_s: float, seconds: float, tolerant: bool = False) -> list[dict]:
        """Makes changes at random times, on average `per_s`, without waiting for the one before."""
        tasks, begun, due = [], time.monotonic(), time.monotonic()
        while (due := due + self.rng.expovariate(per_s)) < begun + seconds:
            await asyncio.sleep(max(due - time.monotonic(), 0.0))
            tasks.append(asyncio.create_task(self.change()))
        found = await asyncio.gather(*tasks, return_exceptions=tolerant)
        return [result for result in found if isinstance(result, dict)]

    # Phases.

    async def play(self, parts: list[str], folder: Path, limit_s: float) -> dict:
        loop = asyncio.get_running_loop()
        self.started_at, self.timers = time.monotonic(), Timers(loop, lambda line: None)
        self.processes = Processes(self.size, folder, self.times)
        relays = {m.name: (m.address, m.region) for m in self.processes.machines}
        entries = sizes.catalogue(self.size, relays, self.rng)
        self.processes.write_initial_state(entries, HISTORY_BYTES)
        self.result["entries"] = len(entries)
        del entries
        self.record_event("catalogue on the machines' disks", entries=self.result["entries"])
        started = time.monotonic()
        async with self.processes:
            background = [loop.create_task(self.sample_lateness())]
            try:
                async with asyncio.timeout(limit_s):
                    await self.start(started)
                    background.append(loop.create_task(self.sample()))
                    for part in parts:
                        await self.phase(part, getattr(self, part))
            except (RunFailed, TimeoutError) as error:
                self.result["failed"] = str(error) or f"not done in {limit_s:g} s"
                self.record_event("failed", why=self.result["failed"])
            finally:
                for task in background:
                    task.cancel()
                logs = [line for m in self.processes.machines for line in (m.folder / "log").open()]
                self.result["wrong_lines"] = [line.strip() for line in logs if "failed:" in line][:20]
                for operator in self.operators:
                    operator.close()
        keys = ("samples", "looks", "phases", "events", "calls")
        return self.result | {key: getattr(self, key) for key in keys}

    operators: list[Operator] = []

    async def phase(self, name: str, act) -> None:
        self.lateness_ms.clear()
        self.measured: list[float] = []
        before = await self.processes.request_all("begin")
        started_at, first = self.elapsed_s(), len(self.calls)
        found = await act() or {}
        after = await self.processes.request_all("read")
        late = sorted(self.measured or self.lateness_ms)
        own = late[int(0.99 * (len(late) - 1))] if late else 0.0
        worst = max([own, *(one["late_p99_ms"] for one in after)])
        phase = {"name": name, "began": started_at, "ended": self.elapsed_s(), "late_p99_ms": worst,
                 "first_call": first,
                 "void": f"{worst:.0f} ms late at p99" if worst > MAX_LATENESS_MS else ""}  # fmt: skip
        phase["nodes"] = [self.worker_usage(old, new) for old, new in zip(before, after, strict=True)]
        self.phases.append(phase | found)
        shown = {key: value for key, value in found.items() if not isinstance(value, list)}
        self.record_event(name, late_ms=round(worst, 1), **shown)

    def worker_usage(self, old: dict, new: dict) -> dict:
        """Returns the usage of a worker: cores a node, and bytes a second of each node."""
        seconds, same = new["at"] - old["at"], len(old["in"]) == len(new["in"])
        count = max(len(new["in"]), 1)
        pairs = {way: zip(old[way], new[way], strict=True) if same else () for way in ("in", "out")}
        rates = {way: [round((b - a) / seconds) for a, b in both] for way, both in pairs.items()}
        return {"count": count, "core": (new["cpu_s"] - old["cpu_s"]) / seconds / count, **rates,
                "memory_kb": new["memory_kb"], "entries": new["entries"], "tenants": new["tenants"],
                "late_most_ms": new["late_most_ms"]}  # fmt: skip

    async def start(self, started: float) -> None:
        size, processes, loop = self.size, self.processes, asyncio.get_running_loop()
        leader = await processes.leader(60.0)
        self.result["control_start_s"] = time.monotonic() - started
        self.record_event("author", name=leader.name, seconds=round(time.monotonic() - started, 1))
        seeds = {region: [m.address for m in processes.machines if m.region == region]
                 or [m.address for m in processes.machines] for region in sizes.REGIONS}  # fmt: skip
        self.operators = [Operator(loop, number, seeds[sizes.region_of(number)], self.timers)
                          for number in range(OPERATOR_COUNT)]  # fmt: skip
        while not all(one.subscriber.connection.is_established for one in self.operators):
            await asyncio.sleep(0.1)
            if time.monotonic() - started > 90:
                raise RunFailed("operators are not connected to relays after 90 s")
        answer = {"said": "", "version": -1}
        while answer["version"] < 2:  # the catalogue on disk is version 1
            if answer["version"] == 1 or time.monotonic() - started > 90:
                raise RunFailed(f"the catalogue on disk is not in force: {answer['said']}")
            try:
                answer = await self.change()
            except RunFailed:
                await asyncio.sleep(0.5)
        self.record_event("first change", seconds=round(answer["for"], 2), said=answer["said"])
        empty = await processes.request_all("freeze")
        self.specs = [sizes.node(number, size, seeds, self.rng) | {"all": size.tenants}
                     for number in range(size.nodes)]  # fmt: skip
        started_at = time.monotonic()
        regions = {machine.address: machine.region for machine in processes.machines}
        steps, settings = 10, self.times | {"fleet": FLEET}
        for step in range(steps):  # a tenth at a time, as a start of many nodes at once is a phase of its own
            orders = []
            for number, worker in enumerate(processes.workers):
                mine = self.specs[number :: len(processes.workers)][step::steps]
                folder = str(processes.folder / "nodes")
                orders.append(
                    worker.request("start", nodes=mine, told=settings, folder=folder, regions=regions)
                )
            await asyncio.gather(*orders)
            await asyncio.sleep(0.5)
        await self.wait_until_fresh(60)
        self.result["joined_s"] = time.monotonic() - started_at
        self.record_event("all nodes fresh", seconds=round(time.monotonic() - started_at, 1))
        await asyncio.sleep(3.0)
        loaded = await processes.request_all("freeze")
        counts = [max(len(self.specs[number :: size.workers]), 1) for number in range(size.workers)]
        self.result["node_kb"] = [(new["memory_kb"] - old["memory_kb"]) / count
                                  for old, new, count in zip(empty, loaded, counts, strict=True)]  # fmt: skip

    async def idle(self) -> dict:
        """Makes no changes, and measures a real node with a subscription and one without."""
        pair = Pair(self.processes.folder / "real", self.specs[0], self.times)
        try:
            await pair.start()
            await asyncio.sleep(3.0)
            old, started_at = pair.read(), time.monotonic()
            await asyncio.sleep(12.0)
            return difference(old, pair.read(), time.monotonic() - started_at)
        finally:
            await pair.stop()

    async def in_force(self, calls: list[dict]) -> dict:
        """Returns the seconds from a call until nodes act on its version: median, 99th percentile, last."""
        await self.wait_until_fresh(20, max(call["version"] for call in calls))
        self.measured = list(self.lateness_ms)  # without the lateness that the evaluation below causes
        times = await self.processes.request_all("in_force")
        nodes, rows, answers = self.size.nodes - len(self.stopped), [], []
        for call in calls:
            times_s = sorted(
                when for worker in times for when in worker["times"].get(str(call["version"]), ())
            )
            if call["version"] < 0 or len(times_s) < nodes:
                rows.append({"version": call["version"], "nodes": len(times_s), "said": call["said"]})
                continue
            after = [when - call["called"] for when in times_s]
            rows.append({"version": call["version"], "p50": after[len(after) // 2], "last": after[-1],
                         "p99": after[int(0.99 * (len(after) - 1))], "success": call["for"]})  # fmt: skip
            answers += after
        answers.sort()
        complete = [row for row in rows if "last" in row]
        summary = {"p50_s": answers[len(answers) // 2], "p99_s": answers[int(0.99 * (len(answers) - 1))],
                   "last_s": answers[-1]} if answers else {}  # fmt: skip
        successes = sorted(row["success"] for row in complete)
        summary |= (
            {"success_p50_s": successes[len(successes) // 2], "success_last_s": successes[-1]}
            if successes
            else {}
        )
        return {"changes": len(calls), "not_everywhere": len(rows) - len(complete),
                **{k: round(v, 3) for k, v in summary.items()}, "rows": rows}  # fmt: skip

    async def singles(self) -> dict:
        """Makes changes at 25 times the rate of a day."""
        return await self.in_force(await self.changes(2.0, 40.0))

    async def burst(self) -> dict:
        return await self.in_force(await self.changes(50.0, 10.0))

    # Faults. Each phase measures until calls succeed again and all nodes are fresh.

    async def measure_recovery(self, started_at: float, seconds: float = 6.0) -> dict:
        """Makes four changes a second after a fault that started at `started_at`.

        Returns when calls succeeded again, how late changes came into force at the last node, and for how
        long after the fault some node's view was not fresh. Raises RunFailed if no call succeeds.
        """
        calls = asyncio.create_task(self.changes(4.0, seconds, tolerant=True))
        watching, not_fresh_s = asyncio.create_task(self.watch_views(seconds)), 0.0
        while not (calls.done() and watching.done()):
            await asyncio.sleep(VIEW_POLL_INTERVAL_S)
            if self.looks[-1]["fresh"] < self.looks[-1]["nodes"]:
                not_fresh_s = time.monotonic() - started_at
        found, seen = calls.result(), watching.result()
        succeeded = [
            call["called"] + call["for"] - started_at for call in found if call["said"][:7] == "SUCCESS"
        ]
        if not succeeded:
            raise RunFailed(f"no call succeeds within {seconds:.0f} s after the fault")
        force = await self.in_force([call for call in found if call["version"] >= 0])
        return {"changes": len(found), "succeeded": len(succeeded),
                "first_success_s": round(min(succeeded), 2),
                "not_everywhere": force["not_everywhere"], "in_force_p50_s": force.get("p50_s"),
                "in_force_p99_s": force.get("p99_s"), "in_force_last_s": force.get("last_s"),
                "not_fresh_for_s": round(not_fresh_s, 2)} | seen  # fmt: skip

    async def watch_views(self, seconds: float) -> dict:
        """Returns the oldest view and the most nodes standing by within `seconds`."""
        until, oldest, stood_by = time.monotonic() + seconds, 0.0, 0
        while time.monotonic() < until:
            seen = await self.look()
            oldest, stood_by = max(oldest, seen["oldest_s"]), max(stood_by, seen["nodes"] - seen["able"])
            await asyncio.sleep(VIEW_POLL_INTERVAL_S)
        return {"oldest_s": round(oldest, 2), "stood_by": stood_by}

    async def busiest_relay(self) -> RelayMachine:
        """Returns the machine with the most sessions, if possible of those that neither lead nor vote."""
        leader, sessions = await self.processes.leader(), {}
        for row in self.samples[-2 * self.size.machines :]:
            sessions[row["name"]] = row.get("sessions", 0)
        machines = [m for m in self.processes.machines if m is not leader]
        others = [m for m in machines if m not in self.processes.voters]
        return max(others or machines, key=lambda machine: sessions.get(machine.name, 0))

    async def relay_killed(self) -> dict:
        machine, started_at = await self.busiest_relay(), time.monotonic()
        machine.kill()
        found = await self.measure_recovery(started_at)
        machine.start()
        return found | {"machine": machine.name}

    async def relay_frozen(self) -> dict:
        machine, started_at = await self.busiest_relay(), time.monotonic()
        machine.signal(signal.SIGSTOP)
        try:
            found = await self.measure_recovery(started_at)
            await asyncio.sleep(max(8.0 - (time.monotonic() - started_at), 0.0))
        finally:
            machine.signal(signal.SIGCONT)
        resumed_at = time.monotonic()
        after_resume = await self.measure_recovery(resumed_at)
        resumed = {
            key: after_resume[key] for key in ("in_force_last_s", "not_fresh_for_s", "oldest_s", "stood_by")
        }
        return found | {"machine": machine.name} | {f"woken_{key}": value for key, value in resumed.items()}

    async def three_killed(self) -> dict:
        leader = await self.processes.leader()
        voters, relay = self.processes.voters, await self.busiest_relay()
        if len(voters) < 5:
            raise RunFailed(f"killing two voters needs five for a majority, got {len(voters)}")
        killed = [leader, next(m for m in voters if m is not leader), relay]
        started_at = time.monotonic()
        for machine in killed:
            machine.kill()
        found = await self.measure_recovery(started_at, 8.0)
        new = await self.processes.leader(excluded=tuple(killed))
        for machine in killed:
            machine.start()
        await self.wait_until_fresh(30)
        return found | {"author_before": leader.name, "author_after": new.name}

    async def region_cut(self) -> dict:
        """Partitions a region from all others, and makes the changes of an hour meanwhile."""
        leader = await self.processes.leader()
        region = next(r for r in reversed(sizes.REGIONS) if r != leader.region)
        inside = [m for m in self.processes.machines if m.region == region]
        started_at, first = time.monotonic(), await self.change()
        for machine in inside:
            machine.signal(signal.SIGUSR1)
        await self.processes.request_all("sever", region=region)
        self.operators, all_operators = [o for o in self.operators if o.subscriber.connection.address
                                not in {m.address for m in inside}], self.operators  # fmt: skip
        watching = asyncio.create_task(self.watch_views(30.0))
        hour = await self.changes(292 / 25.0, 25.0)
        seen = await watching
        outside = await self.look(version=max(call["version"] for call in hour))
        healed_at = time.monotonic()
        for machine in inside:
            machine.signal(signal.SIGUSR2)
        await self.processes.request_all("sever", region="")
        self.operators = all_operators
        found = await self.measure_recovery(healed_at)
        success_s = sorted(c["for"] for c in hour if c["said"].startswith("SUCCESS"))
        after = {f"back_{key}": value for key, value in found.items()}
        return after | {"region": region, "cut_s": round(healed_at - started_at, 1),
                        "stood_by": seen["stood_by"],
                        "oldest_s": seen["oldest_s"], "hour_changes": len(hour), "succeeded": len(success_s),
                        "success_p50_s": round(success_s[len(success_s) // 2], 2) if success_s else -1.0,
                        "acting_outside": outside["at_least"], "before": first["version"]}  # fmt: skip

    async def stop_nodes(self, specs: list[dict]) -> None:
        names = [spec["name"] for spec in specs]
        await self.processes.request_all("stop", names=names)

    async def start_nodes(self, specs: list[dict], file: str) -> dict:
        """Starts stopped nodes. Returns the seconds to confirmed views, and kilobytes received."""
        started_at = time.monotonic()
        workers = self.processes.workers
        for number, worker in enumerate(workers):
            mine = [spec for spec in specs if int(spec["name"][1:]) % len(workers) == number]
            await worker.request("again", nodes=mine, file=file)
        await self.wait_until_fresh(60)
        names = [spec["name"] for spec in specs]
        answers = await self.processes.request_all("since", names=names)
        able, received = (sorted(v for worker in answers for v in worker[key]) for key in ("able", "in"))
        if len(able) < len(specs):
            raise RunFailed(f"{len(specs) - len(able)} of {len(specs)} nodes have no view")
        return {"count": len(specs),
                "able_p50_s": round(able[len(able) // 2], 2), "able_last_s": round(able[-1], 2),
                "kb_p50": round(received[len(received) // 2] / 1e3, 1),
                "kb_most": round(received[-1] / 1e3, 1),
                "all_s": round(time.monotonic() - started_at, 2)}  # fmt: skip

    async def zone_started(self) -> dict:
        specs = self.rng.sample(self.specs, min(300, self.size.nodes // 2))
        await self.stop_nodes(specs)
        await asyncio.sleep(3.0)
        return await self.start_nodes(specs, "nothing")

    async def files(self) -> dict:
        """Restarts twenty nodes with torn files and twenty with files of an earlier version."""
        specs = self.rng.sample(self.specs, min(40, self.size.nodes // 2))
        torn, reverted = specs[::2], specs[1::2]
        await self.processes.request_all("copy", names=[spec["name"] for spec in reverted])
        await self.changes(10.0, 5.0)
        await asyncio.sleep(2.0)
        await self.stop_nodes(specs)
        of_torn = await self.start_nodes(torn, "torn")
        of_reverted = await self.start_nodes(reverted, "reverted")
        return {f"torn_{k}": v for k, v in of_torn.items()} | {
            f"reverted_{k}": v for k, v in of_reverted.items()
        }

    async def behind(self) -> dict:
        """Restarts twenty nodes that missed a thousand versions, and measures the other nodes meanwhile."""
        specs = self.rng.sample(self.specs, min(20, self.size.nodes // 2))
        before = (await self.look())["least"]
        await self.stop_nodes(specs)
        self.stopped = specs
        last = 0
        until = time.monotonic() + 160.0
        while last - before < 1_000 and time.monotonic() < until:
            entries = [sizes.change(n, self.size, self.rng) for n in range(10)]
            for entry in entries:  # a version each, as they come more than a batch interval apart
                asyncio.get_running_loop().create_task(self.change_if_connected(entry))
                await asyncio.sleep(self.times["batch_s"] + 0.005)
            last = (await self.look())["least"]
        self.stopped = []
        await self.wait_until_fresh(20)
        missed = (await self.look())["least"] - before
        background = asyncio.create_task(self.changes(2.0, 6.0))
        found = await self.start_nodes(specs, "as it is")
        force = await self.in_force(await background)
        return found | {"missed": missed, "beside_p99_s": force.get("p99_s"),
                        "beside_last_s": force.get("last_s")}  # fmt: skip

    async def change_if_connected(self, entry) -> None:
        with suppress(RunFailed):  # no operator is connected to a relay
            await self.change([entry])


PARTS = {"steady": ["idle", "singles", "burst"],
         "faults": ["relay_killed", "relay_frozen", "three_killed", "region_cut", "zone_started", "files"],
         "behind": ["behind"]}  # fmt: skip


def run_part(size: Size, part: str, seed: int, into: Path, say: Callable, limit_s: float) -> dict:
    """Runs a part and stores its raw result, also where the part was not completed in time."""
    import uvloop

    async def play() -> dict:
        with tempfile.TemporaryDirectory(prefix="distributed-") as folder:
            # For a thousand versions in a minute: changes within 0.1 s would be batched into one version.
            times = TIMES | ({"batch_s": 0.05} if part == "behind" else {})
            return await Run(size, seed, say, times).play(PARTS[part], Path(folder), limit_s)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        result = runner.run(play()) | {"part": part, "when": time.strftime("%Y-%m-%dT%H:%M:%S")}
    into.mkdir(parents=True, exist_ok=True)
    path = into / f"{part}-{size.nodes}-{result['when'].replace(':', '')}.json"
    path.write_text(json.dumps(result))
    return result
