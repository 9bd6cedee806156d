"""Pauses in reading a connection, of a client or a backend, end when their reason has ended."""

import pytest
from helpers import read_message, reply, request

TIMEOUT_MS = 800
# The users' bound: a final answer up to half a second after a request's time is not lost.
LATEST_ANSWER_S = TIMEOUT_MS / 1000 + 0.5


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
