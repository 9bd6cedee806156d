"""A client that closes has gone: no try of its begins any more, first or further. docs/endings.md.

Times are those of the node's own clock, in one process with the test: a busy machine changes no order.
"""

import asyncio
import json
import socket
import threading
import time
from contextlib import closing

import pytest
import uvloop
from helpers import (
    DiscoveryStandIn,
    Program,
    StandIn,
    document,
    member,
    own_address,
    read_message,
    reply,
    request,
    wait_for,
)
from test_endings import CROWD, Late, asks, connecting_to, leave, patient, seen_of, standing_still
from test_gateway import Site, wait_for_spill_offer
from test_jsonrpc import JsonRpcBackend, call, echo

from basalthoist.configuration import decode, load_gateway
from basalthoist.net.clients.front_end import FrontEnd
from basalthoist.net.runtime.timers import SECOND
from basalthoist.net.service import Service

LIMIT = SECOND // 10  # after it a try that begins is a break


class Inside:
    """A node in this process, on real connections; `node.exchanges.node` are its decisions."""

    def __init__(self, loop, made, gateway=None):
        self.loop, self.made = loop, made
        self.node = Service(decode(json.dumps(made).encode(), {}), loop, gateway)
        self.dispatcher, self.timers = self.node.dispatcher, self.node.timers
        self.serving = loop.create_task(self.node.serve())

    async def until(self, true, seconds=10):
        end = time.monotonic() + seconds
        while not (found := true()):
            assert time.monotonic() < end, "waited in vain"
            await asyncio.sleep(0.002)
        return found

    def connect(self):
        host, port = self.made["listen"].rsplit(":", 1)
        return socket.create_connection((host, int(port)), timeout=10)

    async def asks(self, *data):
        """A client that has asked; what is not taken from it at once is written by a thread."""
        sock = self.connect()
        await self.loop.run_in_executor(None, sock.sendall, b"".join(data))
        return sock

    async def answer(self, *data):
        def ask():
            with self.connect() as sock, sock.makefile("rb") as source:
                sock.sendall(b"".join(data))
                return read_message(source)

        return await self.loop.run_in_executor(None, ask)

    async def up(self):
        await self.until(lambda: self.node.front_end.listener)
        await self.until(lambda: self.node.front_end.serving())

    async def limit_over(self):
        """Until a break would count, on the node's own clock: what fell due before has been done."""
        over = self.loop.create_future()
        self.timers.after(LIMIT, lambda: over.set_result(None))
        await over

    async def end(self):
        self.node.shut_down()
        for client in list(self.node.front_end.clients):
            client.transport.abort()
        await self.serving


def inside(act, *behaviours, gateway=None, **more):
    """Runs `act(node, *backends)` beside a node with these backends."""
    backends = [b if isinstance(b, StandIn) else StandIn(b) for b in behaviours]
    members = [member(f"s-{n}", backend) for n, backend in enumerate(backends)]
    discovery = DiscoveryStandIn(members)

    async def run():
        node = Inside(asyncio.get_running_loop(), document(discovery.address, members, **more), gateway)
        await node.up()
        try:
            await act(node, *backends)
        finally:
            await node.end()

    try:
        uvloop.run(run())
    finally:
        for one in [*backends, discovery]:
            one.close()


def gone_by(stand_in, sock, asked):
    """A try of whoever is called `cut` breaks off, others are answered."""
    if asked.headers["request-id"] == "cut":
        raise EOFError
    if asked.headers["request-id"] != "held":
        reply()(stand_in, sock, asked)


