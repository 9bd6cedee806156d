"""The simulator adapter: batches, outcomes, malformed input and exceptions in a node."""

import io

import pytest

from basalthoist.simulator import adapter
from basalthoist.simulator.codec import WireError

START = (
    "START\t{node}\t5\tsiblings=1\troutes.count=1\troutes.0.semantics=idempotent\troutes.0.value=1.0"
    "\troutes.0.latency_objective=330000\troutes.0.overall_timeout=820000\tunheard.of=x\ttick=1000\n"
)
ENDPOINT_LIST = "CATALOG\t0\t1\nBACKEND\t{b}\t0\t0\t0\thealthy\t1\t-\n"


def serve(text):
    out = io.StringIO()
    adapter.serve(io.StringIO(text), out)
    return out.getvalue()


def test_empty_batch_is_answered_and_end_of_input_ends_serving():
    assert serve("FRAME\t8412250\t1\nYOUR_TURN\n\n") == "OK\t1\n"


@pytest.mark.parametrize(("micros", "expected"), [(0, 0), (-5, 0), (1, 1), (99, 1), (100, 1), (250, 2)])
def test_durations_are_rounded_down_but_stay_positive(micros, expected):
    assert adapter.to_tenths_of_ms(micros) == expected


def test_list_number_refers_to_the_last_list_before_it():
    text = "FRAME\t1000000\t1\n"
    for node, backend in ((1, "x:1"), (2, "y:1")):  # the same CATALOG number twice in one batch
        text += START.format(node=node) + ENDPOINT_LIST.format(b=backend) + f"TOPOLOGY\t{node}\tSAVED\t1\t0\n"
    text += "QUERY\t1\t11\t0\t-\t-\t820000\t-\t0\nQUERY\t2\t12\t0\t-\t-\t820000\t-\t0\nYOUR_TURN\n"
    reply = serve(text)
    assert "PASS_ON\t1\t11\tx:1\t" in reply
    assert "PASS_ON\t2\t12\ty:1\t" in reply


@pytest.mark.parametrize("code", ["0", "255", "254", "253", "252", "251", "250", "249"])
def test_outcomes_are_accepted_and_events_of_unknown_requests_ignored(code):
    text = "FRAME\t1000000\t1\n" + START.format(node=0) + ENDPOINT_LIST.format(b="x:1")
    text += "TOPOLOGY\t0\tSAVED\t1\t0\n"
    text += "QUERY\t0\t7\t0\t-\t-\t820000\t-\t0\nYOUR_TURN\nFRAME\t1050000\t2\n"
    text += f"ATTEMPT_END\t0\t7\t0\tx:1\t{code}\t50000\t{int(code == '0')}\t-\n"
    text += "ABORTED\t0\t7\nATTEMPT_END\t0\t99\t0\tx:1\t0\t5\t1\t-\nYOUR_TURN\n"
    reply = serve(text)
    assert reply.endswith("OK\t2\n")
    assert "PANIC" not in reply


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("HELLO\n", "batch none, line 1: expected FRAME"),
        ("FRAME\tx\t1\n", "whole number for the clock"),
        ("FRAME\t1\t4\nNOVELTY\t1\n", "batch 4, line 2: expected an event"),
        ("FRAME\t1\t4\nALARM\t1\n", "expected 2 values for ALARM"),
        ("FRAME\t1\t4\nCATALOG\t0\t1\nYOUR_TURN\n", "expected a BACKEND line"),
        ("FRAME\t1\t4\n", "batch 4, line 1: expected YOUR_TURN"),
        (
            f"FRAME\t1\t4\n{START.format(node=0)}QUERY\t0\tz\t0\t0\t-\t1\t-\t0\nYOUR_TURN\n",
            "values for QUERY",
        ),
    ],
)
def test_malformed_input_raises_an_error_with_its_line(text, expected):
    with pytest.raises(WireError, match=expected):
        serve(text)


def test_exception_in_a_node_is_reported_with_its_number(monkeypatch):
    monkeypatch.setattr(adapter.Balancer, "on_wake", lambda *_: 1 / 0)
    text = "FRAME\t1000000\t1\n" + START.format(node=3) + "ALARM\t3\ttick\nYOUR_TURN\n"
    assert "PANIC\t3\tZeroDivisionError" in serve(text)
