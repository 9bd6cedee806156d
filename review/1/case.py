"""One client sends a long body in chunks: a list of short lines with an empty line after each.

Usual clients go on meanwhile. Each of their requests has to get its final answer in time. Without the
disruption the body has the same length and the same chunks, but no empty lines.
"""

import asyncio
import pathlib
import random
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import common  # noqa: E402

ROUTES = {"script-load": "idempotent", "outcome-save": "at_most_once", "promise-save": "at_most_once"}
TIMEOUT_MS = 880  # the overall timeout of every route
LATE_S = 0.5 + 0.05  # a final answer up to so long after its time is not lost
RATE = 20.0  # requests a second at this node: 59 over three nodes
PLAY_S = 30.0
WORK_S = 0.09
BODY_BYTES = 32_000_000  # of bodies up to 32 MB
CHUNK_BYTES = 1_000_000
WITH_EMPTY_LINES = b"outcome=sale\r\n\r\n" * (CHUNK_BYTES // 16)
WITHOUT = b"outcome=sale, ok" * (CHUNK_BYTES // 16)


class Backend(common.Server):
    """Answers each request after some work; reads bodies of any length."""

    def __init__(self, record):
        super().__init__()
        self.record = record

    async def serve(self, reader, writer):
        while True:
            request = await common.read_message(reader, keep_body=False)
            ident = request.headers.get("request-id", "")
            self.record(f"run  {ident}")
            await asyncio.sleep(WORK_S)
            writer.write(common.answer_of(200, b"answer to " + ident.encode()))


class LongClient(threading.Thread):
    """A client in a thread of its own: one request whose body comes in chunks, as fast as it is taken."""

    def __init__(self, address, record, text):
        super().__init__(daemon=True)
        self.address, self.record, self.text, self.stopped = address, record, text, False
        self.sent_bytes, self.status = 0, b""

    def run(self):
        host, _, port = self.address.rpartition(":")
        with socket.create_connection((host, int(port))) as sock:
            sock.settimeout(60)
            head = b"POST /outcome-save/long HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: long-1\r\n"
            head += b"Request-Class: outcome-save\r\nTenant: sabeto-credit\r\n"
            head += b"Request-Timeout-Ms: 880\r\nTransfer-Encoding: chunked\r\n\r\n"
            self.record("sent long-1 POST /outcome-save/long in chunks")
            try:
                sock.sendall(head)
                while self.sent_bytes < BODY_BYTES and not self.stopped:
                    sock.sendall(b"%x\r\n%b\r\n" % (len(self.text), self.text))
                    self.sent_bytes += len(self.text)
                sock.sendall(b"0\r\n\r\n")
                self.status = sock.recv(100).partition(b"\r\n")[0]
            except OSError as error:
                self.status = repr(error).encode()
            self.record(f"got  long-1 {self.status!r}")


async def play(record, temporary, nodes):
    backends = [await Backend(record).start() for _ in range(9)]
    members = [
        common.member(f"s-{i}", backend.address, "namoli", "std-a", 0) for i, backend in enumerate(backends)
    ]
    discovery = await common.Discovery(members).start()
    route = {"latency_objective": 350_000, "overall_timeout": TIMEOUT_MS * 1000, "value": 1.0}
    document = {
        "name": "n0",
        "listen": f"{common.HOST}:{common.free_port()}",
        "discovery": discovery.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 1, "complete": True, "members": members},
        "settings": {
            "zones": ["namoli"], "kinds": ["std-a"], "zone": 0, "siblings": 1, "tick": 5000,
            "discovery": "pushed",
            "routes": [route | {"name": name, "semantics": kind} for name, kind in ROUTES.items()],
            "accounts": [{"name": "sabeto-credit", "quota_per_s": 100.0}],
            "policy_limits": {
                "connect_timeout": 200_000, "keepalive": 5_000_000, "max_upstream_tries": 5, "cancel": True,
            },
            "rules": {"drain_grace": 2_000_000, "grace_to_answer": 0},
        },
    }  # fmt: skip
    node = common.Node(temporary, document)
    nodes.append(node)
    await node.wait_ready()
    client = common.Client(node.address, record)
    rng = random.Random(1)
    results = {}

    async def ask(number):
        name = rng.choice(list(ROUTES))
        method = "GET" if ROUTES[name] == "idempotent" else "POST"
        ident = f"u-{number}"
        patience = TIMEOUT_MS / 1000 + 6
        results[ident] = await client.ask(method, name, "/page", ident, "sabeto-credit", TIMEOUT_MS, patience)

    async def usual(first, seconds):
        tasks, started_at = [], time.monotonic()
        for number in range(int(seconds * RATE)):
            await asyncio.sleep(max(started_at + number / RATE - time.monotonic(), 0))
            tasks.append(asyncio.create_task(ask(first + number)))
        await asyncio.gather(*tasks)

    await usual(0, 3.0)
    if any(answer is None or answer.status != 200 for answer, _ in results.values()):
        raise common.NotRunError("not all requests were served before the long body")
    long_client = LongClient(node.address, record, WITH_EMPTY_LINES if common.trouble() else WITHOUT)
    long_client.start()
    await usual(1000, PLAY_S)
    long_client.stopped = True
    limit = TIMEOUT_MS / 1000 + LATE_S
    lost = sorted(ident for ident, (answer, took) in results.items() if answer is None or took > limit)
    never = [ident for ident in lost if results[ident][0] is None]
    served = sum(answer is not None and answer.status == 200 for answer, _ in results.values())
    longest = max(took for _, took in results.values())
    record.say(
        f"{len(results)} usual requests: {served} served, {len(lost)} lost (final answer later than"
        f" {limit:.2f} s after the request, {len(never)} of these not within {limit + 5.45:.1f} s),"
        f" longest {longest:.2f} s; {long_client.sent_bytes} bytes of the long body sent,"
        f" answered {long_client.status.decode()!r}"
    )
    if not long_client.sent_bytes:
        raise common.NotRunError("the long body was not sent")
    for ident in lost:
        record(f"LOST {ident} {results[ident][1]:.3f} s")
    client.close()
    return not lost


common.run_case(pathlib.Path(__file__).parent, play)
