"""Graceful shutdown before the earliest allowed SIGKILL: the longest deadline plus 0.7 s after SIGTERM.

See docs/terms-audit.md.
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
    """A client that sends requests until connections are refused. `lost` lists requests without an answer.

    Two kinds of failed requests are not counted as lost. A node may close a used connection between two
    requests while the next one is on its way: the request then fails within CROSSED_S without a byte of the
    answer. A node may also close a new connection before a slow client sends on it: the node's machine then
    has not acknowledged the request.
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
                used, is_open = False, True
                while is_open and not self.stop:
                    number += 1
                    is_open = self.send_request(sock, source, f"{self.client}-{number}", used)
                    used = True

    def send_request(self, sock, source, ident, used):
        """Sends a request and reads its answer; returns whether the connection stays open."""
        start, data = time.monotonic(), request(ident=ident, timeout=int(DEADLINE_S * 1000), extra=self.extra)
        try:
            sock.sendall(data)
            answer = read_message(source)
        except (OSError, EOFError, IndexError) as error:
            took = time.monotonic() - start
            acknowledged_all = used or acknowledged_bytes(sock) >= len(data)
            if acknowledged_all and (not used or took > self.CROSSED_S or self.killed):
                self.lost.append((ident, start, round(took, 3), used, repr(error)))
            return False
        self.answered += 1
        if (took := time.monotonic() - start) > DEADLINE_S + LATE_S:
            self.late.append((ident, took))
        return answer.headers.get("connection") != "close"


def acknowledged_bytes(sock):
    """Returns the bytes that the peer's machine has acknowledged: `tcpi_bytes_acked` of Linux's tcp_info."""
    return struct.unpack_from("Q", sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 136), 120)[0]


def reply_after_30_ms(stand_in, sock, message):
    time.sleep(0.03)
    reply()(stand_in, sock, message)


@pytest.mark.parametrize("connects_s", [0.4, 1.2], ids=["within drain grace", "beyond drain grace"])
@pytest.mark.parametrize("signals", [(), (signal.SIGTERM,), (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)])
def test_all_requests_answered_before_earliest_sigkill_under_load(start, signals, connects_s):
    routes = [route("read", "at_most_once", DEADLINE_S)]
    program, _, _ = start(reply_after_30_ms, silent, reply_after_30_ms, settings_more={"routes": routes})
    assert_shutdown_answers_all_requests(program, signals, connects_s)


def assert_shutdown_answers_all_requests(program, signals, connects_s, extra=""):
    """Sends SIGTERM, further signals and the earliest allowed SIGKILL while 24 clients send requests.

    Asserts that no request is lost or late, and that the process ends by itself before SIGKILL.
    """
    senders = [Sender(program, f"c{n}", extra) for n in range(24)]
    for sender in senders:
        sender.start()
    time.sleep(0.8)
    terminated_at = time.monotonic()
    for sender in senders:
        sender.connects_until = terminated_at + connects_s
    program.process.send_signal(signal.SIGTERM)
    for further in signals:
        time.sleep(0.1)
        program.process.send_signal(further)
    kill_at, ended_at = terminated_at + DEADLINE_S + KILL_AFTER_S, None
    while time.monotonic() < kill_at:
        if program.process.poll() is not None and ended_at is None:
            ended_at = time.monotonic() - terminated_at
        time.sleep(0.005)
    for sender in senders:
        sender.killed = True
    program.process.kill()
    time.sleep(0.2)
    for sender in senders:
        sender.stop = True
    for sender in senders:
        sender.join(5)
    lost = [entry for sender in senders for entry in sender.lost]
    assert lost == [], [(ident, round(at - terminated_at, 3), *rest) for ident, at, *rest in lost]
    assert [late for sender in senders for late in sender.late] == []
    assert ended_at is not None and ended_at <= DEADLINE_S + KILL_AFTER_S - 0.1, ended_at
    assert sum(sender.answered for sender in senders) > 100


@pytest.mark.parametrize("repeated", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
def test_signals_repeated_until_exit_do_not_change_exit_status(start, repeated):
    program, _, _ = start(reply(), limits={"linger_s": 0.1})
    program.process.send_signal(signal.SIGTERM)
    until = time.monotonic() + 5
    while program.process.poll() is None and time.monotonic() < until:
        program.process.send_signal(repeated)
        time.sleep(0.0005)
    assert program.process.poll() == 0
