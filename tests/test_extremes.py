"""Clauses of the users' pages at the earliest and the latest moment, twice, and in series.

Judged by what clients, backends and discovery saw. docs/terms-audit.md has a row for each clause.
"""

import errno
import json
import os
import signal
import socket
import threading
import time

import pytest
from helpers import (
    DiscoveryStandIn,
    StandIn,
    call,
    chunk,
    member,
    own_address,
    raw,
    read_message,
    reply,
    request,
    route,
    silent,
    wait_for,
)

HOUR_MS = 3_600_000


def bodies(program, count=8):
    return {program.ask(request(ident=f"b{n}")).body for n in range(count)}


# New configurations in a row.


def agent_of(stand_in):
    return DiscoveryStandIn([member("s-0", stand_in)])


@pytest.mark.parametrize("back", [False, True], ids=["on and on", "and back to the first"])
def test_of_new_configurations_in_a_row_the_last_counts_and_faulty_ones_change_nothing(start, back):
    names = b"one", b"two", b"three"
    backends = [StandIn(reply(200, name)) for name in names]
    agents = [agent_of(backend) for backend in backends]
    program, _, _ = start(backends[0], agent=agents[0])
    last = 0 if back else 2
    for step in (1, 2, "{", 1, '{"settings": 1}', last):
        text = (
            step if isinstance(step, str) else json.dumps(program.made | {"discovery": agents[step].address})
        )
        program.reload(text)
    began = time.monotonic()
    wait_for(lambda: bodies(program) == {names[last]}, 4)
    assert time.monotonic() - began < 4
    assert program.process.poll() is None
    for one in [*agents, *backends]:
        one.close()


@pytest.mark.parametrize("mute", [False, True], ids=["discovery answers", "discovery is silent"])
def test_a_sigterm_among_hangups_ends_the_node_in_time(start, mute):
    program, (backend,), discovery = start(reply())
    silent_agent = DiscoveryStandIn([], mute=True)
    for _ in range(3):
        text = json.dumps(program.made | {"discovery": silent_agent.address if mute else discovery.address})
        program.reload(text)
        program.reload("{")
    began = time.monotonic()
    program.process.send_signal(signal.SIGTERM)
    program.process.send_signal(signal.SIGHUP)
    program.process.send_signal(signal.SIGTERM)
    assert program.ask(request()).status == "200"
    assert program.process.wait(5) == 0
    assert time.monotonic() - began < 0.9 + 0.7
    silent_agent.close()


# Drains, in every form in which one is told.


def test_an_id_that_comes_back_at_another_address_gets_nothing_at_the_old_one(start):
    program, (old,), discovery = start(reply(200, b"old"))
    wait_for(lambda: discovery.watches)
    new = StandIn(reply(200, b"new"))
    assert bodies(program) == {b"old"}
    discovery.tell(member("s-0", new, started=int(time.time() * 1000)))
    wait_for(lambda: program.ask(request(ident="n")).body == b"new", 2)
    seen = len(old.seen)
    assert bodies(program) == {b"new"} and len(old.seen) == seen
    new.close()


def test_of_changes_in_one_read_the_last_counts(start):
    """Drained, back and drained again, within one piece of the watch; then gone, and back as another."""
    program, (one, two), discovery = start(reply(200, b"one"), reply(200, b"two"))
    wait_for(lambda: discovery.watches)
    phases = ("draining", "ready", "draining")
    lines = [
        json.dumps({"revision": 2 + n, "complete": False, "members": [member("s-0", one, phase)]}).encode()
        for n, phase in enumerate(phases)
    ]
    for sock in discovery.watches:
        sock.sendall(chunk(b"\n".join(lines) + b"\n"))
    wait_for(lambda: bodies(program) == {b"two"}, 2)
    seen = len(one.seen)
    assert bodies(program, 20) == {b"two"} and len(one.seen) == seen
    discovery.tell(member("s-0", one, "gone"))
    discovery.tell(member("s-0", one, "ready"))
    wait_for(lambda: b"one" in bodies(program, 20), 3)