@pytest.mark.parametrize("how", ["fin", "rst"])
@pytest.mark.parametrize("which", ["first", "further", "second copy"])
def test_no_try_begins_once_the_end_has_come_to_the_machine(which, how):
    """It comes in the very turn in which the try is chosen. A further one and a second copy are controls."""

    async def act(node, one, other):
        pools = node.dispatcher.upstream.pools.values()
        while not all(pool.idle for pool in pools):  # connections that a try is written to at once
            await node.answer(request(ident=f"warm-{time.monotonic()}"))
        await asyncio.sleep(2 * node.node.limits.upstream_rest_s)
        decisions, ident = (
            node.dispatcher.balancer,
            {"further": "cut", "second copy": "held"}.get(which, "first"),
        )
        chosen, begins, ends = asyncio.Event(), decisions.on_request, decisions.on_attempt_ended

        def last_try(number):
            leave(sock, how)
            node.dispatcher.send(number, "s-1", 5000)
            decisions.on_request, decisions.on_attempt_ended = begins, ends
            chosen.set()

        def on_request(at, number, *rest):
            if which == "first":
                return last_try(number)
            node.dispatcher.send(number, "s-0", 5000)
            if which == "second copy":
                copies.append(number)

        copies = []
        decisions.on_request = on_request
        decisions.on_attempt_ended = (
            lambda at, number, *rest: last_try(number) if which == "further" else None
        )
        sock = node.connect()
        sock.sendall(request(timeout=8000, ident=ident))
        if which == "second copy":
            await node.until(lambda: ident in seen_of(one))
            last_try(copies[0])
        await asyncio.wait_for(chosen.wait(), 10)
        await node.until(lambda: not node.dispatcher.in_progress)
        assert (await node.answer(request(timeout=8000, ident="next"))).status == "200"
        assert seen_of(one, other).count(ident) == (which != "first")

    inside(act, gone_by, gone_by, settings_more=patient())


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("behind", ["requests", "body"])
def test_while_reading_is_paused_the_end_is_seen_in_time(monkeypatch, behind, cancel):
    """The sweep of a quarter second falls outside it: what it did is seen by its not being there."""
    monkeypatch.setattr(FrontEnd, "enforce_limits", lambda front_end: None)

    async def act(node, late):
        if behind == "requests":
            data = [request(timeout=8000, ident="left"), CROWD]
        else:
            head = request("pay", timeout=8000, ident="left", extra="Content-Length: 9000000\r\n")
            data = [head, b"x" * 200_000]
        sock = await node.asks(*data)
        [client] = await node.until(
            lambda: [c for c in node.node.front_end.clients if c.reading_paused and c.request]
        )
        await node.until(lambda: connecting_to(late))
        leave(sock)
        await node.limit_over()
        assert client not in node.node.front_end.clients
        assert not node.node.front_end.disconnect_monitor.clients
        late.come_up()
        await node.until(late.connected)
        assert (await node.answer(request(timeout=8000, ident="next"))).body == b"late"
        assert late.got() == ["next"]

    inside(act, Late(), settings_more=patient(cancel))


@pytest.mark.parametrize("cancel", [True, False])
def test_while_reading_is_paused_a_lane_to_another_site_ends_in_time(monkeypatch, tmp_path, cancel):
    """There this node is the client that leaves, and no further try begins for it."""
    monkeypatch.setattr(FrontEnd, "enforce_limits", lambda front_end: None)
    ends = {}

    def gateway(stand_in, sock, asked):
        if asked.path == "/site":
            return reply(200, b'{"site": "b", "usable": 4, "hot": false}')(stand_in, sock, asked)
        if asked.headers.get("request-id") != "left":
            return reply(200, b"b", Server_Load="inflight=0")(stand_in, sock, asked)
        ends["begun"] = sock
        ends["seen"] = sock.recv(1)

    with closing(StandIn(gateway)) as other:
        path = tmp_path / "gateway.toml"
        quick = "beat_s = 0.1\nsilent_s = 5.0\nsteady_s = 0.1\ncalm_s = 9.0\n"
        path.write_text(f"site = 'a'\n{quick}[[sites]]\nname = 'b'\ngateways = ['{other.address}']\n")
        told = load_gateway({"PROXY_GATEWAY": str(path)})

        async def act(node, *backends):
            async def spilled():
                asked = request("read", timeout=8000, ident=f"try-{time.monotonic()}")
                return (await node.answer(asked)).body == b"b"

            node.dispatcher.on_endpoint_list([], True)
            while not await spilled():
                await asyncio.sleep(0.01)
            sock = await node.asks(request(timeout=8000, ident="left"), CROWD)
            await node.until(lambda: ends)
            await node.until(
                lambda: [c for c in node.node.front_end.clients if c.reading_paused and c.request]
            )
            leave(sock)
            await node.limit_over()
            calls = [one for proxied in node.dispatcher.in_progress.values() for one in proxied.calls]
            assert all(one is None or one.finished for one in calls)
            await node.until(lambda: ends.get("seen") == b"")

        inside(act, reply(), gateway=told, settings_more=patient(cancel))


def test_from_a_paused_client_over_two_sites_no_further_try_begins(tmp_path):
    """Both sites are real. The first try there breaks off 0.1 s after the client has closed here; the way is
    the sweep before and two hops, so that without the mend each of these rounds goes wrong in 6 of 10."""
    gates = {}

    def breaks_off(stand_in, sock, asked):
        ident = asked.headers.get("request-id", "")
        if ident.startswith("left"):
            gates.setdefault(ident, threading.Event()).wait(10)
            raise EOFError
        reply(200, b"b", Server_Load="inflight=0")(stand_in, sock, asked)

    with closing(Site(tmp_path, "a", [reply()])) as a, closing(Site(tmp_path, "b", [breaks_off] * 2)) as b:
        a.start(b, settings=patient())
        b.start(a, settings=patient())
        for one in (a, b):
            wait_for(lambda one=one: one.discovery.watches and not one.says()["hot"])
        a.lose()
        wait_for_spill_offer(a)

        def spilled():
            return a.program.ask(request(timeout=8000, ident=f"try-{time.monotonic()}")).body == b"b"

        for turn in range(8):
            wait_for(spilled)
            ident = f"left-{turn}"
            sock, _ = asks(a.program, request(timeout=8000, ident=ident), CROWD)
            wait_for(lambda ident=ident: ident in gates)
            leave(sock)
            time.sleep(0.1)
            gates[ident].set()
        wait_for(spilled)
        seen = [ident for ident in seen_of(*b.backends) if ident and ident.startswith("left")]
        assert sorted(seen) == [f"left-{turn}" for turn in range(8)]


