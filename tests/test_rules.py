import pytest
from helpers import NOW, listed, node

from basalthoist.decisions.interface import LoadReport, Outcome
from basalthoist.decisions.random_numbers import Lcg
from basalthoist.decisions.request import Attempt, Request
from basalthoist.decisions.units import SECOND

TWO_PODS = [listed("a", cell=0), listed("b", cell=0), listed("c", cell=1)]


def begin(made, ident=1):
    made.on_request(NOW, ident, 0, 0, 8000, False)


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
def test_what_follows_a_failed_try(semantics, group, outcome, answers):
    made, host = node(TWO_PODS, semantics=semantics, routes__0__group=group)
    begin(made)
    first = host.take("send")[0][2]
    for step in range(1, 40):  # time enough for what is held to be sent or given up
        if step == 1:
            made.on_attempt_ended(NOW + 50, 1, 0, outcome, 50, False, None)
        made.on_wake(NOW + 50 + step * 200, "due")
        calls = host.take("send", "shed", "fail")
        if calls:
            break
    assert {calls[0][0]} == answers
    if semantics == "deduplicated" and group == "cell" and calls[0][0] == "send":
        pods = {"a": 0, "b": 0, "c": 1}
        assert pods[calls[0][2]] == pods[first]


@pytest.mark.parametrize("semantics", ["idempotent", "at_most_once", "deduplicated"])
def test_answered_once_before_the_timeout(semantics):
    made, host = node(TWO_PODS, semantics=semantics)
    begin(made)
    host.take()
    made.on_wake(NOW + 7990, "due")
    answers = host.take("shed", "fail")
    assert [a[0] for a in answers] == ["shed" if semantics == "idempotent" else "fail"]
    made.on_attempt_ended(NOW + 7995, 1, 0, Outcome.ERROR, 7995, False, None)
    made.on_client_gone(NOW + 8000, 1)
    assert host.take("send", "shed", "fail") == []


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_nothing_new_to_a_backend_told_to_drain(state):
    made, host = node([listed("a"), listed("b")])
    made.on_endpoint_list(NOW, [listed("a", state=state)], False)
    for ident in range(4):
        begin(made, ident)
    assert {c[2] for c in host.take("send")} == {"b"}


def test_absence_from_a_complete_list_is_being_told():
    made, host = node([listed("a"), listed("b")])
    made.on_endpoint_list(NOW, [listed("b")], True)
    begin(made)
    assert host.take("send")[0][2] == "b"


@pytest.mark.parametrize("nodes", [2, 40, 400])
def test_a_cold_backends_budget_holds_for_all_nodes_together_and_counts_what_it_turns_away(nodes):
    sent = 0
    for seed in range(nodes):
        made, host = node([listed("a", started=NOW)], seed=seed, nodes=nodes)
        made.demand = 40.0 / nodes
        made.choose(NOW)
        for at in range(NOW + 500, NOW + 10_000, 500):
            made.backends["a"].saturated_until = 0
            made.on_request(at, at, 0, 0, 8000, False)
            for call in host.take("send"):
                sent += 1
                made.on_attempt_ended(at, call[1], 0, Outcome.REJECTED, 5, False, None)
    assert 1 <= sent <= 2.0 * 0.25 * 40  # a multiple of 2, a quarter warm, 40 a second for one that is warm


ASKED = {"policy_limits__probes": True, "feedback__fields": ["inflight"], "prices__probe": 0.001}


def offer_idle(made, host, outcome, until, earned_at=()):
    """An idle cold backend, without budget but at `earned_at`, is offered two at a time; how many it got."""
    backend, sent = made.backends["a"], 0
    for at in range(NOW + 10, until, 20):
        backend.slow_start.rate = backend.slow_start.tokens = 0.0
        backend.slow_start.tokens, backend.saturated_until = float(at in earned_at), 0
        made.on_request(at, at, 0, 0, 8000, False)
        made.on_request(at, at + 1, 0, 0, 8000, False)
        made.on_health_check_ended(at, "a", Outcome.COMPLETED, 5, LoadReport(0.0, None, None, None))
        tries = host.take("send")
        assert len(tries) <= 1 and len(backend.open_attempts) <= 1
        sent += len(tries)
        for ident in (at, at + 1):
            made.on_client_gone(at + 9, ident)  # so that no other try follows
        ends = Outcome.COMPLETED if at in earned_at else outcome
        for call in tries:
            made.on_attempt_ended(at + 10, call[1], 0, ends, 10, True, LoadReport(0.0, None, None, None))
    return sent


@pytest.mark.parametrize("outcome", [Outcome.COMPLETED, Outcome.REJECTED, Outcome.ERROR])
def test_an_idle_cold_backend_gets_one_at_a_time_beyond_its_budget(outcome):
    made, host = node([listed("a", started=NOW)], **ASKED)
    sent = offer_idle(made, host, outcome, NOW + 2000, earned_at=[NOW + 10]) - 1
    # Whoever turns away or fails has no more than its budget: what it turns away counts as well.
    assert sent > 50 if outcome == Outcome.COMPLETED else sent == 1


