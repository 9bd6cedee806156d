"""One run: the catalogue is told, nodes come, changes go out, faults befall control. Raw figures are kept."""

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
from .processes import Machine, Processes, RunFailed, usage
from .real import Pair, difference
from .sizes import FLEET, Size

TIMES = {"touch_s": 1.0, "fresh_s": 2.5, "silent_s": 2.0, "stale_s": 4.0, "batch_s": 0.1}
MOST_LATE_MS = 100.0  # the tool's own, at the 99th percentile of a phase: a fortieth of the 4 s
HISTORY = 8 * 1024 * 1024
SAMPLE_S, LOOK_S = 0.5, 0.25
OPERATORS = 6


class Operator(RelayLink):
    """A node's door: it subscribes to nothing and passes calls on."""

    def __init__(self, loop, number: int, seeds: list[str], timers: Timers) -> None:
        told = msgspec.convert(
            TIMES | {"fleet": FLEET, "seeds": seeds, "region": sizes.region_of(number)}, DistributionDocument
        )
        super().__init__(loop, told, f"operator-{number}", "", timers, lambda line: None, DiskWorker(loop))
        timers.every(SECOND // 10, self.tick)

    async def change(self, entries: list) -> tuple[float, float, str]:
        """When it was called, when it was answered, and what."""
        began, answered = time.monotonic(), asyncio.get_running_loop().create_future()
        self.call(entries, lambda text: answered.done() or answered.set_result(text))
        said = await answered
        return began, time.monotonic(), said


class Run:
    def __init__(self, size: Size, seed: int, say: Callable[[str], None], times: dict) -> None:
        self.size, self.seed, self.say, self.rng, self.times = size, seed, say, Random(seed), times
        self.samples, self.looks, self.phases, self.events, self.calls = [], [], [], [], []
        self.result = {"size": size._asdict(), "seed": seed, "times": times}
        self.number, self.began, self.lates = 0, 0.0, []
        self.stopped: list[dict] = []  # nodes that are kept out

    def at(self) -> float:
        return time.monotonic() - self.began

    def note(self, what: str, **more) -> None:
        self.events.append({"at": self.at(), "what": what} | more)
        self.say(f"{self.at():7.1f} {what} " + " ".join(f"{key} {value}" for key, value in more.items()))

    # What goes on beside.

    async def sample(self) -> None:
        """What machines spend; what they say of themselves costs each a call at its door."""
        while True:
            due = time.monotonic() + SAMPLE_S
            said = await asyncio.gather(*(m.ask("config-here", 0.4) for m in self.processes.machines))
            for machine, text in zip(self.processes.machines, said, strict=True):
                try:
                    cpu, memory = usage(machine.process.pid)
                except (OSError, IndexError):
                    continue
                words = text.replace(",", "").split()
                more = {}
                if words[:1] == ["SUCCESS"] and "sessions" in words:
                    more = {"version": int(words[2]), "sessions": int(words[words.index("sessions") - 1]),
                            "in": int(words[-5]), "out": int(words[-2])}  # fmt: skip
                row = {"at": self.at(), "name": machine.name, "cpu_s": cpu, "memory_kb": memory}
                self.samples.append(row | more)
            await asyncio.sleep(max(due - time.monotonic(), 0.0))

    async def watch(self) -> None:
        """The driver's own lateness."""
        while True:
            due = time.monotonic() + 0.05
            await asyncio.sleep(0.05)
            self.lates.append((time.monotonic() - due) * 1000)

    async def look(self, **more) -> dict:
        found = await self.processes.everywhere("look", **more)
        total = {key: sum(one[key] for one in found) for key in ("nodes", "fresh", "able", "at_least")}
        total |= {"least": min(one["least"] for one in found if one["nodes"]) if total["nodes"] else -1,
                  "oldest_s": max(one["oldest_s"] for one in found)}  # fmt: skip
        self.looks.append({"at": self.at()} | total)
        return total

    async def until_fresh(self, seconds: float, version: int = 0, **more) -> tuple[float, dict]:
        """When all nodes have a fresh view of that version or later."""
        began, most, stood_by = time.monotonic(), 0.0, 0
        while time.monotonic() - began < seconds:
            seen = await self.look(version=version, **more)
            most, stood_by = max(most, seen["oldest_s"]), max(stood_by, seen["nodes"] - seen["able"])
            if seen["fresh"] == seen["nodes"] == seen["at_least"]:
                return time.monotonic() - began, {"oldest_s": round(most, 2), "stood_by": stood_by}
            await asyncio.sleep(LOOK_S)
        raise RunFailed(f"not all nodes fresh at version {version} within {seconds:.0f} s: {seen}")

    # Calls.

    def operator(self) -> Operator:
        able = [one for one in self.operators if one.subscriber.connection.is_established]
        if not able:
            raise RunFailed("no operator has a relay")
        return self.rng.choice(able)

    async def change(self, entries: list | None = None) -> dict:
        if entries is None:
            self.number += 1
            entries = [sizes.change(self.number, self.size, self.rng)]
        began, answered, said = await self.operator().change(entries)
        words = said.split()
        # One that was proposed may count or not: it is not waited for.
        counted = "version" in words and "proposed" not in said
        version = int(words[words.index("version") + 1]) if counted else -1
        found = {"at": began - self.began, "for": answered - began, "said": said[:160], "version": version,
                 "called": began}  # fmt: skip
        self.calls.append(found)
        return found

    async def changes(self, per_s: float, seconds: float, tolerant: bool = False) -> list[dict]:
        """By rng, so many a second at the mean; each on its own."""
        tasks, begun, due = [], time.monotonic(), time.monotonic()
        while (due := due + self.rng.expovariate(per_s)) < begun + seconds:
            await asyncio.sleep(max(due - time.monotonic(), 0.0))
            tasks.append(asyncio.create_task(self.change()))
        found = await asyncio.gather(*tasks, return_exceptions=tolerant)
        return [one for one in found if isinstance(one, dict)]

    # The parts.

    async def play(self, parts: list[str], folder: Path, limit_s: float) -> dict:
        loop = asyncio.get_running_loop()
        self.began, self.timers = time.monotonic(), Timers(loop, lambda line: None)
        self.processes = Processes(self.size, folder, self.times)
        relays = {m.name: (m.address, m.region) for m in self.processes.machines}
        entries = sizes.catalogue(self.size, relays, self.rng)
        self.processes.seed(entries, HISTORY)
        self.result["entries"] = len(entries)
        del entries
        self.note("catalogue on the machines' disks", entries=self.result["entries"])
        started = time.monotonic()
        async with self.processes:
            beside = [loop.create_task(self.watch())]
            try:
                async with asyncio.timeout(limit_s):
                    await self.begin(started)
                    beside.append(loop.create_task(self.sample()))
                    for part in parts:
                        await self.phase(part, getattr(self, part))
            except (RunFailed, TimeoutError) as wrong:
                self.result["failed"] = str(wrong) or f"not done in {limit_s:g} s"
                self.note("failed", why=self.result["failed"])
            finally:
                for task in beside:
                    task.cancel()
                logs = [line for m in self.processes.machines for line in (m.folder / "log").open()]
                self.result["wrong_lines"] = [line.strip() for line in logs if "failed:" in line][:20]
                for operator in self.operators:
                    operator.close()
        keys = ("samples", "looks", "phases", "events", "calls")
        return self.result | {key: getattr(self, key) for key in keys}

    operators: list[Operator] = []

    async def phase(self, name: str, act) -> None:
        self.lates.clear()
        self.measured: list[float] = []
        before = await self.processes.everywhere("begin")
        began, first = self.at(), len(self.calls)
        found = await act() or {}
        after = await self.processes.everywhere("read")
        late = sorted(self.measured or self.lates)
        own = late[int(0.99 * (len(late) - 1))] if late else 0.0
        worst = max([own, *(one["late_p99_ms"] for one in after)])
        phase = {"name": name, "began": began, "ended": self.at(), "late_p99_ms": worst, "first_call": first,
                 "void": f"{worst:.0f} ms late at p99" if worst > MOST_LATE_MS else ""}  # fmt: skip
        phase["nodes"] = [self.spent(old, new) for old, new in zip(before, after, strict=True)]
        self.phases.append(phase | found)
        shown = {key: value for key, value in found.items() if not isinstance(value, list)}
        self.note(name, late_ms=round(worst, 1), **shown)

    def spent(self, old: dict, new: dict) -> dict:
        """Of a worker's nodes, by the second: shares of a core, bytes."""
        seconds, same = new["at"] - old["at"], len(old["in"]) == len(new["in"])
        count = max(len(new["in"]), 1)
        pairs = {way: zip(old[way], new[way], strict=True) if same else () for way in ("in", "out")}
        rates = {way: [round((b - a) / seconds) for a, b in both] for way, both in pairs.items()}
        return {"count": count, "core": (new["cpu_s"] - old["cpu_s"]) / seconds / count, **rates,
                "memory_kb": new["memory_kb"], "entries": new["entries"], "tenants": new["tenants"],
                "late_most_ms": new["late_most_ms"]}  # fmt: skip

    async def begin(self, started: float) -> None:
        size, processes, loop = self.size, self.processes, asyncio.get_running_loop()
        author = await processes.author(60.0)
        self.result["control_start_s"] = time.monotonic() - started
        self.note("author", name=author.name, seconds=round(time.monotonic() - started, 1))
        seeds = {region: [m.address for m in processes.machines if m.region == region]
                 or [m.address for m in processes.machines] for region in sizes.REGIONS}  # fmt: skip
        self.operators = [Operator(loop, number, seeds[sizes.region_of(number)], self.timers)
                          for number in range(OPERATORS)]  # fmt: skip
        while not all(one.subscriber.connection.is_established for one in self.operators):
            await asyncio.sleep(0.1)
            if time.monotonic() - started > 90:
                raise RunFailed("operators find no relay")
        said = {"said": "", "version": -1}
        while said["version"] < 2:  # the one that was on disk is 1
            if said["version"] == 1 or time.monotonic() - started > 90:
                raise RunFailed(f"what is on disk does not count: {said['said']}")
            try:
                said = await self.change()
            except RunFailed:
                await asyncio.sleep(0.5)
        self.note("first change", seconds=round(said["for"], 2), said=said["said"])
        empty = await processes.everywhere("freeze")
        self.made = [sizes.node(number, size, seeds, self.rng) | {"all": size.tenants}
                     for number in range(size.nodes)]  # fmt: skip
        began = time.monotonic()
        regions = {machine.address: machine.region for machine in processes.machines}
        steps, told = 10, self.times | {"fleet": FLEET}
        for step in range(steps):  # a tenth at a time: all at once is a phase of its own
            orders = []
            for number, worker in enumerate(processes.workers):
                mine = self.made[number :: len(processes.workers)][step::steps]
                folder = str(processes.folder / "nodes")
                orders.append(worker.ask("start", nodes=mine, told=told, folder=folder, regions=regions))
            await asyncio.gather(*orders)
            await asyncio.sleep(0.5)
        await self.until_fresh(60)
        self.result["joined_s"] = time.monotonic() - began
        self.note("all nodes fresh", seconds=round(time.monotonic() - began, 1))
        await asyncio.sleep(3.0)
        held = await processes.everywhere("freeze")
        counts = [max(len(self.made[number :: size.workers]), 1) for number in range(size.workers)]
        self.result["node_kb"] = [(new["memory_kb"] - old["memory_kb"]) / count
                                  for old, new, count in zip(empty, held, counts, strict=True)]  # fmt: skip

    async def idle(self) -> dict:
        """Nothing changes. A real node beside them, and one that is told nothing."""
        pair = Pair(self.processes.folder / "real", self.made[0], self.times)
        try:
            await pair.start()
            await asyncio.sleep(3.0)
            old, began = pair.read(), time.monotonic()
            await asyncio.sleep(12.0)
            return difference(old, pair.read(), time.monotonic() - began)
        finally:
            await pair.end()

    async def in_force(self, calls: list[dict]) -> dict:
        """From the call on, until a node acts: the median node, the 99th percentile, the last."""
        await self.until_fresh(20, max(call["version"] for call in calls))
        self.measured = list(self.lates)  # what comes now is reckoning
        told = await self.processes.everywhere("in_force")
        nodes, rows, answers = self.size.nodes - len(self.stopped), [], []
        for call in calls:
            whens = sorted(w for one in told for w in one["times"].get(str(call["version"]), ()))
            if call["version"] < 0 or len(whens) < nodes:
                rows.append({"version": call["version"], "nodes": len(whens), "said": call["said"]})
                continue
            after = [when - call["called"] for when in whens]
            rows.append({"version": call["version"], "p50": after[len(after) // 2], "last": after[-1],
                         "p99": after[int(0.99 * (len(after) - 1))], "success": call["for"]})  # fmt: skip
            answers += after
        answers.sort()
        whole = [row for row in rows if "last" in row]
        of = {"p50_s": answers[len(answers) // 2], "p99_s": answers[int(0.99 * (len(answers) - 1))],
              "last_s": answers[-1]} if answers else {}  # fmt: skip
        said = sorted(row["success"] for row in whole)
        of |= {"success_p50_s": said[len(said) // 2], "success_last_s": said[-1]} if said else {}
        return {"changes": len(calls), "not_everywhere": len(rows) - len(whole),
                **{k: round(v, 3) for k, v in of.items()}, "rows": rows}  # fmt: skip

    async def singles(self) -> dict:
        """A day's rate, 25 times as fast."""
        return await self.in_force(await self.changes(2.0, 40.0))

    async def burst(self) -> dict:
        return await self.in_force(await self.changes(50.0, 10.0))

    # Faults. Each: until calls are answered again, and until all nodes are fresh.

    async def recovered(self, began: float, seconds: float = 6.0) -> dict:
        """Changes go on, four a second. When calls succeeded again, how late changes came into force at the
        last node, and how long after the fault a node's view was not fresh yet."""
        calls = asyncio.create_task(self.changes(4.0, seconds, tolerant=True))
        watching, unfresh = asyncio.create_task(self.lookout(seconds)), 0.0
        while not (calls.done() and watching.done()):
            await asyncio.sleep(LOOK_S)
            if self.looks[-1]["fresh"] < self.looks[-1]["nodes"]:
                unfresh = time.monotonic() - began
        found, seen = calls.result(), watching.result()
        succeeded = [call["called"] + call["for"] - began for call in found if call["said"][:7] == "SUCCESS"]
        if not succeeded:
            raise RunFailed(f"no call succeeds within {seconds:.0f} s after the fault")
        force = await self.in_force([call for call in found if call["version"] >= 0])
        return {"changes": len(found), "succeeded": len(succeeded),
                "first_success_s": round(min(succeeded), 2),
                "not_everywhere": force["not_everywhere"], "in_force_p50_s": force.get("p50_s"),
                "in_force_p99_s": force.get("p99_s"), "in_force_last_s": force.get("last_s"),
                "not_fresh_for_s": round(unfresh, 2)} | seen  # fmt: skip

    async def lookout(self, seconds: float) -> dict:
        """The oldest view and the most nodes that stood by, meanwhile."""
        until, oldest, stood_by = time.monotonic() + seconds, 0.0, 0
        while time.monotonic() < until:
            seen = await self.look()
            oldest, stood_by = max(oldest, seen["oldest_s"]), max(stood_by, seen["nodes"] - seen["able"])
            await asyncio.sleep(LOOK_S)
        return {"oldest_s": round(oldest, 2), "stood_by": stood_by}

    async def relays_of(self) -> Machine:
        """Of those that neither lead nor vote, the one with the most nodes."""
        author, sessions = await self.processes.author(), {}
        for row in self.samples[-2 * self.size.machines :]:
            sessions[row["name"]] = row.get("sessions", 0)
        machines = [m for m in self.processes.machines if m is not author]
        others = [m for m in machines if m not in self.processes.voters]
        return max(others or machines, key=lambda machine: sessions.get(machine.name, 0))

    async def relay_killed(self) -> dict:
        machine, began = await self.relays_of(), time.monotonic()
        machine.kill()
        found = await self.recovered(began)
        machine.begin()
        return found | {"machine": machine.name}

    async def relay_frozen(self) -> dict:
        machine, began = await self.relays_of(), time.monotonic()
        machine.signal(signal.SIGSTOP)
        try:
            found = await self.recovered(began)
            await asyncio.sleep(max(8.0 - (time.monotonic() - began), 0.0))
        finally:
            machine.signal(signal.SIGCONT)
        woken = time.monotonic()
        again = await self.recovered(woken)
        woke = {key: again[key] for key in ("in_force_last_s", "not_fresh_for_s", "oldest_s", "stood_by")}
        return found | {"machine": machine.name} | {f"woken_{key}": value for key, value in woke.items()}

    async def three_killed(self) -> dict:
        author = await self.processes.author()
        voters, relay = self.processes.voters, await self.relays_of()
        if len(voters) < 5:
            raise RunFailed("without five voters no majority is left when two are killed")
        gone = [author, next(m for m in voters if m is not author), relay]
        began = time.monotonic()
        for machine in gone:
            machine.kill()
        found = await self.recovered(began, 8.0)
        new = await self.processes.author(never=tuple(gone))
        for machine in gone:
            machine.begin()
        await self.until_fresh(30)
        return found | {"author_before": author.name, "author_after": new.name}

    async def region_cut(self) -> dict:
        """Its machines and nodes reach nobody elsewhere; meanwhile an hour's changes are made."""
        author = await self.processes.author()
        region = next(r for r in reversed(sizes.REGIONS) if r != author.region)
        inside = [m for m in self.processes.machines if m.region == region]
        began, first = time.monotonic(), await self.change()
        for machine in inside:
            machine.signal(signal.SIGUSR1)
        await self.processes.everywhere("sever", region=region)
        self.operators, kept = [o for o in self.operators if o.subscriber.connection.address
                                not in {m.address for m in inside}], self.operators  # fmt: skip
        watching = asyncio.create_task(self.lookout(30.0))
        hour = await self.changes(292 / 25.0, 25.0)
        seen = await watching
        outside = await self.look(version=max(call["version"] for call in hour))
        back = time.monotonic()
        for machine in inside:
            machine.signal(signal.SIGUSR2)
        await self.processes.everywhere("sever", region="")
        self.operators = kept
        found = await self.recovered(back)
        kept_s = sorted(c["for"] for c in hour if c["said"].startswith("SUCCESS"))
        after = {f"back_{key}": value for key, value in found.items()}
        return after | {"region": region, "cut_s": round(back - began, 1), "stood_by": seen["stood_by"],
                        "oldest_s": seen["oldest_s"], "hour_changes": len(hour), "succeeded": len(kept_s),
                        "success_p50_s": round(kept_s[len(kept_s) // 2], 2) if kept_s else -1.0,
                        "acting_outside": outside["at_least"], "before": first["version"]}  # fmt: skip

    async def take_out(self, made: list[dict]) -> None:
        names = [one["name"] for one in made]
        await self.processes.everywhere("stop", names=names)

    async def put_back(self, made: list[dict], file: str) -> dict:
        """How long each took from its start to entries, and to a confirmed view; bytes it was sent for it."""
        began = time.monotonic()
        workers = self.processes.workers
        for number, worker in enumerate(workers):
            mine = [one for one in made if int(one["name"][1:]) % len(workers) == number]
            await worker.ask("again", nodes=mine, file=file)
        await self.until_fresh(60)
        names = [one["name"] for one in made]
        told = await self.processes.everywhere("since", names=names)
        able, came = (sorted(v for one in told for v in one[key]) for key in ("able", "in"))
        if len(able) < len(made):
            raise RunFailed(f"{len(made) - len(able)} of {len(made)} nodes have no view")
        return {"count": len(made),
                "able_p50_s": round(able[len(able) // 2], 2), "able_last_s": round(able[-1], 2),
                "kb_p50": round(came[len(came) // 2] / 1e3, 1), "kb_most": round(came[-1] / 1e3, 1),
                "all_s": round(time.monotonic() - began, 2)}  # fmt: skip

    async def zone_started(self) -> dict:
        made = self.rng.sample(self.made, min(300, self.size.nodes // 2))
        await self.take_out(made)
        await asyncio.sleep(3.0)
        return await self.put_back(made, "nothing")

    async def files(self) -> dict:
        """Twenty with torn files and twenty with files of a time before."""
        made = self.rng.sample(self.made, min(40, self.size.nodes // 2))
        torn, reverted = made[::2], made[1::2]
        await self.processes.everywhere("copy", names=[one["name"] for one in reverted])
        await self.changes(10.0, 5.0)
        await asyncio.sleep(2.0)
        await self.take_out(made)
        one = await self.put_back(torn, "torn")
        other = await self.put_back(reverted, "reverted")
        return {f"torn_{k}": v for k, v in one.items()} | {f"reverted_{k}": v for k, v in other.items()}

    async def behind(self) -> dict:
        """Twenty nodes miss a thousand versions, of which the rest takes no notice when they come back."""
        made = self.rng.sample(self.made, min(20, self.size.nodes // 2))
        before = (await self.look())["least"]
        await self.take_out(made)
        self.stopped = made
        last = 0
        until = time.monotonic() + 160.0
        while last - before < 1_000 and time.monotonic() < until:
            entries = [sizes.change(n, self.size, self.rng) for n in range(10)]
            for entry in entries:  # each a version of its own
                asyncio.get_running_loop().create_task(self.quietly(entry))
                await asyncio.sleep(self.times["batch_s"] + 0.005)
            last = (await self.look())["least"]
        self.stopped = []
        await self.until_fresh(20)
        missed = (await self.look())["least"] - before
        beside = asyncio.create_task(self.changes(2.0, 6.0))
        found = await self.put_back(made, "as it is")
        force = await self.in_force(await beside)
        return found | {"missed": missed, "beside_p99_s": force.get("p99_s"),
                        "beside_last_s": force.get("last_s")}  # fmt: skip

    async def quietly(self, entry) -> None:
        with suppress(RunFailed):  # no operator has a relay just now
            await self.change([entry])


PARTS = {"steady": ["idle", "singles", "burst"],
         "faults": ["relay_killed", "relay_frozen", "three_killed", "region_cut", "zone_started", "files"],
         "behind": ["behind"]}  # fmt: skip


def carry_out(size: Size, part: str, seed: int, into: Path, say: Callable, limit_s: float) -> dict:
    """Plays a part and keeps its raw result, also of what was not done in time."""
    import uvloop

    async def play() -> dict:
        with tempfile.TemporaryDirectory(prefix="distributed-") as folder:
            # A thousand versions in a minute: what comes within a tenth of a second would be one.
            times = TIMES | ({"batch_s": 0.05} if part == "behind" else {})
            return await Run(size, seed, say, times).play(PARTS[part], Path(folder), limit_s)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        result = runner.run(play()) | {"part": part, "when": time.strftime("%Y-%m-%dT%H:%M:%S")}
    into.mkdir(parents=True, exist_ok=True)
    path = into / f"{part}-{size.nodes}-{result['when'].replace(':', '')}.json"
    path.write_text(json.dumps(result))
    return result
