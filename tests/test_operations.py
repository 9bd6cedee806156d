"""Operators' calls to a serving node: the admin interface, maintenance of backends, standby."""

import contextlib
import json
import os
import socket
import time
from pathlib import Path
from select import select

import pytest
from helpers import (
    NOW,
    SECOND,
    call,
    listed,
    node,
    own_address,
    read_message,
    reply,
    request,
    silent,
    wait_for,
)

from basalthoist.addresses import address_of
from basalthoist.decisions.interface import Outcome
from basalthoist.net.control.maintenance import MAX_NAMES, Maintenance, MaintenanceState
from basalthoist.net.runtime.disk_worker import TaskError, outcome_of


@pytest.fixture
def node_with_admin(start, tmp_path):
    """Starts a node with an admin interface; also returns a function for calls there."""
    state_folder = tmp_path / "state"
    state_folder.mkdir()

    def begin(*behaviours, **more):
        admin = own_address()
        environment = {"TMPDIR": str(state_folder), "PROXY_ADMIN": admin}
        program, backends, discovery = start(*behaviours, environment=environment, **more)
        return program, backends, discovery, lambda line, ending=b"\n": call(admin, line, ending)

    return begin


# The admin interface.


@pytest.mark.parametrize(
    ("line", "ending", "answer"),
    [
        ("status", b"\n", "SUCCESS status\n"),
        ("status", b"\r\n", "SUCCESS status\n"),
        ("status", b"", "SUCCESS status\n"),  # The line ends with the caller's half-close.
        ("maint-on s-0", b"\n", "SUCCESS maint-on\n"),
        ("maint-off s-0", b"\n", "SUCCESS maint-off\n"),  # Ending a ban that does not exist succeeds.
        ("active", b"\n", "SUCCESS active\n"),
        ("maint-on s-9", b"\n", "FAILURE s-9 was never listed\n"),
        ("maint-on", b"\n", "FAILURE expected"),
        ("maint-on s-0 s-1", b"\n", "FAILURE expected"),
        ("maint-on  s-0", b"\n", "FAILURE expected"),
        ("status s-0", b"\n", "FAILURE expected"),
        ("reboot", b"\n", "FAILURE expected"),
        ("", b"\n", "FAILURE expected"),
        ("\x00status", b"\n", "FAILURE expected"),
        (b"\xff\xfe", b"\n", "FAILURE not a line of text"),
        ("status" + " " * 600, b"\n", "FAILURE line over 512 bytes"),
        ("x" * 100_000, b"\n", "FAILURE line over 512 bytes"),
    ],
)
def test_each_admin_line_gets_one_answer(node_with_admin, line, ending, answer):
    program, _, _, call_admin = node_with_admin(reply(), reply())
    assert call_admin(line, ending).startswith(answer)
    assert program.ask(request()).status == "200"


def test_silent_admin_callers_do_not_block_others(node_with_admin):
    program, _, _, call_admin = node_with_admin(reply(), limits={"admin_line_s": 3.0})
    admin = address_of(program.environment["PROXY_ADMIN"])
    with contextlib.ExitStack() as stack:
        silent_callers = [stack.enter_context(socket.create_connection(admin, timeout=10)) for _ in range(40)]
        assert call_admin("status") == "SUCCESS status\n"
        assert len(select(silent_callers, [], [], 0)[0]) < len(silent_callers)  # Some were still connected.
        # All are closed in the end, because there are too many of them or by the timeout.
        for sock in silent_callers:
            with contextlib.suppress(ConnectionResetError):
                assert sock.recv(1) == b""


def test_admin_line_received_byte_by_byte_is_answered(node_with_admin):
    program, _, _, _ = node_with_admin(reply())
    with socket.create_connection(address_of(program.environment["PROXY_ADMIN"]), timeout=10) as sock:
        for byte in b"status\n":
            sock.sendall(bytes([byte]))
            time.sleep(0.01)
        assert sock.makefile().read() == "SUCCESS status\n"


def test_admin_answers_while_clients_use_all_their_descriptors(node_with_admin):
    # The timeout for the first request is long, so that it closes none of these clients.
    program, _, _, call_admin = node_with_admin(reply(), files=128, limits={"client_first_s": 60.0})
    with contextlib.ExitStack() as stack:
        for _ in range(300):
            stack.enter_context(program.connect())
        for _ in range(5):
            assert call_admin("status") == "SUCCESS status\n"


