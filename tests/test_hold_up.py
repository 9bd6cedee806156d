"""Deduplication windows and deadlines while the node is delayed 0.15 s between reading its clock and writing.

The checks use only what clients and backends observe; docs/terms-audit.md lists the clauses.
"""

import time

import pytest
from helpers import StandIn, read_message, reply, request, route
from test_endings import Late

SLACK_S = 0.05  # by the protocol page each time limit is extended by 50 ms


class DelayedResetBackend(StandIn):
    """Resets a request's first attempt after `late_s`; `arrived` records when each attempt arrived."""

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
def test_retry_arrives_within_dedup_window_while_node_is_delayed(start, faults, late_s):
    backend = DelayedResetBackend(faults, late_s)
    routes = [route("read", "deduplicated", dedup_window=400_000, latency_objective=800_000)]
    program, _, _ = start(backend, environment=faults.environment, settings_more={"routes": routes})
    for ident in ("a", "b", "c"):
        faults.set(hold_every=0)
        program.ask(request(ident=ident))
    for times in backend.arrived.values():
        assert times[-1] - times[0] <= 0.4 + SLACK_S
    assert late_s >= 0.2 or all(len(times) == 2 for times in backend.arrived.values())  # time for a retry


def request_timeout_ms(asked):
    return int(asked.headers["request-timeout-ms"])


def test_backend_gets_no_more_than_remaining_time_while_node_is_delayed(start, faults):
    received = []

    def record(stand_in, sock, asked):
        received.append((time.monotonic(), request_timeout_ms(asked)))
        reply()(stand_in, sock, asked)

    program, _, _ = start(record, environment=faults.environment)
    faults.set(hold_ms=150, hold_every=1)
    for ident in range(5):
        began = time.monotonic()
        program.ask(request(ident=str(ident), timeout=800))
        at, timeout_ms = received[-1]
        assert at + timeout_ms / 1000 <= began + 0.8 + 0.15


def test_deadline_of_pipelined_request_counts_from_its_arrival(start):
    """On one connection the second request waits behind the first, and a third arrives 0.3 s later."""
    received = {}

    def slow(stand_in, sock, asked):
        received[asked.headers["request-id"]] = time.monotonic(), request_timeout_ms(asked)
        time.sleep(0.5 if asked.headers["request-id"] == "first" else 0)
        reply()(stand_in, sock, asked)

    program, _, _ = start(slow)
    with program.connect() as sock, sock.makefile("rb") as source:
        began = time.monotonic()
        sock.sendall(request(ident="first") + request(ident="second"))
        time.sleep(0.3)
        sock.sendall(request(ident="third"))
        assert [read_message(source).status for _ in range(3)] == ["200"] * 3
    at, timeout_ms = received["second"]
    assert at + timeout_ms / 1000 <= began + 0.8 + 0.15
    at, timeout_ms = received["third"]
    assert at + timeout_ms / 1000 >= began + 0.3 + 0.7  # the third request's own timeout, not the second's


@pytest.mark.parametrize("body_bytes", [500, 20_000, 40_000, 60_000])
def test_backend_gets_no_more_than_remaining_time_when_written_byte_by_byte(start, faults, body_bytes):
    """The timeout sent to a backend counts from the last byte of the attempt, however long writing takes."""
    received = []

    def record(stand_in, sock, asked):
        received.append((time.monotonic(), request_timeout_ms(asked)))
        reply()(stand_in, sock, asked)

    program, _, _ = start(record, environment=faults.environment)
    with program.connect() as sock, sock.makefile("rb") as source:
        faults.set(short_bytes=1)
        began = time.monotonic()
        sock.sendall(request("pay", timeout=2000, body=b"x" * body_bytes))
        assert read_message(source).status in ("200", "503")
        assert time.monotonic() - began < 2.0 + 0.5
    assert all(at + timeout_ms / 1000 <= began + 2.0 + 0.15 for at, timeout_ms in received)


@pytest.mark.parametrize("body_bytes", [1000, 70_000, 200_000, 1_000_000])
def test_backend_gets_no_more_than_remaining_time_after_an_attempt_that_did_not_connect(start, body_bytes):
    """Guards against a body over the buffer's limit whose time counts from when an attempt reads it."""
    received = []

    def record(stand_in, sock, asked):
        received.append((time.monotonic(), request_timeout_ms(asked)))
        reply()(stand_in, sock, asked)

    routes = [route("pay", "at_most_once", timeout_s=1.5, latency_objective=1_200_000)]
    more = {"routes": routes, "policy_limits": {"connect_timeout": 400_000, "max_upstream_tries": 3}}
    program, _, _ = start(Late(), record, settings_more=more)
    told_after_retry = []
    for ident in range(20):
        began = time.monotonic()
        with program.connect() as sock, sock.makefile("rb") as source:
            sock.sendall(request("pay", timeout=1500, body=b"x" * body_bytes, ident=str(ident)))
            assert read_message(source).status == "200"
        at, timeout_ms = received[-1]
        assert at + timeout_ms / 1000 <= began + 1.5 + 0.15
        if at > began + 0.4:
            told_after_retry.append(timeout_ms)
    assert told_after_retry
