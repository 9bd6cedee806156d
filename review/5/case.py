"""Case 5: a long body to a backend that hangs has no final answer in its time. See claim.txt."""

import asyncio
import fcntl
import json
import os
import pathlib
import signal
import socket
import struct
import sys
import termios
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig  # noqa: E402

BACKENDS = 5
TENANT = "ba-motorloans"
TIMEOUT_MS = 880
MAY_BE_LATE_S = 0.5  # up to so much after its time an answer only earns nothing
WATCHED_S = 8.0  # how long a client stays, to see whether an answer comes at all
REACHES_NODE_S = (
    0.2  # by then the node's machine has acknowledged the last byte, else the request doesn't count
)
# What the buffers of a machine hold differs; with Linux's defaults it is some 4 MB on the way to a backend.
SIZES = [round(megabytes * 1e6) for megabytes in (4.5, 5, 5.5, 6, 5, 8, 5.5, 6, 0.1, 16)]
SAVES, EVERY_S = 60, 0.33
SETTINGS = {
    "routes": [
        rig.route("script-load", "idempotent", 350, TIMEOUT_MS, 1.0),
        rig.route("promise-save", "at_most_once", 350, TIMEOUT_MS, 10.0),
    ],
    "accounts": [{"name": TENANT, "quota_per_s": 100.0, "share": 1.0}],
    "zones": ["namoli"], "kinds": ["std-a"], "zone": 0, "siblings": 1, "me": 0,
    "policy_limits": {
        "cancel": True, "connect_timeout": 250_000, "keepalive": 30_000_000, "max_upstream_tries": 5,
        "parallel_tries": True, "peers": False, "probes": False, "retry_after": True,
        "max_retry_after": 2_000_000,
    },
    "rules": {
        "cold_from": 0.31, "warm_within": 8_200_000, "drain_grace": 2_000_000, "fall_multiple": 3.0,
        "overload_for": 2_000_000, "grace_to_answer": 5000,
    },
    "discovery": "pushed", "tick": 1000, "surplus_value": 0.1,
}  # fmt: skip


def unacknowledged(sock):
    """Returns how many written bytes the node's machine has not acknowledged yet."""
    return struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, b"\0" * 4))[0]


def save(record, listen, ident, size, lost):
    """Sends a save on a connection of its own; adds it to `lost` if it was taken and not answered in time."""
    host, port = listen.split(":")
    data = rig.request("POST", "promise-save", TENANT, ident, TIMEOUT_MS, b"x" * size)
    with socket.create_connection((host, int(port)), timeout=WATCHED_S) as sock:
        began = time.monotonic()
        try:
            sock.sendall(data)
        except OSError as error:
            return record(f"{ident} {size} bytes not written whole, so not taken: {error!r}")
        written = time.monotonic()
        while unacknowledged(sock) and time.monotonic() < written + REACHES_NODE_S:
            time.sleep(0.001)
        if unacknowledged(sock):
            return record(f"{ident} {size} bytes not acknowledged whole, so not counted")
        record(
            f"{ident} {size} bytes sent, whole at the node's machine after {time.monotonic() - began:.3f} s"
        )
        sock.settimeout(max(written + WATCHED_S - time.monotonic(), 0.01))
        try:
            head = sock.recv(4096).split(b"\r\n")[0].decode()
        except OSError:
            head = ""
        waited = time.monotonic() - written
    in_time = bool(head) and waited <= TIMEOUT_MS / 1000 + MAY_BE_LATE_S
    record(f"{ident} {repr(head) if head else 'no answer'} {waited:.3f} s after its last byte")
    if not in_time:
        lost.append(ident)
        record(f"LOST: {ident}, whose client waits {TIMEOUT_MS} ms")


async def case(record, processes):
    backends = [
        await processes.start_stand_in(f"s-{n}", FOLDER / "backend.py", processes.folder / f"events-{n}")
        for n in range(BACKENDS)
    ]
    agent = rig.Agent([rig.member(f"s-{n}", ports[0], "namoli") for n, (_, ports) in enumerate(backends)])
    await agent.start()
    listen = rig.free_address()
    node = processes.start_node(rig.configuration(agent, listen, SETTINGS))
    clients = rig.Clients(listen)
    await rig.wait_ready(clients, node)
    before, lost = [], []
    for number in range(2 * BACKENDS):  # every backend is known before the trouble begins
        await asyncio.to_thread(save, record, listen, f"w{number:03d}", 1000, before)
    if before:
        raise rig.CannotRunError("saves were not answered before the trouble")
    if rig.TROUBLE:
        record("s-0 hangs: its process is stopped")
        os.kill(backends[0][0].pid, signal.SIGSTOP)
    threads = []
    for number in range(SAVES):
        arguments = record, listen, f"c{number:03d}", SIZES[number % len(SIZES)], lost
        threads.append(threading.Thread(target=save, args=arguments))
        threads[-1].start()
        await asyncio.sleep(EVERY_S)
    for thread in threads:
        await asyncio.to_thread(thread.join)
    if rig.TROUBLE:
        os.kill(backends[0][0].pid, signal.SIGCONT)
        await asyncio.sleep(0.5)
    if node.poll() is not None:
        raise rig.CannotRunError("the node has ended")
    for number in range(BACKENDS):
        for line in (processes.folder / f"events-{number}").read_text().splitlines():
            at, what, ident = json.loads(line)
            record(f"s-{number} {what} {ident}", at)
    record(f"{len(lost)} of {len(threads)} saves lost: {' '.join(sorted(lost))}")
    return not lost


rig.play(FOLDER, case)