def test_in_the_first_list_after_a_hangup_who_is_left_out_is_gone_though_it_answers(start):
    program, (one, two), _ = start(reply(200, b"one"), reply(200, b"two"))
    assert bodies(program, 20) == {b"one", b"two"}
    agent = DiscoveryStandIn([member("s-1", two)])
    program.reload(json.dumps(program.made | {"discovery": agent.address}))
    wait_for(lambda: bodies(program) == {b"two"}, 4)
    seen = len(one.seen)
    assert bodies(program, 20) == {b"two"} and len(one.seen) == seen
    agent.close()


def test_a_drain_told_while_answers_of_that_backend_are_passed_on_keeps_them(start):
    gate = threading.Event()

    def slowly(stand_in, sock, asked):
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(b"begun "))
        gate.wait(5)
        sock.sendall(chunk(b"whole") + chunk(b""))

    program, (slow, other), discovery = start(slowly, reply(200, b"other"))
    wait_for(lambda: discovery.watches)
    with program.connect() as sock, sock.makefile("rb") as source:
        for number in range(20):
            sock.sendall(request("feed", ident=f"f{number}"))
            head = source.readline()
            length = None
            while line := source.readline().strip():
                length = int(line.split(b":")[1]) if line.lower().startswith(b"content-length") else length
            assert b" 200 " in head
            if length is None:
                break
            source.read(length)
        discovery.tell(member("s-0", slow, "draining"))
        time.sleep(0.1)
        seen = len(slow.seen)
        assert bodies(program) == {b"other"} and len(slow.seen) == seen
        gate.set()
        assert b"begun " in source.readline() + source.readline()
        assert b"whole" in source.readline() + source.readline() + source.readline()


def test_operators_calls_in_series_leave_the_last_in_force(start):
    admin = own_address()
    program, (one, two), _ = start(reply(200, b"one"), reply(200, b"two"), admin=admin)
    for line in ("maint-on s-0", "maint-off s-0", "maint-on s-0", "maint-on s-0"):
        assert call(admin, line).startswith("SUCCESS")
    seen = len(one.seen)
    assert bodies(program, 20) == {b"two"} and len(one.seen) == seen
    assert call(admin, "maint-off s-0").startswith("SUCCESS")
    wait_for(lambda: b"one" in bodies(program, 20), 5)


# Answers that are none, or lie.

HEAD = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    "answer",
    [
        HEAD + b"Content-Length: 9\r\n\r\nshort",  # its length lies
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk(b"one") + chunk(b"two"),  # cut between chunks
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk(b"one") + b"5\r\ntw",  # cut in one
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",  # cut before the first
        b"HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 9\r\n\r\nsho",  # not whole: may have run
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 2",
        b"half a line",
    ],
)
def test_an_answer_that_is_cut_is_none_and_is_not_taken_for_never_run(start, answer):
    program, backends, _ = start(raw(answer, then_close=True), raw(answer, then_close=True))
    paid = program.ask(request("pay", ident="p"))
    assert paid.status in ("502", "504")
    assert sum(asked.headers["request-id"] == "p" for b in backends for asked in b.seen) == 1
    assert program.ask(request(ident="r")).status in ("502", "503", "504")


def test_two_answers_in_one_read_are_one_answer_and_noise(start):
    both = HEAD + b"Content-Length: 3\r\n\r\none" + HEAD + b"Content-Length: 3\r\n\r\ntwo"
    program, _, _ = start(raw(both))
    assert [program.ask(request(ident=str(n))).body for n in range(6)] == [b"one"] * 6


# Requests that come slowly, late, or with little time.


