"""Tests with system calls that fail with errors documented in their manual pages. See docs/terms-audit.md."""

import errno
import json
import os
import socket
import subprocess
import sys
import threading
import time

import pytest
from helpers import DiscoveryStandIn, StandIn, call, chunk, member, own_address, reply, request, wait_for

from basalthoist.addresses import address_of
from basalthoist.net.runtime.atomic_files import write_atomically


def cpu_s(program):
    """Returns the processor time of the program so far, in seconds."""
    with open(f"/proc/{program.process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


# Sockets.

AT_ACCEPT = ("EINTR", "ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EPERM", "EPROTO", "ENETDOWN",
             "ENOPROTOOPT", "EHOSTDOWN", "ENONET", "EHOSTUNREACH", "EOPNOTSUPP", "ENETUNREACH")  # fmt: skip


@pytest.mark.parametrize("listener", ["clients", "operators"])
@pytest.mark.parametrize("name", AT_ACCEPT)
def test_failing_accept_uses_little_cpu_and_waiting_client_answered_later(start, faults, listener, name):
    admin = own_address()
    program, _, _ = start(reply(), environment=faults.environment, admin=admin)
    wait_for(lambda: call(admin, "status") == "SUCCESS status\n")
    # A call that does not block can be interrupted by a signal sometimes, but not forever.
    faults.set(accept_errno=getattr(errno, name), accept_left=1000 if name == "EINTR" else 0)
    before = cpu_s(program)
    address = program.address if listener == "clients" else address_of(admin)
    with socket.create_connection(address, timeout=10) as sock, sock.makefile("rb") as source:
        sock.sendall(request() if listener == "clients" else b"status\n")
        time.sleep(0.7)
        spent = cpu_s(program) - before
        assert faults.get("accepts") > 0
        faults.clear()
        began = time.monotonic()
        first = source.readline()
        assert first.startswith(b"HTTP/1.1 200" if listener == "clients" else b"SUCCESS"), first
        assert time.monotonic() - began < 1.0
    assert spent < 0.25


def reply_and_close(stand_in, sock, received):
    reply(Connection="close")(stand_in, sock, received)
    raise EOFError


def send_requests(program, seconds, key):
    until, statuses = time.monotonic() + seconds, []
    while time.monotonic() < until:
        statuses.append(program.ask(request(ident=f"{key}-{len(statuses)}")).status)
        time.sleep(0.005)
    return statuses


@pytest.mark.parametrize("call_name", ["connect", "socket"])
@pytest.mark.parametrize("name", ["ENETUNREACH", "ENETDOWN", "EADDRNOTAVAIL", "ENFILE", "EACCES", "EPERM"])
def test_no_backend_ejected_when_connect_fails_locally(start, faults, call_name, name):
    program, backends, _ = start(*[reply_and_close] * 4, environment=faults.environment)
    send_requests(program, 0.3, "before")
    faults.set(**{f"{call_name}_errno": getattr(errno, name)})
    statuses = []
    clients = [
        threading.Thread(target=lambda n=n: statuses.extend(send_requests(program, 0.6, n))) for n in range(8)
    ]
    for client in clients:
        client.start()
    for client in clients:
        client.join()
    faults.clear()
    assert set(statuses) <= {"200", "503"}
    assert "ejected s-" not in program.log()
    seen = [len(backend.seen) for backend in backends]
    assert set(send_requests(program, 1.0, "after")[20:]) == {"200"}
    assert all(len(backend.seen) > before + 5 for backend, before in zip(backends, seen, strict=True))


class CompleteListFirst(DiscoveryStandIn):
    """A discovery server whose watches begin with the complete list, whatever revision was requested."""

    def answer(self, sock, received):
        super().answer(sock, received)
        if "stream=1" in received.path:
            self.revision = getattr(self, "revision", 1) + 1
            update = {"revision": self.revision, "complete": True, "members": self.members}
            sock.sendall(chunk(json.dumps(update).encode() + b"\n"))


@pytest.mark.parametrize("call_name", ["connect", "socket"])
@pytest.mark.parametrize(
    "name", ["ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT", "ECONNREFUSED", "ENFILE", "EMFILE"]
)
def test_removed_backend_unused_after_discovery_was_unreachable(start, faults, call_name, name):
    one, two = StandIn(reply(200, b"one")), StandIn(reply(200, b"two"))
    discovery = CompleteListFirst([member("s-0", one), member("s-1", two)])
    program, _, _ = start(one, two, agent=discovery, environment=faults.environment)
    wait_for(lambda: discovery.watches)
    faults.set(**{f"{call_name}_errno": getattr(errno, name)})
    discovery.members = [member("s-1", two)]  # s-0 has been removed
    for sock in discovery.watches:
        sock.shutdown(socket.SHUT_RDWR)
    time.sleep(3.0)
    assert program.process.poll() is None and "discovery" in program.log()
    faults.clear()
    time.sleep(5.5)
    seen = len(one.seen)
    assert {program.ask(request(ident=f"b{n}")).body for n in range(20)} == {b"two"}
    assert len(one.seen) == seen


def test_request_and_response_complete_with_short_reads_and_writes(start, faults):
    body = b"x" * 5000

    def echo(stand_in, sock, received):
        reply(200, received.body)(stand_in, sock, received)

    program, _, _ = start(echo, environment=faults.environment)
    faults.set(short_bytes=7)
    assert program.ask(request("pay", body=body, timeout=5000)).body == body


# Files.

APPENDS = """
import errno, sys
from pathlib import Path
from basalthoist.experiments.cluster.faults import Faults
from basalthoist.net.runtime.atomic_files import AppendOnlyFile, StorageError

file, faults = AppendOnlyFile(sys.argv[1]), Faults.of_this_process()

def print_result(write, data):
    failure = ""
    try:
        write(data)
    except StorageError as error:
        failure = str(error)
    print(repr(failure))
    print(Path(file.path).read_bytes().decode())

print_result(file.replace, b"first;")
faults.set(torn_bytes=3, write_errno=errno.ENOSPC)
print_result(file.append, b"second;")
faults.clear()
print_result(file.append, b"third;")
print_result(file.replace, b"first;second;third;")
faults.set(sync_errno=errno.EIO)
print_result(file.append, b"fourth;")
print_result(file.replace, b"all;")
faults.clear()
print_result(file.replace, b"first;second;third;fourth;")
print_result(file.append, b"fifth;")
"""


def test_file_readable_after_failed_append(tmp_path, faults):
    path = tmp_path / "records"
    command = [sys.executable, "-c", APPENDS, str(path)]
    done = subprocess.run(command, env=os.environ | faults.environment, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    lines = done.stdout.splitlines()
    succeeded = [text == "''" for text in lines[::2]]
    assert succeeded == [True, False, False, True, False, False, True, True]
    three_records, four_records = "first;second;third;", "first;second;third;fourth;"
    assert lines[1::2] == ["first;"] * 3 + [three_records] * 3 + [four_records, four_records + "fifth;"]


def test_temporary_file_of_killed_process_removed(tmp_path):
    ended = subprocess.Popen(["true"])
    ended.wait()
    abandoned, in_use = tmp_path / f"file.{ended.pid}", tmp_path / f"file.{os.getpid()}"
    abandoned.write_bytes(b"incomplete")
    in_use.write_bytes(b"another thread's")
    other = tmp_path / "other.7"
    other.write_bytes(b"another file's")
    write_atomically(str(tmp_path / "file.json"), b"complete", synced=True)  # raises StorageError if it fails
    assert sorted(path.name for path in tmp_path.iterdir()) == ["file.json", "other.7"]
