"""The wall clock is stepped forward or back while the monotonic clock continues. See docs/terms-audit.md."""

import time

import pytest
from helpers import member, read_message, reply, request, wait_for

from basalthoist.net.control.message_stream import new_incarnation

HOUR_MS = 3_600_000
SLOW_START = {"rules": {"warm_within": 20_000_000, "cold_from": 0.1, "fall_multiple": 2.0,
                        "overload_for": 1_000_000, "drain_grace": 1_000_000}}  # fmt: skip


def requests_at_new_backend(start, faults, wall_ms, before_start):
    """Returns how many of 480 requests in 2.5 s go to a backend, one of three, listed as just started."""
    if before_start:
        faults.set(wall_ms=wall_ms)
    program, backends, discovery = start(
        *[reply()] * 3, environment=faults.environment, settings_more=SLOW_START
    )
    wait_for(lambda: discovery.watches)
    send_evenly(program, 100, 0.6)
    faults.set(wall_ms=wall_ms)
    time.sleep(0.1)
    discovery.tell(member("s-2", backends[2], started=int(time.time() * 1000)))
    seen_before = len(backends[2].seen)
    send_evenly(program, 480, 2.5)
    return len(backends[2].seen) - seen_before


def send_evenly(program, count, seconds):
    started_at = time.monotonic()
    with program.connect() as sock, sock.makefile("rb") as source:
        for number in range(count):
            time.sleep(max(started_at + number * seconds / count - time.monotonic(), 0))
            sock.sendall(request(ident=f"{started_at}-{number}"))
            assert read_message(source).status == "200"


@pytest.mark.parametrize("before_start", [False, True], ids=["stepped while running", "stepped before start"])
@pytest.mark.parametrize("wall_ms", [0, -HOUR_MS, HOUR_MS, -6000, 6000, 15_000])
def test_new_backend_warms_up_although_the_wall_clock_is_stepped(start, faults, wall_ms, before_start):
    assert 1 <= requests_at_new_backend(start, faults, wall_ms, before_start) <= 40


def test_incarnation_grows_although_the_wall_clock_is_stepped_back(monkeypatch):
    earlier = new_incarnation()
    real_time_ns = time.time_ns
    monkeypatch.setattr("time.time_ns", lambda: real_time_ns() - HOUR_MS * 1_000_000)
    later = new_incarnation()
    assert later > earlier