def test_start_fails_with_invalid_admin_address(start):
    program, _, _ = start(reply(), wait=False, admin="127.0.0.1")
    assert "admin (PROXY_ADMIN): expected host:port" in program.wait_refused_start()


# Maintenance in the decisions.


def chosen_backends(host, balancer, count, at=NOW):
    """Sends `count` requests, each answered at once; returns the backends that received the attempts."""
    chosen = []
    for number in range(count):
        ident = at + number
        balancer.on_request(at + number, ident, 0, 0, 8000, False)
        for _, _, name, _ in host.take("send"):
            chosen.append(name)
            balancer.on_attempt_ended(at + number, ident, 0, Outcome.COMPLETED, 100, True, None)
    return chosen


@pytest.mark.parametrize(
    "meanwhile",
    [
        [],
        [listed("a")],
        [listed("a", started=NOW + 5)],  # The backend has restarted.
        [listed("a", state="draining"), listed("a")],
        [listed("a", state="gone"), listed("a")],
    ],
)
@pytest.mark.parametrize("complete", [False, True])
def test_banned_backend_gets_no_attempt_after_any_endpoint_list(meanwhile, complete):
    balancer, host = node([listed("a"), listed("b")])
    assert {"a", "b"} == set(chosen_backends(host, balancer, 20))
    balancer.on_maintenance(NOW + 30, "a", True)
    for entry in meanwhile:
        balancer.on_endpoint_list(NOW + 40, [entry, listed("b")], complete)
    assert set(chosen_backends(host, balancer, 40, NOW + 50)) == {"b"}


def test_ban_set_before_first_endpoint_list_holds():
    balancer, host = node([])
    balancer.on_maintenance(NOW, "a", True)
    balancer.on_endpoint_list(NOW, [listed("a"), listed("b")], True)
    assert set(chosen_backends(host, balancer, 20)) == {"b"}


@pytest.mark.parametrize("started", [None, NOW - 90 * SECOND, NOW + SECOND])
def test_backend_has_no_history_and_warms_up_after_ban_ends(started):
    balancer, host = node([listed("a"), listed("b"), listed("c")])
    chosen_backends(host, balancer, 30)
    before = balancer.backends["a"]
    before.outlier.suspicion, before.outlier.ejected_until = 8.0, NOW + 60 * SECOND
    balancer.on_maintenance(NOW + 10, "a", True)
    lifted = NOW + 4 * SECOND
    balancer.on_maintenance(lifted, "a", False)
    balancer.on_endpoint_list(lifted + 1, [listed("a", started=started), listed("b"), listed("c")], True)
    after = balancer.backends["a"]
    assert (
        after is not before
        and not after.profile.points
        and after.outlier.suspicion == 0.0
        and after.available
    )
    assert after.slow_start.warm_at == lifted + 5 * SECOND
    assert chosen_backends(host, balancer, 3, lifted + 2).count("a") <= 1  # The limit while warming up.
    chosen = []
    for second in range(5):
        chosen += chosen_backends(host, balancer, 20, lifted + 2 + second * SECOND)
        balancer.on_wake(lifted + 2 + second * SECOND + 100, "tick")
    assert "a" in chosen


def test_attempt_in_flight_when_ban_begins_ends_normally():
    balancer, host = node([listed("a")])
    balancer.on_request(NOW, 1, 0, 0, 8000, False)
    assert host.take("send")
    balancer.on_maintenance(NOW + 1, "a", True)
    balancer.on_maintenance(NOW + 2, "a", False)
    balancer.on_attempt_ended(NOW + 50, 1, 0, Outcome.COMPLETED, 50, True, None)
    assert not balancer.requests and not balancer.backends["a"].open_attempts


# Maintenance in the file.


@pytest.fixture
def make_maintenance(tmp_path):
    """Returns a function that makes a Maintenance, with the lists of its changes and its log lines."""

    def make(worker=lambda task, on_done: on_done(outcome_of(task))):
        changes, lines = [], []
        maintenance = Maintenance(str(tmp_path), lines.append, lambda *change: changes.append(change), worker)
        maintenance.read()
        return maintenance, changes, lines

    return make


def answer_of(maintenance, name, banned):
    """Makes an operator's call; returns the answer, or None while the call waits."""
    answers = []
    maintenance.call(name, banned, answers.append)
    return answers[0] if answers else None


