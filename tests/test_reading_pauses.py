"""Pauses in reading a connection, of a client or a backend, end when their reason has ended."""

import contextlib
import time

import pytest
from helpers import StandIn, read_message, reply, request, silent

from basalthoist.net.arrivals import Arrivals

TIMEOUT_MS = 800
# The users' bound: a final answer up to half a second after a request's time is not lost.
LATEST_ANSWER_S = TIMEOUT_MS / 1000 + 0.5
STEP_BYTES = 200_000  # less than one read has


def send_and_wait(sock, source, data):
    sock.settimeout(LATEST_ANSWER_S)
    sock.sendall(data)
    return read_message(source).status


@pytest.mark.parametrize("size", [70_000, 85_000, 100_000, 130_000, 160_000, 1_000_000])
@pytest.mark.parametrize("ends_with", ["third request", "close", "shutdown"])
def test_connection_is_read_again_after_a_long_request_behind_a_short_one(start, size, ends_with):
    """Guards against a connection that is never read again, once too much was sent ahead on it."""
    program, (backend,), _ = start(reply())
    pipelined = request(timeout=TIMEOUT_MS, ident="1") + request("pay", TIMEOUT_MS, bytes(size), ident="2")
    sock = program.connect()
    with sock, sock.makefile("rb") as source:
        sock.sendall(pipelined)
        assert [read_message(source).status for _ in range(2)] == ["200", "200"]
        if ends_with == "third request":
            assert send_and_wait(sock, source, request(timeout=TIMEOUT_MS, ident="3")) == "200"
        elif ends_with == "shutdown":
            program.process.terminate()
            assert program.process.wait(TIMEOUT_MS / 1000 + 0.7) == 0
    if ends_with == "close":
        program.process.terminate()
        assert program.process.wait(TIMEOUT_MS / 1000 + 0.7) == 0


class AnswersBySize(StandIn):
    """Answers each request with as many bytes as its id says, all on one connection."""

    def serve(self, sock):
        with contextlib.suppress(OSError, EOFError), sock, sock.makefile("rb") as source:
            while True:
                size = int(read_message(source).headers["request-id"])
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size))


def test_backend_connection_is_read_again_after_an_answer_that_was_read_late(start):
    """Guards against a connection to a backend that is used again while its reading is paused."""
    program, _, _ = start(AnswersBySize(reply()))
    for number in range(1, 31):
        size = number * STEP_BYTES
        with program.connect() as slow, slow.makefile("rb") as slow_source:
            slow.sendall(request(timeout=TIMEOUT_MS, ident=str(size)))
            time.sleep(0.1)
            assert len(read_message(slow_source).body) == size
        with program.connect() as sock, sock.makefile("rb") as source:
            assert send_and_wait(sock, source, request(timeout=TIMEOUT_MS, ident=str(number))) == "200", size


def test_request_that_lies_unread_has_its_time_from_its_own_last_byte(start):
    """Guards against time that counts from a later request's last byte, while a connection is not read."""
    program, _, _ = start(silent)
    ahead = request(timeout=1200, ident="1")
    ahead += b"".join(request("pay", TIMEOUT_MS, bytes(60_000), ident=ident) for ident in "23")
    with program.connect() as sock, sock.makefile("rb") as source:
        sock.sendall(ahead)
        time.sleep(0.1)
        sent_at = time.monotonic()
        sock.sendall(request(timeout=TIMEOUT_MS, ident="4"))  # not read until the first is answered
        time.sleep(1.0)
        sock.sendall(request(timeout=TIMEOUT_MS, ident="5"))
        for _ in range(4):
            assert read_message(source).status in ("503", "504")
        assert time.monotonic() - sent_at <= LATEST_ANSWER_S
        assert read_message(source).status == "503"


def test_bytes_have_the_time_at_which_they_were_observed_unread():
    """Guards against bytes that count from when they are read, or from when later ones came."""
    arrivals = Arrivals()
    arrivals.add(100, 1000)
    arrivals.observe_unread(50, 2000)
    arrivals.observe_unread(50, 3000)  # nothing has come since
    arrivals.observe_unread(70, 4000)
    arrivals.add(60, 5000)
    assert [arrivals.arrival_of_last_byte(unparsed) for unparsed in (60, 10, 0)] == [1000, 2000, 4000]
    arrivals.drop_received()
    arrivals.add(20, 6000)
    assert [arrivals.arrival_of_last_byte(unparsed) for unparsed in (10, 0)] == [4000, 6000]
