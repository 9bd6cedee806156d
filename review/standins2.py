"""Stand-ins for the cases beside this file: a platform, discovery, backends (processes) and a record.

Needs the standard library alone. Every address is on loopback. As a program, it is one backend:

    python standins2.py http|json ADDRESS RUNS WORK_S

A backend begins a request when its last byte has come, appends one line to the file RUNS at once, works for
WORK_S seconds and answers. A repeat of a marked request (body `mark=...`) is answered from the memory file
that all backends of one group share, and is not run again.
"""

import contextlib
import fcntl
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"


def parse(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


def free_address():
    """Returns a loopback address whose port was free a moment ago."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return f"{HOST}:{sock.getsockname()[1]}"


class Record:
    """The file record.txt of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.file = (Path(folder) / "record.txt").open("w")

    def __call__(self, line):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f}  {line}\n")
            self.file.flush()


class Processes:
    """All processes that a case has started; `end` kills what is left, by process id."""

    def __init__(self):
        self.all = []

    def start(self, command, environment, log):
        with open(log, "wb") as out:
            process = subprocess.Popen(
                command, env=environment, stdin=subprocess.DEVNULL, stdout=out, stderr=out, cwd=ROOT
            )
        self.all.append(process)
        return process

    def end(self):
        for process in self.all:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            process.wait()


def route(name, semantics, timeout_ms=880, objective_ms=350, value=1.0, **more):
    """A class of requests, as the settings have it."""
    return {
        "name": name, "semantics": semantics, "overall_timeout": timeout_ms * 1000,
        "latency_objective": objective_ms * 1000, "value": value, "overdue_value": 0.0,
        "streaming": False, "group": "cell", "dedup_window": 0,
    } | more  # fmt: skip


def settings(routes, **limits):
    """Settings like those of a small deployment, with one node."""
    return {
        "routes": routes,
        "accounts": [{"name": "sabeto-credit", "quota_per_s": 60.0, "share": 1.0}],
        "discovery": "pushed", "feedback": {"how": "off", "fields": []}, "kinds": ["std-a"],
        "zones": ["namoli"], "zone": 0, "me": 0, "siblings": 1, "surplus_value": 0.1, "tick": 1000,
        "callers": {"marks_retry": True},
        "policy_limits": {
            "cancel": True, "connect_timeout": 250_000, "cpu_us_per_s": 500_000, "keepalive": 30_000_000,
            "max_retry_after": 2_000_000, "max_streams": 1, "max_upstream_tries": 5, "open_cap": 20_000,
            "parallel_tries": False, "peers": False, "probes": False, "retry_after": True,
        } | limits,
        "prices": {"cross_zone": 0.005, "late_fail": 0.039, "probe": 0.002, "waste": 0.048},
        "rules": {
            "cold_from": 0.31, "drain_grace": 2_000_000, "fall_multiple": 3.0, "grace_to_answer": 5000,
            "overload_for": 2_000_000, "warm_within": 8_200_000,
        },
    }  # fmt: skip


