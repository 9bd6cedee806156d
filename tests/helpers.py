"""A host that records the calls of the decisions, builders of nodes and requests, and stand-in servers."""

import contextlib
import json
import select
import signal
import socket
import struct
import subprocess
import sys
import threading
import time

from basalthoist.addresses import address_of
from basalthoist.decisions.balancer import Balancer
from basalthoist.decisions.interface import Endpoint
from basalthoist.experiments.loopback import own_address

SECOND = 10_000
NOW = 100 * SECOND


class RecordingHost:
    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        return lambda *args: self.calls.append((name, *args))

    def take(self, *names):
        """Returns the recorded calls of these names and clears the record, the other calls included."""
        found = [c for c in self.calls if c[0] in names]
        self.calls.clear()
        return found


def settings(semantics="idempotent", **more):
    """Returns settings with one route; in the names of `more`, `__` stands for the dot."""
    base = {
        "nodes": 2, "zone": 0, "tick": 10, "routes.count": 1, "routes.0.semantics": semantics,
        "routes.0.group": "cell", "routes.0.dedup_window": 5 * SECOND, "routes.0.latency_objective": 3000,
        "routes.0.overall_timeout": 8000, "routes.0.value": 1.0, "policy_limits.max_upstream_tries": 3,
        "policy_limits.cancel": True, "rules.warm_within": 5 * SECOND, "rules.cold_from": 0.25,
        "rules.fall_multiple": 2.0, "rules.overload_for": SECOND, "rules.drain_grace": SECOND,
    }  # fmt: skip
    return base | {k.replace("__", "."): v for k, v in more.items()}


def listed(name, zone=0, kind=0, cell=0, state="healthy", weight=1.0, started=None, is_link=False):
    return Endpoint(name, zone, kind, cell, state, weight, started, is_link)


def node(entries, now=NOW, seed=7, **kw):
    host = RecordingHost()
    balancer = Balancer(host, seed, settings(**kw), now)
    balancer.on_endpoint_list(now, entries, True)
    return balancer, host


# Stand-in servers, and helpers that start the program and send it requests over sockets.


class StandIn:
    """A server on a free port of 127.0.0.1 that calls `behave(stand_in, sock, request)` for each request."""

    def __init__(self, behave):
        self.behave, self.seen, self.open = behave, [], []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                self.open.append(sock)
                threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        with contextlib.suppress(OSError, EOFError), sock, sock.makefile("rb") as source:
            while True:
                request = read_message(source)
                self.seen.append(request)
                self.behave(self, sock, request)

    def close(self):
        # A blocked accept() keeps the port in use until shutdown() wakes it.
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in self.open:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