def test_bans_and_listed_backends_are_read_by_next_process(make_maintenance):
    maintenance, changes, _ = make_maintenance()
    maintenance.on_listed(["a", "b"])
    calls = [("a", True), ("a", True), ("b", True), ("b", False)]
    assert [answer_of(maintenance, *arguments) for arguments in calls] == [""] * 4
    assert changes == [("a", True), ("b", True), ("b", False)]
    again, changes, _ = make_maintenance()
    assert changes == [("a", True)]
    assert answer_of(again, "b", True) == ""  # The previous process stored it as listed.
    assert answer_of(again, "c", True) == "c was never listed"


def test_listed_names_are_bounded_and_ban_on_evicted_name_can_end(make_maintenance):
    maintenance, _, _ = make_maintenance()
    maintenance.on_listed(["a"])
    answer_of(maintenance, "a", True)
    maintenance.on_listed(str(n) for n in range(2 * MAX_NAMES))
    assert len(maintenance.listed) == MAX_NAMES
    assert answer_of(maintenance, "a", False) == ""


@pytest.mark.parametrize("damage", [b"", b'{"banned":["a"', b'{"banned": 3}', b"\xff"])
def test_damaged_file_is_logged_and_bans_no_backend(make_maintenance, tmp_path, damage):
    (tmp_path / "maintenance.json").write_bytes(damage)
    maintenance, changes, (line,) = make_maintenance()
    assert not changes and "maintenance.json" in line
    maintenance.on_listed(["a"])
    assert answer_of(maintenance, "a", True) == ""


def test_ban_that_cannot_be_stored_fails_and_is_reverted(make_maintenance, tmp_path):
    maintenance, changes, _ = make_maintenance()
    maintenance.on_listed(["a"])
    (tmp_path / "maintenance.json").mkdir()
    (tmp_path / "maintenance.json" / "full").write_bytes(b"")
    assert answer_of(maintenance, "a", True).startswith("not kept")
    assert changes == [("a", True), ("a", False)] and not maintenance.banned
    assert [p.name for p in tmp_path.iterdir()] == ["maintenance.json"]


def test_restore_replaces_bans_by_those_of_other_process(make_maintenance):
    maintenance, changes, _ = make_maintenance()
    maintenance.on_listed(["a", "b"])
    answer_of(maintenance, "a", True)
    maintenance.restore(MaintenanceState(["b"], ["c"]))
    assert maintenance.banned == {"b"} and changes[-2:] == [("b", True), ("a", False)]
    assert answer_of(maintenance, "c", True) == ""


def test_ban_is_in_force_during_write_and_answered_after_it(make_maintenance):
    tasks = []
    maintenance, changes, _ = make_maintenance(lambda *task: tasks.append(task))
    maintenance.on_listed(["a", "b"])
    answers = {}
    for name in ("a", "b", "a"):
        maintenance.call(name, True, lambda text, name=name: answers.setdefault(name, text))
    assert changes == [("a", True), ("b", True)] and not answers and len(tasks) == 1
    write, on_done = tasks.pop()
    on_done(write())
    assert answers == {"a": ""} and json.loads(Path(maintenance.path).read_text())["banned"] == ["a"]
    [(write, on_done)] = tasks  # The second write contains the change made during the first.
    on_done(write())
    assert answers == {"a": "", "b": ""} and json.loads(Path(maintenance.path).read_text())["banned"] == [
        "a",
        "b",
    ]


def test_failed_write_fails_all_waiting_calls_and_reverts_their_bans(make_maintenance):
    tasks = []
    maintenance, changes, lines = make_maintenance(lambda *task: tasks.append(task))
    maintenance.on_listed(["a", "b"])
    answers = []
    maintenance.call("a", True, answers.append)
    maintenance.call("b", True, answers.append)
    tasks.pop()[1](TaskError("disk full"))
    assert [answer.startswith("not kept") for answer in answers] == [True, True]
    assert not maintenance.banned and any("disk full" in line for line in lines) and not tasks
    assert changes[-2:] == [("a", False), ("b", False)]


def test_file_has_simultaneous_bans_of_both_processes(make_maintenance):
    one, other = make_maintenance()[0], make_maintenance()[0]
    for maintenance in (one, other):
        maintenance.on_listed(["a", "b"])
    answer_of(one, "a", True)
    answer_of(other, "b", True)  # This process does not know the first ban yet and overwrites the file.
    other.on_published("a", True)
    assert json.loads(Path(one.path).read_text())["banned"] == ["a", "b"]


