"""Windows and deadlines, with the node held up for 0.15 s between reading its clock and writing.

What is judged is what clients and backends saw. docs/terms-audit.md.
"""

import time

import pytest
from helpers import StandIn, read_message, reply, request, route

SLACK_S = 0.05  # the protocol page: each time limit is 50 ms longer


class ResetsLate(StandIn):
    """Resets a request's first attempt `late_s` after it came; `arrived` has when each attempt came."""

    def __init__(self, faults, late_s):
        self.faults, self.late_s, self.arrived = faults, late_s, {}
        super().__init__(type(self).answer)

    def answer(self, sock, asked):
        times = self.arrived.setdefault(asked.headers["request-id"], [])
        times.append(time.monotonic())
        if len(times) > 1:
            self.faults.set(hold_every=0)
            return reply()(self, sock, asked)
        self.faults.set(hold_ms=145, hold_every=1)
        time.sleep(self.late_s)
        raise EOFError


@pytest.mark.parametrize("late_s", [0.1, 0.2, 0.34, 0.38])
def test_a_repeat_reaches_its_backend_within_the_window_though_the_node_is_held_up(start, faults, late_s):
    backend = ResetsLate(faults, late_s)
    routes = [route("read", "deduplicated", dedup_window=400_000, latency_objective=800_000)]
    program, _, _ = start(backend, environment=faults.environment, settings_more={"routes": routes})
    for ident in ("a", "b", "c"):
        faults.set(hold_every=0)
        program.ask(request(ident=ident))
    for times in backend.arrived.values():
        assert times[-1] - times[0] <= 0.4 + SLACK_S
    assert late_s >= 0.2 or all(len(times) == 2 for times in backend.arrived.values())  # repeats go on


def told_ms(asked):
    return int(asked.headers["request-timeout-ms"])


def test_the_time_told_to_a_backend_is_no_more_than_is_left_though_the_node_is_held_up(start, faults):
    came = []

    def notes(stand_in, sock, asked):
        came.append((time.monotonic(), told_ms(asked)))
        reply()(stand_in, sock, asked)

    program, _, _ = start(notes, environment=faults.environment)
    faults.set(hold_ms=150, hold_every=1)
    for ident in range(5):
        began = time.monotonic()
        program.ask(request(ident=str(ident), timeout=800))
        at, told = came[-1]
        assert at + told / 1000 <= began + 0.8 + 0.15


def test_the_time_of_a_request_behind_another_counts_from_when_it_came(start):
    """A client that sends several at once: the second waits behind the first, and a third comes meanwhile."""
    came = {}

    def slow(stand_in, sock, asked):
        came[asked.headers["request-id"]] = time.monotonic(), told_ms(asked)
        time.sleep(0.5 if asked.headers["request-id"] == "first" else 0)
        reply()(stand_in, sock, asked)

    program, _, _ = start(slow)
    with program.connect() as sock, sock.makefile("rb") as source:
        began = time.monotonic()
        sock.sendall(request(ident="first") + request(ident="second"))
        time.sleep(0.3)
        sock.sendall(request(ident="third"))
        assert [read_message(source).status for _ in range(3)] == ["200"] * 3
    at, told = came["second"]
    assert at + told / 1000 <= began + 0.8 + 0.15
    at, told = came["third"]
    assert at + told / 1000 >= began + 0.3 + 0.7  # its own time, not that of the one before


@pytest.mark.parametrize("body_bytes", [500, 20_000, 40_000, 60_000])
def test_the_time_told_to_a_backend_holds_though_its_request_is_written_byte_by_byte(
    start, faults, body_bytes
):
    """An attempt counts from its last byte, however long it takes to write."""
    came = []

    def notes(stand_in, sock, asked):
        came.append((time.monotonic(), told_ms(asked)))
        reply()(stand_in, sock, asked)

    program, _, _ = start(notes, environment=faults.environment)
    with program.connect() as sock, sock.makefile("rb") as source:
        faults.set(short_bytes=1)
        began = time.monotonic()
        sock.sendall(request("pay", timeout=2000, body=b"x" * body_bytes))
        assert read_message(source).status in ("200", "503")
        assert time.monotonic() - began < 2.0 + 0.5
    assert all(at + told / 1000 <= began + 2.0 + 0.15 for at, told in came)
