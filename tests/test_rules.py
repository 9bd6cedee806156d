"""Decisions of the balancer: retries, slow start, requests over quota and shedding."""

import pytest
from helpers import NOW, listed, node

from basalthoist.decisions.interface import LoadReport, Outcome
from basalthoist.decisions.random_numbers import Lcg
from basalthoist.decisions.request import Attempt, Request
from basalthoist.decisions.units import SECOND

TWO_CELLS = [listed("a", cell=0), listed("b", cell=0), listed("c", cell=1)]


def start_request(balancer, ident=1):
    balancer.on_request(NOW, ident, 0, 0, 8000, False)


@pytest.mark.parametrize(
    ("semantics", "group", "outcome", "answers"),
    [
        ("idempotent", "cell", Outcome.ERROR, {"send"}),
        ("idempotent", "cell", Outcome.REJECTED, {"send"}),
        ("at_most_once", "cell", Outcome.REJECTED, {"send"}),
        ("at_most_once", "cell", Outcome.CONNECT_FAILED, {"send"}),
        ("at_most_once", "cell", Outcome.ERROR, {"fail"}),
        ("at_most_once", "cell", Outcome.RESET, {"fail"}),
        ("deduplicated", "cell", Outcome.RESET, {"send"}),
        ("deduplicated", "all", Outcome.RESET, {"send"}),
    ],
)
def test_failed_attempt_is_retried_or_failed_by_route_semantics(semantics, group, outcome, answers):
    balancer, host = node(TWO_CELLS, semantics=semantics, routes__0__group=group)
    start_request(balancer)
    first = host.take("send")[0][2]
    for step in range(1, 40):  # long enough for queued requests to be sent, shed or failed
        if step == 1:
            balancer.on_attempt_ended(NOW + 50, 1, 0, outcome, 50, False, None)
        balancer.on_wake(NOW + 50 + step * 200, "due")
        calls = host.take("send", "shed", "fail")
        if calls:
            break
    assert {calls[0][0]} == answers
    if semantics == "deduplicated" and group == "cell" and calls[0][0] == "send":
        cells = {"a": 0, "b": 0, "c": 1}
        assert cells[calls[0][2]] == cells[first]


@pytest.mark.parametrize("semantics", ["idempotent", "at_most_once", "deduplicated"])
def test_request_is_answered_once_before_its_timeout(semantics):
    balancer, host = node(TWO_CELLS, semantics=semantics)
    start_request(balancer)
    host.take()
    balancer.on_wake(NOW + 7990, "due")
    answers = host.take("shed", "fail")
    assert [a[0] for a in answers] == ["shed" if semantics == "idempotent" else "fail"]
    balancer.on_attempt_ended(NOW + 7995, 1, 0, Outcome.ERROR, 7995, False, None)
    balancer.on_client_gone(NOW + 8000, 1)
    assert host.take("send", "shed", "fail") == []


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_draining_backend_gets_no_new_requests(state):
    balancer, host = node([listed("a"), listed("b")])
    balancer.on_endpoint_list(NOW, [listed("a", state=state)], False)
    for ident in range(4):
        start_request(balancer, ident)
    assert {c[2] for c in host.take("send")} == {"b"}


def test_backend_missing_from_a_complete_list_gets_no_requests():
    balancer, host = node([listed("a"), listed("b")])
    balancer.on_endpoint_list(NOW, [listed("b")], True)
    start_request(balancer)
    assert host.take("send")[0][2] == "b"


@pytest.mark.parametrize("nodes", [2, 40, 400])
def test_slow_start_limits_all_nodes_together_and_counts_rejections(nodes):
    sent = 0
    for seed in range(nodes):
        balancer, host = node([listed("a", started=NOW)], seed=seed, nodes=nodes)
        balancer.demand = 40.0 / nodes
        balancer.choose(NOW)
        for at in range(NOW + 500, NOW + 10_000, 500):
            balancer.backends["a"].saturated_until = 0
            balancer.on_request(at, at, 0, 0, 8000, False)
            for call in host.take("send"):
                sent += 1
                balancer.on_attempt_ended(at, call[1], 0, Outcome.REJECTED, 5, False, None)
    assert 1 <= sent <= 2.0 * 0.25 * 40  # fall_multiple 2, capacity 0.25, 40/s for a warm backend


