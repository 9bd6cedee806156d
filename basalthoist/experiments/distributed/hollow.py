"""A process with many hollow nodes: `python -m basalthoist.experiments.distributed.hollow`.

Each is the program's own `RelayLink` with its subscriber, connection and file; nothing is proxied, but
tenants are asked for as requests would. Orders are lines of JSON on standard input, one answer each on
standard output; where the input ends, so does the process, so that none outlives who started it.
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

SLOTS, SLOT = 10, SECOND // 100  # each node has its turn in one of ten, as its own timer would give it
EVERY_S = 0.05  # the tool's own lateness is looked at
NEW = 0.002  # part of looks that are for a tenant that has not come yet


class Hollow(RelayLink):
    def __init__(self, worker: "Worker", told: DistributionDocument, made: dict, folder: str) -> None:
        self.worker, self.name, self.region, self.made = worker, made["name"], told.region, made
        self.reached, self.stalled = None, False  # the latest version acted on
        self.rng = Random(made["name"])
        self.names = [f"t{self.rng.randrange(made['all']):06}" for _ in range(made["tenants"])]
        self.began_at, self.first_at, self.proven_at = time.monotonic(), 0.0, 0.0
        super().__init__(worker.loop, told, made["name"], folder, worker.timers, worker.log, worker.aside)

    def connect(self, address: str) -> None:
        self.stalled = False
        if not self.worker.reaches(self.region, address):
            self.stalled = True
            return self.close()  # nobody answers, and nothing says so
        super().connect(address)

    def send(self, message) -> None:
        if not self.stalled:
            super().send(message)

    def sever(self) -> None:
        """Whether its relay is within reach has changed."""
        stalled = not self.worker.reaches(self.region, self.subscriber.connection.address)
        if stalled != self.stalled and self.stream is not None and self.stream.transport is not None:
            self.stalled = stalled
            (self.stream.transport.pause_reading if stalled else self.stream.transport.resume_reading)()

    def apply_entries(self, entries, version: int) -> None:
        super().apply_entries(entries, version)
        if self.reached is not None:
            self.worker.reached(self.reached, version)
        else:
            self.first_at = time.monotonic()
        self.reached = version

    def look(self) -> None:
        if not self.proven_at and self.subscriber.may_forward_requests(boot_time_now()):
            self.proven_at = time.monotonic()

    def turn(self) -> None:
        self.tick()
        whose, all_there = self.rng, self.made["all"]
        name = f"t{whose.randrange(all_there):06}" if whose.random() < NEW else whose.choice(self.names)
        self.subscriber.tenants.look_up(boot_time_now(), name)


class Worker:
    def __init__(self, loop) -> None:
        self.loop, self.nodes, self.slot, self.lines = loop, {}, 0, 0
        self.timers, self.aside = Timers(loop, self.log), DiskWorker(loop)
        self.times: dict[int, array] = {}
        self.regions: dict[str, str] = {}  # of relays, by address
        self.cut, self.late, self.due = "", [], 0.0
        self.told, self.folder, self.empty_kb = {}, Path("."), 0
        self.turns: list[list[Hollow]] = [[] for _ in range(SLOTS)]
        self.timers.every(SLOT, self.turn)
        self.timers.every(SECOND, self.keep)
        self.watch()

    def log(self, line: str) -> None:
        self.lines += 1

    def watch(self) -> None:
        at = time.monotonic()
        if self.due:
            self.late.append(max(at - self.due, 0.0) * 1000)
        self.due = at + EVERY_S
        self.loop.call_later(EVERY_S, self.watch)

    def turn(self) -> None:
        self.slot = (self.slot + 1) % SLOTS
        for node in self.turns[self.slot]:
            node.turn()

    def keep(self) -> None:
        for node in self.nodes.values():
            node.save()

    def reaches(self, region: str, address: str) -> bool:
        return not self.cut or (self.regions.get(address, region) == self.cut) == (region == self.cut)

    def reached(self, before: int, version: int) -> None:
        at = time.monotonic()
        for number in range(before + 1, version + 1):
            self.times.setdefault(number, array("d")).append(at)

    # Orders.

    def start(self, order: dict) -> dict:
        self.told, self.folder, self.regions = order["told"], Path(order["folder"]), order["regions"]
        for made in order["nodes"]:
            self.begin_node(made)
        return {"held": len(self.nodes)}

    def begin_node(self, made: dict) -> None:
        own = {key: made[key] for key in ("region", "scopes", "seeds")}
        told = msgspec.convert(self.told | own, DistributionDocument)
        folder = self.folder / made["name"]
        folder.mkdir(parents=True, exist_ok=True)
        node = self.nodes[made["name"]] = Hollow(self, told, made, str(folder))
        min(self.turns, key=len).append(node)

    def stop(self, order: dict) -> dict:
        """At once, as by SIGKILL: nothing is said, the connection ends."""
        names = [name for name in order["names"] if name in self.nodes]
        for name in names:
            node = self.nodes.pop(name)
            for turn in self.turns:
                if node in turn:
                    turn.remove(node)
            node.close()
        return {"stopped": names}

    def again(self, order: dict) -> dict:
        """Stopped ones begin another life; with nothing, a torn file, or one of a time before."""
        for made in order["nodes"]:
            path = self.folder / made["name"] / "distribution.msgpack"
            if order["file"] == "nothing":
                path.unlink(missing_ok=True)
            elif order["file"] == "torn" and path.exists():
                data = path.read_bytes()
                path.write_bytes(data[: len(data) // 2])
            elif order["file"] == "reverted" and path.with_suffix(".old").exists():
                path.write_bytes(path.with_suffix(".old").read_bytes())
            self.begin_node(made)
        return {}

    def copy(self, order: dict) -> dict:
        """Of some nodes' files, to be put back later."""
        for name in order["names"]:
            path = self.folder / name / "distribution.msgpack"
            if path.exists():
                path.with_suffix(".old").write_bytes(path.read_bytes())
        return {}

    def sever(self, order: dict) -> dict:
        self.cut = order["region"]
        for node in self.nodes.values():
            node.sever()
        return {}

    def since(self, order: dict) -> dict:
        """Since they began: when each of these had its entries, and when it could act on them, in seconds."""
        nodes = [self.nodes[name] for name in order["names"] if name in self.nodes]
        return {"first": [node.first_at - node.began_at for node in nodes if node.first_at],
                "able": [node.proven_at - node.began_at for node in nodes if node.proven_at],
                "in": [node.traffic()[0] for node in nodes]}  # fmt: skip

    def freeze(self, order: dict) -> dict:
        """What stands by now is no work for the collector: a real node's process holds one node's objects."""
        gc.collect()
        gc.freeze()
        self.empty_kb = memory_kb()
        return {"memory_kb": self.empty_kb}

    def begin(self, order: dict) -> dict:
        self.late.clear()
        self.times.clear()
        return self.read(order)

    def read(self, order: dict) -> dict:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        late = sorted(self.late) or [0.0]
        traffic = [node.traffic() for node in self.nodes.values()]
        return {"at": time.monotonic(), "cpu_s": usage.ru_utime + usage.ru_stime, "memory_kb": memory_kb(),
                "late_p99_ms": late[int(0.99 * (len(late) - 1))], "late_most_ms": late[-1],
                "in": [came for came, _ in traffic], "out": [went for _, went in traffic],
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
        """When each version was acted on, node by node."""
        return {"times": {number: list(found) for number, found in self.times.items()}}

    def obey(self, line: bytes) -> bytes:
        order = json.loads(line)
        try:
            said = getattr(self, order["do"])(order)
        except Exception as wrong:
            said = {"wrong": repr(wrong)}
        return json.dumps(said).encode() + b"\n"


def memory_kb() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * (os.sysconf("SC_PAGESIZE") // 1024)


async def run() -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 27)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    worker = Worker(loop)
    while line := await reader.readline():
        sys.stdout.buffer.write(worker.obey(line))
        sys.stdout.buffer.flush()


def main() -> None:
    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())
        sys.stdout.flush()
        os._exit(0)  # hundreds of nodes, none of which has anything to part with


if __name__ == "__main__":
    main()
