"""The processes of a run: relay machines, and workers with hollow nodes. All end with the run."""

import asyncio
import json
import os
import signal
import subprocess
import sys
from hashlib import blake2b
from pathlib import Path

import msgspec

from basalthoist.addresses import address_of
from basalthoist.distribution.catalogue import Catalogue, Entry
from basalthoist.distribution.register_head import KEY, PROPOSER
from basalthoist.distribution.store import Store
from basalthoist.fleet.verdicts import Verdict, VerdictSet
from basalthoist.net.control.hint_file import Hint

from ..loopback import own_address
from .sizes import FLEET, Size, region_of

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PACKAGE = __package__


class RunFailed(Exception):
    """A run that cannot be completed, with the reason."""


def usage(pid: int) -> tuple[float, int]:
    """Returns processor seconds and resident kilobytes. Raises OSError where there is no such process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S, pages * (os.sysconf("SC_PAGESIZE") // 1024)


def encode_toml(values: dict) -> str:
    lines = [f"{key} = {json.dumps(value)}" for key, value in values.items() if not isinstance(value, dict)]
    for key, table in values.items():
        for name, inner in table.items() if isinstance(table, dict) else ():
            lines += [f"[{key}.{name}]", encode_toml(inner)]
    return "\n".join(lines) + "\n"


class RelayMachine:
    def __init__(self, folder: Path, name: str, region: str, address: str) -> None:
        self.folder, self.name, self.region, self.address = folder / name, name, region, address
        self.admin, self.process = own_address(), None

    def write(self, voters: dict, times: dict) -> None:
        self.folder.mkdir(parents=True)
        document = {"fleet": FLEET, "role": "relay", "region": self.region, "name": self.name}
        document |= {"listen": self.address, "admin": self.admin, **times, "voters": voters}
        (self.folder / "relay.toml").write_text(encode_toml(document))

    def start(self) -> None:
        environment = os.environ | {"TMPDIR": str(self.folder)}
        command = [sys.executable, "-m", f"{PACKAGE}.aside", str(self.folder / "relay.toml")]
        with (self.folder / "log").open("a") as log:
            self.process = subprocess.Popen(command, stderr=log, env=environment)

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    async def request(self, line: str, seconds: float = 1.0) -> str:
        """Returns the answer of the admin interface, empty where none comes within `seconds`."""
        writer = None
        try:
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(*address_of(self.admin))
                writer.write(line.encode() + b"\n")
                return (await reader.read()).decode().strip()
        except (OSError, TimeoutError):
            return ""
        finally:
            if writer is not None:
                writer.close()


class Worker:
    """A process with hollow nodes, which takes orders one at a time."""

    def __init__(self) -> None:
        self.process: asyncio.subprocess.Process | None = None
        self.turn = asyncio.Lock()

    async def start(self, log: Path) -> None:
        with log.open("a") as errors:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", f"{PACKAGE}.hollow", stdin=subprocess.PIPE, stdout=subprocess.PIPE,
                stderr=errors, limit=1 << 28,
            )  # fmt: skip

    async def request(self, do: str, **more) -> dict:
        async with self.turn:
            self.process.stdin.write(json.dumps({"do": do, **more}).encode() + b"\n")
            await self.process.stdin.drain()
            line = await self.process.stdout.readline()
        if not line:
            raise RunFailed(f"{do}: the process with hollow nodes has exited")
        answer = json.loads(line)
        if "wrong" in answer:
            raise RunFailed(f"{do}: {answer['wrong']}")
        return answer

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Processes:
    """Relay machines and workers, with their files in a folder."""

    def __init__(self, size: Size, folder: Path, times: dict) -> None:
        self.size, self.folder, self.times = size, folder, times
        names = [f"m{number:02}" for number in range(size.machines)]
        self.machines = [RelayMachine(folder, name, region_of(number), own_address())
                         for number, name in enumerate(names)]  # fmt: skip
        self.voters = self.machines[: size.voters]
        voters = {one.name: {"address": one.address, "register": own_address()} for one in self.voters}
        for machine in self.machines:
            machine.write(voters, times)
        self.workers = [Worker() for _ in range(size.workers)]

    def write_initial_state(self, entries: list[Entry], history: int) -> None:
        """Writes the files as after a stop of all: the catalogue, and for voters the register's head."""
        store = Store(history, Catalogue(1, entries))
        data = store.to_bytes(FLEET)
        head = Verdict(*KEY, figure=1.0, who=PROPOSER, why=store.digest.hex())
        verdicts = VerdictSet(1, 1, {KEY: head})
        hint = msgspec.msgpack.encode(
            Hint(FLEET, verdicts.term, verdicts.version, verdicts.digest, verdicts.data)
        )
        for machine in self.machines:
            (machine.folder / "distribution.msgpack").write_bytes(data)
        for machine in self.voters:
            with_digest = blake2b(hint, digest_size=16).digest() + hint
            (machine.folder / "fleet.msgpack").write_bytes(with_digest)

    async def __aenter__(self) -> "Processes":
        for machine in self.machines:
            machine.start()
        for number, worker in enumerate(self.workers):
            await worker.start(self.folder / f"worker-{number}.log")
        return self

    async def __aexit__(self, *_) -> None:
        for worker in self.workers:
            await worker.stop()
        for machine in self.machines:
            machine.kill()

    async def request_all(self, do: str, **more) -> list[dict]:
        return list(await asyncio.gather(*(worker.request(do, **more) for worker in self.workers)))

    async def leader(self, seconds: float = 20.0, excluded: tuple = ()) -> RelayMachine:
        """Returns the leader that any machine's admin interface names. Raises RunFailed after `seconds`."""
        until = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < until:
            for machine in self.machines:
                if machine in excluded or machine.process.poll() is not None:
                    continue
                words = (await machine.request("config-status")).split()
                if words[:2] == ["SUCCESS", "author"]:
                    return next(one for one in self.machines if one.name == words[2])
            await asyncio.sleep(0.1)
        raise RunFailed(f"no machine names a leader within {seconds:.0f} s")