class Node:
    """A process of the program, started by `run` of the deploy file with what the platform gives it."""

    def __init__(self, processes, folder, name, made, listen, discovery, known, **environment):
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.name, self.listen, self.admin = name, listen, environment.get("PROXY_ADMIN")
        document = {
            "name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": 0, "complete": True, "members": known}, "settings": made,
        }  # fmt: skip
        config = self.folder / f"{name}.json"
        config.write_text(json.dumps(document))
        temporary = environment.pop("TMPDIR", None)
        if temporary is None:
            temporary = self.folder / "tmp"
            temporary.mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.log = self.folder / f"{name}.{len(processes.all)}.log"
        self.process = processes.start(
            ["/bin/sh", "-c", run],
            {
                "PATH": os.environ.get("PATH", "/usr/bin:/bin"), "PROXY_NAME": name, "PROXY_LISTEN": listen,
                "PROXY_DISCOVERY": discovery, "PROXY_CONFIG": str(config), "TMPDIR": str(temporary),
            } | environment,
            self.log,
        )  # fmt: skip

    def wait_ready(self, seconds=30):
        """Waits until GET /ready answers 200."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended: {self.log.read_text()}")
            with contextlib.suppress(OSError, ValueError, EOFError):
                with socket.create_connection(parse(self.listen), timeout=1) as sock:
                    sock.sendall(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                    if read_answer(sock).status == 200:
                        return self
            time.sleep(0.02)
        raise CannotRun(f"{self.name} not ready: {self.log.read_text()}")


class CannotRun(Exception):
    """The case could not be played."""


def member(name, address, phase="ready", up_since_ms=0):
    """One entry of the list, as discovery writes it."""
    return {
        "id": name, "host_port": address, "locality": "namoli", "flavor": "std-a", "cell": 0,
        "phase": phase, "size": 1.0, "up_since_ms": up_since_ms,
    }  # fmt: skip


class Discovery:
    """The agent: the whole list, and watches with an empty line every 2 s and each change at once."""

    def __init__(self, members):
        self.members = {entry["id"]: entry for entry in members}
        self.revision = 1
        self.watches, self.lock = [], threading.RLock()
        self.listener = socket.create_server((HOST, 0))
        self.address = "{}:{}".format(*self.listener.getsockname())
        for work in (self.accept, self.beat):
            threading.Thread(target=work, daemon=True).start()

    def accept(self):
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        with contextlib.suppress(OSError, EOFError, ValueError):
            received = b""
            while True:
                while b"\r\n\r\n" not in received:
                    data = sock.recv(65536)
                    if not data:
                        return
                    received += data
                head, _, received = received.partition(b"\r\n\r\n")
                path = head.split(b" ")[1].decode()
                with self.lock:
                    text = self.line(list(self.members.values()), True)
                    if "stream=1" not in path:
                        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text)
                        sock.sendall(head + text)
                        continue
                    sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    index = int(path.rpartition("index=")[2])
                    if index != self.revision:
                        sock.sendall(chunk(text + b"\n"))
                    self.watches.append(sock)

    def line(self, members, complete):
        return json.dumps(
            {"revision": self.revision, "complete": complete, "members": members}, separators=(",", ":")
        ).encode()

    def beat(self):
        while True:
            time.sleep(2)
            self.write(b"\n")

    def write(self, line):
        with self.lock:
            for sock in list(self.watches):
                try:
                    sock.sendall(chunk(line))
                except OSError:
                    self.watches.remove(sock)

    def tell(self, *members):
        """Writes changed entries to all watches."""
        with self.lock:
            self.revision += 1
            for entry in members:
                if entry["phase"] == "gone":
                    self.members.pop(entry["id"], None)
                else:
                    self.members[entry["id"]] = entry
            self.write(self.line(list(members), False) + b"\n")


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class Answer:
    """A whole answer over HTTP."""

    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


def read_head(read):
    """Returns the first line and the headers; `read(n)` returns a line or raises EOFError."""
    first = read()
    headers = {}
    while (line := read()) != b"\r\n":
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return first.decode("latin-1").strip(), headers


def read_body(source, headers):
    """Returns the body with a length, or in chunks. Raises EOFError if it ends early."""
    if "chunked" in headers.get("transfer-encoding", ""):
        parts = []
        while size := int(line_of(source).split(b";")[0], 16):
            parts.append(exactly(source, size))
            line_of(source)
        while line_of(source) != b"\r\n":
            pass
        return b"".join(parts)
    return exactly(source, int(headers.get("content-length", 0)))


def line_of(source):
    line = source.readline()
    if not line.endswith(b"\n"):
        raise EOFError
    return line


def exactly(source, length):
    data = source.read(length)
    if len(data) < length:
        raise EOFError
    return data


def read_answer(sock, source=None):
    """Returns the next whole answer, without 1xx. Raises EOFError if the connection ends before it."""
    source = source or sock.makefile("rb")
    while True:
        first, headers = read_head(lambda: line_of(source))
        status = int(first.split(" ")[1])
        if status >= 200:
            return Answer(status, headers, read_body(source, headers))


def head_of(name, ident, method, timeout_ms, length=0, **more):
    """The head of a request, as the protocol page has it."""
    lines = [
        f"{method} /{name} HTTP/1.1", "Host: app.svc", f"Request-Id: {ident}", f"Request-Class: {name}",
        "Tenant: sabeto-credit", f"Request-Timeout-Ms: {timeout_ms}",
    ]  # fmt: skip
    lines += [f"{key.replace('_', '-')}: {value}" for key, value in more.items()]
    lines += [f"Content-Length: {length}"] if method == "POST" else []
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Backend:
    """A backend's process, seen from the case. `runs` returns the lines of what it has begun."""

    def __init__(self, processes, folder, name, kind="http", work_s=0.05, group="group"):
        self.name, self.kind, self.work_s = name, kind, work_s
        self.folder, self.processes = Path(folder), processes
        self.folder.mkdir(parents=True, exist_ok=True)
        self.address = free_address()
        self.runs_file = self.folder / f"{name}.runs"
        self.runs_file.touch()
        self.memory = self.folder / f"{group}.memory"
        self.memory.touch()
        self.start()

    def start(self):
        self.process = self.processes.start(
            [sys.executable, "-B", __file__, self.kind, self.address, str(self.runs_file), str(self.work_s),
             str(self.memory)],
            {"PATH": os.environ.get("PATH", "")},
            self.folder / f"{self.name}.log",
        )  # fmt: skip
        end = time.monotonic() + 10
        while time.monotonic() < end:
            with contextlib.suppress(OSError), socket.create_connection(parse(self.address), timeout=1):
                return
            time.sleep(0.02)
        raise CannotRun(f"backend {self.name} did not start")

    def runs(self):
        return [json.loads(line) for line in self.runs_file.read_text().splitlines()]


