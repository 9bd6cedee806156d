"""Parts that the cases share: the node's process, stand-ins for discovery, backends and clients, the record.

Only the standard library is used. Every address is a loopback address.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
BROKEN, HELD, NOT_RUN = 1, 0, 2
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # struct linger: on, 0 s


class NotRunError(Exception):
    """The case could not run: the node did not start, or the traffic did not come about."""


def trouble():
    """Whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port():
    with socket.create_server((HOST, 0)) as sock:
        return sock.getsockname()[1]


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = (pathlib.Path(folder) / "record.txt").open("w")
        self.started_at = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.started_at:9.4f} {text}\n")

    def say(self, text):
        """Writes a line to the record and to the standard output."""
        self(text)
        print(text, flush=True)
        self.file.flush()


class Node:
    """A node, started by the deploy file's `run`."""

    def __init__(self, folder, document, **environment):
        self.name, self.address = document["name"], document["listen"]
        self.folder = pathlib.Path(folder) / self.name
        self.folder.mkdir()
        path = self.folder / "config.json"
        path.write_text(json.dumps(document))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "PROXY_CONFIG": str(path),
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": self.address,
            "PROXY_DISCOVERY": document["discovery"],
            **environment,
        }
        with (self.folder / "log").open("w") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def log(self):
        return (self.folder / "log").read_text()

    async def wait_ready(self):
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise NotRunError(f"{self.name} ended at its start: {self.log()}")
            with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError):
                answer = await ask(self.address, b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
                if answer.status == 200:
                    return
            await asyncio.sleep(0.05)
        raise NotRunError(f"{self.name} not ready within 20 s: {self.log()}")

    def end(self):
        if self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
        self.process.wait()


class Message:
    """A request or an answer that was read."""

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body
        parts = first.split(" ")
        self.path = parts[1] if len(parts) > 1 else ""
        self.status = int(self.path) if self.path.isdigit() else 0


async def read_message(reader, keep_body=True):
    """Reads a message with a length or in chunks. Raises EOFError at an orderly end between messages."""
    line = await reader.readline()
    if not line:
        raise EOFError
    first, headers = line.decode().strip(), {}
    while line := (await reader.readuntil(b"\n")).strip():
        name, _, value = line.decode().partition(":")
        headers[name.lower()] = value.strip()
    body = bytearray()

    async def take(length):
        while length:
            piece = await reader.read(min(length, 1 << 18))
            if not piece:
                raise EOFError
            length -= len(piece)
            if keep_body:
                body.extend(piece)

    if headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readuntil(b"\n")).strip(), 16):
            await take(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    else:
        await take(int(headers.get("content-length", 0)))
    return Message(first, headers, bytes(body))


async def connect(address):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 19)
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return reader, writer


async def ask(address, data):
    """Sends one request on a new connection and returns the answer."""
    reader, writer = await connect(address)
    try:
        writer.write(data)
        return await read_message(reader)
    finally:
        writer.close()


