"""A real node that traces the steps of each request: `python -m basalthoist.experiments.scale.traced`.

The product has no code for this: its methods are wrapped here before it starts. Times are ns of the monotonic
clock, which clients and backends on this machine share: they send their time of writing in a header. The
traces of finished requests are kept in memory and written to the file in SCALE_TRACE when the node exits.
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

from .counting import GcPauses

clock = time.monotonic_ns
(
    REQUEST_READ,
    STARTED,
    DECIDED,
    SENT,
    ON_CONNECTION,
    REQUEST_WRITTEN,
    RESPONSE_RECEIVED,
    ENDED,
    RESPONSE_WRITTEN,
) = range(9)
MAX_TRACES = 400_000  # requests traced; later ones are not recorded


class Trace:
    """The trace of a request: when each step ended, when client and backend wrote, and why it waited."""

    __slots__ = ("at", "sent_at", "answered_at", "why", "attempts")

    def __init__(self) -> None:
        self.at, self.sent_at, self.answered_at = [0] * 9, 0, 0
        self.why, self.attempts = "", 0


class Tracer:
    def __init__(self) -> None:
        self.open: dict[int, Trace] = {}
        self.done: list[Trace] = []
        self.rounds: list[tuple[int, int]] = []
        self.pauses = GcPauses()
        self.read_at = self.received_at = 0
        self.sending = None  # trace of the request whose attempt is being sent
        self.calls: dict[int, Trace] = {}  # by the id of the call that waits for a connection

    def install(self) -> None:
        self.wrap_client()
        self.wrap_dispatcher()
        self.wrap_balancer()
        self.wrap_connection()

    def wrap_client(self) -> None:
        received, tracer = HttpClientConnection.data_received, self

        def data_received(client, data):
            tracer.read_at = clock()
            received(client, data)

        HttpClientConnection.data_received = data_received

    def wrap_dispatcher(self) -> None:
        begin, send, ended, tracer = (
            RequestDispatcher.begin,
            RequestDispatcher.send,
            RequestDispatcher.on_attempt_ended,
            self,
        )

        def traced_begin(host, request, *what):
            trace = tracer.open[request.id] = Trace()
            trace.at[REQUEST_READ], trace.at[STARTED] = tracer.read_at, clock()
            head = request.head
            at = head.lower().find(b"sent-at: ")
            trace.sent_at = int(head[at + 9 : head.index(b"\r", at)]) if at >= 0 else 0
            begin(host, request, *what)
            if not trace.at[DECIDED]:
                trace.at[DECIDED] = clock()

        def traced_send(host, ident, backend, timeout):
            trace = tracer.open.get(ident)
            if trace is not None:
                trace.at[SENT], trace.attempts = clock(), trace.attempts + 1
                if not trace.at[DECIDED]:
                    trace.at[DECIDED] = trace.at[SENT]  # sent during the first decision
                else:
                    trace.why = tracer.reason(host.balancer, ident, backend)
            tracer.sending = trace
            send(host, ident, backend, timeout)
            tracer.sending = None
            request = host.in_progress.get(ident)
            waits = trace is not None and trace.at[ON_CONNECTION] < trace.at[SENT]
            if waits and request is not None and request.calls and request.calls[-1] is not None:
                tracer.calls[id(request.calls[-1])] = trace

        def traced_ended(host, request, number, began_at, outcome, answer):
            trace = tracer.open.get(request.id)
            if trace is not None:
                trace.at[ENDED] = clock()
                answered_header = answer.get(b"said-at") if answer is not None else None
                trace.answered_at, trace.at[RESPONSE_RECEIVED] = int(answered_header or 0), tracer.received_at
            for call in request.calls:
                tracer.calls.pop(id(call), None)
            ended(host, request, number, began_at, outcome, answer)
            if trace is not None and not request.open:
                del tracer.open[request.id]
                if len(tracer.done) < MAX_TRACES:
                    tracer.done.append(trace)

        RequestDispatcher.begin, RequestDispatcher.send, RequestDispatcher.on_attempt_ended = (
            traced_begin,
            traced_send,
            traced_ended,
        )

    def reason(self, node: Balancer, ident: int, name: str) -> str:
        """Returns why the attempt was not sent at once, judging by the balancer's state at the send."""
        request, backend, at = node.requests.get(ident), node.backends.get(name), clock() // 100_000
        if request is None or len(request.attempts) > 1:
            return "again"
        if request.surplus:
            return "surplus"
        if backend is not None and backend.is_warming(at):
            return "cold"
        return "asked a backend" if request.check_rounds and not request.checks_settled else "in share"

    def wrap_balancer(self) -> None:
        tick, tracer = Balancer.tick, self

        def traced_tick(node, now):
            began = clock()
            tick(node, now)
            tracer.rounds.append((began, clock()))

        Balancer.tick = traced_tick

    def wrap_connection(self) -> None:
        send, received, tracer = Connection.send, Connection.data_received, self

        def traced_send(connection, call):
            trace = tracer.sending if not call.is_health_check else None
            trace = trace or tracer.calls.pop(id(call), None)
            if trace is None or call.is_health_check:
                return send(connection, call)
            trace.at[ON_CONNECTION] = clock()
            send(connection, call)
            trace.at[REQUEST_WRITTEN] = clock()

        def traced_received(connection, data):
            if connection.call is not None and not connection.call.is_health_check:
                tracer.received_at = clock()
            received(connection, data)

        Connection.send, Connection.data_received = traced_send, traced_received
        answer = HttpClientConnection.answer

        def traced_answer(client, *what):
            request = client.request
            answer(client, *what)
            trace = tracer.open.get(request.id) if request is not None else None
            if trace is not None:
                trace.at[RESPONSE_WRITTEN] = clock()

        HttpClientConnection.answer = traced_answer

    def write(self, path: Path) -> None:
        rows = [[t.sent_at, t.answered_at, t.why, t.attempts, *t.at] for t in self.done]
        trace_document = {"exchanges": rows, "rounds": self.rounds, "pauses": self.pauses.found}
        path.write_text(json.dumps(trace_document))


if __name__ == "__main__":
    tracer = Tracer()
    tracer.install()
    code = run_node()
    tracer.write(Path(os.environ["SCALE_TRACE"]))
    sys.exit(code)
