"""System calls of the node that fail in the ways that their manual pages document. docs/terms-audit.md."""

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
    """Processor time of the program so far."""
    with open(f"/proc/{program.process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


# Sockets.

AT_ACCEPT = ("EINTR", "ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EPERM", "EPROTO", "ENETDOWN",
             "ENOPROTOOPT", "EHOSTDOWN", "ENONET", "EHOSTUNREACH", "EOPNOTSUPP", "ENETUNREACH")  # fmt: skip


@pytest.mark.parametrize("door", ["clients", "operators"])
@pytest.mark.parametrize("name", AT_ACCEPT)
def test_while_accept_fails_no_core_is_spent_and_who_waited_is_answered(start, faults, door, name):
    admin = own_address()
    program, _, _ = start(reply(), environment=faults.environment, admin=admin)
    wait_for(lambda: call(admin, "status") == "SUCCESS status\n")
    # A call that does not wait is interrupted now and then, never for good.
    faults.set(accept_errno=getattr(errno, name), accept_left=1000 if name == "EINTR" else 0)
    before = cpu_s(program)
    address = program.address if door == "clients" else address_of(admin)
    with socket.create_connection(address, timeout=10) as sock, sock.makefile("rb") as source:
        sock.sendall(request() if door == "clients" else b"status\n")
        time.sleep(0.7)
        spent = cpu_s(program) - before
        assert faults.get("accepts") > 0
        faults.clear()
        began = time.monotonic()
        first = source.readline()
        assert first.startswith(b"HTTP/1.1 200" if door == "clients" else b"SUCCESS"), first
        assert time.monotonic() - began < 1.0
    assert spent < 0.25


def closes(stand_in, sock, asked):
    reply(Connection="close")(stand_in, sock, asked)
    raise EOFError


def ask_for(program, seconds, key):
    until, statuses = time.monotonic() + seconds, []
    while time.monotonic() < until:
        statuses.append(program.ask(request(ident=f"{key}-{len(statuses)}")).status)
        time.sleep(0.005)
    return statuses


@pytest.mark.parametrize("call_name", ["connect", "socket"])
@pytest.mark.parametrize("name", ["ENETUNREACH", "ENETDOWN", "EADDRNOTAVAIL", "ENFILE", "EACCES", "EPERM"])
def test_no_backend_is_blamed_where_this_machine_cannot_connect(start, faults, call_name, name):
    program, backends, _ = start(*[closes] * 4, environment=faults.environment)
    ask_for(program, 0.3, "before")
    faults.set(**{f"{call_name}_errno": getattr(errno, name)})
    found = []
    clients = [threading.Thread(target=lambda n=n: found.extend(ask_for(program, 0.6, n))) for n in range(8)]
    for client in clients:
        client.start()
    for client in clients:
        client.join()
    faults.clear()
    assert set(found) <= {"200", "503"}
    assert "ejected s-" not in program.log()
    seen = [len(backend.seen) for backend in backends]
    assert set(ask_for(program, 1.0, "after")[20:]) == {"200"}
    assert all(len(backend.seen) > before + 5 for backend, before in zip(backends, seen, strict=True))


class WholeListFirst(DiscoveryStandIn):
    """A watch here begins with the whole list, whatever revision it was asked from."""

    def answer(self, sock, asked):
        super().answer(sock, asked)
        if "stream=1" in asked.path:
            self.revision = getattr(self, "revision", 1) + 1
            said = {"revision": self.revision, "complete": True, "members": self.members}
            sock.sendall(chunk(json.dumps(said).encode() + b"\n"))


@pytest.mark.parametrize("call_name", ["connect", "socket"])
@pytest.mark.parametrize(
    "name", ["ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT", "ECONNREFUSED", "ENFILE", "EMFILE"]
)
def test_a_change_is_known_in_time_after_discovery_could_not_be_called(start, faults, call_name, name):
    one, two = StandIn(reply(200, b"one")), StandIn(reply(200, b"two"))
    discovery = WholeListFirst([member("s-0", one), member("s-1", two)])
    program, _, _ = start(one, two, agent=discovery, environment=faults.environment)
    wait_for(lambda: discovery.watches)
    faults.set(**{f"{call_name}_errno": getattr(errno, name)})
    discovery.members = [member("s-1", two)]  # s-0 has gone
    for sock in discovery.watches:
        sock.shutdown(socket.SHUT_RDWR)
    time.sleep(3.0)
    assert program.process.poll() is None and "discovery" in program.log()
    faults.clear()
    time.sleep(5.5)
    seen = len(one.seen)
    assert {program.ask(request(ident=f"b{n}")).body for n in range(20)} == {b"two"}
    assert len(one.seen) == seen


def test_short_reads_and_writes_change_nothing(start, faults):
    body = b"x" * 5000

    def echoes(stand_in, sock, asked):
        reply(200, asked.body)(stand_in, sock, asked)

    program, _, _ = start(echoes, environment=faults.environment)
    faults.set(short_bytes=7)
    assert program.ask(request("pay", body=body, timeout=5000)).body == body


# Files.

APPENDS = """
import errno, sys
from pathlib import Path
from basalthoist.experiments.cluster.faults import Faults
from basalthoist.net.runtime.atomic_files import AppendOnlyFile, StorageError

file, faults = AppendOnlyFile(sys.argv[1]), Faults.of_this_process()

def note(write, data):
    wrong = ""
    try:
        write(data)
    except StorageError as error:
        wrong = str(error)
    print(repr(wrong))
    print(Path(file.path).read_bytes().decode())

note(file.replace, b"first;")
faults.set(torn_bytes=3, write_errno=errno.ENOSPC)
note(file.append, b"second;")
faults.clear()
note(file.append, b"third;")
note(file.replace, b"first;second;third;")
faults.set(sync_errno=errno.EIO)
note(file.append, b"fourth;")
note(file.replace, b"all;")
faults.clear()
note(file.replace, b"first;second;third;fourth;")
note(file.append, b"fifth;")
"""


def test_what_stands_behind_an_append_that_failed_can_be_read(tmp_path, faults):
    path = tmp_path / "kept"
    command = [sys.executable, "-c", APPENDS, str(path)]
    done = subprocess.run(command, env=os.environ | faults.environment, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    lines = done.stdout.splitlines()
    kept = [text == "''" for text in lines[::2]]
    assert kept == [True, False, False, True, False, False, True, True]
    three, four = "first;second;third;", "first;second;third;fourth;"
    assert lines[1::2] == ["first;"] * 3 + [three] * 3 + [four, four + "fifth;"]


def test_what_a_process_left_that_was_killed_as_it_wrote_is_removed(tmp_path):
    done = subprocess.Popen(["true"])
    done.wait()
    left, ours = tmp_path / f"kept.{done.pid}", tmp_path / f"kept.{os.getpid()}"
    left.write_bytes(b"half")
    ours.write_bytes(b"another thread's")
    other = tmp_path / "other.7"
    other.write_bytes(b"another file's")
    write_atomically(str(tmp_path / "kept.json"), b"whole", synced=True)  # raises where it fails
    assert sorted(path.name for path in tmp_path.iterdir()) == ["kept.json", "other.7"]
