"""A process with many hollow nodes: `python -m basalthoist.experiments.scale.hollow`.

A hollow node is the complete `Service` of a node with its own file, sockets, timers, log and folder, but it
receives no requests. Orders are lines of JSON on standard input, each answered by a line on standard output.
The process ends with its input, so it does not outlive its parent.

A role is a class with `start(order)`, `figures()` and `close()`; other layers add their classes to `ROLES`.
"""

import asyncio
import gc
import json
import os
import sys
import time

from basalthoist.configuration import ConfigurationError, load, load_fleet
from basalthoist.net.runtime.timers import boot_time_now
from basalthoist.net.service import Service

from . import counting
from .lateness import Lateness

MAX_STARTS_PER_TURN = 20  # nodes started before the event loop runs again


class HollowNode:
    """A node that differs from a real one only in that its process reads a fleet file once for all nodes."""

    fleet_documents: dict = {}

    def __init__(self, loop) -> None:
        self.loop, self.service, self.task = loop, None, None

    def start(self, order: dict) -> None:
        environment = {"PROXY_CONFIG": order["file"], "TMPDIR": os.path.dirname(order["file"])}
        configuration, fleet_document = load(environment), None
        if path := order.get("fleet"):
            if path not in self.fleet_documents:
                self.fleet_documents[path] = load_fleet(configuration, environment | {"PROXY_FLEET": path})
            fleet_document = self.fleet_documents[path]
        self.service = Service(configuration, self.loop, fleet=fleet_document)
        self.task = self.loop.create_task(self.service.serve())

    def figures(self) -> dict:
        found, fleet = {"ready": self.service.front_end.ready}, self.service.fleet
        if fleet is not None:
            found |= {"acting": fleet.replica.sets.applied.version, "there": len(fleet.members.present()) + 1,
                      "fresh": fleet.replica.is_fresh(boot_time_now())}  # fmt: skip
        return found

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()


ROLES = {"node": HollowNode}


def minimum_of(figures: list[dict]) -> dict:
    """Returns the number of nodes of this process and the minimum of each figure over them."""
    keys = {key for node_figures in figures for key in node_figures}
    return {"count": len(figures)} | {key: min(one.get(key, 0) for one in figures) for key in sorted(keys)}


class Worker:
    def __init__(self, loop) -> None:
        self.loop, self.nodes, self.ended = loop, [], loop.create_future()
        self.lateness = Lateness(loop)
        self.text = b""

    async def start(self, order: dict) -> dict:
        role = ROLES[order.get("role", "node")]
        for number, node_order in enumerate(order["nodes"]):
            node = role(self.loop)
            node.start(node_order)
            self.nodes.append(node)
            if number % MAX_STARTS_PER_TURN == MAX_STARTS_PER_TURN - 1:
                await asyncio.sleep(0)
        return {"held": len(self.nodes)}

    async def begin(self, order: dict) -> dict:
        """Starts the measurement and returns the figures. Freezes all objects first: a garbage
        collection over hundreds of nodes would block this process for longer than one in a real node does.
        """
        gc.collect()
        gc.freeze()
        counting.reset_counts()
        self.lateness.begin()
        return await self.read(order)

    async def read(self, order: dict) -> dict:
        pid = os.getpid()
        return {"at": time.monotonic(), "cpu_s": counting.cpu_s(pid), "memory_mb": counting.memory_mb(pid),
                "late_p99_ms": self.lateness.p99_ms(), "dropped": counting.dropped_here(),
                "words": counting.message_counts() if order.get("words") else {},
                "least": minimum_of([node.figures() for node in self.nodes])}  # fmt: skip

    async def look(self, order: dict) -> dict:
        return minimum_of([node.figures() for node in self.nodes])

    async def end(self, order: dict) -> dict:
        for node in self.nodes:
            node.close()
        return {}

    async def execute(self, line: bytes) -> None:
        order = json.loads(line)
        try:
            reply = await getattr(self, order["do"])(order)
        except (ConfigurationError, OSError, ValueError) as error:
            reply = {"wrong": f"{type(error).__name__}: {error}"}
        sys.stdout.write(json.dumps(reply) + "\n")
        sys.stdout.flush()
        if order["do"] == "end" and not self.ended.done():
            self.ended.set_result(None)


async def run() -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 26)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    worker = Worker(loop)
    while not worker.ended.done():
        line = await reader.readline()
        if not line:
            break
        await worker.execute(line)


def main() -> None:
    import uvloop

    counting.install()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.get_loop().run_until_complete(run())
        sys.stdout.flush()
        os._exit(0)  # skips the graceful shutdown of hundreds of nodes without clients


if __name__ == "__main__":
    main()