HEALTH_CHECK_SETTINGS = {
    "policy_limits__probes": True,
    "feedback__fields": ["inflight"],
    "prices__probe": 0.001,
}


def offer_to_idle_backend(balancer, host, outcome, until, tokens_at=()):
    """Offers two requests at a time to an idle warming backend, which has tokens only at `tokens_at`.

    Returns how many requests the backend got.
    """
    backend, sent = balancer.backends["a"], 0
    for at in range(NOW + 10, until, 20):
        backend.slow_start.rate = backend.slow_start.tokens = 0.0
        backend.slow_start.tokens, backend.saturated_until = float(at in tokens_at), 0
        balancer.on_request(at, at, 0, 0, 8000, False)
        balancer.on_request(at, at + 1, 0, 0, 8000, False)
        balancer.on_health_check_ended(at, "a", Outcome.COMPLETED, 5, LoadReport(0.0, None, None, None))
        attempts = host.take("send")
        assert len(attempts) <= 1 and len(backend.open_attempts) <= 1
        sent += len(attempts)
        for ident in (at, at + 1):
            balancer.on_client_gone(at + 9, ident)  # so that no retry follows
        ending = Outcome.COMPLETED if at in tokens_at else outcome
        for call in attempts:
            balancer.on_attempt_ended(
                at + 10, call[1], 0, ending, 10, True, LoadReport(0.0, None, None, None)
            )
    return sent


@pytest.mark.parametrize("outcome", [Outcome.COMPLETED, Outcome.REJECTED, Outcome.ERROR])
def test_idle_warming_backend_gets_one_request_at_a_time_beyond_its_rate(outcome):
    balancer, host = node([listed("a", started=NOW)], **HEALTH_CHECK_SETTINGS)
    sent = offer_to_idle_backend(balancer, host, outcome, NOW + 2000, tokens_at=[NOW + 10]) - 1
    # A backend that rejects or fails gets no more than its rate allows: rejected requests count as well.
    assert sent > 50 if outcome == Outcome.COMPLETED else sent == 1


@pytest.mark.parametrize("outcome", [Outcome.COMPLETED, Outcome.REJECTED, Outcome.ERROR])
def test_warming_backend_without_recent_answers_gets_nothing_beyond_its_rate(outcome):
    """Guards against hundreds of nodes that together overload an idle backend with one request each."""
    balancer, host = node([listed("a", started=NOW)], **HEALTH_CHECK_SETTINGS)
    assert offer_to_idle_backend(balancer, host, outcome, NOW + 2000) == 0
    balancer, host = node([listed("a", started=NOW)], **HEALTH_CHECK_SETTINGS)
    offer_to_idle_backend(balancer, host, Outcome.COMPLETED, NOW + 2000, tokens_at=[NOW + 10])
    for request in list(balancer.requests.values()):
        balancer.finish(request)
    late = NOW + 2000 + SECOND + 100  # later than `overload_for` after the last answer
    balancer.on_request(late, late, 0, 0, 8000, False)
    balancer.backends["a"].slow_start.rate = balancer.backends["a"].slow_start.tokens = 0.0
    balancer.on_health_check_ended(late, "a", Outcome.COMPLETED, 5, LoadReport(0.0, None, None, None))
    assert not host.take("send")


def test_retry_of_shed_surplus_counts_as_surplus():
    balancer, _ = node([listed("a")], tenants__count=1, **{"tenants__0__quota_per_s": 1.0})
    surplus_flags = []
    for ident, is_retry in enumerate([False] * 6 + [True]):
        balancer.on_request(NOW, ident, 0, 0, 8000, is_retry)
        surplus_flags.append(balancer.requests[ident].surplus if ident in balancer.requests else None)
    assert surplus_flags[-1] is not False


def test_rejection_by_a_full_backend_adds_a_slow_sample():
    balancer, _ = node([listed("a")])
    backend, request = (
        balancer.backends["a"],
        Request(1, balancer.routes[0], NOW, NOW + 8000, NOW + 3000, False),
    )
    for outcome, mean in ((Outcome.COMPLETED, 100), (Outcome.REJECTED, 4050)):
        balancer.update_estimates(NOW, Attempt(request, backend, NOW, 0.0), outcome, 100)
        assert backend.profile.total_time / backend.profile.count == mean