def reset(writer):
    """Ends a connection by a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class Client:
    """Clients of one node: one request at a time on a connection, and a new one when all are busy."""

    def __init__(self, address, record):
        self.address, self.record, self.idle = address, record, []

    async def ask(self, method, route, path, ident, tenant, timeout_ms, patience_s, body=b""):
        """Returns the answer, or None where none came within `patience_s`, and the seconds that it took."""
        head = f"{method} /{route}{path} HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {ident}\r\n"
        head += f"Request-Class: {route}\r\nTenant: {tenant}\r\nRequest-Timeout-Ms: {timeout_ms}\r\n"
        if method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        data = head.encode() + b"\r\n" + body
        sent_at = time.monotonic()
        self.record(f"sent {ident} {method} /{route}{path} timeout {timeout_ms} ms")
        try:
            answer = await asyncio.wait_for(self.exchange(data), patience_s)
        except (TimeoutError, OSError, EOFError, asyncio.IncompleteReadError) as error:
            self.record(f"none {ident} after {time.monotonic() - sent_at:.3f} s: {error!r}")
            return None, time.monotonic() - sent_at
        took = time.monotonic() - sent_at
        self.record(f"got  {ident} {answer.status} {answer.body[:60]!r} after {took:.3f} s")
        return answer, took

    async def exchange(self, data):
        for _ in range(3):
            kept = self.idle.pop() if self.idle else None
            reader, writer = kept or await connect(self.address)
            try:
                writer.write(data)
                answer = await read_message(reader)
            except BaseException as error:
                writer.close()
                # The node may close a connection between requests: then the client sends on a new one.
                is_closed = isinstance(error, ConnectionResetError) or type(error) is EOFError
                if kept is None or not is_closed:
                    raise
                self.record("its connection was closed, it is sent once more on a new one")
                continue
            if answer.headers.get("connection", "").lower() == "close":
                writer.close()
            else:
                self.idle.append((reader, writer))
            return answer
        raise EOFError

    def close(self):
        for _, writer in self.idle:
            writer.close()


class Server:
    """A listening stand-in: `serve(reader, writer)` for each connection."""

    def __init__(self):
        self.server, self.address, self.tasks = None, "", set()

    async def start(self):
        self.server = await asyncio.start_server(self.on_connection, HOST, 0, limit=1 << 19)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self

    async def on_connection(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()


class Discovery(Server):
    """Discovery's agent: the whole list, and a watch with an empty line every 2 s."""

    def __init__(self, members):
        super().__init__()
        self.members, self.revision, self.watches = members, 1, []

    async def serve(self, reader, writer):
        while True:
            request = await read_message(reader)
            if "stream=1" in request.path:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                writer.write(self.chunk(self.text(self.members, True)))
                self.watches.append(writer)
                while True:
                    await asyncio.sleep(2)
                    writer.write(self.chunk(b""))
                    await writer.drain()
            text = self.text(self.members, True)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)

    def text(self, members, complete):
        update = {"revision": self.revision, "complete": complete, "members": members}
        return json.dumps(update).encode()

    @staticmethod
    def chunk(text):
        return b"%x\r\n%s\n\r\n" % (len(text) + 1, text)

    def tell(self, *members):
        """Tells a change: each of these replaces the entry of its id."""
        self.revision += 1
        changed = {member["id"]: member for member in members}
        self.members = [changed.pop(m["id"], m) for m in self.members] + list(changed.values())
        self.members = [m for m in self.members if m["phase"] != "gone"]
        for writer in self.watches:
            writer.write(self.chunk(self.text(list(members), False)))


def member(name, address, zone, kind, cell, phase="ready"):
    return {
        "id": name, "host_port": address, "locality": zone, "flavor": kind, "cell": cell, "phase": phase,
        "size": 1.0, "up_since_ms": 0,
    }  # fmt: skip


def answer_of(status, body, *headers):
    lines = [f"HTTP/1.1 {status} Said", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def run_case(folder, play):
    """Plays a case: `play(record, temporary_folder, nodes)` returns whether the rule held. Exits."""
    record = Record(folder)
    nodes, code = [], NOT_RUN
    # All that was started ends with this process, also where that is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))

    async def main(temporary):
        async with asyncio.timeout(115):
            return await play(record, temporary, nodes)

    try:
        with tempfile.TemporaryDirectory() as temporary:
            try:
                code = HELD if asyncio.run(main(temporary)) else BROKEN
            finally:
                for node in nodes:
                    node.end()
                for node in nodes:
                    if isinstance(node, Node):
                        record(f"log of {node.name}:\n{node.log()[-6000:]}")
    except Exception as error:  # whatever went wrong here is no breach of the rule
        record.say(f"the case could not run: {error!r}")
    record.say(f"exit {code}: {('held', 'broken', 'not run')[code]}")
    record.file.close()
    sys.exit(code)
