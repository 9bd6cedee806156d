"""Counts the messages of a node by type, sent and received, and reads the processor time, memory and dropped
datagrams of its process. The product has no code for this: its functions are wrapped here.
"""

import gc
import os
import time
from collections import Counter
from pathlib import Path

from basalthoist.net.control import replica_socket

sent: Counter = Counter()  # by sender and message type
received: Counter = Counter()  # by recipient, sender and message type


def install() -> None:
    """Starts counting the fleet's messages of this process, as they are encoded and decoded."""
    encode, decode = replica_socket.encode, replica_socket.decode

    def counted_encode(key: bytes, envelope) -> bytes:
        data = encode(key, envelope)
        where = envelope.sender, type(envelope.message).__name__
        sent[(*where, "messages")] += 1
        sent[(*where, "bytes")] += len(data)
        return data

    def counted_decode(key: bytes, data: bytes):
        envelope = decode(key, data)
        where = envelope.recipient, envelope.sender, type(envelope.message).__name__
        received[(*where, "messages")] += 1
        received[(*where, "bytes")] += len(data)
        return envelope

    replica_socket.encode, replica_socket.decode = counted_encode, counted_decode


def message_counts() -> dict:
    """Returns rows for JSON. Sent: sender, type, messages, bytes. Received: the same after the recipient."""

    def rows(counter: Counter) -> list:
        keys = sorted({key[:-1] for key in counter})
        return [[*key, counter[(*key, "messages")], counter[(*key, "bytes")]] for key in keys]

    return {"sent": rows(sent), "heard": rows(received)}


def reset_counts() -> None:
    sent.clear()
    received.clear()


def cpu_s(pid: int, excluded_thread: int = 0) -> float:
    """Returns the processor time of a process, without that of `excluded_thread`; the kernel counts in ns."""
    total = 0
    for thread in Path(f"/proc/{pid}/task").iterdir():
        if int(thread.name) == excluded_thread:
            continue  # the thread that only writes the counts
        total += int((thread / "schedstat").read_text().split()[0])
    return total / 1e9


def memory_mb(pid: int) -> float:
    """Returns the private memory of a process, without pages that it shares with others."""
    found = 0
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        if line.startswith(("Private_Clean", "Private_Dirty")):
            found += int(line.split()[1])
    return found / 1024


def dropped_here() -> int:
    """Returns how many datagrams the kernel has dropped so far because a socket of this process was full."""
    mine = set()
    for link in Path("/proc/self/fd").iterdir():
        try:
            name = os.readlink(link)
        except OSError:
            continue
        if name.startswith("socket:["):
            mine.add(name[8:-1])
    rows = [line.split() for line in Path("/proc/net/udp").read_text().splitlines()[1:]]
    return sum(int(row[-1]) for row in rows if row[9] in mine)


class GcPauses:
    """Records when each garbage collection of this process began and ended, in ns of the monotonic clock."""

    def __init__(self) -> None:
        self.began, self.found = 0, []
        gc.callbacks.append(self.on_gc)

    def on_gc(self, phase: str, info: dict) -> None:
        if phase == "start":
            self.began = time.monotonic_ns()
        else:
            self.found.append((self.began, time.monotonic_ns(), info["generation"]))
