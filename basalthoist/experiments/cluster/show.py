"""The timeline that `python -m basalthoist fleet` runs: a fleet on loopback, bans, a cut and a freeze."""

import asyncio
import re
import tempfile
from pathlib import Path

from .rig import Rig
from .timeline import Ban, Event, Timeline

ACTS = re.compile(r"(n\d+): fleet: acts on version (\d+)")
VIEW_CHANGE = re.compile(r"(n\d+): (view (?:stale|confirmed), version \d+.*|author .*)")

DEMO_TIMELINE = Timeline(
    name="shown", length_s=17.0,
    bans=[Ban(1.5, 0), Ban(4.5, 1, 2), Ban(10.5, 2, 1), Ban(14.0, 0, 3, False)],
    events=[Event("cut", 3.5, 4.0, [4]), Event("freeze", 9.5, 3.0, ["author"])],
)  # fmt: skip


class Watcher:
    """Prints changes of views from the nodes' logs. The checks do not use logs."""

    def __init__(self, rig: Rig, say) -> None:
        self.rig, self.say, self.positions = rig, say, {}

    async def watch(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            for node in self.rig.nodes:
                if node.incarnation:
                    self.read_new_lines(node)

    def read_new_lines(self, node) -> None:
        key, data = (node.number, node.incarnation), node.log.read_text(errors="replace")
        for line in data[self.positions.get(key, 0) :].splitlines():
            if found := ACTS.match(line):
                self.say(f"{self.rig.elapsed_s():6.2f}   {found[1]} acts on version {found[2]}")
            elif found := VIEW_CHANGE.match(line):
                self.say(f"{self.rig.elapsed_s():6.2f}   {found[1]}: {found[2]}")
        self.positions[key] = len(data)


async def run_watched(timeline: Timeline, folder: Path, say) -> dict:
    rig = Rig(timeline, folder, say)
    watching = asyncio.create_task(Watcher(rig, say).watch())
    try:
        return await rig.play()
    finally:
        watching.cancel()


def show(timeline: Timeline, say) -> dict:
    with tempfile.TemporaryDirectory(prefix="rig-") as folder:
        return asyncio.run(run_watched(timeline, Path(folder), say))
