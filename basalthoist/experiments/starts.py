"""Measures how long many nodes started at once take until `/ready` returns 200, with or without busy loops
that compete for the processor.

The time of a node counts from just before its process is spawned. The discovery agent runs in this process.
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

READY_POLL_INTERVAL_S = 0.1
READY_TIMEOUT_S = 120.0
ROUTE = {"name": "read", "semantics": "idempotent", "group": "all", "latency_objective": 300000,
         "overall_timeout": 900000, "value": 1.0}  # fmt: skip


class StartTimes(NamedTuple):
    ready_s: float  # from spawning the process until `/ready` returned 200
    cpu_s: float  # processor time of the process until then


def cpu_s(pid: int) -> float:
    """Returns the processor time of all threads so far; the scheduler accounts it in nanoseconds."""
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


async def start(command: str, program: Path, path: Path, listen: str, running: list) -> StartTimes:
    """Starts a node and waits until it is ready.

    Raises RuntimeError if the process ends first, TimeoutError after READY_TIMEOUT_S.
    """
    began = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        "/bin/sh", "-c", command, cwd=program, stderr=asyncio.subprocess.PIPE,
        env={"PROXY_CONFIG": str(path), "TMPDIR": str(path.parent)},
    )  # fmt: skip
    running.append(process)
    async with asyncio.timeout(READY_TIMEOUT_S):
        # Waits for the log line first, so that polling does not slow the start down.
        while b"listening on" not in (line := await process.stderr.readline()):
            if not line:
                raise RuntimeError(f"{path.name}: the node exited before it listened")
        while not await is_ready(listen):
            await asyncio.sleep(READY_POLL_INTERVAL_S)
    return StartTimes(time.monotonic() - began, cpu_s(process.pid))


async def play(count: int, busy: int, program: Path) -> list[StartTimes]:
    """Starts `count` nodes beside `busy` busy loops and ends all of them before it returns.

    `program` is the folder of the program; the `run` key of its deploy/balancer.toml is the start command.
    """
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: DiscoveryAgent([]), "127.0.0.1", 0, backlog=1024)
    discovery = "{}:{}".format(*server.sockets[0].getsockname())
    command = tomllib.loads((program / "deploy/balancer.toml").read_text())["run"]
    running = []
    try:
        for _ in range(busy):
            busy_loop = [sys.executable, "-I", "-c", "while True: pass"]
            running.append(await asyncio.create_subprocess_exec(*busy_loop))
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


def said(starts: list[StartTimes], busy: int) -> str:
    """Returns one line with the median, 90th percentile and longest time until a node was ready."""
    ready_times, cpu_times = sorted(node.ready_s for node in starts), sorted(node.cpu_s for node in starts)
    median, p90 = len(starts) // 2, max(0, -(-9 * len(starts) // 10) - 1)
    return (f"{len(starts)} starts beside {busy} busy loops: ready after {ready_times[median]:.2f} s (50th), "
            f"{ready_times[p90]:.2f} s (90th), {ready_times[-1]:.2f} s (last); "
            f"processor time {cpu_times[median]:.3f} s (50th), {cpu_times[-1]:.3f} s (most)")  # fmt: skip
