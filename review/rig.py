"""What the cases of this review share: processes, the agent of discovery, clients, settings and the record.

Only the standard library is used; the case's own interpreter starts the stand-ins, so nothing has to be built.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LONGEST_RUN_S = 110
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", buffering=1)  # noqa: SIM115
        self.began = time.monotonic()

    def __call__(self, text, at=None):
        at = time.monotonic() if at is None else at
        self.file.write(f"{at - self.began:9.4f} {text}\n")

    def quote(self, title, path):
        """Adds a log."""
        self.file.write(f"--- {title}\n{pathlib.Path(path).read_text(errors='replace')}")


class Processes:
    """All processes that the case starts. `end` ends them, stopped ones too."""

    def __init__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.started = []

    def start(self, name, command, **environment):
        log = open(self.folder / f"{name}.log", "w")  # noqa: SIM115
        environment = {"PATH": os.environ.get("PATH", ""), "TMPDIR": str(self.folder)} | environment
        process = subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=environment, cwd=ROOT
        )
        self.started.append(process)
        return process

    def start_node(self, configuration, name="n0"):
        """Starts a node with the command of the deploy file."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(configuration))
        return self.start(name, ["/bin/sh", "-c", run_command()], PROXY_CONFIG=str(path))

    async def start_stand_in(self, name, script, *arguments):
        """Starts a stand-in that writes its ports to the file that it is given; returns process and ports."""
        ports = self.folder / f"{name}.ports"
        process = self.start(name, [sys.executable, str(script), str(ports), *map(str, arguments)])
        for _ in range(500):
            if ports.exists():
                return process, json.loads(ports.read_text())
            await asyncio.sleep(0.02)
        raise CannotRunError(f"stand-in {name} did not start")

    def end(self):
        for process in self.started:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGKILL)
        for process in self.started:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_command():
    """Returns the command of the deploy file that starts one node."""
    with open(ROOT / "deploy/balancer.toml", "rb") as file:
        return tomllib.load(file)["run"]


def free_address():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return f"127.0.0.1:{sock.getsockname()[1]}"


def member(name, port, locality, phase="ready"):
    """Returns an entry of the endpoint list."""
    return {"id": name, "host_port": f"127.0.0.1:{port}", "locality": locality, "flavor": "std-a", "cell": 0,
            "phase": phase, "size": 1.0, "up_since_ms": 0}  # fmt: skip


class Agent:
    """Discovery's agent on the node's machine. It answers at once with what it has.

    A watch begins with the whole list, or with an empty line where nothing has changed; an empty line comes
    every 2 s. With `leaves_out_draining`, whole lists do not name backends that drain.
    """

    def __init__(self, members):
        self.members = {entry["id"]: entry for entry in members}
        self.revision = 10
        self.leaves_out_draining = False
        self.watches = set()
        self.calls = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def whole(self):
        kept = [m for m in self.members.values() if m["phase"] == "ready" or not self.leaves_out_draining]
        return {"revision": self.revision, "complete": True, "members": kept}

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                path = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
                self.calls.append((time.monotonic(), path))
                if "stream=1" in path:
                    return await self.watch(int(path.partition("index=")[2]), writer)
                text = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))

    async def watch(self, index, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.add(writer)
        self.write_line(writer, None if index == self.revision else self.whole())
        while not writer.is_closing():
            await asyncio.sleep(2)
            self.write_line(writer, None)

    @staticmethod
    def write_line(writer, content):
        line = (json.dumps(content) if content is not None else "").encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))

    def change(self, name, phase):
        """Changes the phase of a backend; returns the change as a watch tells it."""
        self.revision += 1
        self.members[name] = self.members[name] | {"phase": phase}
        return {"revision": self.revision, "complete": False, "members": [self.members[name]]}

    def tell(self, change):
        for writer in self.watches:
            self.write_line(writer, change)

    def end_watches(self):
        """Closes all open watches."""
        for writer in self.watches:
            writer.close()
        self.watches.clear()


class Answer:
    """A whole answer to a client."""

    def __init__(self, status, body):
        self.status = status
        self.body = body


class Clients:
    """Clients as the protocol page has them: one request at a time on a connection, connections are kept."""

    def __init__(self, address):
        self.host, port = address.split(":")
        self.port = int(port)
        self.idle = []

    async def ask(self, data, timeout_s):
        """Sends a request; returns the whole answer, or None if there was none within `timeout_s`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                if self.idle:
                    answer, unread = await self.ask_on(self.idle.pop(), data)
                    if answer is not None or not unread:
                        return answer
                    # The node has closed the connection between two requests: once more on a new one.
                try:
                    connection = await asyncio.open_connection(self.host, self.port)
                except OSError:
                    return None
                return (await self.ask_on(connection, data))[0]
        return None

    async def ask_on(self, connection, data):
        """Returns the answer, and whether the connection ended before any byte of one."""
        reader, writer = connection
        head = b""
        keep = False
        try:
            writer.write(data)
            head = await reader.readuntil(b"\r\n\r\n")
            fields = dict(line.split(b": ", 1) for line in head.lower().split(b"\r\n")[1:] if line)
            body = await reader.readexactly(int(fields.get(b"content-length", 0)))
            keep = fields.get(b"connection") != b"close"
            return Answer(int(head.split(b" ")[1]), body), False
        except asyncio.IncompleteReadError as error:
            return None, not head and not error.partial
        except OSError:
            return None, not head
        finally:
            if keep:
                self.idle.append(connection)
            else:
                writer.close()


def request(method, route, tenant, ident, timeout_ms, body=b""):
    """Returns a client's request."""
    length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
    return (
        f"{method} /{route}/1 HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {ident}\r\nRequest-Class: {route}\r\n"
        f"Tenant: {tenant}\r\nRequest-Timeout-Ms: {timeout_ms}\r\n{length}\r\n"
    ).encode() + body


async def wait_ready(clients, node, seconds=30):
    """Waits until the node says that it can serve."""
    end = time.monotonic() + seconds
    while time.monotonic() < end and node.poll() is None:
        answer = await clients.ask(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n", 1)
        if answer is not None and answer.status == 200:
            return
        await asyncio.sleep(0.05)
    raise CannotRunError("the node is not ready")


def route(name, semantics, objective_ms, timeout_ms, value):
    return {"name": name, "semantics": semantics, "group": "all", "latency_objective": objective_ms * 1000,
            "overall_timeout": timeout_ms * 1000, "value": value, "streaming": False}  # fmt: skip


def configuration(agent, listen, settings):
    """Returns a node's file with the limits of a small deployment; all other limits have their defaults."""
    return {
        "name": "n0", "seed": os.urandom(8).hex(), "listen": listen, "discovery": agent.address,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": agent.whole(),
        "settings": settings,
    }  # fmt: skip


def play(folder, case):
    """Runs `case(record, processes)`, which returns whether the rule held, and exits with the verdict."""
    record, processes = Record(folder), Processes()

    async def main():
        async with asyncio.timeout(LONGEST_RUN_S):
            return await case(record, processes)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    code = NOT_RUN
    try:
        code = HELD if asyncio.run(main()) else BROKEN
    except (CannotRunError, TimeoutError, OSError, AssertionError) as error:
        record(f"the case could not run: {error!r}")
    finally:
        for path in sorted(processes.folder.glob("n*.log")):
            record.quote(f"log of {path.stem}", path)
        processes.end()
        record(f"trouble {'on' if TROUBLE else 'off'}, exit code {code}")
    sys.exit(code)
