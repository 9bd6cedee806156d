"""A process with many hollow nodes: `python -m basalthoist.experiments.distributed.hollow`.

Each hollow node runs the program's own `RelayLink` with its subscriber, connection and file. No request is
proxied, but tenants are looked up as requests would. Orders are lines of JSON on standard input, with one
answer each on standard output. The process exits at the end of its input, so that it does not outlive the
process that started it.
"""

import asyncio
import gc
import json
import os
import resource
import sys
import time
from array import array
from pathlib import Path
from random import Random

import msgspec

from basalthoist.configuration import DistributionDocument
from basalthoist.net.control.distribution import RelayLink
from basalthoist.net.runtime.disk_worker import DiskWorker
from basalthoist.net.runtime.timers import SECOND, Timers, boot_time_now

# Each node ticks in one of ten slots, every 100 ms as with a timer of its own.
SLOTS, SLOT_INTERVAL = 10, SECOND // 100
LATENESS_SAMPLE_INTERVAL_S = 0.05
NEW_TENANT_RATIO = 0.002  # of lookups: for any tenant, most likely new to the node


class HollowNode(RelayLink):
    def __init__(self, worker: "Worker", document: DistributionDocument, spec: dict, folder: str) -> None:
        self.worker, self.name, self.region, self.spec = worker, spec["name"], document.region, spec
        self.acted_version, self.is_cut_off = None, False
        self.rng = Random(spec["name"])
        self.names = [f"t{self.rng.randrange(spec['all']):06}" for _ in range(spec["tenants"])]
        self.started_at, self.first_entries_at, self.confirmed_at = time.monotonic(), 0.0, 0.0
        super().__init__(
            worker.loop, document, spec["name"], folder, worker.timers, worker.log, worker.disk_worker
        )

    def connect(self, address: str) -> None:
        self.is_cut_off = False
        if not self.worker.can_reach(self.region, address):
            self.is_cut_off = True
            return self.close()  # as for an address that does not answer
        super().connect(address)

    def send(self, message) -> None:
        if not self.is_cut_off:
            super().send(message)

    def sever(self) -> None:
        """Stops or resumes reading, where the partition has changed whether the relay can be reached."""
        is_cut_off = not self.worker.can_reach(self.region, self.subscriber.connection.address)
        if is_cut_off != self.is_cut_off and self.stream is not None and self.stream.transport is not None:
            self.is_cut_off = is_cut_off
            (self.stream.transport.pause_reading if is_cut_off else self.stream.transport.resume_reading)()

    def apply_entries(self, entries, version: int) -> None:
        super().apply_entries(entries, version)
        if self.acted_version is not None:
            self.worker.record_versions(self.acted_version, version)
        else:
            self.first_entries_at = time.monotonic()
        self.acted_version = version

    def on_view_checked(self) -> None:
        if not self.confirmed_at and self.subscriber.may_forward_requests(boot_time_now()):
            self.confirmed_at = time.monotonic()

    def run_slot(self) -> None:
        self.tick()
        rng, count = self.rng, self.spec["all"]
        name = f"t{rng.randrange(count):06}" if rng.random() < NEW_TENANT_RATIO else rng.choice(self.names)
        self.subscriber.tenants.look_up(boot_time_now(), name)


