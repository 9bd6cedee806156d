"""Answers and bodies too long to be kept, slow peers, and the forms in which messages come."""

import time

import pytest
from helpers import read_message, reply, request, wait_for

LONG = bytes(range(256)) * 1200  # 300 kB


def test_a_long_body_goes_on_as_it_comes(start):
    program, (backend,), _ = start(reply())
    with program.connect() as sock:
        data = request("pay", body=LONG, timeout=300)
        for at in range(0, len(data), 30_000):
            sock.sendall(data[at : at + 30_000])
            time.sleep(0.05)
        assert read_message(sock.makefile("rb")).status == "200"
    assert backend.seen[0].body == LONG