@pytest.mark.parametrize("outcome", [Outcome.COMPLETED, Outcome.REJECTED, Outcome.ERROR])
def test_who_a_cold_backend_has_not_answered_lately_sends_it_nothing_beyond_the_budget(outcome):
    """Hundreds of nodes that each send one because it is idle push it over: it answers only so many."""
    made, host = node([listed("a", started=NOW)], **ASKED)
    assert offer_idle(made, host, outcome, NOW + 2000) == 0
    made, host = node([listed("a", started=NOW)], **ASKED)
    offer_idle(made, host, Outcome.COMPLETED, NOW + 2000, earned_at=[NOW + 10])
    for request in list(made.requests.values()):
        made.finish(request)
    late = NOW + 2000 + SECOND + 100  # `overload_for` after the last answer
    made.on_request(late, late, 0, 0, 8000, False)
    made.backends["a"].slow_start.rate = made.backends["a"].slow_start.tokens = 0.0
    made.on_health_check_ended(late, "a", Outcome.COMPLETED, 5, LoadReport(0.0, None, None, None))
    assert not host.take("send")


def test_a_retry_of_shed_surplus_is_still_surplus():
    made, _ = node([listed("a")], tenants__count=1, **{"tenants__0__quota_per_s": 1.0})
    marks = []
    for ident, again in enumerate([False] * 6 + [True]):
        made.on_request(NOW, ident, 0, 0, 8000, again)
        marks.append(made.requests[ident].surplus if ident in made.requests else None)
    assert marks[-1] is not False


def test_a_full_backend_counts_as_slow_however_good_its_few_answers():
    made, _ = node([listed("a")])
    backend, request = made.backends["a"], Request(1, made.routes[0], NOW, NOW + 8000, NOW + 3000, False)
    for outcome, mean in ((Outcome.COMPLETED, 100), (Outcome.REJECTED, 4050)):
        made.measure(NOW, Attempt(request, backend, NOW, 0.0), outcome, 100)
        assert backend.profile.total_time / backend.profile.count == mean


@pytest.mark.parametrize(("gap", "surplus"), [(0.4, True), (1.0, False)])  # of the time its share takes
def test_chance_at_a_small_node_is_told_from_surplus(gap, surplus):
    made, _ = node([listed("a")], tenants__count=1, **{"tenants__0__quota_per_s": 0.4})  # two nodes
    times = [NOW + int(gap * 50_000 * (i - i % 3)) for i in range(24)]  # they come in threes
    marks = [made.quotas.tenants[0].within(at, False, made.quotas.part) for at in times]
    assert (marks.count(False) > 4) is surplus


def test_surplus_gives_way_where_exchanges_in_share_are_shed():
    made, _ = node([listed("a")])
    for surplus, welcome in ((True, 1.0), (False, 0.9)):
        made.give_up(NOW, Request(1, made.routes[0], NOW, NOW + 8000, NOW + 3000, surplus))
        assert made.surplus.admitted == welcome
    late = Request(2, made.routes[0], NOW, NOW + 8000, NOW + 3000, False)
    made.measure(NOW + 3001, Attempt(late, made.backends["a"], NOW, 0.0), Outcome.COMPLETED, 3001)
    assert made.surplus.admitted == pytest.approx(0.8)


@pytest.mark.parametrize(
    ("missed", "least", "most"),  # of what is in share; surplus let in on the mean
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
def test_a_later_try_that_can_only_end_late_is_not_sent_for_nothing(late_value, calls):
    made, host = node([listed("a")], routes__0__overdue_value=late_value)
    made.routes[0].usual_timeout = 4500  # the client has spent 8000 - 3500 of its objective of 3000 already
    made.on_request(NOW, 1, 0, 0, 3500, True)
    assert [c[0] for c in host.take("send", "shed")] == calls


@pytest.mark.parametrize(
    ("entries", "nodes", "zone", "answer"),
    [
        ([], 1, 0, "shed"),  # an empty list
        ([listed("a", zone=1)], 1, 0, "send"),  # no backend in the node's own location
        ([listed("a")], 400, 0, "send"),  # more nodes than backends
        ([listed(f"b{i}", zone=i % 4) for i in range(600)], 400, 2, "send"),
    ],
)
def test_fleets_of_any_size_are_served_and_every_exchange_answered(entries, nodes, zone, answer):
    made, host = node(entries, nodes=nodes, location=zone)
    begin(made)
    made.on_wake(NOW + 500, "tick")
    made.on_wake(NOW + 7990, "due")
    assert answer in {c[0] for c in host.take("send", "shed")}
    assert len(made.subset.backends) <= 12