class Worker:
    def __init__(self, loop) -> None:
        self.loop, self.nodes, self.slot_index, self.lines = loop, {}, 0, 0
        self.timers, self.disk_worker = Timers(loop, self.log), DiskWorker(loop)
        self.times: dict[int, array] = {}
        self.regions: dict[str, str] = {}  # region by relay address
        self.cut_region, self.lateness_ms, self.due = "", [], 0.0
        self.document, self.folder, self.empty_kb = {}, Path("."), 0
        self.slots: list[list[HollowNode]] = [[] for _ in range(SLOTS)]
        self.timers.every(SLOT_INTERVAL, self.run_slot)
        self.timers.every(SECOND, self.save_all)
        self.sample_lateness()

    def log(self, line: str) -> None:
        self.lines += 1

    def sample_lateness(self) -> None:
        at = time.monotonic()
        if self.due:
            self.lateness_ms.append(max(at - self.due, 0.0) * 1000)
        self.due = at + LATENESS_SAMPLE_INTERVAL_S
        self.loop.call_later(LATENESS_SAMPLE_INTERVAL_S, self.sample_lateness)

    def run_slot(self) -> None:
        self.slot_index = (self.slot_index + 1) % SLOTS
        for node in self.slots[self.slot_index]:
            node.run_slot()

    def save_all(self) -> None:
        for node in self.nodes.values():
            node.save()

    def can_reach(self, region: str, address: str) -> bool:
        return not self.cut_region or (self.regions.get(address, region) == self.cut_region) == (
            region == self.cut_region
        )

    def record_versions(self, before: int, version: int) -> None:
        at = time.monotonic()
        for number in range(before + 1, version + 1):
            self.times.setdefault(number, array("d")).append(at)

    # Orders: the methods named by `do`.

    def start(self, order: dict) -> dict:
        self.document, self.folder, self.regions = order["told"], Path(order["folder"]), order["regions"]
        for spec in order["nodes"]:
            self.start_node(spec)
        return {"held": len(self.nodes)}

    def start_node(self, spec: dict) -> None:
        own = {key: spec[key] for key in ("region", "scopes", "seeds")}
        document = msgspec.convert(self.document | own, DistributionDocument)
        folder = self.folder / spec["name"]
        folder.mkdir(parents=True, exist_ok=True)
        node = self.nodes[spec["name"]] = HollowNode(self, document, spec, str(folder))
        min(self.slots, key=len).append(node)

    def stop(self, order: dict) -> dict:
        """Stops nodes as SIGKILL would: without a message, the connection is closed."""
        names = [name for name in order["names"] if name in self.nodes]
        for name in names:
            node = self.nodes.pop(name)
            for slot in self.slots:
                if node in slot:
                    slot.remove(node)
            node.close()
        return {"stopped": names}

    def again(self, order: dict) -> dict:
        """Starts stopped nodes again: without a file, with a torn or an earlier one, or with their own."""
        for spec in order["nodes"]:
            path = self.folder / spec["name"] / "distribution.msgpack"
            if order["file"] == "nothing":
                path.unlink(missing_ok=True)
            elif order["file"] == "torn" and path.exists():
                data = path.read_bytes()
                path.write_bytes(data[: len(data) // 2])
            elif order["file"] == "reverted" and path.with_suffix(".old").exists():
                path.write_bytes(path.with_suffix(".old").read_bytes())
            self.start_node(spec)
        return {}

    def copy(self, order: dict) -> dict:
        """Copies the files of some nodes, for `again` to restore."""
        for name in order["names"]:
            path = self.folder / name / "distribution.msgpack"
            if path.exists():
                path.with_suffix(".old").write_bytes(path.read_bytes())
        return {}

    def sever(self, order: dict) -> dict:
        self.cut_region = order["region"]
        for node in self.nodes.values():
            node.sever()
        return {}

    def since(self, order: dict) -> dict:
        """Returns the seconds from the start of each node to its first entries and to a confirmed view."""
        nodes = [self.nodes[name] for name in order["names"] if name in self.nodes]
        return {"first": [node.first_entries_at - node.started_at for node in nodes if node.first_entries_at],
                "able": [node.confirmed_at - node.started_at for node in nodes if node.confirmed_at],
                "in": [node.traffic()[0] for node in nodes]}  # fmt: skip

    def freeze(self, order: dict) -> dict:
        """Excludes present objects from garbage collection: a real process holds those of one node only."""
        gc.collect()
        gc.freeze()
        self.empty_kb = memory_kb()
        return {"memory_kb": self.empty_kb}

    def begin(self, order: dict) -> dict:
        self.lateness_ms.clear()
        self.times.clear()
        return self.read(order)

    def read(self, order: dict) -> dict:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        lateness_ms = sorted(self.lateness_ms) or [0.0]
        traffic = [node.traffic() for node in self.nodes.values()]
        return {"at": time.monotonic(), "cpu_s": usage.ru_utime + usage.ru_stime, "memory_kb": memory_kb(),
                "late_p99_ms": lateness_ms[int(0.99 * (len(lateness_ms) - 1))],
                "late_most_ms": lateness_ms[-1],
                "in": [received for received, _ in traffic], "out": [sent for _, sent in traffic],
                "entries": [len(n.subscriber.catalogue.entries) for n in self.nodes.values()],
                "tenants": [len(n.subscriber.tenants.cached) for n in self.nodes.values()]}  # fmt: skip

    def look(self, order: dict) -> dict:
        now = boot_time_now()
        region = order.get("region")
        subs = [n.subscriber for n in self.nodes.values() if region is None or n.region == region]
        ages = [sub.age(now) for sub in subs]
        fresh = sum(age <= sub.bounds.fresh for age, sub in zip(ages, subs, strict=True))
        return {"nodes": len(subs), "fresh": fresh,
                "able": sum(sub.may_forward_requests(now) for sub in subs),
                "least": min((sub.acting_version for sub in subs), default=-1),
                "at_least": sum(sub.acting_version >= order.get("version", 0) for sub in subs),
                "oldest_s": min(max(ages, default=0) / SECOND, 1e6)}  # fmt: skip

    def in_force(self, order: dict) -> dict:
        """Returns for each version the times at which nodes acted on it."""
        return {"times": {number: list(times) for number, times in self.times.items()}}

    def execute(self, line: bytes) -> bytes:
        order = json.loads(line)
        try:
            answer = getattr(self, order["do"])(order)
        except Exception as error:
            answer = {"wrong": repr(error)}
        return json.dumps(answer).encode() + b"\n"


def memory_kb() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * (os.sysconf("SC_PAGESIZE") // 1024)


async def run() -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 27)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    worker = Worker(loop)
    while line := await reader.readline():
        sys.stdout.buffer.write(worker.execute(line))
        sys.stdout.buffer.flush()


def main() -> None:
    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())
        sys.stdout.flush()
        os._exit(0)  # skips the teardown of hundreds of nodes, which have nothing to clean up


if __name__ == "__main__":
    main()
