"""Pauses in reading a connection, of a client or a backend, end when their reason has ended."""

import contextlib
import time

import pytest
from helpers import StandIn, read_message, reply, request

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
