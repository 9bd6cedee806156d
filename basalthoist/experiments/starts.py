"""Many nodes started at once, with and without busy loops beside: how long until `/ready` says 200.

A node's time counts from the instant at which its process is asked for. Discovery is served from here.
"""

import asyncio
import contextlib
import json
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import NamedTuple

from .loopback import DiscoveryAgent, own_address

ASK_AGAIN_S = 0.1  # how long until a node that was not ready is asked again
GIVE_UP_S = 120.0
ROUTE = {"name": "read", "semantics": "idempotent", "group": "all", "latency_objective": 300000,
         "overall_timeout": 900000, "value": 1.0}  # fmt: skip


class Started(NamedTuple):
    ready_s: float  # from asking for the process until `/ready` said 200
    processor_s: float  # what the process had used by then


def processor_s(pid: int) -> float:
    """Processor time of all threads so far, by the scheduler's own account in nanoseconds."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e9


def document(number: int, listen: str, discovery: str) -> dict:
    settings = {"routes": [ROUTE], "accounts": [{"name": "a", "quota_per_s": 1.0}], "zones": ["a"],
                "kinds": ["m"], "zone": 0, "siblings": 1, "tick": 1000, "discovery": "pushed"}  # fmt: skip
    return {"name": f"n{number}", "seed": "1", "listen": listen, "discovery": discovery, "settings": settings}


async def is_ready(listen: str) -> bool:
    host, _, port = listen.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    try:
        writer.write(b"GET /ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
        return (await reader.readline()).startswith(b"HTTP/1.1 200")
    except OSError:
        return False
    finally:
        writer.close()


async def start(command: str, program: Path, path: Path, listen: str, running: list) -> Started:
    """RuntimeError where it ends or is not ready in GIVE_UP_S."""
    began = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        "/bin/sh", "-c", command, cwd=program, stderr=asyncio.subprocess.PIPE,
        env={"PROXY_CONFIG": str(path), "TMPDIR": str(path.parent)},
    )  # fmt: skip
    running.append(process)
    async with asyncio.timeout(GIVE_UP_S):
        # Its own word that it listens spares it questions while it starts.
        while b"listening on" not in (line := await process.stderr.readline()):
            if not line:
                raise RuntimeError(f"{path.name}: ended before it listened")
        while not await is_ready(listen):
            await asyncio.sleep(ASK_AGAIN_S)
    return Started(time.monotonic() - began, processor_s(process.pid))


async def play(count: int, busy: int, program: Path) -> list[Started]:
    """`program`: the folder that is started by its deploy/balancer.toml. All have ended afterwards."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: DiscoveryAgent([]), "127.0.0.1", 0, backlog=1024)
    discovery = "{}:{}".format(*server.sockets[0].getsockname())
    command = tomllib.loads((program / "deploy/balancer.toml").read_text())["run"]
    running = []
    try:
        for _ in range(busy):
            turns = [sys.executable, "-I", "-c", "while True: pass"]
            running.append(await asyncio.create_subprocess_exec(*turns))
        with tempfile.TemporaryDirectory() as folder:
            listens, starting = [own_address() for _ in range(count)], []
            for number, listen in enumerate(listens):
                path = Path(folder) / f"n{number}.json"
                path.write_text(json.dumps(document(number, listen, discovery)))
                starting.append(start(command, program, path, listen, running))
            return await asyncio.gather(*starting)
    finally:
        for process in running:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in running:
            await process.wait()
        server.close()


def said(found: list[Started], busy: int) -> str:
    """One line: how long until the half, nine in ten and the last of them were ready."""
    waits, spent = sorted(one.ready_s for one in found), sorted(one.processor_s for one in found)
    half, nine = len(found) // 2, max(0, -(-9 * len(found) // 10) - 1)
    return (f"{len(found)} starts beside {busy} busy loops: ready after {waits[half]:.2f} s (50th), "
            f"{waits[nine]:.2f} s (90th), {waits[-1]:.2f} s (last); "
            f"processor time {spent[half]:.3f} s (50th), {spent[-1]:.3f} s (most)")  # fmt: skip