def test_a_head_in_single_bytes_over_all_of_its_time_is_served_and_counts_from_its_last_byte(start):
    told = []

    def notes(stand_in, sock, asked):
        told.append(int(asked.headers["request-timeout-ms"]))
        reply()(stand_in, sock, asked)

    program, _, _ = start(notes)
    data = request(timeout=800)
    began = time.monotonic()
    with program.connect() as sock, sock.makefile("rb") as source:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for number in range(len(data)):
            time.sleep(max(began + 2.0 * number / len(data) - time.monotonic(), 0))
            sock.sendall(data[number : number + 1])
        assert read_message(source).status == "200"
    assert 700 <= told[0] <= 800


@pytest.mark.parametrize("left_ms", [0, 1, 2, 5, 10, 20])
def test_a_request_with_hardly_any_time_left_is_answered_at_once(start, left_ms):
    program, _, _ = start(silent, silent)
    for name in ("read", "pay"):
        began = time.monotonic()
        answer = program.ask(request(name, timeout=left_ms, ident=f"{name}{left_ms}"))
        assert answer.status in ("502", "503", "504")
        assert time.monotonic() - began < left_ms / 1000 + 0.5


@pytest.mark.parametrize("rest_at_s", [0.35, 0.5, 0.6, 0.75])
def test_a_request_that_is_half_there_when_listening_ends_is_answered(start, rest_at_s):
    """SIGTERM comes first; the second half comes around the end of listening, 0.55 s later, and beyond."""
    program, _, _ = start(reply())
    data = request(timeout=800)
    with program.connect() as sock, sock.makefile("rb") as source:
        sock.sendall(request(ident="first"))
        assert read_message(source).status == "200"
        program.process.send_signal(signal.SIGTERM)
        began = time.monotonic()
        sock.sendall(data[:40])
        time.sleep(began + rest_at_s - time.monotonic())
        sock.sendall(data[40:])
        assert read_message(source).status == "200"
    assert program.process.wait(3) == 0


def test_what_is_half_there_at_the_very_end_is_told_so(start):
    program, _, _ = start(reply())
    with program.connect() as sock, sock.makefile("rb") as source:
        sock.sendall(request()[:40])
        program.process.send_signal(signal.SIGTERM)
        began = time.monotonic()
        answer = read_message(source)
        assert answer.status == "503" and answer.headers["connection"] == "close"
        assert time.monotonic() - began < 0.9 + 0.7 - 0.1
    assert program.process.wait(3) == 0


# The wall clock steps while requests are under way; connections break in every documented way.


@pytest.mark.parametrize("wall_ms", [-HOUR_MS, HOUR_MS, -3000, 3000])
def test_deadlines_and_the_end_are_spans_of_real_time(start, faults, wall_ms):
    routes = [route("read", "at_most_once", 0.8)]
    program, _, _ = start(silent, environment=faults.environment, settings_more={"routes": routes})
    with program.connect() as sock, sock.makefile("rb") as source:
        began = time.monotonic()
        sock.sendall(request(timeout=800))
        time.sleep(0.1)
        faults.set(wall_ms=wall_ms)
        assert read_message(source).status == "504"
        assert 0.7 < time.monotonic() - began < 1.0
        began = time.monotonic()
        program.process.send_signal(signal.SIGTERM)
        time.sleep(0.1)
        faults.set(wall_ms=0)
        sock.sendall(request(timeout=800, ident="2"))
        assert read_message(source).status == "504"
    assert program.process.wait(5) == 0
    assert 0.55 <= time.monotonic() - began < 0.8 + 0.7


