"""A real node whose exchanges are timed part by part: `python -m basalthoist.experiments.scale.traced`.

The program has no line for this: its methods are wrapped here before it starts. Times are ns of the monotonic
clock, which clients and backends on this machine share: they say in a header when they wrote. At the end of
an exchange its parts go to a list; once the node is told to leave, the list goes to the file in SCALE_TRACE.
"""

import json
import os
import sys
import time
from pathlib import Path

from basalthoist.decisions.balancer import Balancer
from basalthoist.net.clients.http_connection import HttpClientConnection
from basalthoist.net.dispatcher import RequestDispatcher
from basalthoist.net.upstream.connection import Connection
from basalthoist.start import run_node

from .counting import Pauses

clock = time.monotonic_ns
READ, BEGUN, DECIDED, SENT, CARRIED, WRITTEN, HEARD, ENDED, ANSWERED = range(9)
MOST = 400_000  # exchanges kept


class Trace:
    """One of an exchange: when each step was over, the client's and the backend's word, and why it waited."""

    __slots__ = ("at", "asked_at", "said_at", "why", "tries")

    def __init__(self) -> None:
        self.at, self.asked_at, self.said_at = [0] * 9, 0, 0
        self.why, self.tries = "", 0


class Tracer:
    def __init__(self) -> None:
        self.open: dict[int, Trace] = {}
        self.done: list[Trace] = []
        self.rounds: list[tuple[int, int]] = []
        self.pauses = Pauses()
        self.read_at = self.heard_at = 0
        self.carrying = None  # of whom a call is being begun
        self.calls: dict[int, Trace] = {}  # by the call that waits for a connection

    def install(self) -> None:
        self.wrap_client()
        self.wrap_exchanges()
        self.wrap_node()
        self.wrap_connection()

    def wrap_client(self) -> None:
        received, tracer = HttpClientConnection.data_received, self

        def data_received(client, data):
            tracer.read_at = clock()
            received(client, data)

        HttpClientConnection.data_received = data_received

    def wrap_exchanges(self) -> None:
        begin, send, ended, tracer = (
            RequestDispatcher.begin,
            RequestDispatcher.send,
            RequestDispatcher.on_attempt_ended,
            self,
        )

        def traced_begin(host, request, *what):
            trace = tracer.open[request.id] = Trace()
            trace.at[READ], trace.at[BEGUN] = tracer.read_at, clock()
            head = request.head
            at = head.lower().find(b"sent-at: ")
            trace.asked_at = int(head[at + 9 : head.index(b"\r", at)]) if at >= 0 else 0
            begin(host, request, *what)
            if not trace.at[DECIDED]:
                trace.at[DECIDED] = clock()

        def traced_send(host, ident, backend, timeout):
            trace = tracer.open.get(ident)
            if trace is not None:
                trace.at[SENT], trace.tries = clock(), trace.tries + 1
                if not trace.at[DECIDED]:
                    trace.at[DECIDED] = trace.at[SENT]  # sent from within the first decision
                else:
                    trace.why = tracer.reason(host.balancer, ident, backend)
            tracer.carrying = trace
            send(host, ident, backend, timeout)
            tracer.carrying = None
            request = host.in_progress.get(ident)
            waits = trace is not None and trace.at[CARRIED] < trace.at[SENT]
            if waits and request is not None and request.calls and request.calls[-1] is not None:
                tracer.calls[id(request.calls[-1])] = trace

        def traced_ended(host, request, number, began_at, outcome, answer):
            trace = tracer.open.get(request.id)
            if trace is not None:
                trace.at[ENDED] = clock()
                said = answer.get(b"said-at") if answer is not None else None
                trace.said_at, trace.at[HEARD] = int(said or 0), tracer.heard_at
            for call in request.calls:
                tracer.calls.pop(id(call), None)
            ended(host, request, number, began_at, outcome, answer)
            if trace is not None and not request.open:
                del tracer.open[request.id]
                if len(tracer.done) < MOST:
                    tracer.done.append(trace)

        RequestDispatcher.begin, RequestDispatcher.send, RequestDispatcher.on_attempt_ended = (
            traced_begin,
            traced_send,
            traced_ended,
        )

    def reason(self, node: Balancer, ident: int, name: str) -> str:
        """Why it did not go out at once, as far as the decisions show it when it does."""
        request, backend, at = node.requests.get(ident), node.backends.get(name), clock() // 100_000
        if request is None or len(request.attempts) > 1:
            return "again"
        if request.surplus:
            return "surplus"
        if backend is not None and backend.is_warming(at):
            return "cold"
        return "asked a backend" if request.check_rounds and not request.checks_settled else "in share"

    def wrap_node(self) -> None:
        tick, tracer = Balancer.tick, self

        def traced_tick(node, now):
            began = clock()
            tick(node, now)
            tracer.rounds.append((began, clock()))

        Balancer.tick = traced_tick

    def wrap_connection(self) -> None:
        send, received, tracer = Connection.send, Connection.data_received, self

        def traced_send(connection, call):
            trace = tracer.carrying if not call.is_health_check else None
            trace = trace or tracer.calls.pop(id(call), None)
            if trace is None or call.is_health_check:
                return send(connection, call)
            trace.at[CARRIED] = clock()
            send(connection, call)
            trace.at[WRITTEN] = clock()

        def traced_received(connection, data):
            if connection.call is not None and not connection.call.is_health_check:
                tracer.heard_at = clock()
            received(connection, data)

        Connection.send, Connection.data_received = traced_send, traced_received
        answer = HttpClientConnection.answer

        def traced_answer(client, *what):
            request = client.request
            answer(client, *what)
            trace = tracer.open.get(request.id) if request is not None else None
            if trace is not None:
                trace.at[ANSWERED] = clock()

        HttpClientConnection.answer = traced_answer

    def write(self, path: Path) -> None:
        rows = [[t.asked_at, t.said_at, t.why, t.tries, *t.at] for t in self.done]
        told = {"exchanges": rows, "rounds": self.rounds, "pauses": self.pauses.found}
        path.write_text(json.dumps(told))


if __name__ == "__main__":
    tracer = Tracer()
    tracer.install()
    code = run_node()
    tracer.write(Path(os.environ["SCALE_TRACE"]))
    sys.exit(code)