@pytest.mark.parametrize(("gap", "surplus"), [(0.4, True), (1.0, False)])
def test_random_bursts_at_a_small_node_are_not_surplus(gap, surplus):
    balancer, _ = node([listed("a")], tenants__count=1, **{"tenants__0__quota_per_s": 0.4})  # two nodes
    times = [NOW + int(gap * 50_000 * (i - i % 3)) for i in range(24)]  # in groups of three
    surplus_flags = [
        balancer.quotas.tenants[0].take(at, False, balancer.quotas.node_fraction) for at in times
    ]
    assert (surplus_flags.count(False) > 4) is surplus


def test_shedding_in_quota_lowers_the_admitted_surplus():
    balancer, _ = node([listed("a")])
    for surplus, admitted in ((True, 1.0), (False, 0.9)):
        balancer.shed_or_fail(NOW, Request(1, balancer.routes[0], NOW, NOW + 8000, NOW + 3000, surplus))
        assert balancer.surplus.admitted_fraction == admitted
    late = Request(2, balancer.routes[0], NOW, NOW + 8000, NOW + 3000, False)
    balancer.update_estimates(
        NOW + 3001, Attempt(late, balancer.backends["a"], NOW, 0.0), Outcome.COMPLETED, 3001
    )
    assert balancer.surplus.admitted_fraction == pytest.approx(0.8)


@pytest.mark.parametrize(
    ("missed", "min_mean", "max_mean"),  # fraction of requests in quota; bounds on the mean admitted fraction
    [(0.0, 1.0, 1.0), (0.05, 0.9, 1.0), (0.1, 0.6, 1.0), (0.35, 0.0, 0.1), (1.0, 0.0, 0.02)],
)
def test_admitted_surplus_falls_with_the_rate_of_misses(missed, min_mean, max_mean):
    """The node gets ten requests per second: with hundreds of nodes, that is a busy one."""
    balancer, _ = node([listed("a")])
    rng, admitted, at = Lcg(5), [], NOW
    for number in range(1200):
        at += SECOND // 10
        balancer.on_request(at, number, 0, 0, 8000, False)
        balancer.finish(balancer.requests[number])
        request = Request(number, balancer.routes[0], at, at + 8000, at + 3000, False)
        if rng.uniform() < missed:
            balancer.shed_or_fail(at, request)
        admitted.append(max(balancer.surplus.admitted_fraction, 0.0))
    assert min_mean <= sum(admitted[200:]) / 1000 <= max_mean
    for number in range(2000, 2070):  # seven seconds after the last miss all surplus is admitted
        balancer.on_request(at, number, 0, 0, 8000, False)
    assert balancer.surplus.admitted_fraction == 1.0


@pytest.mark.parametrize(("late_value", "calls"), [(0.0, ["shed"]), (0.5, ["send"])])
def test_late_retry_without_late_value_is_shed(late_value, calls):
    balancer, host = node([listed("a")], routes__0__overdue_value=late_value)
    # The client has already spent 8000 - 3500, more than the objective of 3000.
    balancer.routes[0].usual_timeout = 4500
    balancer.on_request(NOW, 1, 0, 0, 3500, True)
    assert [c[0] for c in host.take("send", "shed")] == calls


@pytest.mark.parametrize(
    ("entries", "nodes", "zone", "answer"),
    [
        ([], 1, 0, "shed"),  # an empty list
        ([listed("a", zone=1)], 1, 0, "send"),  # no backend in the node's own zone
        ([listed("a")], 400, 0, "send"),  # more nodes than backends
        ([listed(f"b{i}", zone=i % 4) for i in range(600)], 400, 2, "send"),
    ],
)
def test_fleet_of_any_size_answers_every_request(entries, nodes, zone, answer):
    balancer, host = node(entries, nodes=nodes, location=zone)
    start_request(balancer)
    balancer.on_wake(NOW + 500, "tick")
    balancer.on_wake(NOW + 7990, "due")
    assert answer in {c[0] for c in host.take("send", "shed")}
    assert len(balancer.subset.backends) <= 12