def reset_on_close(sock):
    """Has the socket's close reset the connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))  # struct linger: on, 0 s


class ResettingBackend(StandIn):
    """Accepts connections and resets each as soon as a byte has arrived on it."""

    def serve(self, sock):
        with sock:
            sock.recv(1)
            reset_on_close(sock)


class Message:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body
        self.path = self.status = first.split(" ")[1]


def read_message(source):
    first = source.readline().decode()
    if not first:
        raise EOFError
    headers = {}
    while line := source.readline().strip():
        name, _, value = line.decode().partition(":")
        headers[name.lower()] = value.strip()
    return Message(first.strip(), headers, source.read(int(headers.get("content-length", 0))))


def reply(status=200, body=b"done", **headers):
    def behave(_, sock, request):
        lines = [f"HTTP/1.1 {status} Said", f"Content-Length: {len(body)}"]
        lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    return behave


def raw(data, then_close=False):
    def behave(_, sock, request):
        sock.sendall(data)
        if then_close:
            raise EOFError

    return behave


def reply_once_open(gate):
    """Returns a behaviour that answers each request once `gate` is no longer empty."""

    def behave(stand_in, sock, request):
        wait_for(lambda: gate)
        reply()(stand_in, sock, request)

    return behave


def cut(_, sock, request):
    raise EOFError


def silent(_, sock, request):
    pass


def member(name, stand_in, phase="ready", started=0):
    return {"id": name, "host_port": getattr(stand_in, "address", stand_in), "locality": "a", "flavor": "m",
            "cell": 0, "phase": phase, "size": 1.0, "up_since_ms": started}  # fmt: skip


class DiscoveryStandIn(StandIn):
    """Serves the endpoint list `members`; `tell` sends a change on all watches.

    `mute`: accepts connections and never answers; `close_after_answer`: closes after each answer.
    """

    def __init__(self, members, mute=False, close_after_answer=False):
        self.members, self.mute, self.watches, self.lists = members, mute, [], 0
        # A status, if set, is the answer to every call.
        self.refuses = None
        self.close_after_answer = close_after_answer
        super().__init__(type(self).answer)

    def answer(self, sock, request):
        if self.mute:
            return
        if self.refuses:
            return sock.sendall(b"HTTP/1.1 %d No\r\nContent-Length: 0\r\n\r\n" % self.refuses)
        close = b"Connection: close\r\n" if self.close_after_answer else b""
        text = json.dumps({"revision": 1, "complete": True, "members": self.members}).encode()
        if "stream=1" in request.path:
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(b"\n"))
            self.watches.append(sock)
        else:
            self.lists += 1
            sock.sendall(b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n" % (close, len(text)) + text)
            if self.close_after_answer:
                raise EOFError

    def tell(self, *members):
        line = json.dumps({"revision": 2, "complete": False, "members": members}).encode() + b"\n"
        for sock in self.watches:
            sock.sendall(chunk(line))


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def document(discovery, known=(), revision=0, settings_more=None, **more):
    """Returns a configuration with routes `read` (idempotent), `pay` (at most once), `feed` (streamed)."""
    usual = {"group": "all", "latency_objective": 300000, "overall_timeout": 900000, "value": 1.0}
    kinds = ("read", "idempotent", False), ("pay", "at_most_once", False), ("feed", "idempotent", True)
    routes = [usual | {"name": n, "semantics": s, "streaming": streamed} for n, s, streamed in kinds]
    limits = {"connect_timeout": 200000, "keepalive": 10000000, "max_upstream_tries": 3, "cancel": True}
    configuration = {"name": "n0", "seed": "5f", "listen": own_address(), "discovery": discovery,
            "known": {"revision": revision, "complete": True, "members": list(known)}, "settings": {
                "routes": routes, "accounts": [{"name": "acme", "quota_per_s": 1000.0}], "zones": ["a"],
                "kinds": ["m"], "zone": 0, "siblings": 1, "policy_limits": limits, "tick": 1000,
                "discovery": "pushed"}}  # fmt: skip
    configuration["settings"] |= settings_more or {}
    return configuration | more


class Program:
    """A process of `python -m basalthoist`, with its configuration file and its log."""

    def __init__(self, folder, made, files=1024, **environment):
        self.path, self.made = folder / "config.json", made
        self.path.write_text(json.dumps(made))
        self.errors = (folder / "log").open("w+")
        command = ["/bin/sh", "-c", f'ulimit -n {files}; exec "{sys.executable}" -m basalthoist']
        environment = {"PROXY_CONFIG": str(self.path), "PATH": ""} | environment
        self.environment = environment
        self.process = subprocess.Popen(command, stderr=self.errors, env=environment)
        self.address = address_of(made["listen"])

    def reload(self, text):
        self.path.write_text(text)
        self.process.send_signal(signal.SIGHUP)

    def close(self):
        self.process.kill()
        self.process.wait()
        self.errors.close()

    def wait_refused_start(self):
        """Waits until the process has refused its files: exit code 2 and one log line, which is returned."""
        assert self.process.wait(10) == 2
        [line] = self.log().splitlines()
        return line

    def log(self):
        self.errors.seek(0)
        return self.errors.read()

    def wait_ready(self):
        wait_for(lambda: self.up() and self.ask(b"GET /ready HTTP/1.1\r\n\r\n").status == "200")
        return self

    def up(self):
        assert self.process.poll() is None, self.log()
        with contextlib.suppress(OSError), self.connect():
            return True

    def connect(self):
        return socket.create_connection(self.address, timeout=10)

    def ask(self, *data):
        with self.connect() as sock, sock.makefile("rb") as source:
            for part in data:
                sock.sendall(part)
            return read_message(source)


def route(name="read", semantics="idempotent", timeout_s=0.9, **more):
    """Returns a route in the form of the settings."""
    usual = {"group": "all", "latency_objective": 300_000, "value": 1.0, "streaming": False}
    timeout = {"overall_timeout": int(timeout_s * 1e6)}
    return usual | timeout | {"name": name, "semantics": semantics} | more


def request(route="read", timeout=800, body=b"", ident="1", extra="", path="/x?y=1"):
    method = "POST" if route == "pay" else "GET"
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    head = f"{method} /{route}{path} HTTP/1.1\r\nHost: app\r\nRequest-Id: {ident}\r\n"
    head += f"Request-Class: {route}\r\nTenant: acme\r\nRequest-Timeout-Ms: {timeout}\r\n"
    return f"{head}{length}{extra}\r\n".encode() + body


def ended(sock):
    """Returns whether the peer has closed, without waiting: `recv` would wait for the socket's timeout."""
    try:
        if sock.fileno() < 0:
            return True
        poller = select.poll()
        poller.register(sock, select.POLLIN)
        return bool(poller.poll(0)) and sock.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True


def read_head(source):
    return b"".join(iter(source.readline, b"\r\n"))


def wait_for(condition, seconds=10):
    end = time.monotonic() + seconds
    while not (found := condition()):
        assert time.monotonic() < end, f"condition not met within {seconds} s"
        time.sleep(0.005)
    return found


def call(address, line, ending=b"\n"):
    """Sends an operator's call and returns the answer; an empty `ending` ends the call by a half-close."""
    with socket.create_connection(address_of(address), timeout=10) as sock, sock.makefile("rb") as source:
        sock.sendall((line.encode() if isinstance(line, str) else line) + ending)
        if not ending:
            sock.shutdown(socket.SHUT_WR)
        return source.read().decode()