def test_requests_and_calls_are_answered_while_disk_hangs(node_with_admin, tmp_path):
    program, _, _, call_admin = node_with_admin(reply())
    call_admin("maint-on s-0")
    call_admin("maint-off s-0")
    # A named pipe takes the place of the temporary file, so that the writer blocks until it is read.
    os.mkfifo(tmp_path / "state" / f"maintenance.{program.process.pid}")
    caller = socket.create_connection(address_of(program.environment["PROXY_ADMIN"]), timeout=10)
    with caller, caller.makefile("rb") as source:
        caller.sendall(b"maint-on s-0\n")
        time.sleep(0.2)
        assert program.ask(b"GET /ready HTTP/1.1\r\n\r\n").status == "200"
        assert call_admin("status") == "SUCCESS status\n"
        assert program.ask(request()).status == "503"  # The ban is in force.
        with open(tmp_path / "state" / f"maintenance.{program.process.pid}", "rb") as pipe:
            assert json.loads(pipe.read())["banned"] == ["s-0"]
        assert source.readline() == b"SUCCESS maint-on\n"


# Maintenance and standby, over sockets.


def test_banned_backend_gets_no_request_until_ban_ends(node_with_admin):
    program, (first, second), _, call_admin = node_with_admin(reply(), reply())
    for number in range(10):
        program.ask(request(ident=str(number)))
    assert first.seen and second.seen
    assert call_admin("maint-on s-0").startswith("SUCCESS")
    seen = len(first.seen)
    for number in range(10):
        assert program.ask(request(ident=str(number))).status == "200"
    assert len(first.seen) == seen
    assert "maintenance of s-0 begins" in program.log()
    assert call_admin("maint-off s-0").startswith("SUCCESS")

    def gets_request():
        program.ask(request())
        return len(first.seen) > seen

    wait_for(gets_request, 5)


def test_standby_serves_new_connections_and_closes_idle_ones(node_with_admin):
    program, _, _, call_admin = node_with_admin(reply(), limits={"linger_s": 0.3})
    with program.connect() as idle, program.connect() as incomplete, program.connect() as used:
        used.sendall(request())
        assert read_message(used.makefile("rb")).status == "200"
        incomplete.sendall(request()[:40])
        assert call_admin("standby") == "SUCCESS standby\n"
        assert call_admin("status") == "FAILURE standby\n"
        assert program.ask(b"GET /ready HTTP/1.1\r\n\r\n").status == "503"
        answer = program.ask(request(ident="2"))
        assert (answer.status, answer.headers["connection"]) == ("200", "close")
        began = time.monotonic()
        assert idle.recv(1) == b"" and used.recv(1) == b""
        assert read_message(incomplete.makefile("rb")).status == "408"
        assert time.monotonic() - began < 3.5
        assert call_admin("standby") == "SUCCESS standby\n"
    assert call_admin("active") == "SUCCESS active\n"
    assert call_admin("status") == "SUCCESS status\n"
    assert program.ask(b"GET /ready HTTP/1.1\r\n\r\n").status == "200"
    with program.connect() as sock, sock.makefile("rb") as source:
        for number in range(2):  # The connection stays open between two requests again.
            sock.sendall(request(ident=str(number)))
            assert read_message(source).status == "200"


def test_active_call_during_drain_keeps_open_connections(node_with_admin):
    program, _, _, call_admin = node_with_admin(reply(), limits={"linger_s": 0.5})
    with program.connect() as sock, sock.makefile("rb") as source:
        sock.sendall(request())
        assert read_message(source).status == "200"
        call_admin("standby")
        call_admin("active")
        time.sleep(1.2)
        sock.sendall(request())
        assert read_message(source).status == "200"


def test_sigterm_in_standby_shuts_down_gracefully(node_with_admin):
    program, _, _, call_admin = node_with_admin(reply(), limits={"linger_s": 0.3})
    call_admin("standby")
    program.process.terminate()
    assert program.ask(request()).status == "200"
    assert program.process.wait(5) == 0


def test_standby_answers_request_in_flight(node_with_admin):
    program, (backend,), _, call_admin = node_with_admin(silent, limits={"linger_s": 0.1})
    with program.connect() as sock, sock.makefile("rb") as source:
        sock.sendall(request(timeout=3000))
        wait_for(lambda: backend.seen)
        call_admin("standby")
        time.sleep(0.6)
        reply()(backend, backend.open[0], None)
        assert read_message(source).status == "200"


def test_file_of_bans_is_complete_json(node_with_admin, tmp_path):
    _, _, _, call_admin = node_with_admin(reply())
    call_admin("maint-on s-0")
    assert json.loads((tmp_path / "state" / "maintenance.json").read_text())["banned"] == ["s-0"]