def main(play):
    """Runs `play(record, processes, folder, trouble)`; exits with 1 if it returns broken rules, 0 or 2."""
    import tempfile
    import traceback

    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(sys.argv[0]).resolve().parent)
    processes = Processes()
    code = 2
    watchdog = threading.Timer(110, lambda: (record("too long"), processes.end(), os._exit(2)))
    watchdog.daemon = True
    watchdog.start()
    with tempfile.TemporaryDirectory(prefix="case-") as folder:
        try:
            broken = play(record, processes, Path(folder), trouble)
            for line in broken:
                record(f"BROKEN: {line}")
                print(f"BROKEN: {line}")
            record("rule broken" if broken else "rule held")
            print("rule broken" if broken else "rule held")
            code = 1 if broken else 0
        except Exception as error:
            record(f"could not run: {error!r}\n{traceback.format_exc()}")
            print(f"could not run: {error!r}")
        finally:
            processes.end()
            for log in sorted(Path(folder).rglob("*.log")):
                for line in log.read_text(errors="replace").splitlines():
                    record(f"log {log.name}: {line}")
    sys.stdout.flush()
    os._exit(code)


# The backend's process.


class Server:
    """One backend. A connection carries one request at a time."""

    def __init__(self, kind, address, runs, work_s, memory):
        self.kind, self.runs, self.work_s, self.memory = kind, runs, work_s, memory
        self.lock = threading.Lock()
        self.listener = socket.create_server(parse(address), backlog=512)

    def serve(self):
        handle = self.http if self.kind == "http" else self.json
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self.guarded, args=(handle, sock), daemon=True).start()

    @staticmethod
    def guarded(handle, sock):
        with contextlib.suppress(OSError, EOFError, ValueError), sock, sock.makefile("rb") as source:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            handle(sock, source)

    def begin(self, ident, what, mark):
        """Begins a request: records it, unless the group has met its mark. Returns whether it runs."""
        with self.lock, open(self.memory, "r+") as memory:
            fcntl.flock(memory, fcntl.LOCK_EX)
            if mark and mark in memory.read().split("\n"):
                return False
            if mark:
                memory.write(mark + "\n")
                memory.flush()
            with open(self.runs, "a") as runs:
                line = {"at": time.monotonic(), "id": ident, "what": what, "mark": mark}
                runs.write(json.dumps(line) + "\n")
        return True

    def http(self, sock, source):
        while True:
            first, headers = read_head(lambda: line_of(source))
            body = read_body(source, headers)
            ident = headers.get("request-id", "")
            mark = body.decode("latin-1") if body.startswith(b"mark=") else ""
            self.begin(ident, first.split(" ")[1], mark)
            time.sleep(self.work_s)
            answer = f"answer to {ident}".encode()
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(answer), answer))

    def json(self, sock, source):
        while True:
            call = json.loads(line_of(source))
            params = call.get("params")
            self.begin(str(params), call["method"], "")
            time.sleep(self.work_s)
            result = {"jsonrpc": "2.0", "id": call["id"], "result": {"done": params}}
            sock.sendall(json.dumps(result).encode() + b"\n")


if __name__ == "__main__":
    kind, address, runs, work_s, memory = sys.argv[1:]
    Server(kind, address, runs, float(work_s), memory).serve()
