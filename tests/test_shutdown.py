"""The end of a process: SIGKILL as early as the longest deadline and 0.7 s after SIGTERM.

docs/terms-audit.md.
"""

import signal
import socket
import struct
import threading
import time

import pytest
from helpers import read_message, reply, request, route, silent

DEADLINE_S, KILL_AFTER_S, LATE_S = 0.3, 0.7, 0.5


class Sender(threading.Thread):
    """A client that goes on sending until nobody takes a connection; `lost` has what got no final answer.

    A node may close a connection between requests, and that may cross one it has not read: then no byte
    has come back, the connection has been used before, and the request was sent a moment ago.
    A new one may be closed as well before a client that is held up has sent anything on it: then the node's
    machine has not taken the request in.
    """

    CROSSED_S = 0.02

    def __init__(self, program, name, extra=""):
        super().__init__(daemon=True)
        self.program, self.client, self.extra, self.stop = program, name, extra, False
        self.connects_until, self.killed = float("inf"), False
        self.lost, self.late, self.answered = [], [], 0

    def run(self):
        number = 0
        while not self.stop and time.monotonic() < self.connects_until:
            try:
                sock = socket.create_connection(self.program.address, timeout=5)
            except OSError:
                time.sleep(0.02)
                continue
            with sock, sock.makefile("rb") as source:
                used, stays = False, True
                while stays and not self.stop:
                    number += 1
                    stays = self.ask(sock, source, f"{self.client}-{number}", used)
                    used = True

    def ask(self, sock, source, ident, used):
        """Whether the connection stays."""
        began, data = time.monotonic(), request(ident=ident, timeout=int(DEADLINE_S * 1000), extra=self.extra)
        try:
            sock.sendall(data)
            answer = read_message(source)
        except (OSError, EOFError, IndexError) as wrong:
            took = time.monotonic() - began
            taken_in = used or acknowledged(sock) >= len(data)
            if taken_in and (not used or took > self.CROSSED_S or self.killed):
                self.lost.append((ident, began, round(took, 3), used, repr(wrong)))
            return False
        self.answered += 1
        if (took := time.monotonic() - began) > DEADLINE_S + LATE_S:
            self.late.append((ident, took))
        return answer.headers.get("connection") != "close"


def acknowledged(sock):
    """Bytes that the other machine has taken in: `tcpi_bytes_acked` of Linux' struct tcp_info."""
    return struct.unpack_from("Q", sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 136), 120)[0]


def reply_after_30_ms(stand_in, sock, asked):
    time.sleep(0.03)
    reply()(stand_in, sock, asked)


@pytest.mark.parametrize("connects_s", [0.4, 1.2], ids=["new connections as told", "and beyond"])
@pytest.mark.parametrize("signals", [(), (signal.SIGTERM,), (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)])
def test_all_is_answered_before_the_earliest_kill_though_clients_go_on_sending(start, signals, connects_s):
    routes = [route("read", "at_most_once", DEADLINE_S)]
    program, _, _ = start(reply_after_30_ms, silent, reply_after_30_ms, settings_more={"routes": routes})
    assert_shutdown_answers_all_requests(program, signals, connects_s)


def assert_shutdown_answers_all_requests(program, signals, connects_s, extra=""):
    """SIGTERM, further signals, and SIGKILL at the earliest, while 24 clients go on sending."""
    senders = [Sender(program, f"c{n}", extra) for n in range(24)]
    for sender in senders:
        sender.start()
    time.sleep(0.8)
    told = time.monotonic()
    for sender in senders:
        sender.connects_until = told + connects_s
    program.process.send_signal(signal.SIGTERM)
    for one in signals:
        time.sleep(0.1)
        program.process.send_signal(one)
    kill_at, ended_at = told + DEADLINE_S + KILL_AFTER_S, None
    while time.monotonic() < kill_at:
        if program.process.poll() is not None and ended_at is None:
            ended_at = time.monotonic() - told
        time.sleep(0.005)
    for sender in senders:
        sender.killed = True
    program.process.kill()
    time.sleep(0.2)
    for sender in senders:
        sender.stop = True
    for sender in senders:
        sender.join(5)
    lost = [one for sender in senders for one in sender.lost]
    assert lost == [], [(ident, round(at - told, 3), *rest) for ident, at, *rest in lost]
    assert [late for sender in senders for late in sender.late] == []
    assert ended_at is not None and ended_at <= DEADLINE_S + KILL_AFTER_S - 0.1, ended_at
    assert sum(sender.answered for sender in senders) > 100


@pytest.mark.parametrize("also", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
def test_signals_up_to_the_last_moment_change_nothing(start, also):
    program, _, _ = start(reply(), limits={"linger_s": 0.1})
    program.process.send_signal(signal.SIGTERM)
    until = time.monotonic() + 5
    while program.process.poll() is None and time.monotonic() < until:
        program.process.send_signal(also)
        time.sleep(0.0005)
    assert program.process.poll() == 0