# JSON-RPC: a client that has only ended its sending may still read; one that has closed may not.


@pytest.fixture
def boxes(tmp_path):
    running = []

    def start(*made_of, cancel=True):
        found = [b if isinstance(b, StandIn) else JsonRpcBackend(b) for b in made_of]
        members = [member(f"s-{n}", box) for n, box in enumerate(found)]
        discovery, listen = DiscoveryStandIn(members), own_address()
        path = tmp_path / "jsonrpc.toml"
        path.write_text(f"listen = '{listen}'\n[methods]\nload = 'read'\nsave = 'pay'\n")
        made = document(discovery.address, members, settings_more=patient(cancel))
        program = Program(tmp_path, made, PROXY_JSONRPC=str(path)).wait_ready()
        running.extend([program, discovery, *found])
        wait_for(lambda: "listening for JSON-RPC" in program.log())
        program.address = tuple(listen.rsplit(":", 1))
        return program, found

    yield start
    for one in running:
        one.close()


def line(*what, **more):
    return json.dumps(call(*what, **more)).encode() + b"\n"


def said(program, *lines):
    with program.connect() as sock, sock.makefile("rb") as source:
        sock.sendall(b"".join(lines))
        return json.loads(source.readline())


def cut_once(gate):
    """The first call of `turn` 1 breaks off as soon as the gate is open; others are answered."""

    def behave(box, asked):
        if (asked.get("params") or {}).get("turn") != 1:
            return echo(box, asked)
        gate.wait(10)
        return b"cut" if len(gate.begun) == 1 else echo(box, asked)

    gate.begun = []

    def counted(box, asked):
        if (asked.get("params") or {}).get("turn") == 1:
            gate.begun.append(asked)
        return behave(box, asked)

    return counted


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("how", ["fin", "rst"])
def test_no_further_try_of_a_call_begins_for_a_client_that_has_closed(boxes, how, cancel):
    gate = threading.Event()
    program, _ = boxes(*[cut_once(gate)] * 2, cancel=cancel)
    sock, _ = asks(program, line("load", 1, turn=1))
    wait_for(lambda: gate.begun)
    leave(sock, how)
    gate.set()
    assert said(program, line("load", 1, turn=2))["result"] == {"turn": 2}
    time.sleep(0.2)  # the pause before a further try is over
    assert said(program, line("load", 1, turn=3))["result"] == {"turn": 3}
    assert len(gate.begun) == 1


@pytest.mark.parametrize("how", ["fin", "rst"])
def test_no_first_try_of_a_call_begins_for_who_has_closed_while_the_node_stood_still(boxes, how):
    program, [box] = boxes(echo)
    sock, _ = asks(program, line("load", 1, turn=0))
    with sock.makefile("rb") as source:
        assert json.loads(source.readline())["result"] == {"turn": 0}
    with standing_still(program):
        sock.sendall(line("load", 2, turn=1))
        leave(sock, how)
        time.sleep(0.3)
    assert said(program, line("load", 1, turn=2))["result"] == {"turn": 2}
    assert [params for _, params in box.runs] == ['{"turn": 0}', '{"turn": 2}']


def test_a_call_that_waits_for_a_connection_is_not_sent_for_a_client_that_has_closed(boxes):
    late = Late()
    program, _ = boxes(late)
    sock, _ = asks(program, line("load", 1, turn=1))
    wait_for(lambda: connecting_to(late))
    leave(sock)
    late.come_up()
    wait_for(late.connected)
    sock, _ = asks(program, line("load", 1, turn=2))
    wait_for(lambda: late.came)
    sock.close()
    assert b'"turn":2' in late.came[0].replace(b" ", b"")


def test_a_client_that_only_ends_its_sending_gets_the_answer_of_a_further_try(boxes):
    """It is asked by a space, which is none of its answers."""
    gate = threading.Event()
    program, _ = boxes(*[cut_once(gate)] * 2)
    sock, _ = asks(program, line("load", 7, turn=1))
    sock.shutdown(socket.SHUT_WR)
    wait_for(lambda: gate.begun)
    gate.set()
    with sock, sock.makefile("rb") as source:
        lines = source.readlines()
    assert [json.loads(text) for text in lines] == [{"jsonrpc": "2.0", "id": 7, "result": {"turn": 1}}]
    assert len(gate.begun) == 2


def test_a_notification_runs_on_though_its_client_has_closed(boxes):
    """It waits for nothing: a close in good order says nothing about it (control)."""
    gate = threading.Event()
    program, _ = boxes(*[cut_once(gate)] * 2)
    sock, _ = asks(program, line("load", None, turn=1))
    wait_for(lambda: gate.begun)
    leave(sock)
    gate.set()
    wait_for(lambda: len(gate.begun) == 2)