@pytest.mark.parametrize("name", ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET", "EPIPE"])
def test_a_connection_that_breaks_under_a_request_in_any_documented_way_may_have_run(start, faults, name):
    def later(stand_in, sock, asked):
        time.sleep(0.1)
        reply()(stand_in, sock, asked)

    program, backends, _ = start(later, later, environment=faults.environment)
    faults.set(read_errno=getattr(errno, name))
    for kind, statuses in (("pay", {"502"}), ("read", {"200"})):
        with program.connect() as sock, sock.makefile("rb") as source:
            sock.sendall(request(kind, ident=kind))
            wait_for(lambda kind=kind: kind in [a.headers["request-id"] for b in backends for a in b.seen])
            faults.set(read_left=1)
            assert read_message(source).status in statuses
    paid = [a for b in backends for a in b.seen if a.headers["request-id"] == "pay"]
    assert len(paid) == 1


class AgentInTrouble(DiscoveryStandIn):
    """Discovery that hangs on, refuses or resets so many calls, and answers those behind them."""

    def __init__(self, members, trouble, calls):
        self.trouble, self.left = trouble, calls
        super().__init__(members)

    def answer(self, sock, asked):
        if self.left <= 0:
            return super().answer(sock, asked)
        self.left -= 1
        if self.trouble == "refuses":
            return sock.sendall(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
        if self.trouble == "resets":
            raise EOFError


@pytest.mark.parametrize(
    ("trouble", "calls"),
    [("hangs", 1), ("hangs", 2), ("refuses", 1), ("refuses", 5), ("resets", 5)],
)
def test_what_discovery_has_is_known_4_s_after_a_hangup_though_its_first_calls_fail(start, trouble, calls):
    program, (one, two), _ = start(reply(200, b"one"), reply(200, b"two"))
    agent = AgentInTrouble([member("s-1", two)], trouble, calls)
    program.reload(json.dumps(program.made | {"discovery": agent.address}))
    began = time.monotonic()
    time.sleep(3.9)
    seen = len(one.seen)
    assert bodies(program, 20) == {b"two"} and len(one.seen) == seen, time.monotonic() - began
    agent.close()


@pytest.mark.parametrize(("trouble", "calls"), [("hangs", 1), ("refuses", 5), ("resets", 5)])
def test_what_discovery_has_is_known_6_s_after_a_start_though_its_first_calls_fail(start, trouble, calls):
    one, two = StandIn(reply(200, b"one")), StandIn(reply(200, b"two"))
    agent = AgentInTrouble([member("s-1", two)], trouble, calls)
    began = time.monotonic()
    program, _, _ = start(one, two, agent=agent, known=[member("s-0", one), member("s-1", two)])
    time.sleep(max(began + 5.5 - time.monotonic(), 0))
    seen = len(one.seen)
    assert bodies(program, 20) == {b"two"} and len(one.seen) == seen


# A disk that hangs.


def test_requests_go_on_while_the_file_of_a_new_configuration_cannot_be_read(start):
    """A pipe stands for a file on a disk that hangs: opening it waits. A further hangup comes meanwhile."""
    program, _, _ = start(reply(200, b"old"))
    new = StandIn(reply(200, b"new"))
    agent = agent_of(new)
    text = json.dumps(program.made | {"discovery": agent.address})
    program.path.unlink()
    os.mkfifo(program.path)
    program.process.send_signal(signal.SIGHUP)
    for number in range(20):
        began = time.monotonic()
        assert program.ask(request(ident=f"r{number}")).body == b"old"
        assert time.monotonic() - began < 0.3
        if number == 10:
            program.process.send_signal(signal.SIGHUP)
    pipe = os.open(program.path, os.O_WRONLY)  # once the program has opened it
    program.path.unlink()
    program.path.write_text(text)  # what the further hangup has to find
    os.write(pipe, b"{")
    os.close(pipe)
    wait_for(lambda: bodies(program) == {b"new"}, 4)
    agent.close()
    new.close()


def test_a_node_ends_in_time_while_the_file_of_a_new_configuration_cannot_be_read(start):
    program, _, _ = start(reply())
    program.path.unlink()
    os.mkfifo(program.path)
    program.process.send_signal(signal.SIGHUP)
    time.sleep(0.1)
    program.process.send_signal(signal.SIGTERM)
    assert program.ask(request()).status == "200"
    assert program.process.wait(0.9 + 0.7) == 0
